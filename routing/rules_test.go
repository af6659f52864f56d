package routing

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// environment answers a Router with random but legal events and checks the five rules on its actions. It models no service:
// outcomes and their times are drawn blindly.
type environment struct {
	t             *testing.T
	rnd           *rand.Rand
	config        Config
	router        *Router
	now           time.Duration
	nextID        RequestID
	requests      map[RequestID]*requestRecord
	unsettled     map[RequestID]*requestRecord // not settled yet
	endpoints     map[EndpointID]Endpoint
	notReadySince map[EndpointID]time.Duration // told to stop, since
	planned       []plannedOutcome
	recentSends   map[EndpointID][]time.Duration
	log           []string
}

type plannedOutcome struct {
	at time.Duration
	ev Event
}

// requestRecord is what the rules need to know of a request.
type requestRecord struct {
	request   Request
	class     Class
	ended     bool
	attempts  []attemptRecord
	stateHeld bool // a read state waits at a reader
	heldSince time.Duration
	streaming bool
}

type attemptRecord struct {
	endpoint   EndpointID
	inFlight   bool
	decode     bool
	mayHaveRun bool // may have run
	sentAt     time.Duration
	// arrived: it is a write that has reached a writer which runs. Of all others the connection may be silent, and they do not stop
	// the clock of what is held.
	arrived bool
}

func newEnvironment(t *testing.T, set Config, seed int64, n int) *environment {
	w := &environment{
		t: t, rnd: rand.New(rand.NewSource(seed)), config: set, now: time.Hour, requests: map[RequestID]*requestRecord{},
		unsettled: map[RequestID]*requestRecord{},
		endpoints: map[EndpointID]Endpoint{}, notReadySince: map[EndpointID]time.Duration{}, recentSends: map[EndpointID][]time.Duration{},
	}
	r, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	w.router = r
	var list []Endpoint
	for i := range n {
		s := Endpoint{ID: EndpointID(100 + 7*i), Kind: i % len(set.Kinds), Zone: i % 2, Cell: i % 3, State: EndpointReady}
		w.endpoints[s.ID] = s
		list = append(list, s)
	}
	w.apply(w.router.Step(w.now, []Event{EndpointList{Scope: ListCached, Endpoints: list}}))
	return w
}

// ids lists the servers in a fixed order, for the seeded draws.
func (w *environment) ids() []EndpointID {
	var out []EndpointID
	for id := EndpointID(100); int(id) < 100+7*len(w.endpoints); id += 7 {
		out = append(out, id)
	}
	return out
}

func (w *environment) run(steps int, arrivals float64) {
	for i := range steps + 3000 {
		w.now += time.Duration(1+w.rnd.Intn(9)) * ms
		var evs []Event
		if i < steps && w.rnd.Float64() < arrivals {
			evs = append(evs, w.arrival())
		}
		if i < steps && w.rnd.Intn(150) == 0 {
			evs = append(evs, w.listChange())
		}
		evs = append(evs, w.dueEvents()...)
		if len(evs) > 0 {
			w.observe(evs)
			w.apply(w.router.Step(w.now, evs))
		}
		w.checkRules()
		if i >= steps && len(w.planned) == 0 {
			break
		}
	}
	for id, l := range w.unsettled {
		if !l.ended || l.stateHeld {
			w.fail("request %d left: ended %v held %v", id, l.ended, l.stateHeld)
		}
	}
}

func (w *environment) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("%v: "+format, append([]any{w.now}, args...)...)
}

func (w *environment) arrival() Event {
	w.nextID++
	c := w.rnd.Intn(len(w.config.Classes))
	q := Request{
		ID: w.nextID, Class: c, Session: uint64(w.rnd.Intn(40)), Prefix: uint64(w.rnd.Intn(6)),
		PromptTokens: float64(100 + w.rnd.Intn(8000)), MaxOutputTokens: 300, Tenant: w.rnd.Intn(3),
		Deadline: w.now + time.Duration(300+w.rnd.Intn(4000))*ms,
	}
	if w.rnd.Intn(30) == 0 {
		q.PromptTokens *= 40
	}
	w.requests[q.ID] = &requestRecord{request: q, class: w.config.Classes[c]}
	w.unsettled[q.ID] = w.requests[q.ID]
	if w.rnd.Intn(20) == 0 {
		w.plan(time.Duration(w.rnd.Intn(1000))*ms, ClientDisconnected{Request: q.ID})
	}
	return q
}

