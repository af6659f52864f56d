package routing

import (
	"testing"
	"time"
)

// rollingFleet is a fleet of 740 endpoints of which 20 are replaced by new ids every minute, by full endpoint lists.
type rollingFleet struct {
	harness *harness
	listed  []Endpoint
	nextID  EndpointID
}

func newRollingFleet(tb testing.TB) *rollingFleet {
	tb.Helper()
	f := &rollingFleet{
		harness: &harness{router: newTestRouter(tb, testConfig(), 1), now: time.Minute},
		listed:  endpoints(340, 400),
		nextID:  100000,
	}
	f.sendList()
	return f
}

func (f *rollingFleet) sendList() {
	f.harness.step(EndpointList{Scope: ListFull, Endpoints: f.listed})
}

func (f *rollingFleet) replacePods() {
	for range 20 {
		i := int(f.nextID) % len(f.listed)
		f.listed[i].ID = f.nextID
		f.nextID++
	}
	f.harness.now += time.Minute
	f.sendList()
}

// TestGoneEndpointsAreForgotten: the number of endpoints kept is bounded by the length of the list and the number of
// endpoints that left it recently.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	f := newRollingFleet(t)
	known := &f.harness.router.backends
	most := len(f.listed) + 20*int(goneRetention/time.Minute+1)
	for range 5000 {
		f.replacePods()
		if n := len(known.sorted); n > most || n != len(known.byID) {
			t.Fatalf("%d endpoints and %d ids are kept, want equal numbers and at most %d", n, len(known.byID), most)
		}
	}
	f.harness.step(f.harness.request(1, idempotentClass, 500))
	f.harness.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 77, State: EndpointGone}}})
	if f.harness.backend(77) != nil {
		t.Error("an endpoint that was already gone in its first update is kept")
	}
}

// TestGoneEndpointKeepsItsStatistics: an endpoint that left the list is kept while it has attempts in flight, and its
// health survives if it is listed again soon.
func TestGoneEndpointKeepsItsStatistics(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	list := func(listed ...Endpoint) { h.step(EndpointList{Scope: ListFull, Endpoints: listed}) }
	sends := actionsOf[Send](h.step(h.request(1, idempotentClass, 500)))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Fatalf("sends %v, want one to endpoint 1", sends)
	}
	h.backend(1).health.failures[0] = 0.9
	for range 3 {
		h.now += goneRetention
		list(decodeEndpoint(2))
	}
	if b := h.backend(1); b == nil || b.load.attempts != 1 {
		t.Fatal("an endpoint with an attempt in flight was forgotten")
	}
	h.step(Outcome{Request: 1, Endpoint: 1, Result: ConnectionReset})
	list(decodeEndpoint(2))
	if h.backend(1) != nil {
		t.Error("the endpoint is kept although its attempt has ended")
	}
	list(prefillEndpoint(3), decodeEndpoint(2))
	h.backend(3).health.failures[0] = 0.9
	list(decodeEndpoint(2))
	h.now += time.Second
	list(prefillEndpoint(3), decodeEndpoint(2))
	if b := h.backend(3); b.health.failures[0] < 0.8 || b.goneAt != 0 {
		t.Errorf("an endpoint listed again after a second lost its statistics: failure rate %.2f", b.health.failures[0])
	}
}

func TestPolledListIsFetchedAgain(t *testing.T) {
	config := testConfig()
	config.PollEndpoints, config.PollInterval = true, 4*time.Second
	h := newHarness(t, config)
	if actions := h.advance(3 * time.Second); len(actionsOf[FetchEndpoints](actions)) != 1 {
		t.Fatalf("want one fetch, got %+v", actions)
	}
	h.advance(ms, EndpointList{Scope: ListFailed})
	onlyAction[FetchEndpoints](t, h.advance(time.Second))
}

// TestAttemptsInFlightEndNormallyWhenAnEndpointChangesRole: a prefill endpoint becomes a decode endpoint while it has
// prefills in flight and holds a read state. The attempts in flight end as usual, no further prompt is prefilled
// there, and its load is 0 when all of them have ended.
func TestAttemptsInFlightEndNormallyWhenAnEndpointChangesRole(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	for id := RequestID(1); id <= 3; id++ {
		sends := actionsOf[Send](h.step(h.request(id, idempotentClass, 500)))
		if len(sends) != 1 || sends[0].Endpoint != 1 {
			t.Fatalf("sends %v, want one to endpoint 1", sends)
		}
	}
	prefilled := func(id RequestID, took time.Duration) []Action {
		return h.step(Outcome{Request: id, Endpoint: 1, Result: PrefillDone, Elapsed: took})
	}
	actions := prefilled(1, 20*ms)
	if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].Endpoint != 2 {
		t.Fatalf("actions %v, want one send to endpoint 2", actions)
	}
	draining := prefillEndpoint(1)
	draining.State = EndpointDraining
	h.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{draining, prefillEndpoint(3)}})
	changed := decodeEndpoint(1)
	changed.StartedAt = h.now
	h.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{changed}})
	sends := actionsOf[Send](h.step(h.request(4, idempotentClass, 500)))
	if len(sends) != 1 || sends[0].Endpoint != 3 {
		t.Errorf("sends of a new request %v, want one to endpoint 3", sends)
	}
	for id := RequestID(2); id <= 3; id++ { // their prefills began before the change
		actions := prefilled(id, 30*ms)
		if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].Endpoint == 3 {
			t.Errorf("actions %v, want one send to a decode endpoint", actions)
		}
	}
	for id := RequestID(1); id <= 3; id++ {
		to := h.router.requests[id].attempts[1].backend.ID
		h.step(FirstToken{Request: id, Attempt: 1, Endpoint: to, Elapsed: 20 * ms})
		h.step(Outcome{
			Request: id, Attempt: 1, Endpoint: to, Result: Served, RequestDone: true, Elapsed: 50 * ms,
		})
	}
	b := h.backend(1)
	idle := b.load.attempts == 0 && b.load.memory == 0 && b.load.uncached == 0 && b.silence.unanswered == 0
	if !idle || b.role != RoleDecode {
		t.Errorf("role %d, load %+v, %d unanswered after all attempts have ended",
			b.role, b.load, b.silence.unanswered)
	}
}

// BenchmarkRolling measures the arrival and the end of a request in a new fleet of 740 endpoints and in one where
// 100,000 endpoints were replaced before. Both must cost about the same.
func BenchmarkRolling(b *testing.B) {
	for name, rolls := range map[string]int{"new": 0, "after 100,000 replaced endpoints": 5000} {
		b.Run(name, func(b *testing.B) {
			f := newRollingFleet(b)
			for range rolls {
				f.replacePods()
			}
			h := f.harness
			b.ResetTimer()
			for i := range b.N {
				id := RequestID(i + 1)
				h.now += time.Millisecond
				h.step(h.request(id, idempotentClass, 1500))
				h.step(ClientDisconnected{id})
				if req := h.router.requests[id]; req != nil {
					endpoint := req.attempts[0].backend.ID
					h.step(Outcome{Request: id, Endpoint: endpoint, Result: Canceled, RequestDone: true})
				}
			}
		})
	}
}
