package routing

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings are two readers' and writers' kinds, a safe, an unsafe and a keyed class.
func testSettings() Config {
	return Config{
		Replicas: 1, MaxAttempts: 4, CanCancel: true, StateTTL: 500 * ms, MaxRetryAfter: time.Second,
		Kinds: []Kind{{RolePrefill, 200000}, {RoleDecode, 150000}, {RoleMixed, 200000}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
			{Name: "unsafe", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2, Idempotency: NotIdempotent},
			{
				Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupCell,
				DedupWindow: 2 * time.Second,
			},
		},
		SlowStartFrom: 0.25, SlowStartFor: 10 * time.Second, OverloadFactor: 4, OverloadAfter: 1500 * ms,
	}
}

// rig drives one Router by hand.
type rig struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	tmpl Request
}

func newRig(t *testing.T, s Config, servers ...Endpoint) *rig {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, now: time.Minute}
	g.step(EndpointList{Scope: ListCached, Endpoints: servers})
	return g
}

func (g *rig) step(evs ...Event) []Action { return g.r.Step(g.now, evs) }

func (g *rig) after(d time.Duration, evs ...Event) []Action {
	g.now += d
	return g.step(evs...)
}

func (g *rig) request(id RequestID, class int, prompt float64) Request {
	return Request{
		ID: id, Class: class, Session: uint64(id), Prefix: 9, PromptTokens: prompt, PrefixTokens: prompt / 2,
		MaxOutputTokens: 200, Deadline: g.now + 5*time.Second,
	}
}

func reader(id EndpointID) Endpoint { return Endpoint{ID: id, Kind: 0, State: EndpointReady} }
func writer(id EndpointID) Endpoint { return Endpoint{ID: id, Kind: 1, State: EndpointReady} }

func pick[T Action](acts []Action) []T {
	var out []T
	for _, a := range acts {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func one[T Action](t *testing.T, acts []Action) T {
	t.Helper()
	got := pick[T](acts)
	if len(got) != 1 {
		t.Fatalf("want one %T, have %d in %+v", *new(T), len(got), acts)
	}
	return got[0]
}

func TestReadThenWrite(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	s := one[Send](t, g.step(g.request(1, 0, 1000)))
	if s.Endpoint != 1 {
		t.Fatalf("read at %d, want the reader", s.Endpoint)
	}
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 100 * ms}))
	if w.Endpoint == 1 {
		t.Fatal("answered at the reader")
	}
	g.after(50*ms, FirstToken{Request: 1, Attempt: 1, Endpoint: w.Endpoint, Elapsed: 50 * ms})
	acts := g.after(time.Second, Outcome{Request: 1, Attempt: 1, Endpoint: w.Endpoint, Result: Served, RequestDone: true})
	if len(pick[Reject](acts))+len(pick[Fail](acts))+len(pick[Send](acts)) != 0 {
		t.Fatalf("acted after the end: %+v", acts)
	}
	if len(g.r.requests) != 0 {
		t.Fatal("request not forgotten")
	}
}

func TestUnsafeThatMayHaveRunFails(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	g.step(g.request(1, 1, 1000))
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 100 * ms}))
	if w.Timeout != 0 {
		t.Fatalf("time-out %v on an attempt that nothing may replace", w.Timeout)
	}
	acts := g.after(100*ms, Outcome{Request: 1, Attempt: 1, Endpoint: w.Endpoint, Result: EngineError})
	one[Fail](t, acts)
	one[ReleaseState](t, acts)
}

func TestNewNamesTheBadField(t *testing.T) {
	tests := []struct {
		field string
		spoil func(*Config)
	}{
		{"Classes", func(s *Config) { s.Classes = nil }},
		{"Kinds", func(s *Config) { s.Kinds = nil }},
		{"Kinds[0].Role", func(s *Config) { s.Kinds[0].Role = 9 }},
		{"Kinds[1].Memory", func(s *Config) { s.Kinds[1].Memory = -1 }},
		{"Classes[0]", func(s *Config) { s.Classes[0].LatencyObjective = -1 }},
		{"Classes[1].Effect", func(s *Config) { s.Classes[1].Idempotency = 7 }},
		{"Classes[2].Group", func(s *Config) { s.Classes[2].DedupScope = 7 }},
		{"TipAfter", func(s *Config) { s.OverloadAfter = -1 }},
		{"Fronts", func(s *Config) { s.Replicas = -1 }},
	}
	for _, tc := range tests {
		s := testSettings()
		tc.spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tc.field) {
			t.Errorf("%s: error %v", tc.field, err)
		}
	}
}

