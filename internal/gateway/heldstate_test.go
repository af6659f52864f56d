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
	r := newRig(t, "", "reader", "writer")
	metrics := r.gateway.metrics
	ends := func() int { return testutil.CollectAndCount(metrics.ReadStateHeldSeconds) }
	held := func() float64 { return testutil.ToFloat64(metrics.HeldReadStates) }
	r.post("ask", chat(true, 3))
	r.eventually("the state was fetched", func() bool { return held() == 0 && ends() == 1 })

	r.engines["writer-1"].SetFaults(fakeengine.Faults{Stall: true})
	c := r.dial(chatRequest(chat(true, 3), ""))
	r.eventually("a state is held while the decode does not reply", func() bool { return held() == 1 })
	closeQuietly(c)
	r.eventually("the state was released", func() bool { return held() == 0 && ends() == 2 })
	r.eventually("the request is counted as abandoned", func() bool {
		return testutil.ToFloat64(metrics.UnservedRequests.WithLabelValues("gone", reasonClientClosed)) == 1
	})
	r.eventually("one connection was closed, by its client", func() bool {
		return testutil.CollectAndCount(metrics.ClosedConnections) == 1 &&
			testutil.ToFloat64(metrics.ClosedConnections.WithLabelValues(closeReasonClient)) == 1
	})
}
