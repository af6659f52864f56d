package scenariorun

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/internal/simulation/rolesim"
	"brackenbend/roles"
)

// shift is what engines that change role share.
type shift struct {
	r      *run
	params map[roles.Role]enginemodel.Params
	kinds  map[roles.Role]string
	swap   time.Duration
}

// shifting gathers the kinds that shift; with none its kinds are nil.
func (r *run) shifting() *shift {
	s := &shift{r: r, swap: time.Second}
	if p := r.d.Planner; p != nil && p.SwitchTime > 0 {
		s.swap = p.SwitchTime
	}
	s.params, s.kinds = r.d.ChangingRoles()
	return s
}

// join makes an engine one of those that shift.
func (s *shift) join(cfg *engine.Config, r roles.Role) {
	cfg.Roles, cfg.InitialState, cfg.SwitchTime = s.params, roles.EngineState{Role: r, Target: r}, s.swap
	s.r.reg.ManageRole(cfg.Name, r, s.kinds)
}

// RoleSample is how the engines that shift stood at one time.
type RoleSample struct {
	At       float64 `json:"at"` // seconds of the record
	Readers  int     `json:"readers"`
	Writers  int     `json:"writers"`
	Both     int     `json:"both,omitempty"`
	Changing int     `json:"changing,omitempty"`
	Orders   uint64  `json:"orders"`
	Reading  float64 `json:"reading"` // work asked for, in engines, as a planner saw it
	Writing  float64 `json:"writing"`
}

// planners are the day's planners, each with its own view of the register.
type planners struct {
	r    *run
	mu   sync.Mutex
	off  context.CancelFunc
	wg   sync.WaitGroup
	last roles.Plan
	seen []RoleSample
}

// foreseen moves engines by a course that was found beforehand.
type foreseen struct {
	r      *run
	ahead  time.Duration
	course rolesim.Schedule
	begins time.Duration // of the course, by the record's clock
}

func newForeseen(r *run, seen []RoleSample) *foreseen {
	f := &foreseen{r: r, ahead: cmp.Or(r.d.Planner.ChangeTime, 10*time.Second), begins: r.rec.Now()}
	engines := seen[0].Readers + seen[0].Writers + seen[0].Both + seen[0].Changing
	seconds := int(seen[len(seen)-1].At-seen[0].At) + 1
	reading, writing, n := make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	for _, s := range seen {
		t := min(max(int(s.At-seen[0].At), 0), seconds-1)
		reading[t], writing[t], n[t] = reading[t]+s.Reading, writing[t]+s.Writing, n[t]+1
	}
	for t := 1; t < seconds; t++ { // while the planner was stopped nothing was seen
		if n[t] == 0 {
			reading[t], writing[t], n[t] = reading[t-1], writing[t-1], n[t-1]
		}
	}
	f.course = rolesim.CheapestSchedule(engines, seconds, f.ahead.Seconds(), func(t int) (float64, float64) {
		k := math.Max(n[t], 1)
		return reading[t] / k, writing[t] / k
	})
	r.logf("readers by the foreseen course: %d at the start, %d at the end", f.course[0], f.course[seconds-1])
	return f
}

// Step implements planner.Policy.
func (f *foreseen) Step(_ time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return f.course.Step(f.r.rec.Now()-f.begins+f.ahead, engines)
}

func newPlanners(r *run) *planners { return &planners{r: r} }

func (p *planners) start() {
	ctx, stop := context.WithCancel(context.Background())
	p.mu.Lock()
	p.off = stop
	p.mu.Unlock()
	log := zap.NewNop()
	var fronts []string
	for _, f := range p.r.fronts {
		fronts = append(fronts, f.admin)
	}
	for i := range max(p.r.d.Planner.Count, 1) {
		run := &planner.Runner{
			APIServer: planner.Client{URL: p.r.reg.URL(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
			Settings:  p.r.d.Planner.Settings(), Replicas: fronts, Interval: p.r.d.Planner.Interval, Log: log,
		}
		if i == 0 {
			run.OnPlan = p.note
		}
		if seen := p.r.o.Foreseen; len(seen) > 0 {
			run.Policy = newForeseen(p.r, seen)
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			_ = run.Run(ctx) // its settings were checked with the day
		}()
	}
}

// stop ends the planners as a crash would: with nothing handed over.
func (p *planners) stop() {
	p.mu.Lock()
	off := p.off
	p.mu.Unlock()
	off()
	p.wg.Wait()
}

func (p *planners) note(plan roles.Plan) {
	b := p.r.reg.Assignments()
	s := RoleSample{At: p.r.rec.Now().Seconds(), Orders: b.Orders, Reading: plan.Reading, Writing: plan.Writing}
	open, changing := b.CountServing()
	s.Readers, s.Writers, s.Both, s.Changing = open[roles.Prefill], open[roles.Decode], open[roles.Both], changing
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, s)
	for _, c := range plan.Changes {
		p.r.logf("role: %s to %v (%s)", c.ID, c.Target, c.Reason)
	}
}

// force is an operator who forces an engine into the other role, whatever the planner thinks.
func (r *run) force(name string) {
	c := planner.Client{URL: r.reg.URL(), HTTP: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	b, err := c.Update(context.Background(), func(b roles.Assignments) (roles.Assignments, error) {
		return b.SwitchStage(name, "forced by the day")
	})
	r.logf("%s forced to %v: %v", name, b.Entries[name].Target, err)
}
