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
func testSettings() Settings {
	return Settings{Fronts: 1, MaxAttempts: 4, CanCancel: true, ReleaseWithin: 500 * ms, MaxWait: time.Second,
		Kinds: []Kind{{Reader, 200000}, {Writer, 150000}, {Mixed, 200000}},
		Classes: []Class{
			{Name: "safe", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1},
			{Name: "unsafe", Aim: time.Second, Deadline: 5 * time.Second, Worth: 2, Effect: Unsafe},
			{Name: "keyed", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Keyed, Group: GroupCell,
				Window: 2 * time.Second},
		},
		ColdFrom: 0.25, ColdFor: 10 * time.Second, OverloadFactor: 4, TipAfter: 1500 * ms}
}

// rig drives one Router by hand.
type rig struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	tmpl Request
}

func newRig(t *testing.T, s Settings, servers ...Server) *rig {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, now: time.Minute}
	g.step(ServerList{Scope: Cached, Servers: servers})
	return g
}

func (g *rig) step(evs ...Event) []Action { return g.r.Step(g.now, evs) }

func (g *rig) after(d time.Duration, evs ...Event) []Action {
	g.now += d
	return g.step(evs...)
}

func (g *rig) request(id RequestID, class int, prompt float64) Request {
	return Request{ID: id, Class: class, Session: uint64(id), Prefix: 9, PromptLen: prompt, PrefixLen: prompt / 2,
		MaxOut: 200, Due: g.now + 5*time.Second}
}

func reader(id ServerID) Server { return Server{ID: id, Kind: 0, State: Ready} }
func writer(id ServerID) Server { return Server{ID: id, Kind: 1, State: Ready} }

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
	if s.Server != 1 {
		t.Fatalf("read at %d, want the reader", s.Server)
	}
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: 100 * ms}))
	if w.Server == 1 {
		t.Fatal("answered at the reader")
	}
	g.after(50*ms, First{Request: 1, Attempt: 1, Server: w.Server, Elapsed: 50 * ms})
	acts := g.after(time.Second, Outcome{Request: 1, Attempt: 1, Server: w.Server, Result: Served, Over: true})
	if len(pick[Refuse](acts))+len(pick[Fail](acts))+len(pick[Send](acts)) != 0 {
		t.Fatalf("acted after the end: %+v", acts)
	}
	if len(g.r.reqs) != 0 {
		t.Fatal("request not forgotten")
	}
}

func TestUnsafeThatMayHaveRunFails(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	g.step(g.request(1, 1, 1000))
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: 100 * ms}))
	if w.Timeout != 0 {
		t.Fatalf("time-out %v on an attempt that nothing may replace", w.Timeout)
	}
	acts := g.after(100*ms, Outcome{Request: 1, Attempt: 1, Server: w.Server, Result: Errored})
	one[Fail](t, acts)
	one[Release](t, acts)
}

