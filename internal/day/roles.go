package day

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/planner"
	"brackenbend/internal/standin/engine"
	"brackenbend/internal/standin/model"
	"brackenbend/roles"
)

// kindBoth is the kind of an engine that does both because nothing else is left.
const kindBoth = "both-for-need"

// shift is what engines that change role share.
type shift struct {
	r      *run
	params map[roles.Role]model.Params
	kinds  map[roles.Role]string
	swap   time.Duration
}

// shifting gathers the kinds that shift; with none its kinds are nil.
func (r *run) shifting() *shift {
	s := &shift{r: r, params: map[roles.Role]model.Params{}, swap: time.Second}
	if p := r.d.Planner; p != nil && p.Switch > 0 {
		s.swap = p.Switch
	}
	for _, k := range r.d.Kinds {
		if !k.Shifts {
			continue
		}
		if s.kinds == nil {
			s.kinds = map[roles.Role]string{roles.Both: kindBoth}
		}
		role := roleOf(k.Role)
		p := r.params(&k)
		if role == roles.Writer {
			p.Reads = r.d.Service.WritersRead
		}
		s.params[role], s.kinds[role] = p, k.Name
	}
	both := s.params[roles.Writer]
	both.Reads, both.ReadRate = true, s.params[roles.Reader].ReadRate
	s.params[roles.Both] = both
	return s
}

func roleOf(s string) roles.Role {
	switch s {
	case "reader":
		return roles.Reader
	case "writer":
		return roles.Writer
	}
	return roles.Both
}

// join makes an engine one of those that shift.
func (s *shift) join(cfg *engine.Config, role string) {
	r := roleOf(role)
	cfg.Roles, cfg.Seat, cfg.Switch = s.params, roles.Seat{Role: r, To: r}, s.swap
	s.r.reg.Shift(cfg.Name, r, s.kinds)
}

// RoleSecond is how the engines that shift stood at one time.
type RoleSecond struct {
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
	seen []RoleSecond
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
		run := &planner.Runner{Register: planner.Client{URL: p.r.reg.URL(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
			Settings: p.r.d.Planner.settings(), Fronts: fronts, Every: p.r.d.Planner.Every, Log: log}
		if i == 0 {
			run.Planned = p.note
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
	b := p.r.reg.Book()
	s := RoleSecond{At: p.r.rec.Now().Seconds(), Orders: b.Orders, Reading: plan.Reading, Writing: plan.Writing}
	for _, e := range b.Entries {
		switch {
		case !e.Open:
			s.Changing++
		case e.Role == roles.Reader:
			s.Readers++
		case e.Role == roles.Writer:
			s.Writers++
		default:
			s.Both++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, s)
	for _, c := range plan.Changes {
		p.r.logf("role: %s to %v (%s)", c.ID, c.To, c.Why)
	}
}
