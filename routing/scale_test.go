package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// fleet runs many Routers over the same servers and counts what all of them send to each.
type fleet struct {
	rnd  *rand.Rand
	rigs []*rig
	sent map[EndpointID]int
	next RequestID
	kind map[EndpointID]Role
	bad  map[EndpointID]bool // these fail or turn away every other attempt, so that further ones follow
	more int                 // further attempts, beyond a read and a write
}

func newFleet(t *testing.T, s Config, fronts int, servers []Endpoint) *fleet {
	t.Helper()
	f := &fleet{rnd: rand.New(rand.NewSource(int64(fronts))), sent: map[EndpointID]int{}, kind: map[EndpointID]Role{}}
	s.Replicas = fronts
	for _, e := range servers {
		f.kind[e.ID] = s.Kinds[e.Kind].Role
	}
	for i := range fronts {
		r, err := New(s, uint64(1000+i))
		if err != nil {
			t.Fatal(err)
		}
		g := &rig{t: t, r: r, now: time.Minute}
		g.step(EndpointList{Scope: ListCached, Endpoints: servers})
		f.rigs = append(f.rigs, g)
	}
	return f
}

// play sends n requests, spread over d and over random fronts; each read and each answer ends well at once.
func (f *fleet) play(n int, d time.Duration, prefix func() uint64) (refused int) {
	for i := range n {
		g := f.rigs[f.rnd.Intn(len(f.rigs))]
		g.now = max(g.now, time.Minute+time.Duration(i)*d/time.Duration(n))
		f.next++
		q := g.request(f.next, 0, 1500)
		q.Prefix = prefix()
		acts := g.step(q)
		for a := 0; ; a++ {
			sends := pick[Send](acts)
			if len(sends) == 0 {
				refused += len(pick[Reject](acts))
				acts = g.step(ClientDisconnected{f.next})
				break
			}
			f.sent[sends[0].Endpoint]++
			if f.bad[sends[0].Endpoint] && f.rnd.Intn(2) == 0 {
				f.more++
				acts = g.step(Outcome{Request: f.next, Attempt: a, Endpoint: sends[0].Endpoint, Result: []Result{EngineError, Rejected, ConnectionReset}[f.rnd.Intn(3)], Elapsed: 10 * ms})
				continue
			}
			if f.kind[sends[0].Endpoint] == RolePrefill {
				acts = g.step(Outcome{Request: f.next, Attempt: a, Endpoint: sends[0].Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
				continue
			}
			g.step(FirstToken{Request: f.next, Attempt: a, Endpoint: sends[0].Endpoint, Elapsed: 20 * ms})
			g.step(Outcome{Request: f.next, Attempt: a, Endpoint: sends[0].Endpoint, Result: Served, RequestDone: true, Elapsed: 50 * ms})
			break
		}
	}
	return refused
}

func pool(readers, writers int) []Endpoint {
	var out []Endpoint
	for i := range readers {
		s := reader(EndpointID(100 + i))
		s.Cell = i / 4
		out = append(out, s)
	}
	for i := range writers {
		s := writer(EndpointID(500 + i))
		s.Cell = i / 4
		out = append(out, s)
	}
	return out
}

// TestFleetKeepsColdBudget: whatever the number of fronts, all of them together send a server that has just started
// no more than an even part of the traffic, also when a whole role restarted; and it is not left without work.
func TestFleetKeepsColdBudget(t *testing.T) {
	for _, fronts := range []int{1, 4, 300} {
		for name, cold := range map[string]func(i int) bool{
			"one writer": func(i int) bool { return i == 12 },
			"one reader": func(i int) bool { return i == 3 },
			"writers":    func(i int) bool { return i >= 12 },
			"readers":    func(i int) bool { return i < 12 },
			"hot home":   nil, // the reader of a prefix that most requests share
		} {
			t.Run(fmt.Sprintf("%d fronts, %s", fronts, name), func(t *testing.T) {
				servers, colds := pool(12, 24), 0
				s := testSettings()
				f := newFleet(t, s, fronts, servers)
				prefix := func() uint64 { return uint64(f.rnd.Intn(200)) }
				f.play(2400, 30*time.Second, prefix)
				if cold == nil {
					f.sent, prefix = map[EndpointID]int{}, func() uint64 { return 7 }
					f.play(100, 0, prefix)
					home := 0
					for i := range 12 {
						if f.sent[servers[i].ID] > f.sent[servers[home].ID] {
							home = i
						}
					}
					cold = func(i int) bool { return i == home }
				}
				f.sent = map[EndpointID]int{}
				for i := range servers {
					if cold(i) {
						servers[i].StartedAt = time.Minute + 30*time.Second
						colds++
					}
				}
				for _, g := range f.rigs {
					g.now = time.Minute + 30*time.Second
					g.step(EndpointList{Scope: ListFull, Endpoints: servers})
				}
				f.play2(240, 30*time.Second, s.OverloadAfter*2, prefix)
				total := 0
				for i, e := range servers {
					if !cold(i) {
						continue
					}
					total += f.sent[e.ID]
					even := 240.0 / 12
					if f.kind[e.ID] == RoleDecode {
						even = 240.0 / 24
					}
					if limit := s.OverloadFactor * 0.4 * even; float64(f.sent[e.ID]) > limit {
						t.Errorf("cold server %d got %d sends, %.0f at most", e.ID, f.sent[e.ID], limit)
					}
				}
				if colds > 1 && total == 0 {
					t.Error("cold servers got no work at all")
				}
			})
		}
	}
}

// play2 plays n requests over d, from on.
func (f *fleet) play2(n int, from, d time.Duration, prefix func() uint64) {
	for _, g := range f.rigs {
		g.now = time.Minute + from
	}
	for i := range n {
		at := time.Minute + from + time.Duration(i)*d/time.Duration(n)
		for _, g := range f.rigs {
			g.now = max(g.now, at)
		}
		f.play(1, 0, prefix)
	}
}

// TestTiesLeaveACellOfReaders: three quarters of the readers stand in a cell with a quarter of the writers. With a
// stream in hand here and there all writers tie, and the cell's writers must not get most of the answers.
func TestTiesLeaveACellOfReaders(t *testing.T) {
	servers := pool(8, 8)
	for i := range servers[:8] {
		servers[i].Cell = i / 6
	}
	for i := range servers[8:] {
		servers[8+i].Cell = b2i(i >= 2)
	}
	f := newFleet(t, testSettings(), 200, servers)
	f.play(1600, 20*time.Second, func() uint64 { return uint64(f.rnd.Intn(400)) })
	for _, e := range servers[8:] {
		if n := f.sent[e.ID]; n < 100 || n > 300 {
			t.Errorf("writer %d of cell %d got %d of 1600 answers, 200 would be even", e.ID, e.Cell, n)
		}
	}
}

func b2i(v bool) int {
	if v {
		return 1
	}
	return 0
}

// TestPopularPrefixIsSpread: half of the traffic begins alike. It is read evenly everywhere, since half of the reading at a
// few readers would crowd them, while a prefix of few requests keeps to few readers.
func TestPopularPrefixIsSpread(t *testing.T) {
	for _, fronts := range []int{4, 100} {
		f := newFleet(t, testSettings(), fronts, pool(30, 10))
		f.play(fronts*30, 30*time.Second, func() uint64 {
			if f.rnd.Intn(2) == 0 {
				return 7
			}
			return uint64(100 + f.rnd.Intn(300))
		})
		readers := func(n int, key uint64) (most, used int) {
			f.sent = map[EndpointID]int{}
			f.play(n, 0, func() uint64 { return key })
			for id, got := range f.sent {
				if f.kind[id] == RolePrefill {
					most, used = max(most, got), used+b2i(got > 0)
				}
			}
			return most, used
		}
		if most, used := readers(1000, 7); most > 100 || used < 28 {
			t.Errorf("%d fronts: the prefix's busiest reader got %d of 1000, %d readers any", fronts, most, used)
		}
		if most, used := readers(2*fronts, 555); used > 10 || 3*most < 2*fronts {
			t.Errorf("%d fronts: a rare prefix's busiest reader got %d of %d, %d readers any", fronts, most, 2*fronts, used)
		}
	}
}

// TestLateAnswersRefuseOnArrival: while first tokens come after their aim a part of new requests is refused at once,
// and it ends when they come in time again. Refusals carry a wait.
func TestLateAnswersRefuseOnArrival(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	id := RequestID(0)
	play := func(n int, took time.Duration) (refused int) {
		for range n {
			id++
			q := g.request(id, 0, 500)
			q.Session, q.Prefix = 1, 1
			acts := g.after(300*ms, q)
			if rs := pick[Reject](acts); len(rs) > 0 {
				if rs[0].RetryAfter <= 0 {
					t.Fatal("refused with no advice")
				}
				refused++
				continue
			}
			acts = g.after(20*ms, Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
			if len(pick[Send](acts)) == 0 {
				t.Fatalf("read and not sent on: %+v", acts)
			}
			g.after(took, FirstToken{Request: id, Attempt: 1, Endpoint: 2, Elapsed: took})
			g.after(ms, Outcome{Request: id, Attempt: 1, Endpoint: 2, Result: Served, RequestDone: true, Elapsed: took})
		}
		return refused
	}
	if n := play(40, 50*ms); n > 0 {
		t.Fatalf("%d refused though all are in time", n)
	}
	if n := play(40, 1500*ms); n < 8 || n > 38 {
		t.Fatalf("%d of 40 refused while all are late", n)
	}
	play(60, 50*ms)
	if n := play(20, 50*ms); n > 0 {
		t.Fatalf("%d still refused after answers came in time again", n)
	}
}

func benchmarkStep(b *testing.B, readers, writers int) {
	s := testSettings()
	s.Replicas = 300
	r, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Minute
	r.Step(now, []Event{EndpointList{Scope: ListFull, Endpoints: pool(readers, writers)}})
	for i := range b.N {
		now += 20 * ms
		id := RequestID(i + 1)
		r.Step(now, []Event{Request{
			ID: id, Session: uint64(i), Prefix: uint64(i % 50), PromptTokens: 1500, MaxOutputTokens: 200,
			Deadline: now + 5*time.Second,
		}})
		r.Step(now, []Event{ClientDisconnected{id}})
	}
}

// TestOneFailureIsEnoughWhereNewsIsSparse: a front that sees a writer twice a minute goes elsewhere after one error.
func TestOneFailureIsEnoughWhereNewsIsSparse(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	g.after(30 * time.Second)
	acts := g.step(g.request(1, 0, 500))
	acts = g.after(20*ms, Outcome{Request: 1, Endpoint: one[Send](t, acts).Endpoint, Result: PrefillDone, Elapsed: 20 * ms})
	bad := one[Send](t, acts).Endpoint
	g.after(20*ms, Outcome{Request: 1, Attempt: 1, Endpoint: bad, Result: EngineError, Elapsed: 20 * ms})
	g.after(20*ms, Outcome{Request: 1, Attempt: 2, Endpoint: 5 - bad, Result: Served, RequestDone: true, Elapsed: 20 * ms})
	for id := RequestID(2); id < 8; id++ {
		acts = g.after(time.Second, g.request(id, 0, 500))
		acts = g.after(20*ms, Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
		if s := one[Send](t, acts).Endpoint; s == bad {
			t.Fatalf("request %d went to the writer that failed", id)
		}
		g.after(20*ms, Outcome{Request: id, Attempt: 1, Endpoint: 5 - bad, Result: Served, RequestDone: true, Elapsed: 20 * ms})
	}
}

// TestClassFailureKeepsTheServerForOthers: a writer that fails one class is asked last for it and still serves others.
func TestClassFailureKeepsTheServerForOthers(t *testing.T) {
	s := testSettings()
	s.Classes[1].Idempotency = Idempotent
	g := newRig(t, s, reader(1), writer(2), writer(3))
	used := map[int]int{}
	for id := RequestID(1); id <= 80; id++ {
		class := int(id % 2)
		acts := g.after(200*ms, g.request(id, class, 500))
		acts = g.after(20*ms, Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
		for a := 1; ; a++ {
			to := one[Send](t, acts).Endpoint
			if to == 2 && id > 20 {
				used[class]++
			}
			if to == 2 && class == 1 {
				acts = g.after(20*ms, Outcome{Request: id, Attempt: a, Endpoint: to, Result: EngineError, Elapsed: 20 * ms})
				continue
			}
			g.after(20*ms, FirstToken{Request: id, Attempt: a, Endpoint: to, Elapsed: 20 * ms})
			g.after(20*ms, Outcome{Request: id, Attempt: a, Endpoint: to, Result: Served, RequestDone: true, Elapsed: 40 * ms})
			break
		}
	}
	if used[0] < 12 || 3*used[1] > 2*used[0] {
		t.Fatalf("writer 2 was sent %d of the class it serves and %d of the class it fails, of 30 each", used[0], used[1])
	}
}

// TestSmallTenantIsNotShutOut: with 300 fronts a tenant's rate at one front is far below one; its requests are inside
// its share all the same, until it sends more.
func TestSmallTenantIsNotShutOut(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 300, []Tenant{{QuotaPerS: 3}}
	g := newRig(t, s, reader(1), writer(2))
	for id := RequestID(1); id <= 4; id++ {
		g.after(ms, g.request(id, 0, 500))
		if over := g.r.requests[id].queued.overQuota; over != (id > 2) {
			t.Fatalf("request %d: over its share %v", id, over)
		}
	}
}

// TestListWithAStartAhead: a start in the future counts as just started.
func TestListWithAStartAhead(t *testing.T) {
	e := writer(2)
	e.StartedAt = 2 * time.Hour
	g := newRig(t, testSettings(), reader(1), e)
	if p := g.r.presentCapacity(g.r.backends.byID[2]); p != 0.25 {
		t.Fatalf("present part %v", p)
	}
}

// TestRefusalsInAStormCountAsLate: readers that turn everything away at once are too much work too; requests that end
// with no answer long before their aim must raise the part refused on arrival, not lower it.
func TestRefusalsInAStormCountAsLate(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), reader(3), writer(2))
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		acts := g.after(200*ms, g.request(id, 0, 500))
		for a := 0; ; a++ {
			sends := pick[Send](acts)
			if len(sends) == 0 {
				g.step(ClientDisconnected{id})
				break
			}
			if id > 40 {
				sent++
			}
			acts = g.after(ms, Outcome{Request: id, Attempt: a, Endpoint: sends[0].Endpoint, Result: Rejected, Elapsed: ms})
			if a < 3 && len(pick[Reject](acts)) == 0 {
				acts = append(acts, g.after(160*ms)...)
			}
		}
	}
	if g.r.admission.shedder.fraction < 0.3 || sent > 60 {
		t.Fatalf("part refused on arrival %.2f, %d attempts of the last 20 requests", g.r.admission.shedder.fraction, sent)
	}
}

// BenchmarkStep is one request's arrival and its end, at several sizes.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 74, 100, 740} {
		b.Run(fmt.Sprintf("%d servers", n), func(b *testing.B) { benchmarkStep(b, n*2/5, n-n*2/5) })
	}
}

