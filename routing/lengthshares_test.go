package routing

import (
	"math/rand"
	"testing"
)

// TestUnderservedLengthsArePromoted checks promotion by prompt length while short prompts alone exceed the capacity.
// Dispatching the shortest prompt first would then leave every long prompt in the queue until its latency objective,
// and it would be given up before it reaches the starvation age. Long prompts must be dispatched, but at most one in
// dispatchesPerPromotion dispatches, and none beyond its tenant's quota.
func TestUnderservedLengthsArePromoted(t *testing.T) {
	config := testConfig()
	config.Tenants = []Tenant{{}, {QuotaPerS: 0.01}}
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	rnd := rand.New(rand.NewSource(1))
	lengths, tenants := map[RequestID]float64{}, map[RequestID]int{}
	var inFlight []Send
	var dispatched []RequestID
	for id := RequestID(1); id <= 600; id++ {
		tokens := 200 + 100*rnd.Float64()
		if id%10 == 0 {
			tokens = 2000 + 1000*rnd.Float64()
		}
		req := h.request(id, idempotentClass, tokens)
		req.Tenant = boolToInt(id%20 == 0)
		lengths[id], tenants[id] = tokens, req.Tenant
		events := []Event{req}
		if id%2 == 0 && len(inFlight) > 0 {
			events = append(events, Outcome{Request: inFlight[0].Request, Endpoint: 1, Result: Canceled})
			events = append(events, ClientDisconnected{inFlight[0].Request})
			inFlight = inFlight[1:]
		}
		for _, send := range actionsOf[Send](h.advance(50*ms, events...)) {
			inFlight = append(inFlight, send)
			dispatched = append(dispatched, send.Request)
		}
	}
	long, lastLong := 0, -dispatchesPerPromotion
	for i, id := range dispatched[len(dispatched)/4:] {
		if lengths[id] < 1000 {
			continue
		}
		if long++; i-lastLong < dispatchesPerPromotion {
			t.Errorf("long prompts at dispatches %d and %d", lastLong, i)
		}
		lastLong = i
		if tenants[id] == 1 {
			t.Errorf("request %d exceeds its tenant's quota and was promoted", id)
		}
	}
	// A tenth of the arrivals are long, and half of those may be promoted.
	if measured := len(dispatched) * 3 / 4; long < measured/50 || long > measured/8 {
		t.Errorf("%d of %d dispatches are long prompts, want between 1/50 and 1/8", long, measured)
	}
}

// TestLengthSharesDecay checks that dispatches of long ago do not hide that a band is underserved now.
func TestLengthSharesDecay(t *testing.T) {
	var shares lengthShares
	add := func(id RequestID, tokens float64, dispatched bool) {
		req := &request{Request: Request{ID: id, PromptTokens: tokens}}
		shares.countArrival(req)
		if dispatched {
			shares.countDispatch(req)
		}
	}
	for id := range RequestID(1000) {
		add(id, 100+float64(id%10)*100, true)
	}
	if shares.underserved(bandLongest) {
		t.Fatal("bandLongest is underserved though all its requests were dispatched")
	}
	for id := range RequestID(1000) {
		tokens := 100 + float64(id%10)*100
		add(1000+id, tokens, tokens < 800)
	}
	if !shares.underserved(bandLongest) {
		t.Error("bandLongest is not underserved after a thousand arrivals in which none of its requests was dispatched")
	}
}
