package routing

import (
	"fmt"
	"testing"
	"time"
)

// observeInTime lets an answer come in time after a span, and returns the shed fraction then.
func observeInTime(h *harness, span time.Duration) float64 {
	shedder := &h.router.admission.shedder
	h.now += span
	shedder.observe(h.now, &h.router.config.Classes[0], false)
	return shedder.shedFraction
}

// TestLoadIsShedWhileAnswersAreLate: while first tokens come after their objective a part of new requests is rejected
// at once, with a wait advised, and it ends when they come in time again.
func TestLoadIsShedWhileAnswersAreLate(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	id := RequestID(0)
	play := func(requests int, firstToken time.Duration) (shed int) {
		for range requests {
			id++
			req := h.request(id, idempotentClass, 500)
			req.Session, req.Prefix = 1, 1
			if rejects := actionsOf[Reject](h.advance(300*ms, req)); len(rejects) > 0 {
				if rejects[0].RetryAfter <= 0 {
					t.Fatal("rejected with no wait advised")
				}
				shed++
				continue
			}
			if actions := h.prefilled(id, 1, 20*ms); len(actionsOf[Send](actions)) == 0 {
				t.Fatalf("prefilled and not decoded: %+v", actions)
			}
			h.firstToken(id, 1, 2, firstToken)
			h.end(Served, id, 1, 2, ms)
		}
		return shed
	}
	if n := play(40, 50*ms); n > 0 {
		t.Fatalf("%d shed though all are in time", n)
	}
	if n := play(40, 1500*ms); n < 8 || n > 38 {
		t.Fatalf("%d of 40 shed while all are late", n)
	}
	play(60, 50*ms)
	if n := play(20, 50*ms); n > 0 {
		t.Fatalf("%d still shed after answers came in time again", n)
	}
}

// TestRejectionsCountAsLate: endpoints that reject everything at once are overload too; requests that end with no
// answer long before their objective must raise the shed fraction, not lower it.
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
		t.Fatalf("shed fraction %.2f, %d attempts of the last 20 requests", fraction, lateAttempts)
	}
}

// shedOf lets requests come while a fraction is shed, and returns how many are shed of two sorts: those that change
// makes of sort 0 and of sort 1, in turn.
func shedOf(t *testing.T, weightByWork bool, fraction float64, change func(req *Request, sort int)) [2]int {
	t.Helper()
	config := testConfig()
	config.WeightByWork, config.OverQuotaWeight = weightByWork, 0.1
	config.Classes[1].Idempotency = Idempotent // with twice the priority weight
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

// TestRequestsOfLittleValueAreShedFirst: while a part is shed, heavy requests of little weight and those over quota are
// shed more, by no more than maxShedBias times, and none is shed while nothing is late.
func TestRequestsOfLittleValueAreShedFirst(t *testing.T) {
	long := func(req *Request, sort int) { req.PromptTokens += 2400 * float64(sort) }
	highPriority := func(req *Request, sort int) { req.Class = sort }
	overQuota := func(req *Request, sort int) { req.Tenant = 1 - sort }
	tests := []struct {
		name         string
		weightByWork bool
		change       func(req *Request, sort int)
		more         int // the sort that is shed more; -1 = neither
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
			shed := shedOf(t, tc.weightByWork, fraction, tc.change)
			less, more := shed[0], shed[1]
			if tc.more == 0 {
				less, more = more, less
			}
			switch {
			case tc.more < 0 && (less > 2*more || more > 2*less), tc.more >= 0 && 2*more < 3*less,
				less == 0 || more == 0 || float64(more) > 2000*fraction*maxShedBias*1.2:
				t.Errorf("shed %v of 2000 each", shed)
			}
			if shed := shedOf(t, tc.weightByWork, 0, tc.change); shed != [2]int{} {
				t.Errorf("shed %v with nothing late", shed)
			}
		})
	}
}

// TestSheddingEndsSoon: from the largest shed fraction, answers in time end the shedding within 3.5 s, whether a
// replica has an answer in three seconds or two hundred a second.
func TestSheddingEndsSoon(t *testing.T) {
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
				t.Errorf("shedding ends after %v", took)
			}
		})
	}
}

// TestSheddingHoldsWhileEndpointsReject: answers in time don't lower the shed fraction within rejectionHold of an
// endpoint's rejection, and do so afterwards; a missing state says nothing of queues.
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
				t.Errorf("shed fraction %.2f of 0.5 after an answer in time", fraction)
			}
			h.now += rejectionHold
			if fraction := observeInTime(h, 200*ms); fraction >= 0.5 {
				t.Errorf("still %.2f after %v", fraction, rejectionHold)
			}
		})
	}
}

// TestSheddingIsDrawnForEachRequest: where a half is shed, no set of sessions, prefixes or tenants is, and none is
// spared: a client that comes again meets another draw, at the same replica too.
func TestSheddingIsDrawnForEachRequest(t *testing.T) {
	const sessions, turns = 400, 6
	config := testConfig()
	config.WeightByWork = true
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := &harness{router: newTestRouter(t, config, seed), now: time.Minute}
			h.step(EndpointList{Scope: ListFull, Endpoints: endpoints(10, 20)})
			all, none := 0, 0 // sessions of which all turns are shed, and none
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
				all += boolToInt(shed == turns)
				none += boolToInt(shed == 0)
			}
			// Chance alone gives 1 in 64 of each.
			if most := sessions / 20; all > most || none > most {
				t.Errorf("of %d sessions %d had all %d turns shed, %d none", sessions, all, turns, none)
			}
		})
	}
}
