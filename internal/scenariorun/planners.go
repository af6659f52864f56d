package scenariorun

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

const (
	// defaultSwitchTime is how long a drained engine takes to change its role, where the scenario states no time.
	defaultSwitchTime = time.Second
	// forceTimeout bounds each request to the API server by which forceRole forces a role.
	forceTimeout = 5 * time.Second
)

// roleChangeConfig holds the configuration that the engines that change role have in common.
type roleChangeConfig struct {
	run        *run
	params     map[roles.Role]enginemodel.Params
	kinds      map[roles.Role]string // nil where no engine changes role
	switchTime time.Duration
}

func (r *run) newRoleChangeConfig() *roleChangeConfig {
	c := &roleChangeConfig{run: r, switchTime: defaultSwitchTime}
	if p := r.scenario.Planner; p != nil && p.SwitchTime > 0 {
		c.switchTime = p.SwitchTime
	}
	c.params, c.kinds = r.scenario.RoleChangeParams()
	return c
}

// configure sets the role configuration of an engine that changes role, and adds the engine to the API server's
// assignment table.
func (c *roleChangeConfig) configure(cfg *engine.Config, role roles.Role) {
	cfg.Roles = c.params
	cfg.InitialState = roles.EngineState{Role: role, Target: role}
	cfg.SwitchTime = c.switchTime
	c.run.api.ManageRole(cfg.Name, role, c.kinds)
}

// RoleSample holds the number of engines in each role, among those that change role, and the demand at one step of the
// first planner.
type RoleSample struct {
	At             float64 `json:"at"` // in seconds, as a time of the record
	PrefillEngines int     `json:"readers"`
	DecodeEngines  int     `json:"writers"`
	MixedEngines   int     `json:"both,omitempty"`
	Changing       int     `json:"changing,omitempty"`
	Commands       uint64  `json:"orders"`  // so far
	PrefillDemand  float64 `json:"reading"` // in engines, as the planner estimates it
	DecodeDemand   float64 `json:"writing"`
}

// engines is the number of engines that change role.
func (s RoleSample) engines() int {
	return s.PrefillEngines + s.DecodeEngines + s.MixedEngines + s.Changing
}

// planners runs the planners of the scenario, each with its own client of the API server.
type planners struct {
	run     *run
	runners sync.WaitGroup

	mu      sync.Mutex
	cancel  context.CancelFunc // ends the running planners
	samples []RoleSample
}

func newPlanners(r *run) *planners { return &planners{run: r} }

func (p *planners) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	p.cancel = cancel
	p.mu.Unlock()
	for i := range max(p.run.scenario.Planner.Count, 1) {
		runner := p.newRunner(i == 0)
		p.runners.Go(func() {
			_ = runner.Run(ctx) // its settings were checked with the scenario
		})
	}
}

// newRunner creates one planner. The first one samples the roles.
func (p *planners) newRunner(first bool) *planner.Runner {
	var replicas []string
	for _, replica := range p.run.replicas.members {
		replicas = append(replicas, replica.adminAddr)
	}
	settings := p.run.scenario.Planner
	runner := &planner.Runner{
		APIServer: planner.Client{URL: p.run.api.URL(), HTTP: httpClient(0)},
		Settings:  settings.Settings(),
		Replicas:  replicas,
		Interval:  settings.Interval,
		Log:       zap.NewNop(),
	}
	if first {
		runner.OnPlan = p.recordSample
	}
	if samples := p.run.options.RecordedDemand; len(samples) > 0 {
		runner.Policy = newClairvoyantPolicy(p.run, samples)
	}
	return runner
}

// httpClient returns a client that keeps no idle connections; timeout 0 = none.
func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// stop ends the planners without a handover, as a crash would.
func (p *planners) stop() {
	p.mu.Lock()
	cancel := p.cancel
	p.mu.Unlock()
	cancel()
	p.runners.Wait()
}

// recordSample records the roles and the demand when a plan is made, and logs the changes of the plan.
func (p *planners) recordSample(plan roles.Plan) {
	assignments := p.run.api.Assignments()
	serving, changing := assignments.CountServing()
	sample := RoleSample{
		At:             p.run.record.Now().Seconds(),
		PrefillEngines: serving[roles.Prefill],
		DecodeEngines:  serving[roles.Decode],
		MixedEngines:   serving[roles.Both],
		Changing:       changing,
		Commands:       assignments.LastCommandNumber,
		PrefillDemand:  plan.PrefillDemand,
		DecodeDemand:   plan.DecodeDemand,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, sample)
	for _, change := range plan.Changes {
		p.run.logf("role change: %s to %v (%s)", change.ID, change.Target, change.Reason)
	}
}

// forceRole assigns an engine to the other role, as an operator does who overrides the planner.
func (r *run) forceRole(name string) {
	client := planner.Client{URL: r.api.URL(), HTTP: httpClient(forceTimeout)}
	switchStage := func(assignments roles.Assignments) (roles.Assignments, error) {
		return assignments.SwitchStage(name, "forced by the scenario")
	}
	assignments, err := client.Update(context.Background(), switchStage)
	r.logf("engine %s forced to role %v (error: %v)", name, assignments.Entries[name].Target, err)
}
