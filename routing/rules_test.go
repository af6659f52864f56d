package routing

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// world answers a Router with random but legal events and checks the five rules on its actions. It models no service:
// outcomes and their times are drawn blindly.
type world struct {
	t       *testing.T
	rnd     *rand.Rand
	set     Config
	r       *Router
	now     time.Duration
	next    RequestID
	all     map[RequestID]*life
	open    map[RequestID]*life // not settled yet
	servers map[EndpointID]Endpoint
	barred  map[EndpointID]time.Duration // told to stop, since
	future  []planned
	sent    map[EndpointID][]time.Duration
	log     []string
}

type planned struct {
	at time.Duration
	ev Event
}

// life is what the rules need to know of a request.
type life struct {
	req      Request
	class    Class
	ended    bool
	atts     []try
	held     bool // a read state waits at a reader
	heldFrom time.Duration
	started  bool
}

type try struct {
	server EndpointID
	out    bool
	write  bool
	ran    bool // may have run
	at     time.Duration
	// arrived: it is a write that has reached a writer which runs. Of all others the connection may be silent, and they do not stop
	// the clock of what is held.
	arrived bool
}

func newWorld(t *testing.T, set Config, seed int64, n int) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewSource(seed)), set: set, now: time.Hour, all: map[RequestID]*life{},
		open:    map[RequestID]*life{},
		servers: map[EndpointID]Endpoint{}, barred: map[EndpointID]time.Duration{}, sent: map[EndpointID][]time.Duration{},
	}
	r, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	w.r = r
	var list []Endpoint
	for i := range n {
		s := Endpoint{ID: EndpointID(100 + 7*i), Kind: i % len(set.Kinds), Zone: i % 2, Cell: i % 3, State: EndpointReady}
		w.servers[s.ID] = s
		list = append(list, s)
	}
	w.act(w.r.Step(w.now, []Event{EndpointList{Scope: ListCached, Endpoints: list}}))
	return w
}

// ids lists the servers in a fixed order, for the seeded draws.
func (w *world) ids() []EndpointID {
	var out []EndpointID
	for id := EndpointID(100); int(id) < 100+7*len(w.servers); id += 7 {
		out = append(out, id)
	}
	return out
}

