package routing

import (
	"testing"
	"time"
)

// TestOutlierThatFailsFastIsEjected: an endpoint that fails attempts at once always has the fewest in flight, so
// without ejection it would get all requests.
func TestOutlierThatFailsFastIsEjected(t *testing.T) {
	const failing = EndpointID(2)
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(failing), decodeEndpoint(3), decodeEndpoint(4))
	attempts := 0
	for id := RequestID(1); id <= 40; id++ {
		h.now += 20 * ms
		send := h.prefillRequest(t, h.request(id, idempotentClass, 500), 20*ms)
		attempt := 1
		for ; send.Endpoint == failing; attempt++ {
			attempts++
			send = onlyAction[Send](t, h.end(EngineError, id, attempt, failing, ms))
		}
		h.firstToken(id, attempt, send.Endpoint, ms)
	}
	if attempts > 6 {
		t.Fatalf("%d attempts at the failing endpoint", attempts)
	}
}

func TestOutlierThatRecoversIsUsedAgain(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(2), decodeEndpoint(3))
	b := h.backend(1)
	h.router.eject(b, "test")
	for id := RequestID(1); id <= 40; id++ {
		req := h.request(id, idempotentClass, 300)
		req.Prefix = uint64(id)
		for _, send := range actionsOf[Send](h.advance(100*ms, req)) {
			h.prefilled(send.Request, send.Endpoint, 10*ms)
		}
	}
	if b.health.ejected {
		t.Fatal("still ejected after 40 requests that it could have prefilled")
	}
}

func TestOutliersServeWhenTheirWholeRoleIsEjected(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	h.router.eject(h.backend(1), "test")
	h.router.eject(h.backend(2), "test")
	h.prefillRequest(t, h.request(1, notIdempotentClass, 500), ms)
}

// TestOutlierIsAvoidedAfterOneFailureWhereOutcomesAreSparse: a replica that sends an endpoint two requests a minute
// avoids it after a single failure.
func TestOutlierIsAvoidedAfterOneFailureWhereOutcomesAreSparse(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	h.advance(30 * time.Second)
	failing := h.prefillRequest(t, h.request(1, idempotentClass, 500), 20*ms).Endpoint
	other := 5 - failing
	h.end(EngineError, 1, 1, failing, 20*ms)
	h.end(Served, 1, 2, other, 20*ms)
	for id := RequestID(2); id < 8; id++ {
		h.now += time.Second
		if send := h.prefillRequest(t, h.request(id, idempotentClass, 500), 20*ms); send.Endpoint == failing {
			t.Fatalf("request %d went to the endpoint that failed", id)
		}
		h.end(Served, id, 1, other, 20*ms)
	}
}

// TestOutlierForOneClassServesOthers: an endpoint that fails one class is tried last for that class and still serves
// others.
func TestOutlierForOneClassServesOthers(t *testing.T) {
	config := testConfig()
	config.Classes[1].Idempotency = Idempotent
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	sent := map[int]int{} // sends to endpoint 2, which fails class 1, by class
	for id := RequestID(1); id <= 80; id++ {
		class := int(id % 2)
		h.now += 200 * ms
		send := h.prefillRequest(t, h.request(id, class, 500), 20*ms)
		for attempt := 1; ; attempt++ {
			if send.Endpoint == 2 && id > 20 {
				sent[class]++
			}
			if send.Endpoint == 2 && class == 1 {
				send = onlyAction[Send](t, h.end(EngineError, id, attempt, 2, 20*ms))
				continue
			}
			h.firstToken(id, attempt, send.Endpoint, 20*ms)
			h.end(Served, id, attempt, send.Endpoint, 20*ms)
			break
		}
	}
	if sent[0] < 12 || 3*sent[1] > 2*sent[0] {
		t.Fatalf("endpoint 2 was sent %d of the class it serves and %d of the class it fails, of 30 each",
			sent[0], sent[1])
	}
}

// TestRejectingEndpointIsTriedLastForThatClass: an endpoint that rejects one class is tried last for it, and as before
// for others.
func TestRejectingEndpointIsTriedLastForThatClass(t *testing.T) {
	const rejecting = EndpointID(2) // it rejects class 0
	config := testConfig()
	config.Classes[1].Idempotency = Idempotent
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(rejecting), decodeEndpoint(3))
	id := RequestID(0)
	play := func(class int) (triedFirst EndpointID) {
		id++
		h.now += 300 * ms
		send := h.prefillRequest(t, h.request(id, class, 1000), ms)
		triedFirst = send.Endpoint
		attempt := 1
		for ; send.Endpoint == rejecting && class == 0; attempt++ {
			send = onlyAction[Send](t, h.end(Rejected, id, attempt, rejecting, ms))
		}
		h.firstToken(id, attempt, send.Endpoint, ms)
		h.end(Served, id, attempt, send.Endpoint, ms)
		return triedFirst
	}
	playMany := func(class, requests int) (triedFirst int) {
		for range requests {
			triedFirst += boolToInt(play(class) == rejecting)
		}
		return triedFirst
	}
	playMany(0, 12) // the rejection rate rises
	if n := playMany(0, 10); n > 0 {
		t.Errorf("the endpoint that rejects the class was tried first %d times of 10", n)
	}
	if n := playMany(1, 20); n == 0 {
		t.Error("requests of another class are no longer sent to the endpoint that rejects class 0")
	}
}
