package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// BenchmarkStep measures the arrival and the end of a request in fleets of several sizes.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 74, 100, 740} {
		b.Run(fmt.Sprintf("%d endpoints", n), func(b *testing.B) { benchmarkStep(b, n*2/5, n-n*2/5) })
	}
}

func benchmarkStep(b *testing.B, prefills, decodes int) {
	config := testConfig()
	config.Replicas = 300
	r := newTestRouter(b, config, 1)
	now := time.Minute
	r.Step(now, []Event{EndpointList{Scope: ListFull, Endpoints: endpoints(prefills, decodes)}})
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

// BenchmarkQueuedRequests measures one event while n requests are queued for 20 endpoints without capacity.
func BenchmarkQueuedRequests(b *testing.B) {
	for _, n := range []int{200, 3000, 10000} {
		b.Run(fmt.Sprintf("arrival and disconnect, %d queued", n), func(b *testing.B) { newFullRouter(b, n).arrivals(b) })
		b.Run(fmt.Sprintf("timer, %d queued", n), func(b *testing.B) { newFullRouter(b, n).timers(b) })
		b.Run(fmt.Sprintf("freed capacity, %d queued", n), func(b *testing.B) { newFullRouter(b, n).retries(b) })
	}
}

// fullRouter is a router with queued requests, whose endpoints have no capacity.
type fullRouter struct {
	router   *Router
	rnd      *rand.Rand
	now      time.Duration
	nextID   RequestID
	queued   int
	sends    map[RequestID]Send // in flight
	attempts map[RequestID]int
}

func newFullRouter(b *testing.B, requests int) *fullRouter {
	b.Helper()
	const prefillsInFlight = 48 // maxPrefills at each of eight endpoints
	config := testConfig()
	for i := range config.Classes {
		config.Classes[i].LatencyObjective = time.Hour
	}
	f := &fullRouter{
		router: newTestRouter(b, config, 1), rnd: rand.New(rand.NewSource(1)), now: time.Minute,
		sends: map[RequestID]Send{}, attempts: map[RequestID]int{},
	}
	f.step(EndpointList{Scope: ListFull, Endpoints: endpoints(8, 12)})
	for range requests + prefillsInFlight {
		f.step(f.request())
	}
	f.queued = len(f.router.queue.waiting)
	return f
}

func (f *fullRouter) request() Request {
	f.nextID++
	return Request{
		ID: f.nextID, Session: uint64(f.nextID), Prefix: uint64(f.rnd.Intn(50)),
		PromptTokens: float64(500 + f.rnd.Intn(3000)), MaxOutputTokens: 200, Deadline: f.now + time.Hour,
	}
}

func (f *fullRouter) step(event Event) {
	for _, send := range actionsOf[Send](f.router.Step(f.now, []Event{event})) {
		f.sends[send.Request] = send
	}
}

func (f *fullRouter) arrivals(b *testing.B) {
	b.ResetTimer()
	for range b.N {
		f.now += 10 * time.Microsecond
		f.router.Step(f.now, []Event{f.request()})
		f.router.Step(f.now, []Event{ClientDisconnected{f.nextID}})
	}
	b.ReportMetric(float64(f.queued), "queued")
}

func (f *fullRouter) timers(b *testing.B) {
	b.ResetTimer()
	for range b.N {
		f.now += 10 * time.Microsecond
		f.router.Step(f.now, []Event{Timer{}})
	}
	b.ReportMetric(float64(f.queued), "queued")
}

// retries makes prefills fail. Each failed request is queued again, and another one is sent instead.
func (f *fullRouter) retries(b *testing.B) {
	b.ResetTimer()
	for range b.N {
		f.now += 10 * time.Microsecond
		for id, send := range f.sends {
			delete(f.sends, id)
			f.step(Outcome{
				Request: id, Attempt: f.attempts[id], Endpoint: send.Endpoint, Result: Rejected, StateMissing: true,
				Elapsed: ms,
			})
			f.attempts[id]++
			if req := f.router.requests[id]; req != nil {
				req.attempts = req.attempts[:0] // otherwise it would run out of attempts
				f.attempts[id] = 0
			}
			break
		}
	}
	b.ReportMetric(float64(f.queued), "queued")
}