func (w *world) run(steps int, arrivals float64) {
	for i := range steps + 3000 {
		w.now += time.Duration(1+w.rnd.Intn(9)) * ms
		var evs []Event
		if i < steps && w.rnd.Float64() < arrivals {
			evs = append(evs, w.arrival())
		}
		if i < steps && w.rnd.Intn(150) == 0 {
			evs = append(evs, w.listChange())
		}
		evs = append(evs, w.due()...)
		if len(evs) > 0 {
			w.note(evs)
			w.act(w.r.Step(w.now, evs))
		}
		w.check()
		if i >= steps && len(w.future) == 0 {
			break
		}
	}
	for id, l := range w.open {
		if !l.ended || l.held {
			w.fail("request %d left: ended %v held %v", id, l.ended, l.held)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("%v: "+format, append([]any{w.now}, args...)...)
}

func (w *world) arrival() Event {
	w.next++
	c := w.rnd.Intn(len(w.set.Classes))
	q := Request{
		ID: w.next, Class: c, Session: uint64(w.rnd.Intn(40)), Prefix: uint64(w.rnd.Intn(6)),
		PromptTokens: float64(100 + w.rnd.Intn(8000)), MaxOutputTokens: 300, Tenant: w.rnd.Intn(3),
		Deadline: w.now + time.Duration(300+w.rnd.Intn(4000))*ms,
	}
	if w.rnd.Intn(30) == 0 {
		q.PromptTokens *= 40
	}
	w.all[q.ID] = &life{req: q, class: w.set.Classes[c]}
	w.open[q.ID] = w.all[q.ID]
	if w.rnd.Intn(20) == 0 {
		w.plan(time.Duration(w.rnd.Intn(1000))*ms, ClientDisconnected{Request: q.ID})
	}
	return q
}

func (w *world) listChange() Event {
	ids := w.ids()
	s := w.servers[ids[w.rnd.Intn(len(ids))]]
	switch w.rnd.Intn(3) {
	case 0:
		s.State = EndpointDraining
	case 1:
		s.State = EndpointGone
	default:
		s.State, s.StartedAt = EndpointReady, w.now-time.Duration(w.rnd.Intn(3000))*ms
	}
	w.servers[s.ID] = s
	if s.State == EndpointReady {
		delete(w.barred, s.ID)
	} else {
		w.barred[s.ID] = w.now
	}
	return EndpointList{Scope: ListChanges, Endpoints: []Endpoint{s}}
}

func (w *world) plan(after time.Duration, ev Event) {
	w.future = append(w.future, planned{w.now + after, ev})
}

func (w *world) due() []Event {
	var evs []Event
	rest := w.future[:0]
	for _, p := range w.future {
		if p.at > w.now {
			rest = append(rest, p)
			continue
		}
		switch ev := p.ev.(type) {
		case ClientDisconnected:
			if l := w.all[ev.Request]; l.ended || l.started {
				continue
			}
		case FirstToken:
			l := w.all[ev.Request]
			if l.ended || l.started {
				continue
			}
		case Outcome:
			if l := w.all[ev.Request]; !l.atts[ev.Attempt].out {
				continue // a cancel or an earlier outcome came first
			}
		}
		evs = append(evs, p.ev)
	}
	w.future = rest
	return evs
}

// note books events as the rules see them.
func (w *world) note(evs []Event) {
	for i, ev := range evs {
		switch ev := ev.(type) {
		case ClientDisconnected:
			w.all[ev.Request].ended = true
		case FirstToken:
			l := w.all[ev.Request]
			l.started, l.held = true, false // the state was fetched
		case Outcome:
			l := w.all[ev.Request]
			a := &l.atts[ev.Attempt]
			a.out = false
			a.ran = a.write && (ev.Result == EngineError || ev.Result == TimedOut || ev.Result == ConnectionReset || ev.Result == Cancelled)
			switch {
			case ev.Result == PrefillDone:
				l.held, l.heldFrom = true, w.now
			case ev.Result == Served:
				l.ended, l.held = true, false
			case ev.StateMissing:
				l.held = false
			case a.arrived: // what waited for it waits on
				l.heldFrom = w.now
			}
			a.arrived = false
			if l.started {
				l.ended = true
			}
			ev.RequestDone = l.ended
			evs[i] = ev
		}
	}
}

// waitedFor tells that an attempt is out which has reached a writer that runs: only such a one stops the clock of what is held, and
// keeps it from a release.
func (l *life) waitedFor() bool {
	for _, a := range l.atts {
		if a.out && a.arrived {
			return true
		}
	}
	return false
}

func (w *world) act(acts []Action) {
	for _, a := range acts {
		w.log = append(w.log, fmt.Sprintf("%d %+v", w.now, a))
		switch a := a.(type) {
		case Send:
			w.send(a)
		case Reject:
			w.answer(a.Request, true)
		case Fail:
			w.answer(a.Request, false)
		case ReleaseState:
			if l := w.all[a.Request]; !l.waitedFor() {
				l.held = false
			}
		case Cancel:
			l := w.all[a.Request]
			l.atts[a.Attempt].arrived = false // an engine drops at once what waits for its state
			if l.atts[a.Attempt].out {
				w.plan(ms, Outcome{Request: a.Request, Attempt: a.Attempt, Endpoint: l.atts[a.Attempt].server, Result: Cancelled})
			}
		case SetTimer:
			w.plan(a.After, Timer{Tag: a.Tag})
		}
	}
}

func (w *world) send(a Send) {
	l := w.all[a.Request]
	s := w.servers[a.Endpoint]
	if l == nil || l.ended {
		w.fail("sent %d after its end", a.Request)
	}
	if from, ok := w.barred[a.Endpoint]; ok && w.now-from > w.set.DrainGrace {
		w.fail("sent %d to server %d, told to stop at %v", a.Request, a.Endpoint, from)
	}
	if len(l.atts) >= w.set.MaxAttempts {
		w.fail("request %d: attempt %d", a.Request, len(l.atts))
	}
	for _, t := range l.atts {
		if t.out {
			w.fail("request %d has two attempts out", a.Request)
		}
		if !t.ran {
			continue
		}
		same := w.servers[t.server].Cell == s.Cell
		if l.class.Idempotency == NotIdempotent || l.class.Idempotency == IdempotentWithKey && (!same || w.now-t.at > l.class.DedupWindow) {
			w.fail("request %d of class %s sent again to server %d", a.Request, l.class.Name, a.Endpoint)
		}
	}
	w.cold(s)
	write := w.set.Kinds[s.Kind].Role != RolePrefill
	l.atts = append(l.atts, try{server: a.Endpoint, out: true, write: write, at: w.now})
	w.outcome(a, l, write)
}

// cold checks that a server told to be cold gets one request a window where nothing is known of its peers' work, and
// no more than warm peers' sends allow otherwise; a crude upper bound that a flood would break.
func (w *world) cold(s Endpoint) {
	if s.StartedAt == 0 || w.now-s.StartedAt > w.set.SlowStartFor {
		return
	}
	recent := w.sent[s.ID][:0]
	for _, at := range w.sent[s.ID] {
		if w.now-at < w.set.OverloadAfter {
			recent = append(recent, at)
		}
	}
	w.sent[s.ID] = append(recent, w.now)
	if len(w.sent[s.ID]) > 25 {
		w.fail("cold server %d got %d sends in %v", s.ID, len(w.sent[s.ID]), w.set.OverloadAfter)
	}
}

func (w *world) outcome(a Send, l *life, write bool) {
	o, begins := Outcome{Request: a.Request, Attempt: len(l.atts) - 1, Endpoint: a.Endpoint}, false
	after := time.Duration(1+w.rnd.Intn(400)) * ms
	switch k := w.rnd.Intn(21); {
	case k < 13 && !write:
		o.Result = PrefillDone
	case k < 13:
		begins = true
		w.plan(after, FirstToken{Request: a.Request, Attempt: o.Attempt, Endpoint: a.Endpoint, Elapsed: after})
		o.Result = Served
		if w.rnd.Intn(4) == 0 {
			o.Result = ConnectionReset
		}
		after += time.Duration(w.rnd.Intn(2000)) * ms
	case k == 13:
		after = time.Hour // silent
	default:
		o.Result = []Result{EngineError, Rejected, ConnectFailed, ConnectionReset, NotSent, Rejected, RequestIncomplete}[k-14]
		o.StateMissing = o.Result == Rejected && write && k == 19
		if o.Result.NeverExecuted() && o.Result != Rejected && a.ConnectTimeout > 0 {
			after = min(after, a.ConnectTimeout)
		}
	}
	limit := l.req.Deadline - w.now
	if a.Timeout > 0 && a.Timeout < limit {
		limit = a.Timeout
	}
	if after > limit && !(o.Result == Served || o.Result == ConnectionReset && write) || after > time.Minute {
		after, o.Result, o.StateMissing = max(limit, 0), TimedOut, false
	} else if (o.Result == Served || o.Result == ConnectionReset) && after > limit {
		l.atts[o.Attempt].arrived = write
		w.plan(limit+ms, Outcome{Request: o.Request, Attempt: o.Attempt, Endpoint: o.Endpoint, Result: TimedOut, Elapsed: limit})
		w.future = dropFirst(w.future, o)
		return
	}
	l.atts[o.Attempt].arrived = write && (begins || arrives(o.Result))
	o.Elapsed = after
	w.plan(after, o)
}

// arrives tells of the end that is drawn for a write that it reached a writer which runs. A silent one, or one that breaks, never did.
func arrives(r Result) bool { return r == Served || r == EngineError || r == Rejected }

// dropFirst takes back the First of an attempt that will time out.
func dropFirst(ps []planned, o Outcome) []planned {
	for i, p := range ps {
		if f, ok := p.ev.(FirstToken); ok && f.Request == o.Request && f.Attempt == o.Attempt {
			return append(ps[:i], ps[i+1:]...)
		}
	}
	return ps
}

func (w *world) answer(id RequestID, refused bool) {
	l := w.all[id]
	if l.ended {
		w.fail("request %d answered twice", id)
	}
	l.ended = true
	for _, t := range l.atts {
		risky := t.write && (t.out || t.ran)
		if refused && risky && l.class.Idempotency != Idempotent {
			w.fail("request %d of class %s refused though it may have run", id, l.class.Name)
		}
	}
}

// check holds the clock against what is owed and what is held.
func (w *world) check() {
	for id, l := range w.open {
		if !l.ended && !l.started && w.now > l.req.Deadline+25*ms {
			w.fail("request %d not answered by its time", id)
		}
		out := false
		for _, t := range l.atts {
			out = out || t.out
		}
		if l.held && !l.waitedFor() && w.now-l.heldFrom > w.set.StateTTL {
			w.fail("request %d keeps its state, and no write has arrived", id)
		}
		if l.ended && !l.held && !out {
			delete(w.open, id)
		}
	}
}

func ruleSettings() Config {
	s := testSettings()
	s.Replicas, s.DrainGrace, s.StateTTL = 2, 0, 300*ms
	s.Tenants = []Tenant{{QuotaPerS: 10}, {QuotaPerS: 3}, {QuotaPerS: 0}}
	return s
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		for _, arrivals := range []float64{0.05, 0.4} {
			t.Run(fmt.Sprintf("seed %d at %.2f", seed, arrivals), func(t *testing.T) {
				set := ruleSettings()
				set.CanCancel = seed%2 == 0
				set.DecodeCanPrefill = seed%3 == 0
				newWorld(t, set, seed, 2+int(seed)%9).run(2500, arrivals)
			})
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	logs := make([][]string, 2)
	for i := range logs {
		w := newWorld(t, ruleSettings(), 42, 8)
		w.run(3000, 0.3)
		logs[i] = w.log
	}
	if len(logs[0]) < 1000 {
		t.Fatalf("only %d actions", len(logs[0]))
	}
	if !reflect.DeepEqual(logs[0], logs[1]) {
		t.Fatal("the same events led to other actions")
	}
}

func TestInstancesDoNotTouchEachOther(t *testing.T) {
	alone := newWorld(t, ruleSettings(), 5, 6)
	alone.run(1500, 0.3)
	a, b := newWorld(t, ruleSettings(), 5, 6), newWorld(t, ruleSettings(), 6, 6)
	b.run(700, 0.3)
	a.run(1500, 0.3)
	if !reflect.DeepEqual(alone.log, a.log) {
		t.Fatal("another instance changed the actions")
	}
}

// TestClientsOwnRepeats: a repeat that a client makes by itself may follow a lost answer. That of an unsafe request is
// failed at once and never sent; others go their way. A refusal of an unsafe request tells the client not to repeat.
func TestClientsOwnRepeats(t *testing.T) {
	s := testSettings()
	for class, c := range s.Classes {
		g := newRig(t, s, reader(1), writer(2))
		q := g.request(1, class, 500)
		q.PossibleDuplicate = true
		acts := g.step(q)
		fails, sends := pick[Fail](acts), pick[Send](acts)
		if c.Idempotency == NotIdempotent != (len(fails) == 1 && fails[0].PossibleDuplicate) || c.Idempotency == NotIdempotent == (len(sends) == 1) {
			t.Errorf("%s: %+v", c.Name, acts)
		}
		if c.Idempotency == NotIdempotent && len(g.r.requests) != 0 {
			t.Errorf("%s: it is remembered after its answer", c.Name)
		}
		g = newRig(t, s, reader(1)) // nothing writes
		acts = g.step(g.request(2, class, 500))
		for range 1000 {
			if r := pick[Reject](acts); len(r) == 1 {
				if r[0].NoAutoRetry != (c.Idempotency == NotIdempotent) {
					t.Errorf("%s: %+v", c.Name, r[0])
				}
				break
			}
			acts = g.after(20 * ms)
		}
		if len(g.r.requests) != 0 {
			t.Errorf("%s: never refused", c.Name)
		}
	}
}

// TestServerChangesKind: a reader becomes a writer while reads of its old role are out and its state waits for a writer.
// What is out ends as it would have, nothing new is read there, and its books come out even.
func TestServerChangesKind(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	for id := RequestID(1); id <= 3; id++ {
		if s := pick[Send](g.step(g.request(id, 0, 500))); len(s) != 1 || s[0].Endpoint != 1 {
			t.Fatalf("%v", s)
		}
	}
	acts := g.step(Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
	if s := pick[Send](acts); len(s) != 1 || s[0].Endpoint != 2 {
		t.Fatalf("%v", acts)
	}
	draining := reader(1)
	draining.State = EndpointDraining
	g.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{draining, reader(3)}})
	turned := writer(1)
	turned.StartedAt = g.now
	g.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{turned}})
	if s := pick[Send](g.step(g.request(4, 0, 500))); len(s) != 1 || s[0].Endpoint != 3 {
		t.Errorf("a prompt goes to %v", s)
	}
	for id := RequestID(2); id <= 3; id++ { // these were read before it changed
		acts := g.step(Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 30 * ms})
		if s := pick[Send](acts); len(s) != 1 || s[0].Endpoint == 3 {
			t.Errorf("the state read at the changed server goes to %v", acts)
		}
	}
	for id := RequestID(1); id <= 3; id++ {
		to := g.r.requests[id].attempts[1].backend.ID
		g.step(FirstToken{Request: id, Attempt: 1, Endpoint: to, Elapsed: 20 * ms})
		g.step(Outcome{Request: id, Attempt: 1, Endpoint: to, Result: Served, RequestDone: true, Elapsed: 50 * ms})
	}
	if s := g.r.backends.byID[1]; s.load.attempts != 0 || s.load.memory != 0 || s.load.uncached != 0 || s.silence.unanswered != 0 || s.role != RoleDecode {
		t.Errorf("%d out, %.0f tokens, %.0f unread, %d waiting at a server with nothing to do", s.load.attempts, s.load.memory, s.load.uncached, s.silence.unanswered)
	}
}
