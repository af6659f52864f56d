// Package overload measures what a fleet does when more is requested than it can serve: goodput against offered load,
// with the load going up and down again, and how long service takes to recover, as it is and with the feedback loops of
// a collapse cut one at a time. A scenario's fleet and clients are played, with its faults.
package overload

import (
	"errors"
	"slices"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// FeedbackLoop is a way in which overload feeds itself, and what cuts it.
type FeedbackLoop struct {
	Name string
	cut  func(s *scenario.Scenario, o *fleet.Options)
}

// FeedbackLoops are those that can be cut without changing the router. The first is uncut.
var FeedbackLoops = []FeedbackLoop{
	{"as it is", func(*scenario.Scenario, *fleet.Options) {}},
	{"no retries by clients", func(s *scenario.Scenario, _ *fleet.Options) {
		service := *s.Service
		service.ClientRetries = 0
		s.Service = &service
	}},
	{"one attempt a request", func(s *scenario.Scenario, _ *fleet.Options) {
		service := *s.Service
		service.MaxAttempts = 2 // a prefill and a decode
		s.Service = &service
	}},
	{"no refusing or calling off", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.NoLoadShedding = true }},
	{"no time-outs at sound engines", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.NoTimeouts = true }},
	{"readers known to all fronts", func(_ *scenario.Scenario, o *fleet.Options) { o.Oracles.KnowPrefillLoad = true }},
}

// Plan says what is played.
type Plan struct {
	Scenario      *scenario.Scenario
	Base          float64   // load before and after, times the scenario's rate; 0 = 1
	Loads         []float64 // loads of the overload, times the scenario's rate
	Before        time.Duration
	For           time.Duration
	After         time.Duration
	Runs          int
	Parallel      int
	FeedbackLoops []FeedbackLoop                  // nil = as it is only
	Make          func(seed uint64) fleet.Options // nil = the router
}

// Point is the outcome at one load.
type Point struct {
	Loop            string  `json:"loop"`
	Load            float64 `json:"load"`              // times the scenario's rate
	Before          float64 `json:"goodput_before"`    // priority weight served a second
	Goodput         float64 `json:"goodput"`           // during the overload, without its first fifth
	Worst           float64 `json:"goodput_worst_2s"`  // during the overload
	RecoverySeconds float64 `json:"back_s"`            // from its end until the service is back, see recoveredSeconds
	NotRecovered    int     `json:"never_back"`        // replications in which it never was
	Tries           float64 `json:"tries_a_request"`   // attempts by clients, over the scenario
	Sends           float64 `json:"attempts_per_done"` // attempts at engines for each request served
}

// The least times of a plan: goodput before is measured without the first second, recovery over recoveredSeconds.
const (
	minBefore = 3 * time.Second
	minFor    = 2 * time.Second
	minAfter  = 5 * time.Second
)

// ErrPlan is returned for a plan that can't be played.
var ErrPlan = errors.New(
	"overload: a load, a run, 3 s before, 2 s of overload and 5 s after it are needed at least")

func (p *Plan) check() error {
	if len(p.Loads) == 0 || p.Runs < 1 || p.Before < minBefore || p.For < minFor || p.After < minAfter {
		return ErrPlan
	}
	return nil
}

// Run plays each load in a scenario of its own, with the same replications for all loads and loops.
func Run(p Plan) ([]Point, error) {
	if p.Base == 0 {
		p.Base = 1
	}
	if p.FeedbackLoops == nil {
		p.FeedbackLoops = FeedbackLoops[:1]
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	runs := make([][]measurement, len(p.FeedbackLoops)*len(p.Loads)) // by point and replication
	for i := range runs {
		runs[i] = make([]measurement, p.Runs)
	}
	err := replication.Run(len(runs)*p.Runs, p.Parallel, func(n int) (err error) {
		i, run := n/p.Runs, n%p.Runs
		runs[i][run], err = p.play(p.FeedbackLoops[i/len(p.Loads)], p.Loads[i%len(p.Loads)], run)
		return err
	})
	if err != nil {
		return nil, err
	}
	points := make([]Point, len(runs))
	for i := range points {
		points[i] = summarize(runs[i])
		points[i].Loop, points[i].Load = p.FeedbackLoops[i/len(p.Loads)].Name, p.Loads[i%len(p.Loads)]
	}
	return points, nil
}

// play plays one replication at one load with one loop cut.
func (p *Plan) play(loop FeedbackLoop, load float64, run int) (measurement, error) {
	played := p.Scenario.Replication(run + 1)
	played.Length = p.Before + p.For + p.After
	from, to := p.Before, p.Before+p.For
	surge := scenario.Fault{At: from, For: p.For, What: "surge", Factor: load / p.Base}
	played.Faults = append(slices.Clone(played.Faults), surge)
	played.Rate *= config.Rate(p.Base)
	options := fleet.Options{}
	if p.Make != nil {
		options = p.Make(uint64(run) + 1)
	}
	options.Seed = uint64(run) + 1
	loop.cut(played, &options)
	result, err := fleet.Run(played, options)
	if err != nil {
		return measurement{}, err
	}
	return measure(result, from, to), nil
}
