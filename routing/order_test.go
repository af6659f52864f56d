package routing

import (
	"container/heap"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the recorded digests anew from the code as it is")

// storm drives one Router far over what its servers can do, so that much is held, and digests its actions. The
// servers are simple: a time for each attempt, some failures, one of them bad for a while.
type storm struct {
	name    string
	seed    int64
	mixed   int
	cold    bool // servers restart now and then
	bad     bool // a reader and a writer fail for a while
	memory  float64
	aim     time.Duration
	rate    float64 // a second
	prefix  int     // shared beginnings; 0 = none
	steps   int
	fronts  int
	readers int
	release time.Duration
}

// storms are played with a release time within which a slow write's state is spent, and with one that nothing meets.
func storms() []storm {
	return append(stormsWith(500*ms, ""), stormsWith(100*time.Second, "long release, ")...)
}

func stormsWith(release time.Duration, prefix string) []storm {
	base := storm{release: release, memory: 60000, aim: 3 * time.Second, rate: 400, prefix: 12, steps: 2500, fronts: 1, readers: 6}
	var out []storm
	add := func(name string, change func(*storm)) {
		for seed := range int64(2) {
			s := base
			s.name, s.seed = fmt.Sprintf("%s%s %d", prefix, name, seed), seed+1
			change(&s)
			out = append(out, s)
		}
	}
	add("plain", func(*storm) {})
	add("long waits", func(s *storm) { s.aim = 20 * time.Second })
	add("mixed", func(s *storm) { s.mixed = 3 })
	add("only mixed", func(s *storm) { s.mixed, s.readers = 6, 0 })
	add("cold", func(s *storm) { s.cold = true })
	add("bad", func(s *storm) { s.bad = true; s.aim = 10 * time.Second })
	add("bad, cold, mixed", func(s *storm) { s.bad, s.cold, s.mixed = true, true, 2 })
	add("short of memory", func(s *storm) { s.memory = 9000; s.aim = 10 * time.Second })
	add("memory unknown", func(s *storm) { s.memory = 0 })
	add("one hot prefix", func(s *storm) { s.prefix = 1; s.readers = 12; s.aim = 8 * time.Second })
	add("no prefix", func(s *storm) { s.prefix = 0 })
	add("many fronts", func(s *storm) { s.fronts = 40; s.rate = 40; s.readers = 20; s.cold = true })
	return out
}

type stormEvent struct {
	at  time.Duration
	seq int
	ev  Event
}

type stormQueue []stormEvent

func (q stormQueue) Len() int { return len(q) }
func (q stormQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q stormQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *stormQueue) Push(x any)   { *q = append(*q, x.(stormEvent)) }
func (q *stormQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// play returns the digest of all actions, their number, and the most that was held.
func (c storm) play(t *testing.T) (digest string, actions, most int) {
	rnd := rand.New(rand.NewSource(c.seed))
	set := testSettings()
	set.Replicas, set.StateTTL = c.fronts, c.release
	set.Kinds = []Kind{{RolePrefill, 200000}, {RoleDecode, c.memory}, {RoleMixed, c.memory}}
	set.Tenants = []Tenant{{QuotaPerS: c.rate / 2 * float64(c.fronts)}, {QuotaPerS: 5}}
	for i := range set.Classes {
		set.Classes[i].LatencyObjective, set.Classes[i].LateWeight = c.aim, 0.9
	}
	r, err := New(set, uint64(c.seed))
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range c.readers + 6 + c.mixed {
		kind := 1
		if i < c.readers {
			kind = 0
		} else if i >= c.readers+6 {
			kind = 2
		}
		list = append(list, Endpoint{ID: EndpointID(10 + 3*i), Kind: kind, Zone: i % 2, Cell: i % 3, State: EndpointReady})
	}
	kinds := map[EndpointID]int{}
	for _, s := range list {
		kinds[s.ID] = s.Kind
	}
	h := sha256.New()
	now := time.Hour
	var q stormQueue
	seq := 0
	plan := func(after time.Duration, ev Event) {
		seq++
		heap.Push(&q, stormEvent{now + after, seq, ev})
	}
	out := map[RequestID][]bool{} // attempts out
	over := map[RequestID]bool{}
	badFrom, badTo := time.Hour+time.Second, time.Hour+4*time.Second
	next := RequestID(0)
	step := func(evs ...Event) {
		for _, a := range r.Step(now, evs) {
			actions++
			fmt.Fprintf(h, "%d %s\n", now, encodeAction(a))
			switch a := a.(type) {
			case Send:
				n := len(out[a.Request])
				out[a.Request] = append(out[a.Request], true)
				o := Outcome{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Result: Served}
				took := time.Duration(20+rnd.Intn(200)) * ms
				if kinds[a.Endpoint] == 0 {
					o.Result, o.CachedTokens = PrefillDone, float64(rnd.Intn(500))
				} else {
					took *= 4
				}
				fails := c.bad && now > badFrom && now < badTo && (a.Endpoint == 10 || a.Endpoint == EndpointID(10+3*c.readers))
				switch k := rnd.Intn(60); {
				case fails || k == 0:
					o.Result, took = EngineError, took/10
				case k == 1:
					o.Result, took = Rejected, took/10
				case k == 2:
					o.Result, o.StateMissing, took = Rejected, true, took/10
				case k == 3 && a.Timeout > 0:
					o.Result, took = TimedOut, a.Timeout
				}
				o.Elapsed = took
				if o.Result == Served {
					plan(took/4, FirstToken{Request: a.Request, Attempt: n, Endpoint: a.Endpoint, Elapsed: took / 4})
				}
				plan(took, o)
			case Cancel:
				plan(2*ms, Outcome{Request: a.Request, Attempt: a.Attempt, Result: Cancelled, Elapsed: 2 * ms})
			case Reject:
				over[a.Request] = true
			case Fail:
				over[a.Request] = true
			case SetTimer:
				plan(a.After, Timer{a.Tag})
			}
		}
		most = max(most, len(r.queue.waiting))
	}
	step(EndpointList{Scope: ListFull, Endpoints: list})
	for i := range c.steps {
		now += time.Duration(rnd.ExpFloat64() / c.rate * float64(time.Second))
		for len(q) > 0 && q[0].at <= now {
			at := now
			now = q[0].at
			var evs []Event
			for len(q) > 0 && q[0].at <= now {
				e := heap.Pop(&q).(stormEvent).ev
				switch ev := e.(type) {
				case Outcome:
					if !out[ev.Request][ev.Attempt] {
						continue
					}
					out[ev.Request][ev.Attempt] = false
					ev.RequestDone = ev.Result == Served
					over[ev.Request] = over[ev.Request] || ev.RequestDone
					e = ev
				case FirstToken:
					if over[ev.Request] || !out[ev.Request][ev.Attempt] {
						continue
					}
				case ClientDisconnected:
					if over[ev.Request] {
						continue
					}
					over[ev.Request] = true
				}
				evs = append(evs, e)
			}
			if len(evs) > 0 {
				step(evs...)
			}
			now = at
		}
		next++
		n := 200 + rnd.ExpFloat64()*900
		if rnd.Intn(50) == 0 {
			n *= 8
		}
		ev := Request{
			ID: next, Class: rnd.Intn(3), Tenant: rnd.Intn(2), Session: uint64(rnd.Intn(500)), PromptTokens: float64(int(n)),
			MaxOutputTokens: float64(50 + rnd.Intn(400)), Deadline: now + c.aim + time.Duration(rnd.Intn(3000))*ms,
		}
		if c.prefix > 0 && rnd.Intn(10) > 1 {
			ev.Prefix, ev.PrefixTokens = 1000+uint64(rnd.ExpFloat64()*float64(c.prefix)/4), n/2
		}
		if rnd.Intn(30) == 0 {
			plan(time.Duration(rnd.Intn(2000))*ms, ClientDisconnected{next})
		}
		evs := []Event{ev}
		if c.cold && i%700 == 699 {
			s := list[rnd.Intn(len(list))]
			s.StartedAt = now
			evs = append(evs, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{s}})
		}
		if i%900 == 800 { // one drains, and is back later
			s := list[rnd.Intn(len(list))]
			s.State = EndpointDraining
			evs = append(evs, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{s}})
			s.State = EndpointReady
			plan(2*time.Second, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{s}})
		}
		step(evs...)
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:12]), actions, most
}