func (w *environment) listChange() Event {
	ids := w.ids()
	s := w.endpoints[ids[w.rnd.Intn(len(ids))]]
	switch w.rnd.Intn(3) {
	case 0:
		s.State = EndpointDraining
	case 1:
		s.State = EndpointGone
	default:
		s.State, s.StartedAt = EndpointReady, w.now-time.Duration(w.rnd.Intn(3000))*ms
	}
	w.endpoints[s.ID] = s
	if s.State == EndpointReady {
		delete(w.notReadySince, s.ID)
	} else {
		w.notReadySince[s.ID] = w.now
	}
	return EndpointList{Scope: ListChanges, Endpoints: []Endpoint{s}}
}

func (w *environment) plan(after time.Duration, ev Event) {
	w.planned = append(w.planned, plannedOutcome{w.now + after, ev})
}

func (w *environment) dueEvents() []Event {
	var evs []Event
	rest := w.planned[:0]
	for _, p := range w.planned {
		if p.at > w.now {
			rest = append(rest, p)
			continue
		}
		switch ev := p.ev.(type) {
		case ClientDisconnected:
			if l := w.requests[ev.Request]; l.ended || l.streaming {
				continue
			}
		case FirstToken:
			l := w.requests[ev.Request]
			if l.ended || l.streaming {
				continue
			}
		case Outcome:
			if l := w.requests[ev.Request]; !l.attempts[ev.Attempt].inFlight {
				continue // a cancel or an earlier outcome came first
			}
		}
		evs = append(evs, p.ev)
	}
	w.planned = rest
	return evs
}

// observe books events as the rules see them.
func (w *environment) observe(evs []Event) {
	for i, ev := range evs {
		switch ev := ev.(type) {
		case ClientDisconnected:
			w.requests[ev.Request].ended = true
		case FirstToken:
			l := w.requests[ev.Request]
			l.streaming, l.stateHeld = true, false // the state was fetched
		case Outcome:
			l := w.requests[ev.Request]
			a := &l.attempts[ev.Attempt]
			a.inFlight = false
			a.mayHaveRun = a.decode && (ev.Result == EngineError || ev.Result == TimedOut || ev.Result == ConnectionReset || ev.Result == Cancelled)
			switch {
			case ev.Result == PrefillDone:
				l.stateHeld, l.heldSince = true, w.now
			case ev.Result == Served:
				l.ended, l.stateHeld = true, false
			case ev.StateMissing:
				l.stateHeld = false
			case a.arrived: // what waited for it waits on
				l.heldSince = w.now
			}
			a.arrived = false
			if l.streaming {
				l.ended = true
			}
			ev.RequestDone = l.ended
			evs[i] = ev
		}
	}
}

// awaitedByDecode tells that an attempt is out which has reached a writer that runs: only such a one stops the clock of what is held, and
// keeps it from a release.
func (l *requestRecord) awaitedByDecode() bool {
	for _, a := range l.attempts {
		if a.inFlight && a.arrived {
			return true
		}
	}
	return false
}

func (w *environment) apply(acts []Action) {
	for _, a := range acts {
		w.log = append(w.log, fmt.Sprintf("%d %+v", w.now, a))
		switch a := a.(type) {
		case Send:
			w.send(a)
		case Reject:
			w.recordAnswer(a.Request, true)
		case Fail:
			w.recordAnswer(a.Request, false)
		case ReleaseState:
			if l := w.requests[a.Request]; !l.awaitedByDecode() {
				l.stateHeld = false
			}
		case Cancel:
			l := w.requests[a.Request]
			l.attempts[a.Attempt].arrived = false // an engine drops at once what waits for its state
			if l.attempts[a.Attempt].inFlight {
				w.plan(ms, Outcome{Request: a.Request, Attempt: a.Attempt, Endpoint: l.attempts[a.Attempt].endpoint, Result: Cancelled})
			}
		case SetTimer:
			w.plan(a.After, Timer{Tag: a.Tag})
		}
	}
}

func (w *environment) send(a Send) {
	l := w.requests[a.Request]
	s := w.endpoints[a.Endpoint]
	if l == nil || l.ended {
		w.fail("sent %d after its end", a.Request)
	}
	if from, ok := w.notReadySince[a.Endpoint]; ok && w.now-from > w.config.DrainGrace {
		w.fail("sent %d to server %d, told to stop at %v", a.Request, a.Endpoint, from)
	}
	if len(l.attempts) >= w.config.MaxAttempts {
		w.fail("request %d: attempt %d", a.Request, len(l.attempts))
	}
	for _, t := range l.attempts {
		if t.inFlight {
			w.fail("request %d has two attempts out", a.Request)
		}
		if !t.mayHaveRun {
			continue
		}
		same := w.endpoints[t.endpoint].Cell == s.Cell
		if l.class.Idempotency == NotIdempotent || l.class.Idempotency == IdempotentWithKey && (!same || w.now-t.sentAt > l.class.DedupWindow) {
			w.fail("request %d of class %s sent again to server %d", a.Request, l.class.Name, a.Endpoint)
		}
	}
	w.checkSlowStart(s)
	write := w.config.Kinds[s.Kind].Role != RolePrefill
	l.attempts = append(l.attempts, attemptRecord{endpoint: a.Endpoint, inFlight: true, decode: write, sentAt: w.now})
	w.outcome(a, l, write)
}

