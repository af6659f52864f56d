package routing

import (
	"fmt"
	"testing"
	"time"
)

// observeInTime observes an answer in time at the end of a span, and returns the shed fraction after it.
func observeInTime(h *harness, span time.Duration) float64 {
	shedder := &h.router.admission.shedder
	h.now += span
	shedder.observe(h.now, &h.router.config.Classes[0], false)
	return shedder.shedFraction
}

// TestLoadIsShedWhileAnswersAreLate checks that a part of new requests is rejected on arrival, with an advised wait,
// while first tokens miss their latency objective, and that shedding ends when they meet it again.
func TestLoadIsShedWhileAnswersAreLate(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	id := RequestID(0)
	countShed := func(requests int, firstToken time.Duration) (shed int) {
		for range requests {
			id++
			req := h.request(id, idempotentClass, 500)
			req.Session, req.Prefix = 1, 1
			if rejects := actionsOf[Reject](h.advance(300*ms, req)); len(rejects) > 0 {
				if rejects[0].RetryAfter <= 0 {
					t.Fatal("rejected without an advised wait")
				}
				shed++
				continue
			}
			if actions := h.prefilled(id, 1, 20*ms); len(actionsOf[Send](actions)) == 0 {
				t.Fatalf("no decode was sent after the prefill: %+v", actions)
			}
			h.firstToken(id, 1, 2, firstToken)
			h.end(Served, id, 1, 2, ms)
		}
		return shed
	}
	if n := countShed(40, 50*ms); n > 0 {
		t.Fatalf("%d requests shed although all answers are in time", n)
	}
	if n := countShed(40, 1500*ms); n < 8 || n > 38 {
		t.Fatalf("%d of 40 requests shed while all answers are late, want 8 to 38", n)
	}
	countShed(60, 50*ms)
	if n := countShed(20, 50*ms); n > 0 {
		t.Fatalf("%d requests shed after answers were in time again", n)
	}
}

// TestRejectionsCountAsLate checks that endpoints which reject everything at once raise the shed fraction. Their
// requests end long before their latency objective, which must not count as answers in time.
func TestRejectionsCountAsLate(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(3), decodeEndpoint(2))
	lateAttempts := 0
	for id := RequestID(1); id <= 60; id++ {
		actions := h.advance(200*ms, h.request(id, idempotentClass, 500))
		for attempt := 0; ; attempt++ {
			sends := actionsOf[Send](actions)
			if len(sends) == 0 {
				h.step(ClientDisconnected{id})
				break
			}
			lateAttempts += boolToInt(id > 40)
			actions = h.end(Rejected, id, attempt, sends[0].Endpoint, ms)
			if attempt < 3 && len(actionsOf[Reject](actions)) == 0 {
				actions = append(actions, h.advance(160*ms)...)
			}
		}
	}
	if fraction := h.router.admission.shedder.shedFraction; fraction < 0.3 || lateAttempts > 60 {
		t.Fatalf("shed fraction %.2f and %d attempts of the last 20 requests, want at least 0.30 and at most 60",
			fraction, lateAttempts)
	}
}

// countShedByVariant sends 4,000 requests, half of each of two variants, while a fraction is shed, and returns how many
// of each are shed. change turns a request into variant 0 or 1.
func countShedByVariant(
	t *testing.T, weightByWork bool, fraction float64, change func(req *Request, variant int),
) [2]int {
	t.Helper()
	config := testConfig()
	config.WeightByWork, config.OverQuotaWeight = weightByWork, 0.1
	config.Classes[1].Idempotency = Idempotent // class 1 has twice the priority weight of class 0
	config.Tenants = []Tenant{{QuotaPerS: 1}, {}}
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	var shed [2]int
	for i := range 4000 {
		req := h.request(RequestID(i+1), idempotentClass, 600)
		req.PrefixTokens, req.Tenant = 0, 1
		change(&req, i%2)
		h.router.admission.shedder.shedFraction = fraction
		shed[i%2] += len(actionsOf[Reject](h.step(req)))
		h.step(ClientDisconnected{Request: req.ID})
		h.now += ms
	}
	return shed
}

