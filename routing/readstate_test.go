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

// TestStateDoesNotWaitForFailingConnections: the connections to one decode endpoint after another fail. The state is
// held throughout, so the time to connect is short, and the state is released and the request rejected before the TTL
// ends. A decode endpoint that receives the request and rejects it restarts the TTL.
func TestStateDoesNotWaitForFailingConnections(t *testing.T) {
	tests := []struct {
		name         string
		rejected     int // number of the attempt that a decode endpoint rejects; 0 = none
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
					t.Fatalf("attempt %d, sent after %v, may take %v to connect", attempts, waited, send.ConnectTimeout)
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

// TestStateIsReleasedInTimeDespiteASilentDecode: a decode is in flight and has no response. The state is released
// before its TTL ends, and the attempt stays in flight. If its stream begins, nothing more is sent. If the endpoint
// rejects it, the attempt had arrived and kept the state, so the decode is sent to another endpoint. If it ends
// without a response, the request is prefilled again.
func TestStateIsReleasedInTimeDespiteASilentDecode(t *testing.T) {
	tests := []struct {
		name   string
		end    func(h *harness, endpoint EndpointID) []Action
		sent   bool // a further attempt is sent
		decode bool // it is a decode
	}{
		{"first token", func(h *harness, endpoint EndpointID) []Action {
			return h.step(FirstToken{Request: 1, Attempt: 1, Endpoint: endpoint, Elapsed: 900 * ms})
		}, false, false},
		{"rejected", func(h *harness, endpoint EndpointID) []Action {
			return h.step(Outcome{Request: 1, Attempt: 1, Endpoint: endpoint, Result: Rejected})
		}, true, true},
		{"times out", func(h *harness, endpoint EndpointID) []Action {
			return h.step(Outcome{Request: 1, Attempt: 1, Endpoint: endpoint, Result: TimedOut})
		}, true, false},
		{"connection reset", func(h *harness, endpoint EndpointID) []Action {
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
				t.Errorf("released after half of the TTL: %v", actions)
			}
			actions := h.advance(config.StateTTL/2 - 50*ms)
			onlyAction[ReleaseState](t, actions)
			if len(actionsOf[Cancel](actions))+len(actionsOf[Reject](actions)) > 0 {
				t.Errorf("the attempt was canceled or the request rejected: %v", actions)
			}
			h.now += 100 * ms
			actions = tc.end(h, decode.Endpoint)
			sends, releases := actionsOf[Send](actions), actionsOf[ReleaseState](actions)
			switch {
			case len(sends) != boolToInt(tc.sent):
				t.Errorf("wrong number of sends: %v", actions)
			case tc.sent && (sends[0].Endpoint != 1) != tc.decode:
				t.Errorf("the further attempt is at the wrong endpoint: %d", sends[0].Endpoint)
			case len(releases) != boolToInt(tc.sent && !tc.decode):
				t.Errorf("%d releases before the next attempt: %v", len(releases), actions)
			}
		})
	}
}