func TestNewNamesTheBadField(t *testing.T) {
	tests := []struct {
		field string
		spoil func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Kinds", func(s *Settings) { s.Kinds = nil }},
		{"Kinds[0].Role", func(s *Settings) { s.Kinds[0].Role = 9 }},
		{"Kinds[1].Memory", func(s *Settings) { s.Kinds[1].Memory = -1 }},
		{"Classes[0]", func(s *Settings) { s.Classes[0].Aim = -1 }},
		{"Classes[1].Effect", func(s *Settings) { s.Classes[1].Effect = 7 }},
		{"Classes[2].Group", func(s *Settings) { s.Classes[2].Group = 7 }},
		{"TipAfter", func(s *Settings) { s.TipAfter = -1 }},
		{"Fronts", func(s *Settings) { s.Fronts = -1 }},
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
	if n := g.fill(0, 500); n == 0 || n > readCap {
		t.Fatalf("%d reads out, want some and no more than %d", n, readCap)
	}
	g.step(g.request(1, 0, 400), g.request(2, 0, 90), g.request(3, 0, 300))
	acts := g.after(50*ms, Outcome{Request: 1000, Server: 1, Result: ReadDone, Elapsed: 50 * ms})
	sends := pick[Send](acts)
	if len(sends) < 2 || sends[0].Request != 1000 || sends[1].Request != 2 {
		t.Fatalf("sends %+v, want the state to the writer, then the shortest prompt", sends)
	}
}

// TestPromotionIsBounded: after a stall all have starved; at most every promoteEvery-th release may be a promotion.
func TestPromotionIsBounded(t *testing.T) {
	set := testSettings()
	set.Classes[0].Aim = 20 * time.Second
	g := newRig(t, set, reader(1), writer(2))
	g.fill(0, 500)
	long := g.request(1, 0, 9000)
	long.Due = g.now + 20*time.Second
	g.step(long)
	var got []RequestID
	for i := range 8 {
		evs := []Event{}
		short := g.request(RequestID(100+i), 0, 300)
		short.Due = g.now + 20*time.Second
		evs = append(evs, short)
		id := RequestID(1000 + i)
		evs = append(evs, Outcome{Request: id, Server: 1, Result: ReadDone, Elapsed: 50 * ms})
		for _, s := range pick[Send](g.after(600*ms, evs...)) {
			if s.Server == 1 {
				got = append(got, s.Request)
			}
		}
	}
	at := slices.Index(got, 1)
	if at < 0 {
		t.Fatalf("the starved long prompt never left: %v", got)
	}
	if at+1 < promoteEvery {
		t.Fatalf("promoted at release %d: %v", at+1, got)
	}
}

func TestPrefixStaysOnFewReaders(t *testing.T) {
	servers := []Server{writer(50), writer(51)}
	for id := ServerID(1); id <= 6; id++ {
		servers = append(servers, reader(id))
	}
	g := newRig(t, testSettings(), servers...)
	g.r.keysAll = 1e4 // it is a small part of what was seen
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 60; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			used[s.Server] = true
		}
	}
	if len(used) != spillMost {
		t.Fatalf("one prefix was read at %d readers, want %d", len(used), spillMost)
	}
}

func TestColdHomeDoesNotBlockThePrefix(t *testing.T) {
	servers := []Server{writer(50)}
	for id := ServerID(1); id <= 6; id++ {
		servers = append(servers, reader(id))
	}
	g := newRig(t, testSettings(), servers...)
	g.r.keysAll = 1e4 // the prefix is a small part of what was seen, so it has one home
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 20; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			used[s.Server] = true
		}
	}
	var cold []Event
	for id := range used {
		cold = append(cold, ServerList{Scope: Changes, Servers: []Server{{ID: id, State: Ready, ReadyAt: g.now}}})
	}
	g.after(time.Second, cold...)
	warm := 0
	for id := RequestID(100); id <= 120; id++ {
		for _, s := range pick[Send](g.after(ms, g.request(id, 0, 3000))) {
			warm += int(b2f(!used[s.Server]))
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
		acts = g.after(20*ms, Outcome{Request: id, Server: one[Send](t, acts).Server, Result: ReadDone, Elapsed: 20 * ms})
		for n := 1; ; n++ {
			s := one[Send](t, acts)
			if s.Server != 2 {
				g.after(ms, First{Request: id, Attempt: n, Server: s.Server, Elapsed: ms})
				break
			}
			toBad++
			acts = g.after(ms, Outcome{Request: id, Attempt: n, Server: 2, Result: Errored, Elapsed: ms})
		}
	}
	if toBad > 6 {
		t.Fatalf("%d attempts at the failing writer", toBad)
	}
}

// TestSilentWriterIsPutAside: unsafe attempts have no time-out, so only silence tells.
func TestSilentWriterIsPutAside(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3), writer(4))
	late, silent := 0, ServerID(0)
	for id := RequestID(1); id <= 120; id++ {
		acts := g.after(30*ms, g.request(id, 1, 500))
		acts = g.after(20*ms, Outcome{Request: id, Server: one[Send](t, acts).Server, Result: ReadDone, Elapsed: 20 * ms})
		s := one[Send](t, acts)
		silent = cmp.Or(silent, s.Server)
		if s.Server == silent {
			late += int(b2f(id > 90))
			continue
		}
		g.after(ms, First{Request: id, Attempt: 1, Server: s.Server, Elapsed: ms})
		g.step(Outcome{Request: id, Attempt: 1, Server: s.Server, Result: Served, Over: true, Elapsed: ms})
	}
	if late > 0 || !g.r.byID[silent].bad {
		t.Fatalf("%d late sends to the silent writer, put aside: %v", late, g.r.byID[silent].bad)
	}
}

