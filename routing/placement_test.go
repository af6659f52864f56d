package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestTiedDecodesLeaveACellOfPrefills: three quarters of the prefill endpoints stand in a cell with a quarter of the
// decode endpoints. With an attempt in flight here and there all decode endpoints tie, and the cell's must not get most
// of the requests.
func TestTiedDecodesLeaveACellOfPrefills(t *testing.T) {
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
			t.Errorf("decode endpoint %d of cell %d got %d of 1600 requests, 200 would be even", e.ID, e.Cell, n)
		}
	}
}

// mixedCase is a fleet in which mixed endpoints stand beside others.
type mixedCase struct {
	prefills, decodes, mixed int
	memory                   float64 // of a mixed endpoint, against a decode endpoint
	late                     float64 // first tokens of mixed endpoints, against the usual
	least, most              float64 // part of the requests that mixed endpoints take
}

// TestMixedEndpointsTakeTheirPart: few large decode endpoints beside many prefill endpoints, and mixed endpoints with a
// fifth of a decode endpoint's memory. By decoding they could take a third of what the decode endpoints do, but they
// have to prefill it too, as the many prefill endpoints do for the rest; and when their first tokens come late they
// take less.
func TestMixedEndpointsTakeTheirPart(t *testing.T) {
	cases := []mixedCase{
		{40, 40, 15, 1, 1, 0.13, 0.18},    // by decoding: 9 of 49, for each prefill
		{75, 10, 15, 0.2, 1, 0.09, 0.12},  // by prefilling: 9 of 75
		{75, 10, 15, 0.2, 3, 0.03, 0.06},  // a third of that
		{20, 20, 15, 0.2, 1, 0.06, 0.09},  // by decoding: 1.8 of 21.8
		{75, 10, 15, 0.02, 1, 0.01, 0.03}, // likewise
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			if part := tc.mixedPart(t, 2000); part < tc.least || part > tc.most {
				t.Errorf("mixed endpoints took %.3f", part)
			}
		})
	}
}

// mixedPart plays requests and returns the part that mixed endpoints took.
func (tc mixedCase) mixedPart(t *testing.T, requests int) float64 {
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
			if tc.late > 1 && mixed > 20 { // against the usual time of separate endpoints, by the router's own means
				took = seconds(tc.late * h.router.latency.usualFirstToken(500))
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

// TestMixedEndpointsWhereAllDecodesAreEjected: what they are owed stays a number.
func TestMixedEndpointsWhereAllDecodesAreEjected(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2), mixedEndpoint(3))
	h.router.eject(h.backend(2), "test")
	h.router.sumRoles()
	for id := range RequestID(4) {
		req := h.request(id+1, idempotentClass, 300)
		req.Prefix = uint64(id)
		h.advance(20*ms, req)
	}
	owed := h.router.mixed.owed
	if within := owed >= minMixedOwed && owed <= maxMixedOwed; !within { // NaN is not
		t.Errorf("%v whole requests are owed to the mixed endpoint", owed)
	}
}
