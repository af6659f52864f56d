package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	fakeengine "brackenbend/internal/fake/engine"
)

// TestReadStateMetrics checks that a state counts as held from the prefill's end until a stream begins or its release
// is accepted, and that each end is counted once. It also checks the counts of why a request was not served and of why
// a connection was closed.
func TestReadStateMetrics(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	metrics := tg.gateway.metrics
	endCount := func() int { return testutil.CollectAndCount(metrics.ReadStateHeldSeconds) }
	heldCount := func() float64 { return testutil.ToFloat64(metrics.HeldReadStates) }
	tg.post("ask", chatBody(true, 3))
	tg.eventually("the state was fetched", func() bool { return heldCount() == 0 && endCount() == 1 })

	tg.engines["writer-1"].SetFaults(fakeengine.Faults{Stall: true})
	c := tg.dial(chatRequest(chatBody(true, 3), ""))
	tg.eventually("a state is held while the decode does not reply", func() bool { return heldCount() == 1 })
	closeQuietly(c)
	tg.eventually("the state was released", func() bool { return heldCount() == 0 && endCount() == 2 })
	tg.eventually("the request is counted as abandoned", func() bool {
		return testutil.ToFloat64(metrics.UnservedRequests.WithLabelValues("gone", reasonClientClosed)) == 1
	})
	tg.eventually("one connection was closed, by its client", func() bool {
		return testutil.CollectAndCount(metrics.ClosedConnections) == 1 &&
			testutil.ToFloat64(metrics.ClosedConnections.WithLabelValues(closeReasonClient)) == 1
	})
}