// fill sends reads until the reader has no room, and returns how many went.
func (g *rig) fill(class int, prompt float64) int {
	n := 0
	for id := RequestID(1000); id < 1040; id++ {
		sent := len(pick[Send](g.step(g.request(id, class, prompt))))
		if n += sent; sent == 0 {
			break
		}
	}
	return n
}

func TestShortestHeldPromptLeavesFirst(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	if n := g.fill(0, 500); n == 0 || n > maxPrefills {
		t.Fatalf("%d reads out, want some and no more than %d", n, maxPrefills)
	}
	g.step(g.request(1, 0, 400), g.request(2, 0, 90), g.request(3, 0, 300))
	acts := g.after(50*ms, Outcome{Request: 1000, Endpoint: 1, Result: PrefillDone, Elapsed: 50 * ms})
	sends := pick[Send](acts)
	if len(sends) < 2 || sends[0].Request != 1000 || sends[1].Request != 2 {
		t.Fatalf("sends %+v, want the state to the writer, then the shortest prompt", sends)
	}
}

// TestPromotionIsBounded: after a stall all have starved; at most every dispatchesPerPromotion-th release may be a promotion.
func TestPromotionIsBounded(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective = 20 * time.Second
	g := newRig(t, set, reader(1), writer(2))
	g.fill(0, 500)
	long := g.request(1, 0, 9000)
	long.Deadline = g.now + 20*time.Second
	g.step(long)
	var got []RequestID
	for i := range 8 {
		evs := []Event{}
		short := g.request(RequestID(100+i), 0, 300)
		short.Deadline = g.now + 20*time.Second
		evs = append(evs, short)
		id := RequestID(1000 + i)
		evs = append(evs, Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 50 * ms})
		for _, s := range pick[Send](g.after(600*ms, evs...)) {
			if s.Endpoint == 1 {
				got = append(got, s.Request)
			}
		}
	}
	at := slices.Index(got, 1)
	if at < 0 {
		t.Fatalf("the starved long prompt never left: %v", got)
	}
	if at+1 < dispatchesPerPromotion {
		t.Fatalf("promoted at release %d: %v", at+1, got)
	}
}

func TestPrefixStaysOnFewReaders(t *testing.T) {
	servers := []Endpoint{writer(50), writer(51)}
	for id := EndpointID(1); id <= 6; id++ {
		servers = append(servers, reader(id))
	}
	g := newRig(t, testSettings(), servers...)
	g.r.affinity.seenTotal = 1e4 // it is a small part of what was seen
	used := map[EndpointID]bool{}
	for id := RequestID(1); id <= 60; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			used[s.Endpoint] = true
		}
	}
	if len(used) != maxWarmCandidates {
		t.Fatalf("one prefix was read at %d readers, want %d", len(used), maxWarmCandidates)
	}
}

func TestColdHomeDoesNotBlockThePrefix(t *testing.T) {
	servers := []Endpoint{writer(50)}
	for id := EndpointID(1); id <= 6; id++ {
		servers = append(servers, reader(id))
	}
	g := newRig(t, testSettings(), servers...)
	g.r.affinity.seenTotal = 1e4 // the prefix is a small part of what was seen, so it has one home
	used := map[EndpointID]bool{}
	for id := RequestID(1); id <= 20; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			used[s.Endpoint] = true
		}
	}
	var cold []Event
	for id := range used {
		cold = append(cold, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: id, State: EndpointReady, StartedAt: g.now}}})
	}
	g.after(time.Second, cold...)
	warm := 0
	for id := RequestID(100); id <= 120; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			warm += int(boolToFloat(!used[s.Endpoint]))
		}
	}
	if warm == 0 {
		t.Fatal("nothing went past the cold homes")
	}
}

