// Package ablation tells apart what fronts lose by being many. It plays one day at several numbers of fronts, as it is, with
// each oracle of internal/lab/fleet alone, with all of them, and with all but one. What an oracle alone wins back is what
// the want of that knowledge costs while everything else stays; what is lost again when it alone is taken from all is what
// it costs where nothing else hides it. The two differ where causes mask one another.
package ablation

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Cause is something that a front can't know or must do without.
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

// Gain is a mean difference of service over paired courses, with its bars.
type Gain struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Size is what came at one number of fronts.
type Size struct {
	Replicas   int             `json:"fronts"`
	AsIs       float64         `json:"as_is"`
	AllOracles float64         `json:"knows_all"` // with every oracle
	Alone      map[string]Gain `json:"alone"`     // won by one oracle alone
	Last       map[string]Gain `json:"last"`      // lost where it alone is taken from all
}

// Plan says what is played.
type Plan struct {
	Scenario *scenario.Scenario
	Replicas []int
	Runs     int // courses, each with clients of its own
	Parallel int
	Level    float64 // of the bars
}

// Run plays.
func Run(p Plan) ([]Size, error) {
	if p.Runs < 3 || len(p.Replicas) == 0 || p.Level <= 0 || p.Level >= 1 {
		return nil, errors.New("causes: 3 runs at least, a number of fronts, and a level between 0 and 1 are needed")
	}
	every := fleet.Oracles{}
	for _, c := range All {
		c.set(&every)
	}
	ways := []fleet.Oracles{{}, every}
	for _, c := range All {
		var alone fleet.Oracles
		c.set(&alone)
		ways = append(ways, alone, without(c))
	}
	var sizes []Size
	for _, fronts := range p.Replicas {
		got, err := p.play(fronts, ways)
		if err != nil {
			return nil, err
		}
		s := Size{Replicas: fronts, AsIs: stat.Mean(got[0], nil), AllOracles: stat.Mean(got[1], nil), Alone: map[string]Gain{}, Last: map[string]Gain{}}
		for i, c := range All {
			s.Alone[c.Name] = gain(got[0], got[2+2*i], p.Level)
			s.Last[c.Name] = gain(got[3+2*i], got[1], p.Level)
		}
		sizes = append(sizes, s)
	}
	return sizes, nil
}

// without is every oracle but one.
func without(not Cause) (o fleet.Oracles) {
	for _, c := range All {
		if c.Name != not.Name {
			c.set(&o)
		}
	}
	return o
}

// play gives the service of each course by each way.
func (p *Plan) play(fronts int, ways []fleet.Oracles) ([][]float64, error) {
	got := make([][]float64, len(ways))
	for w := range ways {
		got[w] = make([]float64, p.Runs)
	}
	err := replication.Run(len(ways)*p.Runs, p.Parallel, func(i int) error {
		w, run := i/p.Runs, i%p.Runs
		d := p.Scenario.Replication(run + 1)
		d.Replicas = fronts
		r, err := fleet.Run(d, fleet.Options{Seed: uint64(run) + 1, Oracles: ways[w]})
		if err == nil {
			got[w][run] = r.Score.Service()
		}
		return err
	})
	return got, err
}

func gain(less, more []float64, level float64) Gain {
	diffs := make([]float64, len(less))
	for i := range diffs {
		diffs[i] = more[i] - less[i]
	}
	g := Gain{Mean: stat.Mean(diffs, nil)}
	g.Low, g.High = forecast.Bootstrap(diffs, level, 2000)
	return g
}

// Write gives a table for a person.
func Write(w io.Writer, sizes []Size) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(s *Size) string) {
		fmt.Fprintf(t, "%s\t", name)
		for i := range sizes {
			fmt.Fprintf(t, "%s\t", cell(&sizes[i]))
		}
		fmt.Fprintln(t)
	}
	row("fronts", func(s *Size) string { return fmt.Sprint(s.Replicas) })
	row("as it is", func(s *Size) string { return fmt.Sprintf("%.4f", s.AsIs) })
	for _, c := range All {
		row("without "+c.Name, func(s *Size) string { return s.Alone[c.Name].String() })
	}
	row("without any", func(s *Size) string { return fmt.Sprintf("%.4f", s.AllOracles) })
	for _, c := range All {
		row("only "+c.Name, func(s *Size) string {
			g := s.Last[c.Name]
			return Gain{-g.Mean, -g.High, -g.Low}.String()
		})
	}
	return t.Flush()
}

func (g Gain) String() string { return fmt.Sprintf("%+.4f (%+.3f to %+.3f)", g.Mean, g.Low, g.High) }