// TestLowValueRequestsAreShedMore checks that requests with much work for their weight and requests over quota are
// shed more than others, but by no more than maxShedBias, and that none is shed at a shed fraction of 0.
func TestLowValueRequestsAreShedMore(t *testing.T) {
	long := func(req *Request, variant int) { req.PromptTokens += 2400 * float64(variant) }
	highPriority := func(req *Request, variant int) { req.Class = variant }
	overQuota := func(req *Request, variant int) { req.Tenant = 1 - variant }
	tests := []struct {
		name         string
		weightByWork bool
		change       func(req *Request, variant int)
		more         int // the variant that is shed more; -1 = neither
	}{
		{"long, weight by request", false, long, 1},
		{"long, weight by work", true, long, -1},
		{"high priority, weight by request", false, highPriority, 0},
		{"high priority, weight by work", true, highPriority, 0},
		{"over quota", true, overQuota, 1},
	}
	const fraction = 0.12
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			shed := countShedByVariant(t, tc.weightByWork, fraction, tc.change)
			less, more := shed[0], shed[1]
			if tc.more == 0 {
				less, more = more, less
			}
			switch {
			case tc.more < 0 && (less > 2*more || more > 2*less), tc.more >= 0 && 2*more < 3*less,
				less == 0 || more == 0 || float64(more) > 2000*fraction*maxShedBias*1.2:
				t.Errorf("%v requests shed, of 2000 of each variant", shed)
			}
			if shed := countShedByVariant(t, tc.weightByWork, 0, tc.change); shed != [2]int{} {
				t.Errorf("%v requests shed at a shed fraction of 0", shed)
			}
		})
	}
}

// TestTimelyAnswersEndShedding checks that answers in time end shedding within 3.5 s from the largest shed fraction,
// for rates between one answer in three seconds and two hundred a second.
func TestTimelyAnswersEndShedding(t *testing.T) {
	for _, rate := range []float64{1 / 3., 2, 10, 200} {
		t.Run(fmt.Sprintf("%.2f answers a second", rate), func(t *testing.T) {
			gap := time.Duration(float64(time.Second) / rate)
			h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
			shedder := &h.router.admission.shedder
			shedder.shedFraction, shedder.updatedAt = maxShedFraction, h.now
			took := time.Duration(0)
			for ; shedder.shedFraction > 0 && took < time.Minute; took += gap {
				observeInTime(h, gap)
			}
			if took > 3500*ms+gap {
				t.Errorf("shedding ended after %v, want at most 3.5 s and one answer more", took)
			}
		})
	}
}

// TestSheddingHoldsWhileEndpointsReject checks that answers in time do not lower the shed fraction until
// rejectionHold after an endpoint's rejection. A rejection because of a missing read state tells nothing about queues
// and has no such effect.
func TestSheddingHoldsWhileEndpointsReject(t *testing.T) {
	for _, stateMissing := range []bool{false, true} {
		t.Run(fmt.Sprintf("state missing %v", stateMissing), func(t *testing.T) {
			h := newHarness(t, testConfig(), prefillEndpoint(1), prefillEndpoint(4), decodeEndpoint(2))
			send := onlyAction[Send](t, h.step(h.request(1, idempotentClass, 500)))
			if stateMissing {
				send = onlyAction[Send](t, h.prefilled(1, send.Endpoint, ms))
			}
			h.advance(ms, Outcome{
				Request: 1, Attempt: boolToInt(stateMissing), Endpoint: send.Endpoint, Result: Rejected,
				StateMissing: stateMissing, Elapsed: ms,
			})
			h.router.admission.shedder.shedFraction = 0.5
			if fraction := observeInTime(h, 200*ms); (fraction == 0.5) == stateMissing {
				t.Errorf("shed fraction %.2f after an answer in time, was 0.5", fraction)
			}
			h.now += rejectionHold
			if fraction := observeInTime(h, 200*ms); fraction >= 0.5 {
				t.Errorf("shed fraction still %.2f after %v", fraction, rejectionHold)
			}
		})
	}
}

// TestSheddingIsIndependentPerRequest checks that, at a shed fraction of one half, few sessions have all of their
// requests shed or none of them. A client that retries must not be rejected every time, even at the same replica.
func TestSheddingIsIndependentPerRequest(t *testing.T) {
	const sessions, turns = 400, 6
	config := testConfig()
	config.WeightByWork = true
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := &harness{router: newTestRouter(t, config, seed), now: time.Minute}
			h.step(EndpointList{Scope: ListFull, Endpoints: endpoints(10, 20)})
			allShed, noneShed := 0, 0 // sessions with all requests shed, and with none shed
			for session := range sessions {
				shed := 0
				for turn := range turns {
					h.router.admission.shedder.shedFraction = 0.5
					req := h.request(RequestID(1+turn*sessions+session), idempotentClass, 200)
					req.Session, req.Prefix = uint64(1+session), uint64(1+session%20)
					actions := h.step(req)
					shed += len(actionsOf[Reject](actions))
					h.step(ClientDisconnected{req.ID})
					for i, send := range actionsOf[Send](actions) {
						h.step(Outcome{Request: req.ID, Attempt: i, Endpoint: send.Endpoint, Result: Canceled})
					}
				}
				allShed += boolToInt(shed == turns)
				noneShed += boolToInt(shed == 0)
			}
			// Independent draws give 1 in 64 of each.
			if maxSessions := sessions / 20; allShed > maxSessions || noneShed > maxSessions {
				t.Errorf("of %d sessions, %d had all %d requests shed and %d had none shed", sessions, allShed, turns, noneShed)
			}
		})
	}
}