// TestFastFailingWriterIsPutAside: fewest streams would send everything to the writer that fails at once.
func TestFastFailingWriterIsPutAside(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3), writer(4))
	toBad := 0
	for id := RequestID(1); id <= 40; id++ {
		acts := g.after(20*ms, g.request(id, 0, 500))
		acts = g.after(20*ms, Outcome{Request: id, Endpoint: one[Send](t, acts).Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
		for n := 1; ; n++ {
			s := one[Send](t, acts)
			if s.Endpoint != 2 {
				g.after(ms, FirstToken{Request: id, Attempt: n, Endpoint: s.Endpoint, Elapsed: ms})
				break
			}
			toBad++
			acts = g.after(ms, Outcome{Request: id, Attempt: n, Endpoint: 2, Result: EngineError, Elapsed: ms})
		}
	}
	if toBad > 6 {
		t.Fatalf("%d attempts at the failing writer", toBad)
	}
}

// TestSilentWriterIsPutAside: unsafe attempts have no time-out, so only silence tells.
func TestSilentWriterIsPutAside(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3), writer(4))
	late, silent := 0, EndpointID(0)
	for id := RequestID(1); id <= 120; id++ {
		acts := g.after(30*ms, g.request(id, 1, 500))
		acts = g.after(20*ms, Outcome{Request: id, Endpoint: one[Send](t, acts).Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
		s := one[Send](t, acts)
		silent = cmp.Or(silent, s.Endpoint)
		if s.Endpoint == silent {
			late += int(boolToFloat(id > 90))
			continue
		}
		g.after(ms, FirstToken{Request: id, Attempt: 1, Endpoint: s.Endpoint, Elapsed: ms})
		g.step(Outcome{Request: id, Attempt: 1, Endpoint: s.Endpoint, Result: Served, RequestDone: true, Elapsed: ms})
	}
	if late > 0 || !g.r.backends.byID[silent].health.ejected {
		t.Fatalf("%d late sends to the silent writer, put aside: %v", late, g.r.backends.byID[silent].health.ejected)
	}
}

// TestSwallowedAttemptsAreReplacedInTime: a server that is well swallows one request. What may be repeated is given up
// while another can still be in time; what may not, or is beyond its aim anyway, has its full patience.
func TestSwallowedAttemptsAreReplacedInTime(t *testing.T) {
	set := testSettings()
	set.StateTTL = 2 * time.Second // the state outlasts the time-out
	g := newRig(t, set, reader(1), reader(2), writer(3), writer(4))
	g.r.latency.firstToken, g.r.latency.prefillPace = 0.1, 5e-5
	read := one[Send](t, g.step(g.request(1, 0, 1000)))
	if aim := time.Second; read.Timeout < 300*ms || read.Timeout > aim-2*100*ms {
		t.Errorf("a read may take %v, the aim is %v", read.Timeout, aim)
	}
	write := one[Send](t, g.after(50*ms, Outcome{Request: 1, Endpoint: read.Endpoint, Result: PrefillDone, Elapsed: 50 * ms}))
	if left := 950 * ms; write.Timeout < 400*ms || write.Timeout > left-2*100*ms {
		t.Errorf("a first token may take %v, %v are left", write.Timeout, left)
	}
	acts := g.after(write.Timeout, Outcome{Request: 1, Attempt: 1, Endpoint: write.Endpoint, Result: TimedOut, Elapsed: write.Timeout})
	again := one[Send](t, acts)
	if again.Endpoint == write.Endpoint || again.Timeout < minFirstTokenTimeout {
		t.Errorf("then %+v, the first was at %d: another writer, which can't be replaced in time", again, write.Endpoint)
	}

	g = newRig(t, testSettings(), reader(1), reader(2), writer(3), writer(4))
	read = one[Send](t, g.step(g.request(1, 1, 1000)))
	write = one[Send](t, g.after(50*ms, Outcome{Request: 1, Endpoint: read.Endpoint, Result: PrefillDone, Elapsed: 50 * ms}))
	if write.Timeout != 0 {
		t.Errorf("an unsafe write may take %v, nothing may replace it", write.Timeout)
	}
	g = newRig(t, testSettings(), reader(1), writer(3))
	g.r.latency.firstToken, g.r.latency.prefillPace = 0.1, 3e-4 // usual: 0.36 s
	if read = one[Send](t, g.step(g.request(1, 0, 1000))); read.Timeout < 2500*ms {
		t.Errorf("a read that usually takes a good part of the aim may take %v only", read.Timeout)
	}
}

// TestAClassSwallowedIsAskedLast: a writer answers one class and swallows another, whose attempts have no time-out. Once
// one has been silent for long, that class goes to the other writer though it has more streams; the rest stays.
func TestAClassSwallowedIsAskedLast(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	at := func(id RequestID, class int) EndpointID {
		read := one[Send](t, g.after(10*ms, g.request(id, class, 500)))
		return one[Send](t, g.after(10*ms, Outcome{Request: id, Endpoint: read.Endpoint, Result: PrefillDone, Elapsed: 10 * ms})).Endpoint
	}
	bad := at(1, 1) // it says nothing from now on
	var others []RequestID
	for id := RequestID(2); id < 6; id++ { // streams at the other one
		if s := at(id, 0); s != bad {
			others = append(others, id)
		}
		g.step(FirstToken{Request: id, Attempt: 1, Endpoint: g.r.requests[id].attempts[1].backend.ID, Elapsed: 10 * ms})
	}
	for range 60 { // others are answered there all the while
		g.after(50 * ms)
		g.r.backends.byID[bad].silence.heardAt = g.now
	}
	if len(others) == 0 || g.r.backends.byID[bad].health.ejected || !g.r.backends.byID[bad].silence.toClass(1) || g.r.backends.byID[bad].silence.toClass(0) {
		t.Fatalf("%d streams elsewhere, %+v", len(others), g.r.backends.byID[bad])
	}
	for _, s := range g.r.backends.sorted { // the one that swallows is the emptiest
		if s.role == RoleDecode && s.ID != bad {
			s.load.attempts = 9
		}
	}
	if s := at(20, 1); s == bad {
		t.Error("the class went where it was swallowed")
	}
	if s := at(21, 0); s != bad {
		t.Error("another class left the writer too")
	}
	g.step(Outcome{Request: 1, Attempt: 1, Endpoint: bad, Result: TimedOut, Elapsed: 5 * time.Second})
	if g.after(evaluationInterval); g.r.backends.byID[bad].silence.toClass(1) {
		t.Error("still held against it when the attempt has ended")
	}
}

func TestAllSilentBlamesNone(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3), writer(4))
	for id := RequestID(1); id <= 30; id++ {
		acts := g.after(30*ms, g.request(id, 1, 500))
		g.after(20*ms, Outcome{Request: id, Endpoint: one[Send](t, acts).Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
	}
	for range 40 {
		g.after(100 * ms)
	}
	for _, id := range []EndpointID{2, 3, 4} {
		if g.r.backends.byID[id].health.ejected {
			t.Fatalf("server %d blamed for what all suffer", id)
		}
	}
}

func TestHealedServerComesBack(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), reader(2), writer(3))
	s := g.r.backends.byID[1]
	g.r.eject(s, "test")
	for id := RequestID(1); id <= 40; id++ {
		q := g.request(id, 0, 300)
		q.Prefix = uint64(id)
		for _, a := range pick[Send](g.after(100*ms, q)) {
			g.after(10*ms, Outcome{Request: a.Request, Endpoint: a.Endpoint, Result: PrefillDone, Elapsed: 10 * ms})
		}
	}
	if s.health.ejected {
		t.Fatal("still put aside after 40 good reads were on offer")
	}
}

