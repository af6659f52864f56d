package routing

import (
	"cmp"
	"testing"
	"time"
)

// TestSilentEndpointIsEjected: decodes of a class that is not idempotent have no time-out, so a stalled endpoint
// shows only by its silence.
func TestSilentEndpointIsEjected(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	lateSends, silent := 0, EndpointID(0)
	for id := RequestID(1); id <= 120; id++ {
		h.now += 30 * ms
		send := h.prefillRequest(t, h.request(id, notIdempotentClass, 500), 20*ms)
		silent = cmp.Or(silent, send.Endpoint)
		if send.Endpoint == silent {
			lateSends += boolToInt(id > 90)
			continue
		}
		h.firstToken(id, 1, send.Endpoint, ms)
		h.end(Served, id, 1, send.Endpoint, 0)
	}
	if ejected := h.backend(silent).health.ejected; lateSends > 0 || !ejected {
		t.Fatalf("%d late sends to the silent endpoint, ejected: %v", lateSends, ejected)
	}
}

func TestNoEndpointIsEjectedWhenAllAreSilent(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	for id := RequestID(1); id <= 30; id++ {
		prefill := onlyAction[Send](t, h.advance(30*ms, h.request(id, notIdempotentClass, 500)))
		h.prefilled(id, prefill.Endpoint, 20*ms)
	}
	for range 40 {
		h.advance(100 * ms)
	}
	for _, id := range []EndpointID{2, 3, 4} {
		if h.backend(id).health.ejected {
			t.Fatalf("endpoint %d ejected though all endpoints are silent", id)
		}
	}
}

// TestEndpointSilentToOneClassIsTriedLastForIt: an endpoint answers one class and is silent to another, whose decodes
// have no time-out. Once one of these has been unanswered for long, requests of that class go to another endpoint,
// although it has more attempts. Other classes are not affected.
func TestEndpointSilentToOneClassIsTriedLastForIt(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	decodedAt := func(id RequestID, class int) EndpointID {
		h.now += 10 * ms
		return h.prefillRequest(t, h.request(id, class, 500), 10*ms).Endpoint
	}
	silent := decodedAt(1, notIdempotentClass) // this attempt gets no response
	silentTo := func(class int) bool { return h.backend(silent).silence.toClass(class) }
	elsewhere := 0
	for id := RequestID(2); id < 6; id++ {
		elsewhere += boolToInt(decodedAt(id, idempotentClass) != silent)
		endpoint := h.router.requests[id].attempts[1].backend.ID
		h.step(FirstToken{Request: id, Attempt: 1, Endpoint: endpoint, Elapsed: 10 * ms})
	}
	for range 60 { // the endpoint keeps answering other attempts
		h.advance(50 * ms)
		h.backend(silent).silence.silentSince = h.now
	}
	ejected := h.backend(silent).health.ejected
	if elsewhere == 0 || ejected || !silentTo(notIdempotentClass) || silentTo(idempotentClass) {
		t.Fatalf("%d streams at the other endpoint, state of the silent one %+v", elsewhere, h.backend(silent))
	}
	for _, b := range h.router.backends.sorted { // so that the silent one has the fewest attempts
		if b.role == RoleDecode && b.ID != silent {
			b.load.attempts = 9
		}
	}
	if decodedAt(20, notIdempotentClass) == silent {
		t.Error("a request went to the endpoint that is silent to its class")
	}
	if decodedAt(21, idempotentClass) != silent {
		t.Error("a request of another class avoids the endpoint too")
	}
	h.step(Outcome{Request: 1, Attempt: 1, Endpoint: silent, Result: TimedOut, Elapsed: 5 * time.Second})
	if h.advance(evaluationInterval); silentTo(notIdempotentClass) {
		t.Error("the endpoint still counts as silent to the class after the attempt has ended")
	}
}
