// Package planner runs the planner of engine roles (package roles) against a register and engines on sockets: it reads
// the book, asks the engines how they stand, writes what the planner decides and tells it to the engines. It decides
// nothing. Any number of planners may run: each write names the version of the book that it was made from.
package planner

import (
	"brackenbend/roles"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Path is where engines are asked and told (GET and POST), and PathBook where the register keeps the book (GET, PUT).
const (
	Path            = "/v1/brackenbend/role"
	PathAssignments = "/v1/brackenbend/roles"
	// PathMemory is where the register keeps what planners learned (GET and PUT; 404 before the first), so that one that is
	// started again, or elsewhere, goes on from there. Nothing depends on it: the newest write stands.
	PathMemory = "/v1/brackenbend/roles/memory"
)

// Saved is a planner's memory as the register keeps it.
type Saved struct {
	At     time.Time    `json:"at"`
	Memory roles.Memory `json:"memory"`
}

// Stage is roles.Stage as engines tell it: totals in seconds of the whole engine, and of requests.
type Stage struct {
	Done    float64 `json:"done"`
	Waiting float64 `json:"waiting"`
	Lost    float64 `json:"lost"`
	Count   float64 `json:"count"` // prompts read, or answers ended
}

func (s Stage) plain() roles.Stage {
	return roles.Stage{Done: s.Done, Waiting: s.Waiting, Lost: s.Lost}
}

// Status is an engine's answer.
type Status struct {
	roles.StatusReport
	Held  int   `json:"held"` // requests and states that it holds
	Read  Stage `json:"read"`
	Write Stage `json:"write"`
}

// Listing is one engine as the register lists it, beside the book.
type Listing struct {
	Address string `json:"address"`
	Place   string `json:"place"`
	Up      bool   `json:"up"`
}

// View is what the register answers: the book, and where the engines are.
type View struct {
	Assignments roles.Assignments  `json:"book"`
	Listings    map[string]Listing `json:"listings"`
}

// Client speaks to a register's book.
type Client struct {
	URL  string
	HTTP *http.Client
}

var errNone = errors.New("the register keeps no such thing")

// maxReply bounds what is read of any answer.
const maxReply = 16 << 20

func (c *Client) do(ctx context.Context, method, url string, body, into any) error {
	var b io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		b = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, b)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusConflict:
		return roles.ErrConflict
	case resp.StatusCode == http.StatusNotFound:
		return errNone
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s %s: answered %d: %.200s", method, url, resp.StatusCode, bytes.TrimSpace(text))
	}
	return json.Unmarshal(text, into)
}

// View reads the book.
func (c *Client) View(ctx context.Context) (v View, err error) {
	err = c.do(ctx, http.MethodGet, strings.TrimSuffix(c.URL, "/")+PathAssignments, nil, &v)
	return v, err
}

// Write writes a book made from the version that it names; roles.ErrStale if the register has moved on.
func (c *Client) Write(ctx context.Context, b roles.Assignments) (held roles.Assignments, err error) {
	err = c.do(ctx, http.MethodPut, strings.TrimSuffix(c.URL, "/")+PathAssignments, b, &held)
	return held, err
}

// LoadMemory gives what a planner last left; nothing, and no error, where none did.
func (c *Client) LoadMemory(ctx context.Context) (s Saved, ok bool, err error) {
	err = c.do(ctx, http.MethodGet, strings.TrimSuffix(c.URL, "/")+PathMemory, nil, &s)
	if errors.Is(err, errNone) {
		return Saved{}, false, nil
	}
	return s, err == nil, err
}

// SaveMemory leaves a memory for planners to come.
func (c *Client) SaveMemory(ctx context.Context, s Saved) error {
	var held struct{}
	return c.do(ctx, http.MethodPut, strings.TrimSuffix(c.URL, "/")+PathMemory, s, &held)
}

// Update reads the book, lets change make another of it and writes that, again from the start where another writer came
// first, a few times. It is what operators' commands use.
func (c *Client) Update(ctx context.Context, change func(roles.Assignments) (roles.Assignments, error)) (roles.Assignments, error) {
	for try := 0; ; try++ {
		v, err := c.View(ctx)
		if err != nil {
			return v.Assignments, err
		}
		b, err := change(v.Assignments)
		if err != nil {
			return v.Assignments, err
		}
		held, err := c.Write(ctx, b)
		if !errors.Is(err, roles.ErrConflict) || try == 5 {
			return held, err
		}
	}
}

