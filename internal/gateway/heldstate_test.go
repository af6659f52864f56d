package gateway

import (
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	standin "brackenbend/internal/fake/engine"
)

// TestReadStatesAreCounted: a state counts as held from the read's end until a stream begins or its release was taken, and each end is
// counted once; so is why a request was not served and why a connection was closed.
func TestReadStatesAreCounted(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	ends := func() int { return testutil.CollectAndCount(r.gateway.metrics.StateHeldSeconds) }
	held := func() float64 { return testutil.ToFloat64(r.gateway.metrics.StatesHeld) }
	r.post("ask", chat(true, 3))
	r.eventually("the state was fetched", func() bool { return held() == 0 && ends() == 1 })

	r.engines["writer-1"].SetFaults(standin.Faults{Stall: true})
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, request(chat(true, 3), ""))
	r.eventually("a state is held behind a silent write", func() bool { return held() == 1 })
	c.Close()
	r.eventually("the state was released", func() bool { return held() == 0 && ends() == 2 })
	r.eventually("the request is told as gone", func() bool {
		return testutil.ToFloat64(r.gateway.metrics.NotServed.WithLabelValues("gone", reasonClientClosed)) == 1
	})
	r.eventually("one connection was closed, by its client", func() bool {
		return testutil.CollectAndCount(r.gateway.metrics.ClosedConnections) == 1 && testutil.ToFloat64(r.gateway.metrics.ClosedConnections.WithLabelValues(closeClient)) == 1
	})
}
