package routing

import "testing"

func TestNotIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	decode := h.prefillRequest(t, h.request(1, notIdempotentClass, 1000), 100*ms)
	if decode.Timeout != 0 {
		t.Fatalf("time-out %v of a decode that is not idempotent, want none", decode.Timeout)
	}
	h.now += 100 * ms
	actions := h.step(Outcome{Request: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: EngineError})
	onlyAction[Fail](t, actions)
	onlyAction[ReleaseState](t, actions)
}

func TestMissingStateIsPrefilledAgain(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(4), decodeEndpoint(2))
	h.prefillRequest(t, h.request(1, notIdempotentClass, 500), ms)
	actions := h.advance(ms, Outcome{
		Request: 1, Attempt: 1, Endpoint: 2, Result: Rejected, StateMissing: true, Elapsed: ms,
	})
	if s := onlyAction[Send](t, actions); s.Endpoint == 2 {
		t.Fatal("sent to the decode endpoint without a read state")
	}
}

// TestStateLostWithFailedDecode checks that a request whose read state was lost with a failed decode is prefilled
// again, unless too few attempts are left for a prefill and a decode.
func TestStateLostWithFailedDecode(t *testing.T) {
	config := testConfig()
	config.DecodeCanPrefill = true
	fail := func(t *testing.T, h *harness, attempt int, endpoint EndpointID) Send {
		t.Helper()
		return onlyAction[Send](t, h.advance(ms, Outcome{
			Request: 1, Attempt: attempt, Endpoint: endpoint, Result: EngineError, StateMissing: true, Elapsed: ms,
		}))
	}
	t.Run("attempts left", func(t *testing.T) {
		h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
		first := h.prefillRequest(t, h.request(1, idempotentClass, 1000), ms)
		if s := fail(t, h, 1, first.Endpoint); s.Endpoint != 1 {
			t.Fatalf("sent to endpoint %d, want the prefill endpoint", s.Endpoint)
		}
		s := onlyAction[Send](t, h.end(PrefillDone, 1, 2, 1, ms))
		if s.Endpoint == 1 || s.Endpoint == first.Endpoint {
			t.Errorf("sent to endpoint %d after the second prefill, want the other decode endpoint", s.Endpoint)
		}
	})
	t.Run("one attempt left", func(t *testing.T) {
		config := config
		config.MaxAttempts = 3
		h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
		first := h.prefillRequest(t, h.request(1, idempotentClass, 1000), ms)
		if s := fail(t, h, 1, first.Endpoint); s.Endpoint == 1 || s.Endpoint == first.Endpoint {
			t.Errorf("sent to endpoint %d, want the other decode endpoint, which prefills by itself", s.Endpoint)
		}
	})
}

// TestClientRetries checks requests that a client retries by itself, possibly after a lost answer. If the class is not
// idempotent, the retry fails at once without being sent, and a rejection asks the client not to retry automatically.
// Retries of other classes are treated as any request.
func TestClientRetries(t *testing.T) {
	config := testConfig()
	for class, c := range config.Classes {
		notIdempotent := c.Idempotency == NotIdempotent
		t.Run(c.Name+", possible duplicate", func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
			req := h.request(1, class, 500)
			req.PossibleDuplicate = true
			actions := h.step(req)
			fails, sends := actionsOf[Fail](actions), actionsOf[Send](actions)
			failed := len(fails) == 1 && fails[0].PossibleDuplicate
			if failed != notIdempotent || (len(sends) == 1) == notIdempotent {
				t.Errorf("actions %+v of a possible duplicate", actions)
			}
			if notIdempotent && len(h.router.requests) != 0 {
				t.Error("the router keeps the request after its final answer")
			}
		})
		t.Run(c.Name+", rejected", func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1)) // no decode endpoint
			actions := h.step(h.request(2, class, 500))
			for range 1000 {
				if rejects := actionsOf[Reject](actions); len(rejects) == 1 {
					if rejects[0].NoAutoRetry != notIdempotent {
						t.Errorf("wrong NoAutoRetry in %+v", rejects[0])
					}
					break
				}
				actions = h.advance(20 * ms)
			}
			if len(h.router.requests) != 0 {
				t.Error("the request was never rejected")
			}
		})
	}
}