// checkSlowStart checks that a server told to be cold gets one request a window where nothing is known of its peers' work, and
// no more than warm peers' sends allow otherwise; a crude upper bound that a flood would break.
func (w *environment) checkSlowStart(s Endpoint) {
	if s.StartedAt == 0 || w.now-s.StartedAt > w.config.SlowStartFor {
		return
	}
	recent := w.recentSends[s.ID][:0]
	for _, at := range w.recentSends[s.ID] {
		if w.now-at < w.config.OverloadAfter {
			recent = append(recent, at)
		}
	}
	w.recentSends[s.ID] = append(recent, w.now)
	if len(w.recentSends[s.ID]) > 25 {
		w.fail("cold server %d got %d sends in %v", s.ID, len(w.recentSends[s.ID]), w.config.OverloadAfter)
	}
}

func (w *environment) outcome(a Send, l *requestRecord, write bool) {
	o, begins := Outcome{Request: a.Request, Attempt: len(l.attempts) - 1, Endpoint: a.Endpoint}, false
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
	limit := l.request.Deadline - w.now
	if a.Timeout > 0 && a.Timeout < limit {
		limit = a.Timeout
	}
	if after > limit && !(o.Result == Served || o.Result == ConnectionReset && write) || after > time.Minute {
		after, o.Result, o.StateMissing = max(limit, 0), TimedOut, false
	} else if (o.Result == Served || o.Result == ConnectionReset) && after > limit {
		l.attempts[o.Attempt].arrived = write
		w.plan(limit+ms, Outcome{Request: o.Request, Attempt: o.Attempt, Endpoint: o.Endpoint, Result: TimedOut, Elapsed: limit})
		w.planned = dropFirst(w.planned, o)
		return
	}
	l.attempts[o.Attempt].arrived = write && (begins || reachesEndpoint(o.Result))
	o.Elapsed = after
	w.plan(after, o)
}

// reachesEndpoint tells of the end that is drawn for a write that it reached a writer which runs. A silent one, or one that breaks, never did.
func reachesEndpoint(r Result) bool { return r == Served || r == EngineError || r == Rejected }

// dropFirst takes back the First of an attempt that will time out.
func dropFirst(ps []plannedOutcome, o Outcome) []plannedOutcome {
	for i, p := range ps {
		if f, ok := p.ev.(FirstToken); ok && f.Request == o.Request && f.Attempt == o.Attempt {
			return append(ps[:i], ps[i+1:]...)
		}
	}
	return ps
}

func (w *environment) recordAnswer(id RequestID, refused bool) {
	l := w.requests[id]
	if l.ended {
		w.fail("request %d answered twice", id)
	}
	l.ended = true
	for _, t := range l.attempts {
		risky := t.decode && (t.inFlight || t.mayHaveRun)
		if refused && risky && l.class.Idempotency != Idempotent {
			w.fail("request %d of class %s refused though it may have run", id, l.class.Name)
		}
	}
}

// checkRules holds the clock against what is owed and what is held.
func (w *environment) checkRules() {
	for id, l := range w.unsettled {
		if !l.ended && !l.streaming && w.now > l.request.Deadline+25*ms {
			w.fail("request %d not answered by its time", id)
		}
		out := false
		for _, t := range l.attempts {
			out = out || t.inFlight
		}
		if l.stateHeld && !l.awaitedByDecode() && w.now-l.heldSince > w.config.StateTTL {
			w.fail("request %d keeps its state, and no write has arrived", id)
		}
		if l.ended && !l.stateHeld && !out {
			delete(w.unsettled, id)
		}
	}
}

