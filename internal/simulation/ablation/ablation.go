// Package ablation attributes the service that a fleet loses by having many replicas to single causes. It simulates one
// scenario at several numbers of replicas: without oracles, with each oracle of package fleet alone, with all of them,
// and with all but one. The gain from an oracle alone is the cost of its cause while all other causes remain. The gain
// from adding it to all others is the cost of its cause where no other cause masks it. The two differ where causes mask
// one another.
package ablation

import (
	"errors"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Cause is a reason for lost service, such as knowledge that replicas lack, with the oracle that removes it.
type Cause struct {
	Name         string
	enableOracle func(*fleet.Oracles)
}

// Causes are all causes that can be separated. Their names are keys of the results and labels of the table.
var Causes = []Cause{
	{"crowded readers", func(o *fleet.Oracles) { o.KnowPrefillLoad = true }},
	{"crowded writers", func(o *fleet.Oracles) { o.KnowDecodeLoad = true }},
	{"sparse evidence of harm", func(o *fleet.Oracles) { o.KnowHealth = true }},
	{"cold budgets", func(o *fleet.Oracles) { o.KnowSlowStart = true }},
	{"refusing and calling off", func(o *fleet.Oracles) { o.NoLoadShedding = true }},
	{"time-outs at sound engines", func(o *fleet.Oracles) { o.NoTimeouts = true }},
}

// Gain is the mean difference of service over paired replications, with its confidence interval.
type Gain struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Result is the outcome at one number of replicas. The gains are by the name of the cause.
type Result struct {
	Replicas   int             `json:"fronts"`
	NoOracles  float64         `json:"as_is"`     // mean service without oracles
	AllOracles float64         `json:"knows_all"` // mean service with all oracles
	Alone      map[string]Gain `json:"alone"`     // from the oracle of the cause alone
	AddedLast  map[string]Gain `json:"last"`      // from adding that oracle to all others
}

// Plan describes an ablation experiment.
type Plan struct {
	Scenario *scenario.Scenario
	Replicas []int
	Runs     int     // replications, each with different clients
	Parallel int     // simulations at once
	Level    float64 // of the confidence intervals
}

// minRuns is the least number of replications that give a confidence interval.
const minRuns = 3

// ErrPlan is returned for an incomplete or invalid plan.
var ErrPlan = errors.New(
	"ablation: a plan needs at least 3 runs, a number of replicas, and a level between 0 and 1")

// variants are the sets of oracles that are compared.
type variants struct {
	sets []fleet.Oracles
}

// Indices of the sets: no oracles, all oracles, then for each cause its oracle alone and all oracles but that one.
const (
	noOracles  = 0
	allOracles = 1
)

func (v variants) alone(cause int) int  { return 2 + 2*cause }
func (v variants) allBut(cause int) int { return 3 + 2*cause }

func newVariants() variants {
	v := variants{sets: []fleet.Oracles{{}, allOraclesBut("")}}
	for _, c := range Causes {
		var alone fleet.Oracles
		c.enableOracle(&alone)
		v.sets = append(v.sets, alone, allOraclesBut(c.Name))
	}
	return v
}

// allOraclesBut returns all oracles except that of one cause; all of them for an empty name.
func allOraclesBut(cause string) (o fleet.Oracles) {
	for _, c := range Causes {
		if c.Name != cause {
			c.enableOracle(&o)
		}
	}
	return o
}

// Run simulates the plan and returns a result for each number of replicas.
func Run(plan Plan) ([]Result, error) {
	if plan.Runs < minRuns || len(plan.Replicas) == 0 || plan.Level <= 0 || plan.Level >= 1 {
		return nil, ErrPlan
	}
	v := newVariants()
	var results []Result
	for _, replicas := range plan.Replicas {
		services, err := plan.simulate(replicas, v.sets)
		if err != nil {
			return nil, err
		}
		result := Result{
			Replicas: replicas, NoOracles: stat.Mean(services[noOracles], nil), AllOracles: stat.Mean(services[allOracles], nil),
			Alone: map[string]Gain{}, AddedLast: map[string]Gain{},
		}
		for i, c := range Causes {
			result.Alone[c.Name] = newGain(services[noOracles], services[v.alone(i)], plan.Level)
			result.AddedLast[c.Name] = newGain(services[v.allBut(i)], services[allOracles], plan.Level)
		}
		results = append(results, result)
	}
	return results, nil
}

// simulate returns the service of each replication, by the index of the set of oracles.
func (p *Plan) simulate(replicas int, sets []fleet.Oracles) ([][]float64, error) {
	services := make([][]float64, len(sets))
	for i := range sets {
		services[i] = make([]float64, p.Runs)
	}
	err := replication.Run(len(sets)*p.Runs, p.Parallel, func(i int) error {
		set, run := i/p.Runs, i%p.Runs
		sc := p.Scenario.Replication(run + 1)
		sc.Replicas = replicas
		result, err := fleet.Run(sc, fleet.Options{Seed: uint64(run) + 1, Oracles: sets[set]})
		if err == nil {
			services[set][run] = result.Score.Service()
		}
		return err
	})
	return services, err
}

// bootstrapResamples is the number of resamples for each confidence interval.
const bootstrapResamples = 2000

// newGain compares the services of the same replications with fewer and with more oracles.
func newGain(fewerOracles, moreOracles []float64, level float64) Gain {
	differences := make([]float64, len(fewerOracles))
	for i := range differences {
		differences[i] = moreOracles[i] - fewerOracles[i]
	}
	g := Gain{Mean: stat.Mean(differences, nil)}
	g.Low, g.High = forecast.Bootstrap(differences, level, bootstrapResamples)
	return g
}
