package routing

import (
	"testing"
	"time"
)

func TestRequestIsPrefilledThenDecoded(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	prefill := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 1000)))
	if prefill.Endpoint != 1 {
		t.Fatalf("prefilled at endpoint %d, want the prefill endpoint", prefill.Endpoint)
	}
	decode := onlyAction[Send](t, h.prefilled(1, 1, 100*ms))
	if decode.Endpoint == 1 {
		t.Fatal("decoded at the prefill endpoint")
	}
	h.firstToken(1, 1, decode.Endpoint, 50*ms)
	h.now += time.Second
	actions := h.step(Outcome{
		Request: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Served, RequestDone: true,
	})
	if len(actionsOf[Reject](actions))+len(actionsOf[Fail](actions))+len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("actions after the end: %+v", actions)
	}
	if len(h.router.requests) != 0 {
		t.Fatal("the router keeps a request that has ended")
	}
}

func TestInvalidEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	huge := h.request(9, idempotentClass, 3e7)
	huge.Session, huge.Prefix = 0, 0
	actions := h.step(
		ClientDisconnected{Request: 77},
		Outcome{Request: 77},
		FirstToken{Request: 77},
		Timer{Tag: 99},
		Reserved{Request: 77},
		Request{ID: 5, Class: 40},
		huge,
		Outcome{Request: 9, Attempt: 8},
		FirstToken{Request: 9, Attempt: -1},
		EndpointList{Scope: ListChanges, Endpoints: []Endpoint{{ID: 60, Kind: 12, State: EndpointReady}}},
		EndpointList{Scope: ListFull},
	)
	if len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("sends with an empty endpoint list: %+v", actions)
	}
	onlyAction[Reject](t, h.advance(5*time.Second))
}

// TestShutdownRejectsRequests: requests without an answer are rejected at a shutdown, also those that arrive after it.
func TestShutdownRejectsRequests(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	onlyAction[Send](t, h.step(h.request(1, notIdempotentClass, 1000)))
	onlyAction[Reject](t, h.step(Shutdown{}))
	for id := RequestID(2); id < 40; id++ {
		actions := h.step(h.request(id, notIdempotentClass, 1000))
		if r := onlyAction[Reject](t, actions); r.Request != id || len(actionsOf[Send](actions)) > 0 {
			t.Errorf("want only a rejection of the new request, got %+v", actions)
		}
	}
}
