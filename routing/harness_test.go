package routing

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig returns a Config with a kind of endpoint for each role and a class for each kind of idempotency.
func testConfig() Config {
	return Config{
		Replicas: 1, MaxAttempts: 4, CanCancel: true, StateTTL: 500 * ms, MaxRetryAfter: time.Second,
		Kinds: []Kind{{RolePrefill, 200000}, {RoleDecode, 150000}, {RoleMixed, 200000}},
		Classes: []Class{
			{
				Name: "idempotent", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1,
			},
			{
				Name: "not idempotent", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2,
				Idempotency: NotIdempotent,
			},
			{
				Name: "with key", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: 2 * time.Second,
			},
		},
		SlowStartFrom: 0.25, SlowStartFor: 10 * time.Second, OverloadFactor: 4, OverloadAfter: 1500 * ms,
	}
}

// Indices of testConfig's classes.
const (
	idempotentClass    = 0
	notIdempotentClass = 1
	keyedClass         = 2
)

func newTestRouter(tb testing.TB, config Config, seed uint64) *Router {
	tb.Helper()
	router, err := New(config, seed)
	if err != nil {
		tb.Fatal(err)
	}
	return router
}

// harness drives one Router with a simulated clock.
type harness struct {
	router *Router
	now    time.Duration
}

func newHarness(t *testing.T, config Config, endpoints ...Endpoint) *harness {
	t.Helper()
	h := &harness{router: newTestRouter(t, config, 7), now: time.Minute}
	h.step(EndpointList{Scope: ListCached, Endpoints: endpoints})
	return h
}

func (h *harness) step(events ...Event) []Action { return h.router.Step(h.now, events) }

// advance moves the clock forward and steps.
func (h *harness) advance(d time.Duration, events ...Event) []Action {
	h.now += d
	return h.step(events...)
}

func (h *harness) request(id RequestID, class int, promptTokens float64) Request {
	return Request{
		ID: id, Class: class, Session: uint64(id), Prefix: 9, PromptTokens: promptTokens,
		PrefixTokens: promptTokens / 2, MaxOutputTokens: 200, Deadline: h.now + 5*time.Second,
	}
}

// end moves the clock forward and reports the outcome of an attempt.
func (h *harness) end(result Result, id RequestID, attempt int, endpoint EndpointID, took time.Duration) []Action {
	return h.advance(took, Outcome{
		Request: id, Attempt: attempt, Endpoint: endpoint, Result: result, RequestDone: result == Served,
		Elapsed: took,
	})
}

// prefilled moves the clock forward and reports that the first attempt of a request, a prefill, is done.
func (h *harness) prefilled(id RequestID, endpoint EndpointID, took time.Duration) []Action {
	return h.end(PrefillDone, id, 0, endpoint, took)
}

// firstToken moves the clock forward and reports the first token of an attempt.
func (h *harness) firstToken(id RequestID, attempt int, endpoint EndpointID, took time.Duration) {
	h.advance(took, FirstToken{Request: id, Attempt: attempt, Endpoint: endpoint, Elapsed: took})
}

// prefillRequest reports the arrival of a request and its prefill, and returns the send of its decode.
func (h *harness) prefillRequest(t *testing.T, req Request, took time.Duration) Send {
	t.Helper()
	prefill := onlyAction[Send](t, h.step(req))
	return onlyAction[Send](t, h.prefilled(req.ID, prefill.Endpoint, took))
}

// fillPrefills reports arrivals until the prefill endpoint has no capacity, and returns how many were sent there.
func (h *harness) fillPrefills(class int, promptTokens float64) int {
	total := 0
	for id := RequestID(1000); id < 1040; id++ {
		sent := len(actionsOf[Send](h.step(h.request(id, class, promptTokens))))
		if total += sent; sent == 0 {
			break
		}
	}
	return total
}

// backend returns the router's state of an endpoint; nil if it has none.
func (h *harness) backend(id EndpointID) *backend { return h.router.backends.byID[id] }

func prefillEndpoint(id EndpointID) Endpoint {
	return Endpoint{ID: id, Kind: 0, State: EndpointReady}
}

func decodeEndpoint(id EndpointID) Endpoint {
	return Endpoint{ID: id, Kind: 1, State: EndpointReady}
}

func mixedEndpoint(id EndpointID) Endpoint {
	return Endpoint{ID: id, Kind: 2, State: EndpointReady}
}

// firstDecodeID is the id of the first decode endpoint that endpoints returns.
const firstDecodeID = 500

// endpoints returns prefill and decode endpoints, four in a cell.
func endpoints(prefills, decodes int) []Endpoint {
	var out []Endpoint
	for i := range prefills {
		e := prefillEndpoint(EndpointID(100 + i))
		e.Cell = i / 4
		out = append(out, e)
	}
	for i := range decodes {
		e := decodeEndpoint(EndpointID(firstDecodeID + i))
		e.Cell = i / 4
		out = append(out, e)
	}
	return out
}

// actionsOf returns the actions of one type, in order.
func actionsOf[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// onlyAction returns the only action of a type, and fails the test if there is not exactly one.
func onlyAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	got := actionsOf[T](actions)
	if len(got) != 1 {
		t.Fatalf("want one %T, have %d in %+v", *new(T), len(got), actions)
	}
	return got[0]
}

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}