// TestSwallowedAttemptsAreReplacedInTime: a server that is well swallows one request. What may be repeated is given up
// while another can still be in time; what may not, or is beyond its aim anyway, has its full patience.
func TestSwallowedAttemptsAreReplacedInTime(t *testing.T) {
	set := testSettings()
	set.ReleaseWithin = 2 * time.Second // the state outlasts the time-out
	g := newRig(t, set, reader(1), reader(2), writer(3), writer(4))
	g.r.firstTime, g.r.readPace = 0.1, 5e-5
	read := one[Send](t, g.step(g.request(1, 0, 1000)))
	if aim := time.Second; read.Timeout < 300*ms || read.Timeout > aim-2*100*ms {
		t.Errorf("a read may take %v, the aim is %v", read.Timeout, aim)
	}
	write := one[Send](t, g.after(50*ms, Outcome{Request: 1, Server: read.Server, Result: ReadDone, Elapsed: 50 * ms}))
	if left := 950 * ms; write.Timeout < 400*ms || write.Timeout > left-2*100*ms {
		t.Errorf("a first token may take %v, %v are left", write.Timeout, left)
	}
	acts := g.after(write.Timeout, Outcome{Request: 1, Attempt: 1, Server: write.Server, Result: TimedOut, Elapsed: write.Timeout})
	again := one[Send](t, acts)
	if again.Server == write.Server || again.Timeout < firstLeast {
		t.Errorf("then %+v, the first was at %d: another writer, which can't be replaced in time", again, write.Server)
	}

	g = newRig(t, testSettings(), reader(1), reader(2), writer(3), writer(4))
	read = one[Send](t, g.step(g.request(1, 1, 1000)))
	write = one[Send](t, g.after(50*ms, Outcome{Request: 1, Server: read.Server, Result: ReadDone, Elapsed: 50 * ms}))
	if write.Timeout != 0 {
		t.Errorf("an unsafe write may take %v, nothing may replace it", write.Timeout)
	}
	g = newRig(t, testSettings(), reader(1), writer(3))
	g.r.firstTime, g.r.readPace = 0.1, 3e-4 // usual: 0.36 s
	if read = one[Send](t, g.step(g.request(1, 0, 1000))); read.Timeout < 2500*ms {
		t.Errorf("a read that usually takes a good part of the aim may take %v only", read.Timeout)
	}
}

// TestAClassSwallowedIsAskedLast: a writer answers one class and swallows another, whose attempts have no time-out. Once
// one has been silent for long, that class goes to the other writer though it has more streams; the rest stays.
func TestAClassSwallowedIsAskedLast(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	at := func(id RequestID, class int) ServerID {
		read := one[Send](t, g.after(10*ms, g.request(id, class, 500)))
		return one[Send](t, g.after(10*ms, Outcome{Request: id, Server: read.Server, Result: ReadDone, Elapsed: 10 * ms})).Server
	}
	bad := at(1, 1) // it says nothing from now on
	var others []RequestID
	for id := RequestID(2); id < 6; id++ { // streams at the other one
		if s := at(id, 0); s != bad {
			others = append(others, id)
		}
		g.step(First{Request: id, Attempt: 1, Server: g.r.reqs[id].att[1].s.ID, Elapsed: 10 * ms})
	}
	for range 60 { // others are answered there all the while
		g.after(50 * ms)
		g.r.byID[bad].heard = g.now
	}
	if len(others) == 0 || g.r.byID[bad].bad || !g.r.byID[bad].muteTo(1) || g.r.byID[bad].muteTo(0) {
		t.Fatalf("%d streams elsewhere, %+v", len(others), g.r.byID[bad])
	}
	for _, s := range g.r.servers { // the one that swallows is the emptiest
		if s.role == Writer && s.ID != bad {
			s.n = 9
		}
	}
	if s := at(20, 1); s == bad {
		t.Error("the class went where it was swallowed")
	}
	if s := at(21, 0); s != bad {
		t.Error("another class left the writer too")
	}
	g.step(Outcome{Request: 1, Attempt: 1, Server: bad, Result: TimedOut, Elapsed: 5 * time.Second})
	if g.after(judgeEvery); g.r.byID[bad].muteTo(1) {
		t.Error("still held against it when the attempt has ended")
	}
}