func TestLastServersServeThoughPutAside(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.r.eject(g.r.backends.byID[1], "test")
	g.r.eject(g.r.backends.byID[2], "test")
	one[Send](t, g.step(g.request(1, 1, 500)))
	one[Send](t, g.after(ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: ms}))
}

func TestLateReadIsReleased(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.step(g.request(1, 0, 500))
	one[Cancel](t, g.after(ms, ClientDisconnected{Request: 1}))
	one[ReleaseState](t, g.after(ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, RequestDone: true, Elapsed: 2 * ms}))
}

func TestDrainedServerGetsNothingAndStateIsLetGo(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.step(g.request(1, 0, 500))
	gone := writer(2)
	gone.State = EndpointDraining
	acts := g.after(ms, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{gone}},
		Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: ms})
	if n := len(pick[Send](acts)); n != 0 {
		t.Fatalf("%d sends after the drain", n)
	}
	acts = g.after(400 * ms)
	one[ReleaseState](t, acts)
	one[Reject](t, acts)
}

func TestHopelessHeldRequestIsRefusedWithAWait(t *testing.T) {
	g := newRig(t, testSettings())
	g.step(g.request(1, 1, 500))
	if r := one[Reject](t, g.after(1100*ms)); r.RetryAfter <= 0 {
		t.Fatal("no wait advised")
	}
}