// Policy is what decides: roles.Planner, or in comparisons another.
type Policy interface {
	Step(now time.Duration, engines []roles.Engine, fronts []roles.Replica) roles.Plan
}

// Runner is a planner at work.
type Runner struct {
	Register           Client
	Settings           roles.Config
	Replicas           []string      // admin addresses, host:port, of fronts that are asked what they refused; may be empty
	Interval           time.Duration // between looks; 0 = 1 s
	MaxConcurrentPolls int           // engines asked at once; 0 = 32
	SaveInterval       time.Duration // between two times that what was learned is left at the register; 0 = 30 s
	Log                *zap.Logger
	Policy             Policy           // decides in place of roles.Planner, for comparisons; nil = roles.Planner
	OnPlan             func(roles.Plan) // after each look; may be nil
	Metrics            *Metrics         // may be nil

	p      *roles.Planner
	start  time.Time
	places map[string]int
	words  map[string]Status
	lost   LostWork
	kept   time.Time // when memory was last left
	asked  bool      // for what a planner before this one left
}

// epoch is the runner's time at its start, so that what happened before it has a time as well.
const epoch = 24 * time.Hour

// now is a planner's time. Times in the book are of the wall clock, so that they outlive planners.
func (r *Runner) now() time.Duration { return epoch + time.Since(r.start) }