// TestRecordedOrders compares the actions of the recorded runs with those of the code that recorded them. Their encoding holds no
// name of a type or field, so a digest that differs is a decision that differs: a change that is not meant to change decisions must
// never write the file anew. One that does mean to uses -update.
func TestRecordedOrders(t *testing.T) {
	const file = "testdata/orders.txt"
	if *update {
		var b strings.Builder
		for _, c := range storms() {
			digest, actions, most := c.play(t)
			fmt.Fprintf(&b, "%s: %s, %d actions, %d held at most\n", c.name, digest, actions, most)
		}
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	for i, c := range storms() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			digest, actions, most := c.play(t)
			if got := fmt.Sprintf("%s: %s, %d actions, %d held at most", c.name, digest, actions, most); got != want[i] {
				t.Errorf("got  %s\nwant %s", got, want[i])
			}
		})
	}
}

// BenchmarkHeld measures one event beside n held requests, on 20 servers that have no room.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{200, 3000, 10000} {
		for _, kind := range []string{"new and gone", "nothing", "room"} {
			b.Run(fmt.Sprintf("%s beside %d", kind, n), func(b *testing.B) {
				s := testSettings()
				for i := range s.Classes {
					s.Classes[i].LatencyObjective = time.Hour
				}
				r, err := New(s, 1)
				if err != nil {
					b.Fatal(err)
				}
				now := time.Minute
				r.Step(now, []Event{EndpointList{Scope: ListFull, Endpoints: pool(8, 12)}})
				rnd := rand.New(rand.NewSource(1))
				request := func(id RequestID) Request {
					return Request{
						ID: id, Session: uint64(id), Prefix: uint64(rnd.Intn(50)), PromptTokens: float64(500 + rnd.Intn(3000)),
						MaxOutputTokens: 200, Deadline: now + time.Hour,
					}
				}
				sends := map[RequestID]Send{}
				attempt := map[RequestID]int{}
				take := func(acts []Action) {
					for _, a := range pick[Send](acts) {
						sends[a.Request] = a
					}
				}
				for i := range n + 48 {
					take(r.Step(now, []Event{request(RequestID(i + 1))}))
				}
				held := len(r.queue.waiting)
				id := RequestID(n + 48)
				b.ResetTimer()
				for range b.N {
					now += 10 * time.Microsecond
					switch kind {
					case "new and gone":
						id++
						r.Step(now, []Event{request(id)})
						r.Step(now, []Event{ClientDisconnected{id}})
					case "nothing":
						r.Step(now, []Event{Timer{}})
					case "room": // a read ends badly: it is held again and another takes its place
						for q, a := range sends {
							delete(sends, q)
							take(r.Step(now, []Event{Outcome{Request: q, Attempt: attempt[q], Endpoint: a.Endpoint, Result: Rejected, StateMissing: true, Elapsed: ms}}))
							attempt[q]++
							if q := r.requests[q]; q != nil {
								q.attempts = q.attempts[:0] // or its attempts run out
								attempt[q.ID] = 0
							}
							break
						}
					}
				}
				b.ReportMetric(float64(held), "held")
			})
		}
	}
}
