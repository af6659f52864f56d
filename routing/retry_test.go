package routing

import "testing"

func TestNotIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
	decode := h.prefillRequest(t, h.request(1, notIdempotentClass, 1000), 100*ms)
	if decode.Timeout != 0 {
		t.Fatalf("time-out %v on an attempt that nothing may replace", decode.Timeout)
	}
	h.now += 100 * ms
	actions := h.step(Outcome{Request: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: EngineError})
	onlyAction[Fail](t, actions)
	onlyAction[ReleaseState](t, actions)
}

func TestRequestWithoutItsStateIsPrefilledAgain(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(4), decodeEndpoint(2))
	h.prefillRequest(t, h.request(1, notIdempotentClass, 500), ms)
	actions := h.advance(ms, Outcome{
		Request: 1, Attempt: 1, Endpoint: 2, Result: Rejected, StateMissing: true, Elapsed: ms,
	})
	if s := onlyAction[Send](t, actions); s.Endpoint == 2 {
		t.Fatal("sent to the decode endpoint with no state")
	}
}

// TestStateLostWithAFailedAnswer: the request is prefilled again, unless too few attempts are left for a prefill and a
// decode.
func TestStateLostWithAFailedAnswer(t *testing.T) {
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
			t.Fatalf("sent to %d, want the prefill endpoint", s.Endpoint)
		}
		s := onlyAction[Send](t, h.end(PrefillDone, 1, 2, 1, ms))
		if s.Endpoint == 1 || s.Endpoint == first.Endpoint {
			t.Errorf("then sent to %d, want the other decode endpoint", s.Endpoint)
		}
	})
	t.Run("one attempt left", func(t *testing.T) {
		config := config
		config.MaxAttempts = 3
		h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
		first := h.prefillRequest(t, h.request(1, idempotentClass, 1000), ms)
		if s := fail(t, h, 1, first.Endpoint); s.Endpoint == 1 || s.Endpoint == first.Endpoint {
			t.Errorf("sent to %d, want the other decode endpoint, which prefills by itself", s.Endpoint)
		}
	})
}

// TestClientRetries: a retry that a client makes by itself may follow a lost answer. That of a request that is not
// idempotent fails at once and is never sent; others are treated as usual. A rejection of one that is not idempotent
// asks the client not to retry.
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
				t.Errorf("%+v", actions)
			}
			if notIdempotent && len(h.router.requests) != 0 {
				t.Error("the request is remembered after its answer")
			}
		})
		t.Run(c.Name+", rejected", func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1)) // nothing decodes
			actions := h.step(h.request(2, class, 500))
			for range 1000 {
				if rejects := actionsOf[Reject](actions); len(rejects) == 1 {
					if rejects[0].NoAutoRetry != notIdempotent {
						t.Errorf("%+v", rejects[0])
					}
					break
				}
				actions = h.advance(20 * ms)
			}
			if len(h.router.requests) != 0 {
				t.Error("never rejected")
			}
		})
	}
}
