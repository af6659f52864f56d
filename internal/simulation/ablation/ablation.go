// Package ablation separates the causes of what replicas lose by being many. It plays one scenario at several numbers
// of replicas: as it is, with each oracle of package fleet alone, with all of them, and with all but one. What an
// oracle alone gains is the cost of not having that knowledge while everything else stays; what is lost when it alone
// is taken from all is its cost where nothing else hides it. The two differ where causes mask one another.
package ablation

import (
	"errors"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Cause is something that a replica can't know or must do without.
type Cause struct {
	Name string
	set  func(*fleet.Oracles)
}

// All are the causes, each with the oracle that removes it alone.
var All = []Cause{
	{"crowded readers", func(o *fleet.Oracles) { o.KnowPrefillLoad = true }},
	{"crowded writers", func(o *fleet.Oracles) { o.KnowDecodeLoad = true }},
	{"sparse evidence of harm", func(o *fleet.Oracles) { o.KnowHealth = true }},
	{"cold budgets", func(o *fleet.Oracles) { o.KnowSlowStart = true }},
	{"refusing and calling off", func(o *fleet.Oracles) { o.NoLoadShedding = true }},
	{"time-outs at sound engines", func(o *fleet.Oracles) { o.NoTimeouts = true }},
}

// Gain is a mean difference of service over paired replications, with its confidence interval.
type Gain struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Size is the outcome at one number of replicas.
type Size struct {
	Replicas   int             `json:"fronts"`
	AsIs       float64         `json:"as_is"`
	AllOracles float64         `json:"knows_all"` // with every oracle
	Alone      map[string]Gain `json:"alone"`     // gained by one oracle alone
	Last       map[string]Gain `json:"last"`      // lost where it alone is taken from all
}

// Plan says what is played.
type Plan struct {
	Scenario *scenario.Scenario
	Replicas []int
	Runs     int // replications, each with clients of its own
	Parallel int
	Level    float64 // of the confidence intervals
}

// minRuns is the least number of replications that give a confidence interval.
const minRuns = 3

// ErrPlan is returned for a plan that can't be played.
var ErrPlan = errors.New(
	"ablation: 3 runs at least, a number of replicas, and a level between 0 and 1 are needed")

// variants are the sets of oracles that are compared.
type variants struct {
	sets []fleet.Oracles
}

// Indices of the sets: without oracles, with all, then for each cause with its oracle alone and with all others.
const (
	asIs       = 0
	allOracles = 1
)

func (v variants) alone(cause int) int  { return 2 + 2*cause }
func (v variants) others(cause int) int { return 3 + 2*cause }

func newVariants() variants {
	v := variants{sets: []fleet.Oracles{{}, others("")}}
	for _, c := range All {
		var alone fleet.Oracles
		c.set(&alone)
		v.sets = append(v.sets, alone, others(c.Name))
	}
	return v
}

// others returns all oracles but that of one cause.
func others(cause string) (o fleet.Oracles) {
	for _, c := range All {
		if c.Name != cause {
			c.set(&o)
		}
	}
	return o
}

// Run plays the plan.
func Run(p Plan) ([]Size, error) {
	if p.Runs < minRuns || len(p.Replicas) == 0 || p.Level <= 0 || p.Level >= 1 {
		return nil, ErrPlan
	}
	v := newVariants()
	var sizes []Size
	for _, replicas := range p.Replicas {
		services, err := p.play(replicas, v.sets)
		if err != nil {
			return nil, err
		}
		size := Size{
			Replicas: replicas, AsIs: stat.Mean(services[asIs], nil), AllOracles: stat.Mean(services[allOracles], nil),
			Alone: map[string]Gain{}, Last: map[string]Gain{},
		}
		for i, c := range All {
			size.Alone[c.Name] = newGain(services[asIs], services[v.alone(i)], p.Level)
			size.Last[c.Name] = newGain(services[v.others(i)], services[allOracles], p.Level)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// play returns the service of each replication, by set of oracles.
func (p *Plan) play(replicas int, sets []fleet.Oracles) ([][]float64, error) {
	services := make([][]float64, len(sets))
	for i := range sets {
		services[i] = make([]float64, p.Runs)
	}
	err := replication.Run(len(sets)*p.Runs, p.Parallel, func(i int) error {
		set, run := i/p.Runs, i%p.Runs
		played := p.Scenario.Replication(run + 1)
		played.Replicas = replicas
		result, err := fleet.Run(played, fleet.Options{Seed: uint64(run) + 1, Oracles: sets[set]})
		if err == nil {
			services[set][run] = result.Score.Service()
		}
		return err
	})
	return services, err
}

// resamples of the bootstrap.
const resamples = 2000

func newGain(less, more []float64, level float64) Gain {
	differences := make([]float64, len(less))
	for i := range differences {
		differences[i] = more[i] - less[i]
	}
	g := Gain{Mean: stat.Mean(differences, nil)}
	g.Low, g.High = forecast.Bootstrap(differences, level, resamples)
	return g
}