// TestLittleWorthForItsWorkIsRefusedFirst: while a part is refused, heavy requests of little worth and those beyond their
// tenant's share are refused more, by no more than maxShedBias times, and none is refused while nothing is late.
func TestLittleWorthForItsWorkIsRefusedFirst(t *testing.T) {
	refused := func(byWork bool, shed float64, change func(q *Request, i int)) [2]int {
		set := testSettings()
		set.WeightByWork, set.OverQuotaWeight = byWork, 0.1
		set.Classes[1].Idempotency = Idempotent // of twice the worth
		set.Tenants = []Tenant{{QuotaPerS: 1}, {}}
		g := newRig(t, set, reader(1), writer(2))
		var n [2]int
		for i := range 4000 {
			q := g.request(RequestID(i+1), 0, 600)
			q.PrefixTokens, q.Tenant = 0, 1
			change(&q, i%2)
			g.r.admission.shedder.fraction = shed
			for range pick[Reject](g.step(q)) {
				n[i%2]++
			}
			g.step(ClientDisconnected{Request: q.ID})
			g.now += ms
		}
		return n
	}
	long := func(q *Request, i int) { q.PromptTokens += 2400 * float64(i) }
	better := func(q *Request, i int) { q.Class = i }
	over := func(q *Request, i int) { q.Tenant = 1 - i }
	tests := []struct {
		name   string
		byWork bool
		change func(q *Request, i int)
		more   int // of the two, which is refused more; -1 = neither
	}{
		{"long, by the request", false, long, 1},
		{"long, by the work", true, long, -1},
		{"dear, by the request", false, better, 0},
		{"dear, by the work", true, better, 0},
		{"beyond the share", true, over, 1},
	}
	for _, tc := range tests {
		n := refused(tc.byWork, 0.12, tc.change)
		a, b := n[0], n[1]
		if tc.more == 0 {
			a, b = b, a
		}
		switch {
		case tc.more < 0 && (a > 2*b || b > 2*a), tc.more >= 0 && 2*b < 3*a, a == 0 || b == 0 || float64(b) > 2000*0.12*maxShedBias*1.2:
			t.Errorf("%s: refused %v of 2000 each", tc.name, n)
		}
		if n := refused(tc.byWork, 0, tc.change); n != [2]int{} {
			t.Errorf("%s: refused %v with nothing late", tc.name, n)
		}
	}
}

