// Package overload measures what a fleet does when more is asked than it can do: goodput against offered load, load up and
// down again, and how long service takes to come back, as it is and with the loops that feed a collapse cut one at a time.
// A day's fleet and clients are played, and what goes wrong in it as well.
package overload

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// FeedbackLoop is a way in which overload feeds itself, and what cuts it.
type FeedbackLoop struct {
	Name string
	cut  func(d *scenario.Scenario, o *fleet.Options)
}

// FeedbackLoops are those that can be cut from outside the module.
var FeedbackLoops = []FeedbackLoop{
	{"as it is", func(*scenario.Scenario, *fleet.Options) {}},
	{"no retries by clients", func(d *scenario.Scenario, _ *fleet.Options) {
		s := *d.Service
		s.ClientRetries = 0
		d.Service = &s
	}},
	{"one attempt a request", func(d *scenario.Scenario, _ *fleet.Options) { // a read and a write
		s := *d.Service
		s.MaxAttempts = 2
		d.Service = &s
	}},
	{"no refusing or calling off", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.NoLoadShedding = true }},
	{"no time-outs at sound engines", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.NoTimeouts = true }},
	{"readers known to all fronts", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.KnowPrefillLoad = true }},
}

// Plan says what is played.
type Plan struct {
	Scenario      *scenario.Scenario
	Base          float64   // part of the day's rate before and after; 0 = 1
	Loads         []float64 // times the day's rate, while it is overloaded
	Before        time.Duration
	For           time.Duration
	After         time.Duration
	Runs          int
	Parallel      int
	FeedbackLoops []FeedbackLoop                  // nil = as it is only
	Make          func(seed uint64) fleet.Options // nil = the module
}

// Point is what came at one load.
type Point struct {
	Loop            string  `json:"loop"`
	Load            float64 `json:"load"`              // times the day's rate
	Before          float64 `json:"goodput_before"`    // worth a second
	Goodput         float64 `json:"goodput"`           // while overloaded, its first fifth left out
	Worst           float64 `json:"goodput_worst_2s"`  // in the overloaded time
	RecoverySeconds float64 `json:"back_s"`            // from its end until three seconds in a row reach 95% of the service before
	NotRecovered    int     `json:"never_back"`        // courses that did not come back
	Tries           float64 `json:"tries_a_request"`   // by clients, over the day
	Sends           float64 `json:"attempts_per_done"` // attempts at engines for each request served
}

// Run plays each load in a day of its own, its courses paired over loads and loops.
func Run(p Plan) ([]Point, error) {
	if p.Base == 0 {
		p.Base = 1
	}
	if p.FeedbackLoops == nil {
		p.FeedbackLoops = FeedbackLoops[:1]
	}
	if len(p.Loads) == 0 || p.Runs < 1 || p.Before < 3*time.Second || p.For < 2*time.Second || p.After < 5*time.Second {
		return nil, errors.New("overload: a load, a run, 3 s before, 2 s of overload and 5 s after it are needed at least")
	}
	points := make([]Point, len(p.FeedbackLoops)*len(p.Loads))
	courses := make([][]course, len(points))
	for i := range courses {
		courses[i] = make([]course, p.Runs)
	}
	err := replication.Run(len(points)*p.Runs, p.Parallel, func(n int) (err error) {
		i, run := n/p.Runs, n%p.Runs
		courses[i][run], err = p.play(p.FeedbackLoops[i/len(p.Loads)], p.Loads[i%len(p.Loads)], run)
		return err
	})
	if err != nil {
		return nil, err
	}
	for i := range points {
		points[i] = sum(courses[i])
		points[i].Loop, points[i].Load = p.FeedbackLoops[i/len(p.Loads)].Name, p.Loads[i%len(p.Loads)]
	}
	return points, nil
}

// course is what one course came to.
type course struct {
	before, goodput, worst, back, tries, sends float64
	never                                      bool
}

func (p *Plan) play(loop FeedbackLoop, load float64, run int) (course, error) {
	d := p.Scenario.Replication(run + 1)
	d.Length = p.Before + p.For + p.After
	from, to := p.Before, p.Before+p.For
	d.Faults = append(slices.Clone(d.Faults), scenario.Fault{At: from, For: p.For, What: "surge", Factor: load / p.Base})
	d.Rate *= config.Rate(p.Base)
	o := fleet.Options{}
	if p.Make != nil {
		o = p.Make(uint64(run) + 1)
	}
	o.Seed = uint64(run) + 1
	loop.cut(d, &o)
	r, err := fleet.Run(d, o)
	if err != nil {
		return course{}, err
	}
	return measure(r, from, to), nil
}

// backPart is the part of the service before an overload at which a second counts as normal again.
const backPart = 0.95

func measure(r *fleet.Result, from, to time.Duration) course {
	var c course
	sec := func(d time.Duration) int { return int(d / time.Second) }
	worth := func(a, b int) (sum, asked float64) {
		for i := a; i < b && i < len(r.Score.Timeline); i++ {
			sum, asked = sum+r.Score.Timeline[i].Worth, asked+r.Score.Timeline[i].Asked
		}
		return sum, asked
	}
	a, b := sec(from), sec(to)
	w, asked := worth(1, a)
	c.before = w / float64(a-1)
	normal := backPart * w / max(asked, 1e-9)
	settled := a + (b-a)/5
	w, _ = worth(settled, b)
	c.goodput = w / float64(b-settled)
	c.worst = c.goodput
	for i := a; i+2 <= b; i++ {
		w, _ = worth(i, i+2)
		c.worst = min(c.worst, w/2)
	}
	last := len(r.Score.Timeline) - 3
	c.never, c.back = true, float64(max(last-b, 0))
	for i := b; i < last; i++ {
		if w, asked = worth(i, i+3); w >= normal*asked {
			c.never, c.back = false, float64(i-b)
			break
		}
	}
	requests, tries, served := 0, 0, 0
	classes, _ := r.Score.Rows()
	for _, k := range classes {
		requests, tries, served = requests+k.Requests, tries+k.Tries, served+k.Served
	}
	c.tries = float64(tries) / float64(max(requests, 1))
	c.sends = float64(r.Attempts["read"]+r.Attempts["write"]) / float64(max(served, 1))
	return c
}

func sum(cs []course) Point {
	var p Point
	mean := func(of func(c *course) float64) float64 {
		v := make([]float64, len(cs))
		for i := range cs {
			v[i] = of(&cs[i])
		}
		return stat.Mean(v, nil)
	}
	p.Before = mean(func(c *course) float64 { return c.before })
	p.Goodput = mean(func(c *course) float64 { return c.goodput })
	p.Worst = mean(func(c *course) float64 { return c.worst })
	p.RecoverySeconds = mean(func(c *course) float64 { return c.back })
	p.Tries = mean(func(c *course) float64 { return c.tries })
	p.Sends = mean(func(c *course) float64 { return c.sends })
	for _, c := range cs {
		if c.never {
			p.NotRecovered++
		}
	}
	return p
}

// Write gives a table for a person.
func Write(w io.Writer, points []Point) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LOOP\tLOAD\tGOODPUT BEFORE\tOVERLOADED\tWORST 2 S\tBACK AFTER\tNEVER\tTRIES\tATTEMPTS PER SERVED")
	for _, p := range points {
		fmt.Fprintf(t, "%s\t%g\t%.0f\t%.0f\t%.0f\t%.1f s\t%d\t%.2f\t%.1f\n", p.Loop, p.Load, p.Before, p.Goodput, p.Worst, p.RecoverySeconds, p.NotRecovered, p.Tries, p.Sends)
	}
	return t.Flush()
}