func TestOverShareWaitsBehind(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{QuotaPerS: 1}, {QuotaPerS: 100}}
	g := newRig(t, set, reader(1), writer(2))
	g.fill(0, 500)
	greedy, fair := g.request(1, 0, 100), g.request(2, 0, 400)
	fair.Tenant = 1
	g.step(greedy, fair)
	sends := pick[Send](g.after(50*ms, Outcome{Request: 1000, Endpoint: 1, Result: PrefillDone, Elapsed: 50 * ms}))
	if len(sends) < 2 || sends[1].Request != 2 {
		t.Fatalf("want the state, then the tenant inside its share: %+v", sends)
	}
}

func TestLostStateIsReadAgain(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), reader(4), writer(2))
	first := one[Send](t, g.step(g.request(1, 1, 500)))
	g.after(ms, Outcome{Request: 1, Endpoint: first.Endpoint, Result: PrefillDone, Elapsed: ms})
	acts := g.after(ms, Outcome{Request: 1, Attempt: 1, Endpoint: 2, Result: Rejected, StateMissing: true, Elapsed: ms})
	if s := one[Send](t, acts); s.Endpoint == 2 {
		t.Fatal("sent to the writer with no state")
	}
}

// TestAStateDoesNotWaitForConnectionsThatFail: one writer after another can't be reached. The state waits all the while,
// so connections get little time, and it is let go of in time with an answer; a writer that had the request ends the wait.
func TestAStateDoesNotWaitForConnectionsThatFail(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 20
	for _, turned := range []bool{false, true} {
		var servers []Endpoint
		for id := EndpointID(2); id < 30; id++ {
			servers = append(servers, writer(id))
		}
		g := newRig(t, s, append(servers, reader(1))...)
		g.step(g.request(1, 0, 500))
		acts, waited, n := g.after(ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: ms}), time.Duration(0), 0
		for len(pick[Send](acts)) > 0 {
			a, result := one[Send](t, acts), ConnectFailed
			if a.ConnectTimeout <= 0 || waited+a.ConnectTimeout > s.StateTTL {
				t.Fatalf("attempt %d after %v may take %v to connect", n, waited, a.ConnectTimeout)
			}
			if n++; turned && n == 3 {
				result = Rejected
			}
			waited += a.ConnectTimeout
			acts = g.after(a.ConnectTimeout, Outcome{Request: 1, Attempt: n, Endpoint: a.Endpoint, Elapsed: a.ConnectTimeout, Result: result})
			if result == Rejected {
				waited = 0
			}
		}
		one[Reject](t, acts)
		one[ReleaseState](t, acts)
		if want := 5 + 3*b2i(turned); n != want {
			t.Errorf("%d attempts, want %d", n, want)
		}
	}
}

func TestOddEventsAreHarmless(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	huge := g.request(9, 0, 3e7)
	huge.Session, huge.Prefix = 0, 0
	acts := g.step(ClientDisconnected{Request: 77}, Outcome{Request: 77}, FirstToken{Request: 77}, Timer{Tag: 99}, Reserved{Request: 77},
		Request{ID: 5, Class: 40}, huge, Outcome{Request: 9, Attempt: 8}, FirstToken{Request: 9, Attempt: -1},
		EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 60, Kind: 12, State: EndpointReady}}}, EndpointList{Scope: ListFull})
	if len(pick[Send](acts)) != 0 {
		t.Fatalf("sent with an empty list: %+v", acts)
	}
	one[Reject](t, g.after(5*time.Second))
}

func TestListIsAskedForWhereItMustBe(t *testing.T) {
	set := testSettings()
	set.PollEndpoints, set.PollInterval = true, 4*time.Second
	g := newRig(t, set)
	if acts := g.after(3 * time.Second); len(pick[FetchEndpoints](acts)) != 1 {
		t.Fatalf("no second ask in %+v", acts)
	}
	g.after(ms, EndpointList{Scope: ListFailed})
	one[FetchEndpoints](t, g.after(time.Second))
}

