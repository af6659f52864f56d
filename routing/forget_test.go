package routing

import (
	"testing"
	"time"
)

// rollingFleet is a fleet of 740 whose pods are named anew all the time: 20 new names a minute, as full lists.
type rollingFleet struct {
	harness   *harness
	endpoints []Endpoint
	next      EndpointID
}

func newRollingFleet(t *testing.T) *rollingFleet {
	s := testConfig()
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &rollingFleet{harness: &harness{t: t, router: r, now: time.Minute}, endpoints: endpoints(340, 400), next: 100000}
	f.harness.step(EndpointList{Scope: ListFull, Endpoints: f.endpoints})
	return f
}

func (f *rollingFleet) roll() {
	for range 20 {
		i := int(f.next) % len(f.endpoints)
		f.endpoints[i].ID = f.next
		f.next++
	}
	f.harness.now += time.Minute
	f.harness.step(EndpointList{Scope: ListFull, Endpoints: f.endpoints})
}

// TestServersThatAreGoneAreForgotten: what is remembered is bounded by the list and by what went of late.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	f := newRollingFleet(t)
	most := len(f.endpoints) + 20*int(goneRetention/time.Minute+1)
	for range 5000 {
		f.roll()
		if n := len(f.harness.router.backends.sorted); n > most || n != len(f.harness.router.backends.byID) {
			t.Fatalf("%d servers and %d ids are known, %d at most", n, len(f.harness.router.backends.byID), most)
		}
	}
	f.harness.step(f.harness.request(1, 0, 500))
	f.harness.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 77, State: EndpointGone}}})
	if f.harness.router.backends.byID[77] != nil {
		t.Error("a server that was gone when first heard of is remembered")
	}
}

// TestGoneKeepsWhatCounts: a server that is gone keeps its attempts until they end, and its health for a while.
func TestGoneKeepsWhatCounts(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	sends := actionsOf[Send](h.step(h.request(1, 0, 500)))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Fatalf("%v", sends)
	}
	h.router.backends.byID[1].health.failures[0] = 0.9
	for range 3 {
		h.now += goneRetention
		h.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{decodeEndpoint(2)}})
	}
	if s := h.router.backends.byID[1]; s == nil || s.load.attempts != 1 {
		t.Fatal("a server with an attempt out was forgotten")
	}
	h.step(Outcome{Request: 1, Endpoint: 1, Result: ConnectionReset})
	h.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{decodeEndpoint(2)}})
	if h.router.backends.byID[1] != nil {
		t.Error("it was not forgotten once its attempt had ended")
	}
	h.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{prefillEndpoint(3), decodeEndpoint(2)}})
	h.router.backends.byID[3].health.failures[0] = 0.9
	h.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{decodeEndpoint(2)}})
	h.now += time.Second
	h.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{prefillEndpoint(3), decodeEndpoint(2)}})
	if s := h.router.backends.byID[3]; s.health.failures[0] < 0.8 || s.goneAt != 0 {
		t.Errorf("a server back after a second has lost its past: failing %.2f", s.health.failures[0])
	}
}

// BenchmarkRolling is an arrival and its end in a fleet of 740 that has seen 740 names, and one that has seen
// 100,000 more; the two must cost alike.
func BenchmarkRolling(b *testing.B) {
	for name, rolls := range map[string]int{"new": 0, "after 100,000 names": 5000} {
		b.Run(name, func(b *testing.B) {
			f := newRollingFleet(&testing.T{})
			for range rolls {
				f.roll()
			}
			b.ResetTimer()
			for i := range b.N {
				id := RequestID(i + 1)
				f.harness.now += time.Millisecond
				f.harness.step(f.harness.request(id, 0, 1500))
				f.harness.step(ClientDisconnected{id})
				if f.harness.router.requests[id] != nil {
					a := f.harness.router.requests[id].attempts[0]
					f.harness.step(Outcome{Request: id, Endpoint: a.backend.ID, Result: Cancelled, RequestDone: true})
				}
			}
		})
	}
}