// TestRefusingEndsWithinItsTime: from the most that is ever refused, answers in time bring a front back to refusing
// nothing within 3.5 s, whether it has an answer in three seconds or two hundred a second.
func TestRefusingEndsWithinItsTime(t *testing.T) {
	for _, rate := range []float64{1 / 3., 2, 10, 200} {
		gap := time.Duration(float64(time.Second) / rate)
		g := newRig(t, testSettings(), reader(1), writer(2))
		g.r.admission.shedder.fraction, g.r.admission.shedder.updatedAt = maxShedFraction, g.now
		id, took := RequestID(0), time.Duration(0)
		for ; g.r.admission.shedder.fraction > 0 && took < time.Minute; took += gap {
			id++
			q := &request{Request: g.request(id, 0, 500), class: &g.r.config.Classes[0], arrivedAt: g.now}
			g.now += gap
			g.r.now = g.now
			g.r.admission.shedder.observe(g.now, q.class, false)
		}
		if took > 3500*ms+gap {
			t.Errorf("%.2f answers a second: refusing ends after %v", rate, took)
		}
	}
}

// TestNothingMoreIsAdmittedWhileQueuesAreFull: answers in time don't raise what is admitted within rejectionHold of a server
// turning work away, and do so afterwards; a state that was gone says nothing of queues.
func TestNothingMoreIsAdmittedWhileQueuesAreFull(t *testing.T) {
	for _, noState := range []bool{false, true} {
		g := newRig(t, testSettings(), reader(1), reader(4), writer(2))
		s := one[Send](t, g.step(g.request(1, 0, 500)))
		if noState {
			s = one[Send](t, g.after(ms, Outcome{Request: 1, Endpoint: s.Endpoint, Result: PrefillDone, Elapsed: ms}))
		}
		g.after(ms, Outcome{Request: 1, Attempt: b2i(noState), Endpoint: s.Endpoint, Result: Rejected, StateMissing: noState, Elapsed: ms})
		g.r.admission.shedder.fraction = 0.5
		inTime := func() float64 {
			q := &request{Request: g.request(9, 0, 500), class: &g.r.config.Classes[0], arrivedAt: g.now}
			g.now += 200 * ms
			g.r.now = g.now
			g.r.admission.shedder.observe(g.now, q.class, false)
			return g.r.admission.shedder.fraction
		}
		if shed := inTime(); (shed == 0.5) == noState {
			t.Errorf("no state %v: part refused %.2f of 0.5 after an answer in time", noState, shed)
		}
		g.now += rejectionHold
		if shed := inTime(); shed >= 0.5 {
			t.Errorf("no state %v: still %.2f after %v", noState, shed, rejectionHold)
		}
	}
}