func TestAllSilentBlamesNone(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3), writer(4))
	for id := RequestID(1); id <= 30; id++ {
		acts := g.after(30*ms, g.request(id, 1, 500))
		g.after(20*ms, Outcome{Request: id, Server: one[Send](t, acts).Server, Result: ReadDone, Elapsed: 20 * ms})
	}
	for range 40 {
		g.after(100 * ms)
	}
	for _, id := range []ServerID{2, 3, 4} {
		if g.r.byID[id].bad {
			t.Fatalf("server %d blamed for what all suffer", id)
		}
	}
}

func TestHealedServerComesBack(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), reader(2), writer(3))
	s := g.r.byID[1]
	g.r.aside(s, "test")
	for id := RequestID(1); id <= 40; id++ {
		q := g.request(id, 0, 300)
		q.Prefix = uint64(id)
		for _, a := range pick[Send](g.after(100*ms, q)) {
			g.after(10*ms, Outcome{Request: a.Request, Server: a.Server, Result: ReadDone, Elapsed: 10 * ms})
		}
	}
	if s.bad {
		t.Fatal("still put aside after 40 good reads were on offer")
	}
}

func TestLastServersServeThoughPutAside(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.r.aside(g.r.byID[1], "test")
	g.r.aside(g.r.byID[2], "test")
	one[Send](t, g.step(g.request(1, 1, 500)))
	one[Send](t, g.after(ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: ms}))
}

func TestLateReadIsReleased(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.step(g.request(1, 0, 500))
	one[Cancel](t, g.after(ms, ClientGone{Request: 1}))
	one[Release](t, g.after(ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Over: true, Elapsed: 2 * ms}))
}

func TestDrainedServerGetsNothingAndStateIsLetGo(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	g.step(g.request(1, 0, 500))
	gone := writer(2)
	gone.State = Draining
	acts := g.after(ms, ServerList{Scope: Changes, Servers: []Server{gone}},
		Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: ms})
	if n := len(pick[Send](acts)); n != 0 {
		t.Fatalf("%d sends after the drain", n)
	}
	acts = g.after(400 * ms)
	one[Release](t, acts)
	one[Refuse](t, acts)
}

func TestHopelessHeldRequestIsRefusedWithAWait(t *testing.T) {
	g := newRig(t, testSettings())
	g.step(g.request(1, 1, 500))
	if r := one[Refuse](t, g.after(1100*ms)); r.Wait <= 0 {
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
	sends := pick[Send](g.after(50*ms, Outcome{Request: 1000, Server: 1, Result: ReadDone, Elapsed: 50 * ms}))
	if len(sends) < 2 || sends[1].Request != 2 {
		t.Fatalf("want the state, then the tenant inside its share: %+v", sends)
	}
}

func TestLostStateIsReadAgain(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), reader(4), writer(2))
	first := one[Send](t, g.step(g.request(1, 1, 500)))
	g.after(ms, Outcome{Request: 1, Server: first.Server, Result: ReadDone, Elapsed: ms})
	acts := g.after(ms, Outcome{Request: 1, Attempt: 1, Server: 2, Result: Turned, NoState: true, Elapsed: ms})
	if s := one[Send](t, acts); s.Server == 2 {
		t.Fatal("sent to the writer with no state")
	}
}

// TestAStateDoesNotWaitForConnectionsThatFail: one writer after another can't be reached. The state waits all the while,
// so connections get little time, and it is let go of in time with an answer; a writer that had the request ends the wait.
func TestAStateDoesNotWaitForConnectionsThatFail(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 20
	for _, turned := range []bool{false, true} {
		var servers []Server
		for id := ServerID(2); id < 30; id++ {
			servers = append(servers, writer(id))
		}
		g := newRig(t, s, append(servers, reader(1))...)
		g.step(g.request(1, 0, 500))
		acts, waited, n := g.after(ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: ms}), time.Duration(0), 0
		for len(pick[Send](acts)) > 0 {
			a, result := one[Send](t, acts), ConnectFailed
			if a.Connect <= 0 || waited+a.Connect > s.ReleaseWithin {
				t.Fatalf("attempt %d after %v may take %v to connect", n, waited, a.Connect)
			}
			if n++; turned && n == 3 {
				result = Turned
			}
			waited += a.Connect
			acts = g.after(a.Connect, Outcome{Request: 1, Attempt: n, Server: a.Server, Elapsed: a.Connect, Result: result})
			if result == Turned {
				waited = 0
			}
		}
		one[Refuse](t, acts)
		one[Release](t, acts)
		if want := 5 + 3*b2i(turned); n != want {
			t.Errorf("%d attempts, want %d", n, want)
		}
	}
}