// TestColdWriterIsSpared: a cold writer is empty and would get everything; what it gets stays within its budget.
func TestColdWriterIsSpared(t *testing.T) {
	set := testSettings()
	set.OverloadFactor = 1
	g := newRig(t, set, reader(1), reader(4), writer(2), writer(3))
	var streams []Outcome
	run := func(from RequestID, n int) (cold int) {
		for id := from; id < from+RequestID(n); id++ {
			acts := g.after(60*ms, g.request(id, 0, 400))
			acts = g.after(20*ms, Outcome{Request: id, Endpoint: one[Send](t, acts).Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
			s := one[Send](t, acts)
			cold += int(boolToFloat(s.Endpoint == 3))
			g.after(ms, FirstToken{Request: id, Attempt: 1, Endpoint: s.Endpoint, Elapsed: ms})
			streams = append(streams, Outcome{Request: id, Attempt: 1, Endpoint: s.Endpoint, Result: Served, RequestDone: true})
			if g.now += 19 * ms; len(streams) > 6 {
				g.step(streams[0])
				streams = streams[1:]
			}
		}
		return cold
	}
	run(1, 60)
	g.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 3, Kind: 1, State: EndpointReady, StartedAt: g.now}}})
	early := run(1000, 15) // one window of 1.5 s
	g.now += 7 * time.Second
	late := run(2000, 15)
	if early < 1 || early > 4 {
		t.Fatalf("%d sends of 15 to the writer just started", early)
	}
	if late < early {
		t.Fatalf("%d sends when half warm, %d when just started", late, early)
	}
}

// A writer that turns one class away is asked last for that class, and as before for others.
func TestAClassTurnedAwayIsAskedLast(t *testing.T) {
	set := testSettings()
	set.Classes[1].Idempotency = Idempotent
	g := newRig(t, set, reader(1), writer(2), writer(3))
	id := RequestID(0)
	write := func(class int) Send { // the first writer asked; every writer but 2 serves, 2 turns class 0 away
		id++
		read := one[Send](t, g.after(300*ms, g.request(id, class, 1000)))
		acts := g.after(ms, Outcome{Request: id, Endpoint: read.Endpoint, Result: PrefillDone, Elapsed: ms})
		first := one[Send](t, acts)
		for s, n := first, 1; ; n++ {
			if s.Endpoint != 2 || class != 0 {
				g.after(ms, FirstToken{Request: id, Attempt: n, Endpoint: s.Endpoint, Elapsed: ms})
				g.after(ms, Outcome{Request: id, Attempt: n, Endpoint: s.Endpoint, Result: Served, Elapsed: ms})
				return first
			}
			s = one[Send](t, g.after(ms, Outcome{Request: id, Attempt: n, Endpoint: 2, Result: Rejected, Elapsed: ms}))
		}
	}
	asked := func(class, n int) (of2 int) {
		for range n {
			of2 += int(boolToFloat(write(class).Endpoint == 2))
		}
		return of2
	}
	asked(0, 12) // it learns
	if n := asked(0, 10); n > 0 {
		t.Errorf("the writer that turns the class away was asked first %d times of 10", n)
	}
	if n := asked(1, 20); n == 0 {
		t.Error("another class does not go there any more")
	}
}

// A state that went with a spoilt answer is read anew, unless too few attempts are left for reading and writing.
func TestStateGoneWithASpoiltAnswerIsReadAnew(t *testing.T) {
	set := testSettings()
	set.DecodeCanPrefill = true
	g := newRig(t, set, reader(1), writer(2), writer(3))
	done := func(n int) []Action {
		return g.after(ms, Outcome{Request: 1, Attempt: n, Endpoint: 1, Result: PrefillDone, Elapsed: ms})
	}
	spoilt := func(n int, s EndpointID) []Action {
		return g.after(ms, Outcome{Request: 1, Attempt: n, Endpoint: s, Result: EngineError, StateMissing: true, Elapsed: ms})
	}
	g.step(g.request(1, 0, 1000))
	first := one[Send](t, done(0))
	if s := one[Send](t, spoilt(1, first.Endpoint)); s.Endpoint != 1 {
		t.Fatalf("sent to %d, want the reader", s.Endpoint)
	}
	if s := one[Send](t, done(2)); s.Endpoint == 1 || s.Endpoint == first.Endpoint {
		t.Errorf("then sent to %d, want the other writer", s.Endpoint)
	}

	set.MaxAttempts = 3
	g = newRig(t, set, reader(1), writer(2), writer(3))
	g.step(g.request(1, 0, 1000))
	first = one[Send](t, done(0))
	if s := one[Send](t, spoilt(1, first.Endpoint)); s.Endpoint == 1 || s.Endpoint == first.Endpoint {
		t.Errorf("with one attempt left sent to %d, want the other writer, which reads by itself", s.Endpoint)
	}
}

