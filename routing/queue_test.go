package routing

import (
	"slices"
	"testing"
	"time"
)

func TestQueueDispatchesShortestPromptFirst(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	if n := h.fillPrefills(idempotentClass, 500); n == 0 || n > maxPrefills {
		t.Fatalf("%d prefills in flight, want 1 to %d", n, maxPrefills)
	}
	h.step(
		h.request(1, idempotentClass, 400), h.request(2, idempotentClass, 90), h.request(3, idempotentClass, 300),
	)
	sends := actionsOf[Send](h.prefilled(1000, 1, 50*ms))
	if len(sends) < 2 || sends[0].Request != 1000 || sends[1].Request != 2 {
		t.Fatalf("sends %+v, want the decode and then the shortest prompt", sends)
	}
}

// TestQueuePromotionIsBounded checks that at most one in dispatchesPerPromotion dispatches is a promotion, even after
// a stall in which the whole backlog starved.
func TestQueuePromotionIsBounded(t *testing.T) {
	config := testConfig()
	config.Classes[0].LatencyObjective = 20 * time.Second
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	h.fillPrefills(idempotentClass, 500)
	long := h.request(1, idempotentClass, 9000)
	long.Deadline = h.now + 20*time.Second
	h.step(long)
	var dispatched []RequestID
	for i := range 8 {
		short := h.request(RequestID(100+i), idempotentClass, 300)
		short.Deadline = h.now + 20*time.Second
		done := Outcome{Request: RequestID(1000 + i), Endpoint: 1, Result: PrefillDone, Elapsed: 50 * ms}
		for _, send := range actionsOf[Send](h.advance(600*ms, short, done)) {
			if send.Endpoint == 1 {
				dispatched = append(dispatched, send.Request)
			}
		}
	}
	at := slices.Index(dispatched, 1)
	if at < 0 {
		t.Fatalf("the starved long prompt was never dispatched: %v", dispatched)
	}
	if at+1 < dispatchesPerPromotion {
		t.Fatalf("promoted at dispatch %d: %v", at+1, dispatched)
	}
}

func TestQueueRejectsExpiredRequestWithRetryAfter(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, notIdempotentClass, 500))
	if r := onlyAction[Reject](t, h.advance(1100*ms)); r.RetryAfter <= 0 {
		t.Fatal("rejected without an advised wait")
	}
}

func TestQueueDispatchesRequestsOverQuotaLast(t *testing.T) {
	config := testConfig()
	config.Tenants = []Tenant{{QuotaPerS: 1}, {QuotaPerS: 100}}
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	h.fillPrefills(idempotentClass, 500)
	overQuota, within := h.request(1, idempotentClass, 100), h.request(2, idempotentClass, 400)
	within.Tenant = 1
	h.step(overQuota, within)
	sends := actionsOf[Send](h.prefilled(1000, 1, 50*ms))
	if len(sends) < 2 || sends[1].Request != 2 {
		t.Fatalf("sends %+v, want the decode and then the tenant within its quota", sends)
	}
}

// TestSmallQuotaAllowsBurst checks that the first requests of a small tenant are within its quota even though, with
// 300 replicas, its rate at one replica is far below one request per second.
func TestSmallQuotaAllowsBurst(t *testing.T) {
	config := testConfig()
	config.Replicas, config.Tenants = 300, []Tenant{{QuotaPerS: 3}}
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	for id := RequestID(1); id <= 4; id++ {
		h.advance(ms, h.request(id, idempotentClass, 500))
		if over := h.router.requests[id].queued.overQuota; over != (id > 2) {
			t.Fatalf("request %d: over quota %v", id, over)
		}
	}
}
