package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestTiedDecodeEndpointsGetEvenLoadAcrossCells: one cell has three quarters of the prefill endpoints and a quarter of
// the decode endpoints. At low load all decode endpoints tie, and if ties always went to the cell of the prefill, the
// decode endpoints of that cell would get most of the requests.
func TestTiedDecodeEndpointsGetEvenLoadAcrossCells(t *testing.T) {
	listed := endpoints(8, 8)
	prefills, decodes := listed[:8], listed[8:]
	for i := range prefills {
		prefills[i].Cell = i / 6
	}
	for i := range decodes {
		decodes[i].Cell = boolToInt(i >= 2)
	}
	g := newReplicaGroup(t, testConfig(), 200, listed)
	g.run(1600, 20*time.Second, func() uint64 { return uint64(g.rnd.Intn(400)) })
	for _, e := range decodes {
		if n := g.sends[e.ID]; n < 100 || n > 300 {
			t.Errorf("decode endpoint %d of cell %d got %d of 1600 requests, an even share is 200", e.ID, e.Cell, n)
		}
	}
}

// mixedCase is a fleet with mixed endpoints as well as prefill and decode endpoints.
type mixedCase struct {
	prefills, decodes, mixed int
	memory                   float64 // of a mixed endpoint, relative to a decode endpoint
	slowdown                 float64 // time to the first token of mixed endpoints, relative to the usual time
	minShare, maxShare       float64 // bounds of the share of requests that go to mixed endpoints
}

// TestMixedEndpointsGetTheirShare: the share of requests that mixed endpoints get is limited by their decode capacity,
// which depends on memory, and by their prefill capacity, and it falls when their first tokens are slow. In a fleet of
// few decode endpoints with much memory and many prefill endpoints, their decode capacity alone would allow a share
// that they could not prefill.
func TestMixedEndpointsGetTheirShare(t *testing.T) {
	cases := []mixedCase{
		{40, 40, 15, 1, 1, 0.13, 0.18},    // decode capacity: 9/49 of a request for each prefill
		{75, 10, 15, 0.2, 1, 0.09, 0.12},  // prefill capacity: 9/75
		{75, 10, 15, 0.2, 3, 0.03, 0.06},  // a third of that, since first tokens are 3 times slower
		{20, 20, 15, 0.2, 1, 0.06, 0.09},  // decode capacity: 1.8/21.8
		{75, 10, 15, 0.02, 1, 0.01, 0.03}, // decode capacity: 0.18/10.18
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			if share := tc.mixedShare(t, 2000); share < tc.minShare || share > tc.maxShare {
				t.Errorf("mixed endpoints got a share of %.3f", share)
			}
		})
	}
}

// mixedShare plays requests and returns the share that went to mixed endpoints.
func (tc mixedCase) mixedShare(t *testing.T, requests int) float64 {
	t.Helper()
	const firstMixedID = 900
	config := testConfig()
	config.Kinds = []Kind{{RolePrefill, 1e6}, {RoleDecode, 1e6}, {RoleMixed, 1e6 * tc.memory}}
	listed := endpoints(tc.prefills, tc.decodes)
	for i := range tc.mixed {
		listed = append(listed, mixedEndpoint(EndpointID(firstMixedID+i)))
	}
	h, mixed := newHarness(t, config, listed...), 0
	for id := range RequestID(requests) {
		req := h.request(id+1, idempotentClass, 300)
		req.Prefix, req.Session = uint64(id), uint64(id)
		send, took := onlyAction[Send](t, h.advance(20*ms, req)), 30*ms
		attempt := 0
		if send.Endpoint >= firstMixedID {
			mixed++
			if tc.slowdown > 1 && mixed > 20 { // relative to the usual time as the router estimates it
				took = seconds(tc.slowdown * h.router.latency.usualFirstToken(500))
			}
		} else {
			send = onlyAction[Send](t, h.prefilled(req.ID, send.Endpoint, took))
			attempt = 1
		}
		h.advance(took,
			FirstToken{Request: req.ID, Attempt: attempt, Endpoint: send.Endpoint, Elapsed: took},
			Outcome{
				Request: req.ID, Attempt: attempt, Endpoint: send.Endpoint, Result: Served, RequestDone: true,
				Elapsed: took,
			})
	}
	return float64(mixed) / float64(requests)
}

// TestMixedCreditStaysFiniteWhenAllDecodesAreEjected: with no usable decode endpoint, a division by zero must not make
// the credit NaN.
func TestMixedCreditStaysFiniteWhenAllDecodesAreEjected(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), mixedEndpoint(3))
	h.router.eject(h.backend(2), "test")
	h.router.sumRoles()
	for id := range RequestID(4) {
		req := h.request(id+1, idempotentClass, 300)
		req.Prefix = uint64(id)
		h.advance(20*ms, req)
	}
	credit := h.router.mixed.credit
	if within := credit >= minMixedCredit && credit <= maxMixedCredit; !within { // false for NaN
		t.Errorf("credit of the mixed endpoint: %v", credit)
	}
}
