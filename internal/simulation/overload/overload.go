// Package overload measures how a fleet behaves when more is requested than it can serve. It simulates a scenario, with
// its faults, while the load rises to an overload and falls again, and measures goodput against offered load and the
// time until service recovers. To find the causes of a congestion collapse, the feedback loops that amplify an overload
// can be disabled one at a time.
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

// FeedbackLoop is a mechanism by which an overload amplifies itself. Name says what is different when it is disabled.
type FeedbackLoop struct {
	Name    string
	disable func(s *scenario.Scenario, o *fleet.Options)
}

// FeedbackLoops are those that can be disabled without changing the router. The first entry disables none.
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

// Plan describes an overload experiment.
type Plan struct {
	Scenario      *scenario.Scenario
	BaseLoad      float64                         // load before and after, as a multiple of the scenario's rate; 0 = 1
	Loads         []float64                       // loads during the overload, as multiples of the scenario's rate
	Before        time.Duration                   // time at the base load before the overload
	Duration      time.Duration                   // how long the overload lasts
	After         time.Duration                   // time at the base load after the overload
	Runs          int                             // replications at each load
	Parallel      int                             // simulations at once
	FeedbackLoops []FeedbackLoop                  // each is disabled in turn; nil = only runs with none disabled
	Options       func(seed uint64) fleet.Options // of the fleet; nil = a fleet with package routing
}

// Point is the outcome at one load, with one feedback loop disabled. Figures are means over replications.
type Point struct {
	DisabledLoop    string  `json:"loop"`
	Load            float64 `json:"load"`              // during the overload, as a multiple of the scenario's rate
	GoodputBefore   float64 `json:"goodput_before"`    // priority weight served per second
	Goodput         float64 `json:"goodput"`           // during the overload, without its first fifth
	WorstGoodput    float64 `json:"goodput_worst_2s"`  // during the overload, in the worst window of worstSeconds
	RecoverySeconds float64 `json:"back_s"`            // from the end of the overload; see recoveredSeconds
	NotRecovered    int     `json:"never_back"`        // replications in which service never recovered
	ClientAttempts  float64 `json:"tries_a_request"`   // attempts by clients per request, over the scenario
	EngineAttempts  float64 `json:"attempts_per_done"` // attempts at engines per served request
}

// The least durations of a plan. The goodput before an overload is measured without the first second, and recovery over
// windows of recoveredSeconds.
const (
	minBefore   = 3 * time.Second
	minDuration = 2 * time.Second
	minAfter    = 5 * time.Second
)

// ErrPlan is returned for an incomplete plan or one with too short durations.
var ErrPlan = errors.New(
	"overload: a plan needs at least one load, one run, and 3 s before, 2 s during and 5 s after the overload")

func (p *Plan) validate() error {
	if len(p.Loads) == 0 || p.Runs < 1 || p.Before < minBefore || p.Duration < minDuration || p.After < minAfter {
		return ErrPlan
	}
	return nil
}

// Run simulates each load with each feedback loop disabled. All combinations use the same replications.
func Run(plan Plan) ([]Point, error) {
	if plan.BaseLoad == 0 {
		plan.BaseLoad = 1
	}
	if plan.FeedbackLoops == nil {
		plan.FeedbackLoops = FeedbackLoops[:1]
	}
	if err := plan.validate(); err != nil {
		return nil, err
	}
	runs := make([][]measurement, len(plan.FeedbackLoops)*len(plan.Loads)) // indexed by point and replication
	for i := range runs {
		runs[i] = make([]measurement, plan.Runs)
	}
	err := replication.Run(len(runs)*plan.Runs, plan.Parallel, func(n int) (err error) {
		i, run := n/plan.Runs, n%plan.Runs
		runs[i][run], err = plan.simulate(plan.FeedbackLoops[i/len(plan.Loads)], plan.Loads[i%len(plan.Loads)], run)
		return err
	})
	if err != nil {
		return nil, err
	}
	points := make([]Point, len(runs))
	for i := range points {
		points[i] = summarize(runs[i])
		points[i].DisabledLoop, points[i].Load = plan.FeedbackLoops[i/len(plan.Loads)].Name, plan.Loads[i%len(plan.Loads)]
	}
	return points, nil
}

// simulate runs one replication at one load with one feedback loop disabled.
func (p *Plan) simulate(loop FeedbackLoop, load float64, run int) (measurement, error) {
	sc := p.Scenario.Replication(run + 1)
	sc.Length = p.Before + p.Duration + p.After
	from, to := p.Before, p.Before+p.Duration
	overloadFault := scenario.Fault{At: from, Duration: p.Duration, Type: "surge", Factor: load / p.BaseLoad}
	sc.Faults = append(slices.Clone(sc.Faults), overloadFault)
	sc.Rate *= config.Rate(p.BaseLoad)
	options := fleet.Options{}
	if p.Options != nil {
		options = p.Options(uint64(run) + 1)
	}
	options.Seed = uint64(run) + 1
	loop.disable(sc, &options)
	result, err := fleet.Run(sc, options)
	if err != nil {
		return measurement{}, err
	}
	return measure(result, from, to), nil
}