// TestMixedServersTakeWhatTheyCan: few large writers beside many readers, and mixed servers that hold a fifth of what a writer holds.
// By writing they could take a third of what the writers do, but they have to read it too, as the many readers do for the rest;
// and when their first tokens come late they take less.
func TestMixedServersTakeWhatTheyCan(t *testing.T) {
	for _, k := range []struct {
		readers, writers, mixed int
		memory, late            float64 // of a mixed server against a writer; of its first tokens against the usual
		least, most             float64 // part of the requests that mixed servers take
	}{
		{40, 40, 15, 1, 1, 0.13, 0.18},    // by writing: 9 of 49, for each read
		{75, 10, 15, 0.2, 1, 0.09, 0.12},  // by reading: 9 of 75
		{75, 10, 15, 0.2, 3, 0.03, 0.06},  // a third of that
		{20, 20, 15, 0.2, 1, 0.06, 0.09},  // by writing: 1.8 of 21.8
		{75, 10, 15, 0.02, 1, 0.01, 0.03}, // likewise
	} {
		s := testSettings()
		s.Kinds = []Kind{{RolePrefill, 1e6}, {RoleDecode, 1e6}, {RoleMixed, 1e6 * k.memory}}
		servers := pool(k.readers, k.writers)
		for i := range k.mixed {
			servers = append(servers, Endpoint{ID: EndpointID(900 + i), Kind: 2, State: EndpointReady})
		}
		g, whole, n := newRig(t, s, servers...), 0, 2000
		for id := range RequestID(n) {
			q := g.request(id+1, 0, 300)
			q.Prefix, q.Session = uint64(id), uint64(id)
			a, took := one[Send](t, g.after(20*ms, q)), 30*ms
			if a.Endpoint >= 900 {
				whole++
				if k.late > 1 && whole > 20 { // against what a reader and a writer take by the module's own means
					took = seconds(k.late * (g.r.latency.firstToken + g.r.latency.prefillPace*500))
				}
				g.now += took
				g.step(FirstToken{Request: q.ID, Endpoint: a.Endpoint, Elapsed: took}, Outcome{Request: q.ID, Endpoint: a.Endpoint, Result: Served, RequestDone: true, Elapsed: took})
				continue
			}
			b := one[Send](t, g.after(took, Outcome{Request: q.ID, Endpoint: a.Endpoint, Result: PrefillDone, Elapsed: took}))
			g.now += took
			g.step(FirstToken{Request: q.ID, Attempt: 1, Endpoint: b.Endpoint, Elapsed: took}, Outcome{Request: q.ID, Attempt: 1, Endpoint: b.Endpoint, Result: Served, RequestDone: true, Elapsed: took})
		}
		if part := float64(whole) / float64(n); part < k.least || part > k.most {
			t.Errorf("%+v: mixed servers took %.3f", k, part)
		}
	}
}

// TestMixedServersWhereNoWriterIsWell: what they are owed stays a number.
func TestMixedServersWhereNoWriterIsWell(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), Endpoint{ID: 3, Kind: 2, State: EndpointReady})
	g.r.eject(g.r.backends.byID[2], "test")
	g.r.sumRoles()
	for id := range RequestID(4) {
		q := g.request(id+1, 0, 300)
		q.Prefix = uint64(id)
		g.after(20*ms, q)
	}
	if d := g.r.mixed.owed; !(d >= -1 && d <= 2) { // also when it is no number
		t.Errorf("%v whole requests are owed to the mixed server", g.r.mixed.owed)
	}
}