func ruleConfig() Config {
	s := testConfig()
	s.Replicas, s.DrainGrace, s.StateTTL = 2, 0, 300*ms
	s.Tenants = []Tenant{{QuotaPerS: 10}, {QuotaPerS: 3}, {QuotaPerS: 0}}
	return s
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		for _, arrivals := range []float64{0.05, 0.4} {
			t.Run(fmt.Sprintf("seed %d at %.2f", seed, arrivals), func(t *testing.T) {
				set := ruleConfig()
				set.CanCancel = seed%2 == 0
				set.DecodeCanPrefill = seed%3 == 0
				newEnvironment(t, set, seed, 2+int(seed)%9).run(2500, arrivals)
			})
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	logs := make([][]string, 2)
	for i := range logs {
		w := newEnvironment(t, ruleConfig(), 42, 8)
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
	alone := newEnvironment(t, ruleConfig(), 5, 6)
	alone.run(1500, 0.3)
	a, b := newEnvironment(t, ruleConfig(), 5, 6), newEnvironment(t, ruleConfig(), 6, 6)
	b.run(700, 0.3)
	a.run(1500, 0.3)
	if !reflect.DeepEqual(alone.log, a.log) {
		t.Fatal("another instance changed the actions")
	}
}

// TestClientsOwnRepeats: a repeat that a client makes by itself may follow a lost answer. That of an unsafe request is
// failed at once and never sent; others go their way. A refusal of an unsafe request tells the client not to repeat.
func TestClientsOwnRepeats(t *testing.T) {
	s := testConfig()
	for class, c := range s.Classes {
		h := newHarness(t, s, prefillEndpoint(1), decodeEndpoint(2))
		q := h.request(1, class, 500)
		q.PossibleDuplicate = true
		acts := h.step(q)
		fails, sends := actionsOf[Fail](acts), actionsOf[Send](acts)
		if c.Idempotency == NotIdempotent != (len(fails) == 1 && fails[0].PossibleDuplicate) || c.Idempotency == NotIdempotent == (len(sends) == 1) {
			t.Errorf("%s: %+v", c.Name, acts)
		}
		if c.Idempotency == NotIdempotent && len(h.router.requests) != 0 {
			t.Errorf("%s: it is remembered after its answer", c.Name)
		}
		h = newHarness(t, s, prefillEndpoint(1)) // nothing writes
		acts = h.step(h.request(2, class, 500))
		for range 1000 {
			if r := actionsOf[Reject](acts); len(r) == 1 {
				if r[0].NoAutoRetry != (c.Idempotency == NotIdempotent) {
					t.Errorf("%s: %+v", c.Name, r[0])
				}
				break
			}
			acts = h.advance(20 * ms)
		}
		if len(h.router.requests) != 0 {
			t.Errorf("%s: never refused", c.Name)
		}
	}
}

// TestServerChangesKind: a reader becomes a writer while reads of its old role are out and its state waits for a writer.
// What is out ends as it would have, nothing new is read there, and its books come out even.
func TestServerChangesKind(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	for id := RequestID(1); id <= 3; id++ {
		if s := actionsOf[Send](h.step(h.request(id, 0, 500))); len(s) != 1 || s[0].Endpoint != 1 {
			t.Fatalf("%v", s)
		}
	}
	acts := h.step(Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
	if s := actionsOf[Send](acts); len(s) != 1 || s[0].Endpoint != 2 {
		t.Fatalf("%v", acts)
	}
	draining := prefillEndpoint(1)
	draining.State = EndpointDraining
	h.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{draining, prefillEndpoint(3)}})
	turned := decodeEndpoint(1)
	turned.StartedAt = h.now
	h.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{turned}})
	if s := actionsOf[Send](h.step(h.request(4, 0, 500))); len(s) != 1 || s[0].Endpoint != 3 {
		t.Errorf("a prompt goes to %v", s)
	}
	for id := RequestID(2); id <= 3; id++ { // these were read before it changed
		acts := h.step(Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 30 * ms})
		if s := actionsOf[Send](acts); len(s) != 1 || s[0].Endpoint == 3 {
			t.Errorf("the state read at the changed server goes to %v", acts)
		}
	}
	for id := RequestID(1); id <= 3; id++ {
		to := h.router.requests[id].attempts[1].backend.ID
		h.step(FirstToken{Request: id, Attempt: 1, Endpoint: to, Elapsed: 20 * ms})
		h.step(Outcome{Request: id, Attempt: 1, Endpoint: to, Result: Served, RequestDone: true, Elapsed: 50 * ms})
	}
	if s := h.router.backends.byID[1]; s.load.attempts != 0 || s.load.memory != 0 || s.load.uncached != 0 || s.silence.unanswered != 0 || s.role != RoleDecode {
		t.Errorf("%d out, %.0f tokens, %.0f unread, %d waiting at a server with nothing to do", s.load.attempts, s.load.memory, s.load.uncached, s.silence.unanswered)
	}
}