// TestARepeatCarriesItsWindow: the further send of a keyed request of which an attempt may have run has to be written before the
// window after that attempt's send has passed; other sends are not bound.
func TestARepeatCarriesItsWindow(t *testing.T) {
	set := testSettings()
	set.StateTTL = time.Second // the state outlasts the first attempt
	for class, window := range []time.Duration{0, 0, 1500 * ms} {
		g := newRig(t, set, reader(1), writer(2), writer(3))
		if s := one[Send](t, g.step(g.request(1, class, 1000))); s.SendWindow != 0 {
			t.Errorf("class %d: a read within %v", class, s.SendWindow)
		}
		w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 100 * ms}))
		if w.SendWindow != 0 {
			t.Errorf("class %d: the first attempt within %v", class, w.SendWindow)
		}
		acts := g.after(500*ms, Outcome{Request: 1, Attempt: 1, Endpoint: w.Endpoint, Result: ConnectionReset})
		if class == 1 {
			one[Fail](t, acts)
		} else if again := one[Send](t, acts); again.SendWindow != window {
			t.Errorf("class %d: the repeat within %v, want %v", class, again.SendWindow, window)
		}
	}
}

// TestAStateIsReleasedBehindASilentWrite: a write has been sent and nothing is heard of it. The state is released in time and the
// attempt goes on. If it begins, all is well; if the writer turns it away, the state waited for it and goes to another one; if it ends
// with no word, the request is read anew.
func TestAStateIsReleasedBehindASilentWrite(t *testing.T) {
	set := testSettings()
	for name, c := range map[string]struct {
		ends   Event
		writer bool // the next attempt goes to a writer
		sent   bool // there is one
	}{
		"begins":      {FirstToken{Request: 1, Attempt: 1, Elapsed: 900 * ms}, false, false},
		"turned away": {Outcome{Request: 1, Attempt: 1, Result: Rejected}, true, true},
		"times out":   {Outcome{Request: 1, Attempt: 1, Result: TimedOut}, false, true},
		"breaks":      {Outcome{Request: 1, Attempt: 1, Result: ConnectionReset}, false, true},
	} {
		g := newRig(t, set, reader(1), writer(2), writer(3))
		q := g.request(1, 0, 500)
		q.Deadline += 10 * time.Second
		g.step(q)
		write := one[Send](t, g.after(ms, Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: ms}))
		if acts := g.after(set.StateTTL / 2); len(pick[ReleaseState](acts)) > 0 {
			t.Errorf("%s: released after half of the time: %v", name, acts)
		}
		acts := g.after(set.StateTTL/2 - 50*ms)
		one[ReleaseState](t, acts)
		if len(pick[Cancel](acts))+len(pick[Reject](acts)) > 0 {
			t.Errorf("%s: the attempt does not go on: %v", name, acts)
		}
		switch ev := c.ends.(type) {
		case FirstToken:
			ev.Endpoint = write.Endpoint
			c.ends = ev
		case Outcome:
			ev.Endpoint = write.Endpoint
			c.ends = ev
		}
		acts = g.after(100*ms, c.ends)
		sends, releases := pick[Send](acts), pick[ReleaseState](acts)
		switch {
		case len(sends) != int(boolToFloat(c.sent)):
			t.Errorf("%s: %v", name, acts)
		case c.sent && (sends[0].Endpoint != 1) != c.writer:
			t.Errorf("%s: sent to %d", name, sends[0].Endpoint)
		case len(releases) != int(boolToFloat(c.sent && !c.writer)):
			t.Errorf("%s: %d releases before the next attempt: %v", name, len(releases), acts)
		}
	}
}

// TestNothingBeginsOnceTheFrontEnds: a request may be read in the moment in which the front ends.
func TestNothingBeginsOnceTheFrontEnds(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	one[Send](t, g.step(g.request(1, 1, 1000)))
	one[Reject](t, g.step(Shutdown{}))
	for id := RequestID(2); id < 40; id++ {
		acts := g.step(g.request(id, 1, 1000))
		if r := one[Reject](t, acts); r.Request != id || len(pick[Send](acts)) > 0 {
			t.Errorf("%+v", acts)
		}
	}
}
