package routing

import (
	"testing"
	"time"
)

func TestStateOfACanceledPrefillIsReleased(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	h.step(h.request(1, idempotentClass, 500))
	onlyAction[Cancel](t, h.advance(ms, ClientDisconnected{Request: 1}))
	onlyAction[ReleaseState](t, h.advance(ms, Outcome{
		Request: 1, Endpoint: 1, Result: PrefillDone, RequestDone: true, Elapsed: 2 * ms,
	}))
}

func TestStateIsReleasedWhenItsDecodeEndpointDrains(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	h.step(h.request(1, idempotentClass, 500))
	draining := decodeEndpoint(2)
	draining.State = EndpointDraining
	actions := h.advance(ms, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{draining}},
		Outcome{Request: 1, Endpoint: 1, Result: PrefillDone, Elapsed: ms})
	if n := len(actionsOf[Send](actions)); n != 0 {
		t.Fatalf("%d sends after the drain", n)
	}
	actions = h.advance(400 * ms)
	onlyAction[ReleaseState](t, actions)
	onlyAction[Reject](t, actions)
}

// TestStateDoesNotWaitForFailingConnections: one decode endpoint after another can't be reached. The state waits all
// the while, so connections get little time, and it is released in time with an answer; a decode endpoint that got the
// request and rejected it ends the wait.
func TestStateDoesNotWaitForFailingConnections(t *testing.T) {
	tests := []struct {
		name         string
		rejected     int // attempt that arrives and is rejected; 0 = none
		wantAttempts int
	}{
		{"all connections fail", 0, 5},
		{"one attempt is rejected", 3, 8},
	}
	config := testConfig()
	config.MaxAttempts = 20
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var listed []Endpoint
			for id := EndpointID(2); id < 30; id++ {
				listed = append(listed, decodeEndpoint(id))
			}
			h := newHarness(t, config, append(listed, prefillEndpoint(1))...)
			h.step(h.request(1, idempotentClass, 500))
			actions, waited, attempts := h.prefilled(1, 1, ms), time.Duration(0), 0
			for len(actionsOf[Send](actions)) > 0 {
				send, result := onlyAction[Send](t, actions), ConnectFailed
				if send.ConnectTimeout <= 0 || waited+send.ConnectTimeout > config.StateTTL {
					t.Fatalf("attempt %d after %v may take %v to connect", attempts, waited, send.ConnectTimeout)
				}
				attempts++
				waited += send.ConnectTimeout
				if attempts == tc.rejected {
					result, waited = Rejected, 0
				}
				actions = h.end(result, 1, attempts, send.Endpoint, send.ConnectTimeout)
			}
			onlyAction[Reject](t, actions)
			onlyAction[ReleaseState](t, actions)
			if attempts != tc.wantAttempts {
				t.Errorf("%d attempts, want %d", attempts, tc.wantAttempts)
			}
		})
	}
}

// TestStateIsReleasedInTimeDespiteASilentDecode: a decode has been sent and nothing is heard of it. The state is
// released in time and the attempt goes on. If it begins, all is well; if the endpoint rejects it, the state waited
// for it and goes to another one; if it ends without an answer, the request is prefilled again.
func TestStateIsReleasedInTimeDespiteASilentDecode(t *testing.T) {
	tests := []struct {
		name   string
		end    func(h *harness, endpoint EndpointID) []Action
		sent   bool // there is a further attempt
		decode bool // it is a decode
	}{
		{"begins", func(h *harness, endpoint EndpointID) []Action {
			return h.step(FirstToken{Request: 1, Attempt: 1, Endpoint: endpoint, Elapsed: 900 * ms})
		}, false, false},
		{"rejected", func(h *harness, endpoint EndpointID) []Action {
			return h.step(Outcome{Request: 1, Attempt: 1, Endpoint: endpoint, Result: Rejected})
		}, true, true},
		{"times out", func(h *harness, endpoint EndpointID) []Action {
			return h.step(Outcome{Request: 1, Attempt: 1, Endpoint: endpoint, Result: TimedOut})
		}, true, false},
		{"breaks", func(h *harness, endpoint EndpointID) []Action {
			return h.step(Outcome{Request: 1, Attempt: 1, Endpoint: endpoint, Result: ConnectionReset})
		}, true, false},
	}
	config := testConfig()
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
			req := h.request(1, idempotentClass, 500)
			req.Deadline += 10 * time.Second
			decode := h.prefillRequest(t, req, ms)
			if actions := h.advance(config.StateTTL / 2); len(actionsOf[ReleaseState](actions)) > 0 {
				t.Errorf("released after half of the time: %v", actions)
			}
			actions := h.advance(config.StateTTL/2 - 50*ms)
			onlyAction[ReleaseState](t, actions)
			if len(actionsOf[Cancel](actions))+len(actionsOf[Reject](actions)) > 0 {
				t.Errorf("the attempt does not go on: %v", actions)
			}
			h.now += 100 * ms
			actions = tc.end(h, decode.Endpoint)
			sends, releases := actionsOf[Send](actions), actionsOf[ReleaseState](actions)
			switch {
			case len(sends) != boolToInt(tc.sent):
				t.Errorf("%v", actions)
			case tc.sent && (sends[0].Endpoint != 1) != tc.decode:
				t.Errorf("sent to %d", sends[0].Endpoint)
			case len(releases) != boolToInt(tc.sent && !tc.decode):
				t.Errorf("%d releases before the next attempt: %v", len(releases), actions)
			}
		})
	}
}