func TestOddEventsAreHarmless(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	huge := g.request(9, 0, 3e7)
	huge.Session, huge.Prefix = 0, 0
	acts := g.step(ClientGone{Request: 77}, Outcome{Request: 77}, First{Request: 77}, Timer{Tag: 99}, Held{Request: 77},
		Request{ID: 5, Class: 40}, huge, Outcome{Request: 9, Attempt: 8}, First{Request: 9, Attempt: -1},
		ServerList{Scope: Changes, Servers: []Server{{ID: 60, Kind: 12, State: Ready}}}, ServerList{Scope: Full})
	if len(pick[Send](acts)) != 0 {
		t.Fatalf("sent with an empty list: %+v", acts)
	}
	one[Refuse](t, g.after(5*time.Second))
}

func TestListIsAskedForWhereItMustBe(t *testing.T) {
	set := testSettings()
	set.AskForList, set.AskWithin = true, 4*time.Second
	g := newRig(t, set)
	if acts := g.after(3 * time.Second); len(pick[Watch](acts)) != 1 {
		t.Fatalf("no second ask in %+v", acts)
	}
	g.after(ms, ServerList{Scope: Failed})
	one[Watch](t, g.after(time.Second))
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
			acts = g.after(20*ms, Outcome{Request: id, Server: one[Send](t, acts).Server, Result: ReadDone, Elapsed: 20 * ms})
			s := one[Send](t, acts)
			cold += int(b2f(s.Server == 3))
			g.after(ms, First{Request: id, Attempt: 1, Server: s.Server, Elapsed: ms})
			streams = append(streams, Outcome{Request: id, Attempt: 1, Server: s.Server, Result: Served, Over: true})
			if g.now += 19 * ms; len(streams) > 6 {
				g.step(streams[0])
				streams = streams[1:]
			}
		}
		return cold
	}
	run(1, 60)
	g.step(ServerList{Scope: Changes, Servers: []Server{{ID: 3, Kind: 1, State: Ready, ReadyAt: g.now}}})
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
	set.Classes[1].Effect = Safe
	g := newRig(t, set, reader(1), writer(2), writer(3))
	id := RequestID(0)
	write := func(class int) Send { // the first writer asked; every writer but 2 serves, 2 turns class 0 away
		id++
		read := one[Send](t, g.after(300*ms, g.request(id, class, 1000)))
		acts := g.after(ms, Outcome{Request: id, Server: read.Server, Result: ReadDone, Elapsed: ms})
		first := one[Send](t, acts)
		for s, n := first, 1; ; n++ {
			if s.Server != 2 || class != 0 {
				g.after(ms, First{Request: id, Attempt: n, Server: s.Server, Elapsed: ms})
				g.after(ms, Outcome{Request: id, Attempt: n, Server: s.Server, Result: Served, Elapsed: ms})
				return first
			}
			s = one[Send](t, g.after(ms, Outcome{Request: id, Attempt: n, Server: 2, Result: Turned, Elapsed: ms}))
		}
	}
	asked := func(class, n int) (of2 int) {
		for range n {
			of2 += int(b2f(write(class).Server == 2))
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
	set.WritersRead = true
	g := newRig(t, set, reader(1), writer(2), writer(3))
	done := func(n int) []Action {
		return g.after(ms, Outcome{Request: 1, Attempt: n, Server: 1, Result: ReadDone, Elapsed: ms})
	}
	spoilt := func(n int, s ServerID) []Action {
		return g.after(ms, Outcome{Request: 1, Attempt: n, Server: s, Result: Errored, NoState: true, Elapsed: ms})
	}
	g.step(g.request(1, 0, 1000))
	first := one[Send](t, done(0))
	if s := one[Send](t, spoilt(1, first.Server)); s.Server != 1 {
		t.Fatalf("sent to %d, want the reader", s.Server)
	}
	if s := one[Send](t, done(2)); s.Server == 1 || s.Server == first.Server {
		t.Errorf("then sent to %d, want the other writer", s.Server)
	}

	set.MaxAttempts = 3
	g = newRig(t, set, reader(1), writer(2), writer(3))
	g.step(g.request(1, 0, 1000))
	first = one[Send](t, done(0))
	if s := one[Send](t, spoilt(1, first.Server)); s.Server == 1 || s.Server == first.Server {
		t.Errorf("with one attempt left sent to %d, want the other writer, which reads by itself", s.Server)
	}
}

// TestARepeatCarriesItsWindow: the further send of a keyed request of which an attempt may have run has to be written before the
// window after that attempt's send has passed; other sends are not bound.
func TestARepeatCarriesItsWindow(t *testing.T) {
	set := testSettings()
	set.ReleaseWithin = time.Second // the state outlasts the first attempt
	for class, window := range []time.Duration{0, 0, 1500 * ms} {
		g := newRig(t, set, reader(1), writer(2), writer(3))
		if s := one[Send](t, g.step(g.request(1, class, 1000))); s.Window != 0 {
			t.Errorf("class %d: a read within %v", class, s.Window)
		}
		w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: 100 * ms}))
		if w.Window != 0 {
			t.Errorf("class %d: the first attempt within %v", class, w.Window)
		}
		acts := g.after(500*ms, Outcome{Request: 1, Attempt: 1, Server: w.Server, Result: Reset})
		if class == 1 {
			one[Fail](t, acts)
		} else if again := one[Send](t, acts); again.Window != window {
			t.Errorf("class %d: the repeat within %v, want %v", class, again.Window, window)
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
		"begins":      {First{Request: 1, Attempt: 1, Elapsed: 900 * ms}, false, false},
		"turned away": {Outcome{Request: 1, Attempt: 1, Result: Turned}, true, true},
		"times out":   {Outcome{Request: 1, Attempt: 1, Result: TimedOut}, false, true},
		"breaks":      {Outcome{Request: 1, Attempt: 1, Result: Reset}, false, true},
	} {
		g := newRig(t, set, reader(1), writer(2), writer(3))
		q := g.request(1, 0, 500)
		q.Due += 10 * time.Second
		g.step(q)
		write := one[Send](t, g.after(ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: ms}))
		if acts := g.after(set.ReleaseWithin / 2); len(pick[Release](acts)) > 0 {
			t.Errorf("%s: released after half of the time: %v", name, acts)
		}
		acts := g.after(set.ReleaseWithin/2 - 50*ms)
		one[Release](t, acts)
		if len(pick[Cancel](acts))+len(pick[Refuse](acts)) > 0 {
			t.Errorf("%s: the attempt does not go on: %v", name, acts)
		}
		switch ev := c.ends.(type) {
		case First:
			ev.Server = write.Server
			c.ends = ev
		case Outcome:
			ev.Server = write.Server
			c.ends = ev
		}
		acts = g.after(100*ms, c.ends)
		sends, releases := pick[Send](acts), pick[Release](acts)
		switch {
		case len(sends) != int(b2f(c.sent)):
			t.Errorf("%s: %v", name, acts)
		case c.sent && (sends[0].Server != 1) != c.writer:
			t.Errorf("%s: sent to %d", name, sends[0].Server)
		case len(releases) != int(b2f(c.sent && !c.writer)):
			t.Errorf("%s: %d releases before the next attempt: %v", name, len(releases), acts)
		}
	}
}

// TestNothingBeginsOnceTheFrontEnds: a request may be read in the moment in which the front ends.
func TestNothingBeginsOnceTheFrontEnds(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	one[Send](t, g.step(g.request(1, 1, 1000)))
	one[Refuse](t, g.step(Ending{}))
	for id := RequestID(2); id < 40; id++ {
		acts := g.step(g.request(id, 1, 1000))
		if r := one[Refuse](t, acts); r.Request != id || len(pick[Send](acts)) > 0 {
			t.Errorf("%+v", acts)
		}
	}
}