// Run looks at the fleet until ctx ends. A register or engines that do not answer are no reason to end, nor to change
// anything.
func (r *Runner) Run(ctx context.Context) error {
	var err error
	if r.p, err = roles.New(r.Settings); err != nil {
		return err
	}
	if r.Interval == 0 {
		r.Interval = time.Second
	}
	if r.MaxConcurrentPolls == 0 {
		r.MaxConcurrentPolls = 32
	}
	if r.SaveInterval == 0 {
		r.SaveInterval = 30 * time.Second
	}
	if r.Metrics == nil {
		r.Metrics = NewMetrics()
	}
	r.start, r.places, r.lost = time.Now(), map[string]int{}, NewLostWork()
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for {
		result := "done"
		if err := r.look(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn("no plan", zap.Error(err))
			result = "failed"
		}
		r.Metrics.looks.WithLabelValues(result).Inc()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// look is one round: read, ask, hear, plan, write, tell.
func (r *Runner) look(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, 5*r.Interval)
	defer stop()
	v, err := r.Register.View(ctx)
	if err != nil {
		return err
	}
	if !r.asked && r.Policy == nil {
		r.recall(ctx)
	}
	at := r.ask(ctx, v)
	book, settled := v.Assignments, false
	for _, id := range book.Names() {
		if st, ok := r.words[id]; ok {
			var changed bool
			book, changed = book.ApplyStatus(id, st.StatusReport, wall())
			settled = settled || changed
		}
	}
	policy := r.Policy
	if policy == nil {
		policy = r.p
	}
	plan := policy.Step(r.now(), r.engines(v, at), r.askFronts(ctx))
	if r.OnPlan != nil {
		r.OnPlan(plan)
	}
	r.Metrics.plan(plan, book)
	book, done, refused := book.ApplyPlan(plan)
	for _, id := range done.Reverts {
		r.Metrics.calledOff.Inc()
		r.Log.Info("called off", zap.String("engine", id))
	}
	for _, c := range done.Changes {
		r.Metrics.changes.WithLabelValues(c.Target.String()).Inc()
		r.Log.Info("change", zap.String("engine", c.ID), zap.Stringer("to", c.Target), zap.String("why", c.Reason))
	}
	for id, err := range refused {
		r.Log.Warn("change refused", zap.String("engine", id), zap.Error(err))
	}
	if settled || len(done.Reverts)+len(done.Changes) > 0 {
		if book, err = r.Register.Write(ctx, book); err != nil {
			return err // nothing is told that is not written
		}
	}
	r.tell(ctx, v, book)
	r.leave(ctx)
	return nil
}

// recall takes what a planner before this one left. Without it the planner learns anew, which is safe and slower.
func (r *Runner) recall(ctx context.Context) {
	r.asked, r.kept = true, time.Now()
	s, ok, err := r.Register.LoadMemory(ctx)
	if err == nil && ok {
		err = r.p.Recall(s.Memory, time.Since(s.At), r.now())
	}
	switch {
	case err != nil:
		r.Log.Warn("what was learned before is not taken over", zap.Error(err))
	case ok:
		r.Log.Info("goes on from what was learned before", zap.Time("left", s.At))
	}
}

func (r *Runner) leave(ctx context.Context) {
	if r.Policy != nil || time.Since(r.kept) < r.SaveInterval {
		return
	}
	r.kept = time.Now()
	m, ok := r.p.Memory()
	if !ok {
		return
	}
	if err := r.Register.SaveMemory(ctx, Saved{time.Now(), m}); err != nil {
		r.Log.Info("what was learned could not be left at the register", zap.Error(err))
	}
}

// wall is the wall clock as the book keeps it.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// engines makes the planner's view.
func (r *Runner) engines(v View, at time.Duration) []roles.Engine {
	return Engines(v, r.words, r.places, at, r.now(), wall())
}

// Engines makes a planner's view of what the book says and what the engines said at a time. now is the planner's clock,
// wall the book's; places keeps numbers for places.
func Engines(v View, words map[string]Status, places map[string]int, at, now, wall time.Duration) []roles.Engine {
	var out []roles.Engine
	for _, id := range v.Assignments.Names() {
		b, l := v.Assignments.Entries[id], v.Listings[id]
		if _, ok := places[l.Place]; !ok {
			places[l.Place] = len(places)
		}
		e := roles.Engine{
			ID: id, Role: b.Role, Target: b.Target, Ready: l.Up && b.Serving, CanPrefill: b.CanPrefill, CanDecode: b.CanDecode, Pinned: b.Pinned,
			Cell: places[l.Place],
		}
		if !b.Serving && b.Target == b.Role { // on its way back
			e.Ready = false
		}
		if b.ChangedAt > 0 {
			e.ChangedAt = max(now-max(wall-b.ChangedAt, 0), 1)
		}
		if st, ok := words[id]; ok && l.Up {
			e.Outstanding = st.Held
			e.Report = &roles.Report{At: at, Read: st.Read.plain(), Write: st.Write.plain()}
		}
		out = append(out, e)
	}
	return out
}

// ask asks every engine that is up how it stands; it gives the time of the answers.
func (r *Runner) ask(ctx context.Context, v View) time.Duration {
	ctx, stop := context.WithTimeout(ctx, 2*r.Interval)
	defer stop()
	var mu sync.Mutex
	words := map[string]Status{}
	r.each(v, func(id, url string) {
		var st Status
		if err := r.Register.do(ctx, http.MethodGet, url, nil, &st); err != nil {
			r.Log.Debug("an engine does not answer", zap.String("engine", id), zap.Error(err))
			return
		}
		mu.Lock()
		words[id] = st
		mu.Unlock()
	})
	r.words = words
	return r.now()
}

// each calls f for the engines that are up, a few at once.
func (r *Runner) each(v View, f func(id, url string)) {
	room := make(chan struct{}, r.MaxConcurrentPolls)
	var wg sync.WaitGroup
	for _, id := range v.Assignments.Names() {
		l := v.Listings[id]
		if !l.Up {
			continue
		}
		room <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-room; wg.Done() }()
			f(id, "http://"+l.Address+Path)
		}()
	}
	wg.Wait()
}

// tell repeats every order that is not settled.
func (r *Runner) tell(ctx context.Context, v View, b roles.Assignments) {
	tells := map[string]roles.Command{}
	for _, t := range b.PendingCommands() {
		tells[t.ID] = t
	}
	if len(tells) == 0 {
		return
	}
	r.each(v, func(id, url string) {
		if t, ok := tells[id]; ok {
			var st Status
			if err := r.Register.do(ctx, http.MethodPost, url, t, &st); err != nil {
				r.Log.Info("an order was not heard, it is told again", zap.String("engine", id), zap.Error(err))
			}
		}
	})
}
