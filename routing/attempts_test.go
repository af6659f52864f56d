package routing

import (
	"testing"
	"time"
)

// TestLostAttemptTimesOutInTimeForRetry covers a healthy endpoint that never answers one request. An attempt that may
// be repeated must time out early enough for another one to meet the latency objective. The retry, which misses the
// objective anyway, has the full time-out.
func TestLostAttemptTimesOutInTimeForRetry(t *testing.T) {
	const objective = time.Second
	config := testConfig()
	config.StateTTL = 2 * time.Second // longer than the time-out of the decode
	h := newHarness(t, config, prefillEndpoint(1), prefillEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	h.router.latency.firstToken, h.router.latency.prefillPace = 0.1, 5e-5
	prefill := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 1000)))
	if prefill.Timeout < 300*ms || prefill.Timeout > objective-2*100*ms {
		t.Errorf("prefill time-out %v, latency objective %v", prefill.Timeout, objective)
	}
	decode := onlyAction[Send](t, h.prefilled(1, prefill.Endpoint, 50*ms))
	if left := objective - 50*ms; decode.Timeout < 400*ms || decode.Timeout > left-2*100*ms {
		t.Errorf("first token time-out %v with %v left until the latency objective", decode.Timeout, left)
	}
	retry := onlyAction[Send](t, h.end(TimedOut, 1, 1, decode.Endpoint, decode.Timeout))
	if retry.Endpoint == decode.Endpoint || retry.Timeout < minFirstTokenTimeout {
		t.Errorf("retry %+v after an attempt at endpoint %d, want another endpoint and the full time-out",
			retry, decode.Endpoint)
	}
}

func TestNotIdempotentDecodeHasNoTimeout(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	decode := h.prefillRequest(t, h.request(1, notIdempotentClass, 1000), 50*ms)
	if decode.Timeout != 0 {
		t.Errorf("time-out %v of a decode that is not idempotent, want none", decode.Timeout)
	}
}

func TestSlowPrefillTimeoutIsNotShortened(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(3))
	h.router.latency.firstToken, h.router.latency.prefillPace = 0.1, 3e-4 // expected prefill time: 0.36 s
	prefill := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 1000)))
	if prefill.Timeout < 2500*ms {
		t.Errorf("time-out %v of a prefill that is expected to take 0.36 s, want at least 2.5 s", prefill.Timeout)
	}
}

// TestRetryIsBoundByDedupWindow checks that the retry of a request that is idempotent with a key, after an attempt
// that may have run, must be sent before the dedup window of that attempt ends. Other sends have no such bound.
func TestRetryIsBoundByDedupWindow(t *testing.T) {
	config := testConfig()
	config.StateTTL = time.Second // longer than the first decode
	for class, window := range []time.Duration{idempotentClass: 0, notIdempotentClass: 0, keyedClass: 1500 * ms} {
		t.Run(config.Classes[class].Name, func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
			if s := onlyAction[Send](t, h.step(h.request(1, class, 1000))); s.SendWindow != 0 {
				t.Errorf("prefill has a send window of %v, want none", s.SendWindow)
			}
			decode := onlyAction[Send](t, h.prefilled(1, 1, 100*ms))
			if decode.SendWindow != 0 {
				t.Errorf("first decode has a send window of %v, want none", decode.SendWindow)
			}
			h.now += 500 * ms
			actions := h.step(Outcome{Request: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: ConnectionReset})
			if class == notIdempotentClass {
				onlyAction[Fail](t, actions)
			} else if repeat := onlyAction[Send](t, actions); repeat.SendWindow != window {
				t.Errorf("retry has a send window of %v, want %v", repeat.SendWindow, window)
			}
		})
	}
}

// TestPrefillTimeoutIncludesBacklogOfOtherReplicas checks that the time-out of a short prompt allows for the backlog
// of other replicas at the prefill endpoint, which delays it as long as a long prompt. A time-out by the prompt's own
// tokens was 0.8 s where prefills took 0.5 s on average. The endpoints went on with prefills that had timed out, and
// their retries queued behind them. Time-outs must also raise the expected time; otherwise it would count only the
// prefills that were fast enough.
func TestPrefillTimeoutIncludesBacklogOfOtherReplicas(t *testing.T) {
	const usual = 500 * ms
	shortTimeout := func(t *testing.T, h *harness) time.Duration {
		t.Helper()
		return onlyAction[Send](t, h.step(h.request(100, idempotentClass, 50))).Timeout
	}
	t.Run("slow prefills of long prompts", func(t *testing.T) {
		h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(3))
		for id := RequestID(1); id <= 10; id++ {
			h.prefillRequest(t, h.request(id, idempotentClass, 2000), usual)
			h.end(Served, id, 1, 3, ms)
		}
		if timeout := shortTimeout(t, h); timeout < 4*usual {
			t.Errorf("time-out %v of a short prompt while prefills take %v", timeout, usual)
		}
	})
	t.Run("timed-out prefills", func(t *testing.T) {
		h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(3))
		first := shortTimeout(t, h)
		h.step(ClientDisconnected{100}, Outcome{Request: 100, Endpoint: 1, Result: Canceled})
		for id := RequestID(1); id <= 10; id++ {
			h.step(h.request(id, idempotentClass, 50))
			for attempt := range actionsOf[Send](h.end(TimedOut, id, 0, 1, first)) {
				h.step(ClientDisconnected{id}, Outcome{Request: id, Attempt: attempt + 1, Endpoint: 1, Result: Canceled})
			}
			h.advance(maxEjectionTime, ClientDisconnected{id})
		}
		if timeout := shortTimeout(t, h); timeout < 2*first {
			t.Errorf("time-out %v of a short prompt after ten time-outs of %v", timeout, first)
		}
	})
}
