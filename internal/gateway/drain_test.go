package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

// startDrain lets the gateway drain with an accept window that is over at once, but is not 0 as without one.
func (tg *testGateway) startDrain() {
	tg.t.Helper()
	tg.gateway.AcceptWhileDraining = time.Nanosecond
	tg.gateway.startDraining()
	tg.eventually("the accept window is over", tg.gateway.drain.deadlinePassed)
}

// requireArrivals checks that each engine of the role has received n requests in all.
func (tg *testGateway) requireArrivals(role string, n int) {
	tg.t.Helper()
	for _, e := range tg.enginesOf(role) {
		if got := e.Arrivals(); got != n {
			tg.t.Errorf("the %s received %d requests, want %d", role, got, n)
		}
	}
}

// awaitStream waits until the first byte of a response arrives, and consumes it.
func awaitStream(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestRequestsAfterAcceptWindowAreRejected guards against requests that a draining gateway forwards and then cuts off:
// it took every request that came over an open connection, however late.
func TestRequestsAfterAcceptWindowAreRejected(t *testing.T) {
	request := chatRequest(chatBody(true, 3), "")
	for _, tc := range []struct {
		name   string
		arrive func(tg *testGateway) net.Conn // sends a request that is complete after the window only
		served int                            // earlier requests on the connection
	}{
		{"on an idle connection", func(tg *testGateway) net.Conn {
			tg.gateway.drain.grace = 2 * time.Second // the client below may be scheduled late
			conn := tg.dial("")
			tg.eventually("the connection is accepted", func() bool {
				tg.gateway.mu.Lock()
				defer tg.gateway.mu.Unlock()
				return len(tg.gateway.conns) > 0
			})
			tg.startDrain()
			send(tg.t, conn, request)
			return conn
		}, 0},
		{"with a body that arrives slowly", func(tg *testGateway) net.Conn {
			conn := tg.dial(request[:len(request)-1])
			tg.awaitOpenRequests(1)
			tg.startDrain()
			send(tg.t, conn, request[len(request)-1:])
			return conn
		}, 0},
		{"behind a stream that was accepted before", func(tg *testGateway) net.Conn {
			conn := tg.dial(chatRequest(chatBody(true, 300), ""))
			awaitStream(tg.t, conn)
			tg.startDrain()
			send(tg.t, conn, request)
			return conn
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tg := newTestGateway(t, "", "reader", "writer")
			got, err := readAll(tc.arrive(tg))
			if err != nil || strings.Count(got, "HTTP/1.1 503") != 1 || strings.Count(got, "[DONE]") != tc.served ||
				!strings.Contains(got, "Connection: close") {
				t.Errorf("%v: %q", err, got)
			}
			tg.requireArrivals("writer", tc.served)
		})
	}
}

// TestStreamBegunAfterAcceptWindowSaysClose guards against clients that learn only from a rejection that a gateway
// drains: a stream's head promised an open connection if its request was accepted before the end of the window.
func TestStreamBegunAfterAcceptWindowSaysClose(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	prefilled, drained := make(chan struct{}), make(chan struct{})
	tg.enginesOf("reader")[0].AfterPrefill(func() { close(prefilled); <-drained })
	conn := tg.dial(chatRequest(chatBody(true, 3), ""))
	<-prefilled
	tg.startDrain()
	close(drained)
	got, err := readAll(conn)
	if err != nil || !strings.Contains(got, "Connection: close") || !strings.HasSuffix(got, http1.LastChunk) {
		t.Errorf("%v: %q", err, got)
	}
}

// TestOpenConnectionsAreServedWhereStreamsResume checks that requests on open connections are still taken after the
// window if clients resume broken streams, since what the shutdown cuts off continues at another replica.
func TestOpenConnectionsAreServedWhereStreamsResume(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	tg.gateway.Routing.ResumeStreams = true
	conn := tg.dial(chatRequest(chatBody(true, 300), ""))
	awaitStream(t, conn)
	tg.startDrain()
	send(t, conn, chatRequest(chatBody(true, 3), ""))
	if got, err := readAll(conn); err != nil || strings.Count(got, "[DONE]") != 2 {
		t.Errorf("%v: %q", err, got)
	}
	tg.requireArrivals("writer", 2)
}
