package routing

import (
	"testing"
	"time"
)

// TestLostAttemptsAreReplacedInTime: a healthy endpoint never answers one request. What may be repeated times out while
// another attempt can still meet the objective; what may not, or misses its objective anyway, has the full time.
func TestLostAttemptsAreReplacedInTime(t *testing.T) {
	const objective = time.Second
	config := testConfig()
	config.StateTTL = 2 * time.Second // the state outlasts the time-out
	h := newHarness(t, config, prefillEndpoint(1), prefillEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	h.router.latency.firstToken, h.router.latency.prefillPace = 0.1, 5e-5
	prefill := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 1000)))
	if prefill.Timeout < 300*ms || prefill.Timeout > objective-2*100*ms {
		t.Errorf("a prefill may take %v, the objective is %v", prefill.Timeout, objective)
	}
	decode := onlyAction[Send](t, h.prefilled(1, prefill.Endpoint, 50*ms))
	if left := objective - 50*ms; decode.Timeout < 400*ms || decode.Timeout > left-2*100*ms {
		t.Errorf("a first token may take %v, %v are left", decode.Timeout, left)
	}
	retry := onlyAction[Send](t, h.end(TimedOut, 1, 1, decode.Endpoint, decode.Timeout))
	if retry.Endpoint == decode.Endpoint || retry.Timeout < minFirstTokenTimeout {
		t.Errorf("then %+v, the first was at %d: want another endpoint, and the full time", retry, decode.Endpoint)
	}
}

func TestAttemptThatNothingMayReplaceHasNoTimeout(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(2), decodeEndpoint(3), decodeEndpoint(4))
	decode := h.prefillRequest(t, h.request(1, notIdempotentClass, 1000), 50*ms)
	if decode.Timeout != 0 {
		t.Errorf("a decode that is not idempotent may take %v, nothing may replace it", decode.Timeout)
	}
}

func TestSlowPrefillHasTheFullTimeout(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(3))
	h.router.latency.firstToken, h.router.latency.prefillPace = 0.1, 3e-4 // usual: 0.36 s
	prefill := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 1000)))
	if prefill.Timeout < 2500*ms {
		t.Errorf("a prefill that usually takes a good part of the objective may take %v only", prefill.Timeout)
	}
}

// TestRepeatCarriesItsSendWindow: the repeat of a request that is idempotent with a key, and of which an attempt may
// have run, has to be sent before the dedup window after that attempt's send has passed; other sends are not bound.
func TestRepeatCarriesItsSendWindow(t *testing.T) {
	config := testConfig()
	config.StateTTL = time.Second // the state outlasts the first attempt
	for class, window := range []time.Duration{idempotentClass: 0, notIdempotentClass: 0, keyedClass: 1500 * ms} {
		t.Run(config.Classes[class].Name, func(t *testing.T) {
			h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2), decodeEndpoint(3))
			if s := onlyAction[Send](t, h.step(h.request(1, class, 1000))); s.SendWindow != 0 {
				t.Errorf("a prefill within %v", s.SendWindow)
			}
			decode := onlyAction[Send](t, h.prefilled(1, 1, 100*ms))
			if decode.SendWindow != 0 {
				t.Errorf("the first attempt within %v", decode.SendWindow)
			}
			h.now += 500 * ms
			actions := h.step(Outcome{Request: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: ConnectionReset})
			if class == notIdempotentClass {
				onlyAction[Fail](t, actions)
			} else if repeat := onlyAction[Send](t, actions); repeat.SendWindow != window {
				t.Errorf("the repeat within %v, want %v", repeat.SendWindow, window)
			}
		})
	}
}

// TestShortPromptsWaitBehindOtherReplicas: what other replicas have queued at a prefill endpoint delays a short prompt
// as long as a long one. A time-out by the prompt's own tokens gave short prompts 0.8 s where prefills took 0.5 s in
// the mean; the endpoint went on with them, and their retries queued behind. Time-outs must show in the usual time as
// well: only the prefills that ended sooner counted in it.
func TestShortPromptsWaitBehindOtherReplicas(t *testing.T) {
	const usual = 500 * ms
	shortTimeout := func(t *testing.T, h *harness) time.Duration {
		t.Helper()
		return onlyAction[Send](t, h.step(h.request(100, idempotentClass, 50))).Timeout
	}
	t.Run("prefills of long prompts take long", func(t *testing.T) {
		h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(3))
		for id := RequestID(1); id <= 10; id++ {
			h.prefillRequest(t, h.request(id, idempotentClass, 2000), usual)
			h.end(Served, id, 1, 3, ms)
		}
		if timeout := shortTimeout(t, h); timeout < 4*usual {
			t.Errorf("a short prompt may take %v, prefills take %v", timeout, usual)
		}
	})
	t.Run("prefills time out", func(t *testing.T) {
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
			t.Errorf("a short prompt may take %v after ten time-outs of %v", timeout, first)
		}
	})
}
