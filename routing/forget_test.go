package routing

import (
	"testing"
	"time"
)

// rolling is a fleet of 740 whose pods are named anew all the time: 20 new names a minute, as full lists.
type rolling struct {
	g       *rig
	servers []Endpoint
	next    EndpointID
}

func newRolling(t *testing.T) *rolling {
	s := testSettings()
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &rolling{g: &rig{t: t, r: r, now: time.Minute}, servers: pool(340, 400), next: 100000}
	f.g.step(EndpointList{Scope: ListFull, Endpoints: f.servers})
	return f
}

func (f *rolling) roll() {
	for range 20 {
		i := int(f.next) % len(f.servers)
		f.servers[i].ID = f.next
		f.next++
	}
	f.g.now += time.Minute
	f.g.step(EndpointList{Scope: ListFull, Endpoints: f.servers})
}

// TestServersThatAreGoneAreForgotten: what is remembered is bounded by the list and by what went of late.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	f := newRolling(t)
	most := len(f.servers) + 20*int(goneRetention/time.Minute+1)
	for range 5000 {
		f.roll()
		if n := len(f.g.r.backends.sorted); n > most || n != len(f.g.r.backends.byID) {
			t.Fatalf("%d servers and %d ids are known, %d at most", n, len(f.g.r.backends.byID), most)
		}
	}
	f.g.step(f.g.request(1, 0, 500))
	f.g.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 77, State: EndpointGone}}})
	if f.g.r.backends.byID[77] != nil {
		t.Error("a server that was gone when first heard of is remembered")
	}
}

// TestGoneKeepsWhatCounts: a server that is gone keeps its attempts until they end, and its health for a while.
func TestGoneKeepsWhatCounts(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2))
	sends := pick[Send](g.step(g.request(1, 0, 500)))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Fatalf("%v", sends)
	}
	g.r.backends.byID[1].health.failures[0] = 0.9
	for range 3 {
		g.now += goneRetention
		g.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{writer(2)}})
	}
	if s := g.r.backends.byID[1]; s == nil || s.load.attempts != 1 {
		t.Fatal("a server with an attempt out was forgotten")
	}
	g.step(Outcome{Request: 1, Endpoint: 1, Result: ConnectionReset})
	g.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{writer(2)}})
	if g.r.backends.byID[1] != nil {
		t.Error("it was not forgotten once its attempt had ended")
	}
	g.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{reader(3), writer(2)}})
	g.r.backends.byID[3].health.failures[0] = 0.9
	g.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{writer(2)}})
	g.now += time.Second
	g.step(EndpointList{Scope: ListFull, Endpoints: []Endpoint{reader(3), writer(2)}})
	if s := g.r.backends.byID[3]; s.health.failures[0] < 0.8 || s.goneAt != 0 {
		t.Errorf("a server back after a second has lost its past: failing %.2f", s.health.failures[0])
	}
}

// BenchmarkRolling is an arrival and its end in a fleet of 740 that has seen 740 names, and one that has seen
// 100,000 more; the two must cost alike.
func BenchmarkRolling(b *testing.B) {
	for name, rolls := range map[string]int{"new": 0, "after 100,000 names": 5000} {
		b.Run(name, func(b *testing.B) {
			f := newRolling(&testing.T{})
			for range rolls {
				f.roll()
			}
			b.ResetTimer()
			for i := range b.N {
				id := RequestID(i + 1)
				f.g.now += time.Millisecond
				f.g.step(f.g.request(id, 0, 1500))
				f.g.step(ClientDisconnected{id})
				if f.g.r.requests[id] != nil {
					a := f.g.r.requests[id].attempts[0]
					f.g.step(Outcome{Request: id, Endpoint: a.backend.ID, Result: Cancelled, RequestDone: true})
				}
			}
		})
	}
}
