package engine

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brackenbend/routing"
)

// servePrefills responds to every request on a connection with a prefill reply.
func servePrefills(_ int, conn *net.TCPConn) {
	for br := bufio.NewReader(conn); readRequest(br); {
		respond(conn, prefillReply)
	}
}

func TestNotIdempotentCallNeverUsesIdleConnection(t *testing.T) {
	connections := make(chan int, 10)
	endpoint := startPeer(t, func(i int, conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for readRequest(br) {
			connections <- i
			respond(conn, prefillReply)
		}
	})
	client := newTestClient()
	call := newCall(10 * time.Second)
	for i, c := range []struct {
		notIdempotent bool
		connection    int
	}{{false, 0}, {false, 0}, {true, 1}} {
		call.NotIdempotent = c.notIdempotent
		if out := client.Prefill(&Attempt{}, endpoint, call); out.Result != routing.PrefillDone {
			t.Fatalf("%+v", out)
		}
		if used := <-connections; used != c.connection {
			t.Errorf("call %d used connection %d, want %d", i, used, c.connection)
		}
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		readRequest(bufio.NewReader(conn))
		respond(conn, prefillReply)
		_ = conn.Close() // without a Connection: close header
		closed <- struct{}{}
	})
	client := newTestClient()
	for range 3 {
		if out := client.Prefill(&Attempt{}, endpoint, newCall(10*time.Second)); out.Result != routing.PrefillDone {
			t.Fatalf("%+v", out)
		}
		<-closed
		awaitPeerClose(endpoint)
	}
}

// awaitPeerClose waits until the peer's close of the endpoint's only connection is visible on this side.
func awaitPeerClose(e *Endpoint) {
	for e.Conns() == 1 {
		e.mu.Lock()
		closed := len(e.idleConns) == 1 && !e.idleConns[0].peerIdle()
		e.mu.Unlock()
		if closed {
			return
		}
	}
}

func TestConnectionLimitPerEndpoint(t *testing.T) {
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		readRequest(bufio.NewReader(conn))
		readUntilClosed(conn)
	})
	client := newTestClient()
	client.MaxConnsPerEndpoint = 1
	firstAttempt := &Attempt{}
	done := make(chan Outcome)
	go func() { done <- client.Prefill(firstAttempt, endpoint, Call{Path: "/v1/x", ID: "a"}) }()
	for endpoint.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	out := client.Prefill(&Attempt{}, endpoint, Call{Path: "/v1/x", ID: "b"})
	if out.Result != routing.NotSent || !errors.Is(out.Err, errConnLimit) {
		t.Errorf("%+v", out)
	}
	firstAttempt.Cancel()
	<-done
	if endpoint.Conns() != 0 {
		t.Errorf("%d connections left", endpoint.Conns())
	}
}

// TestConnectionLimitAcrossEndpoints checks that a dial at MaxConns first closes the connection that has been idle
// longest at any endpoint.
func TestConnectionLimitAcrossEndpoints(t *testing.T) {
	client := newTestClient()
	client.MaxConns = 2
	endpoints := []*Endpoint{startPeer(t, servePrefills), startPeer(t, servePrefills), startPeer(t, servePrefills)}
	for i, endpoint := range endpoints {
		out := client.Prefill(&Attempt{}, endpoint, newCall(10*time.Second))
		if out.Result != routing.PrefillDone {
			t.Fatalf("endpoint %d: %+v", i, out)
		}
	}
	conns := [3]int{endpoints[0].Conns(), endpoints[1].Conns(), endpoints[2].Conns()}
	if conns != [3]int{0, 1, 1} || client.OpenConns() != 2 {
		t.Errorf("%v connections, %d in all", conns, client.OpenConns())
	}
	client.IdleTimeout = 0 // all idle connections have expired
	client.CloseExpiredIdle()
	if n := client.OpenConns(); n != 0 || len(client.pool.endpointsWithIdle) != 0 {
		t.Errorf("after CloseExpiredIdle: %d connections, %d endpoints with idle connections",
			n, len(client.pool.endpointsWithIdle))
	}
}

// TestReuseSuspendedAfterReusedConnectionBroke checks that no connection is reused for IdleTimeout after a reused one
// broke during its next request. A new connection that breaks has no such effect.
func TestReuseSuspendedAfterReusedConnectionBroke(t *testing.T) {
	endpoint := startPeer(t, func(i int, conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for n := 0; readRequest(br); n++ {
			if n == 1 || i == 0 { // the peer resets only after it has read a request, so the idle socket shows no close
				resetOnClose(conn)
				return
			}
			respond(conn, prefillReply)
		}
	})
	client := newTestClient()
	prefill := func() routing.Result {
		return client.Prefill(&Attempt{}, endpoint, newCall(10*time.Second)).Result
	}
	if got := prefill(); got != routing.ConnectionReset || client.reuseSuspended() {
		t.Errorf("a new connection: %v, reuse suspended %v", got, client.reuseSuspended())
	}
	for i, want := range []routing.Result{
		routing.PrefillDone, routing.ConnectionReset, routing.PrefillDone, routing.PrefillDone, routing.PrefillDone,
	} {
		if got := prefill(); got != want {
			t.Errorf("request %d: %v, want %v", i, got, want)
		}
	}
	if endpoint.Conns() != 0 {
		t.Errorf("%d connections are kept while reuse is suspended", endpoint.Conns())
	}
	failedAt := client.pool.reuseFailedAt.Load()
	client.pool.reuseFailedAt.Store(failedAt.Add(-client.IdleTimeout)) // the suspension has ended
	if got := prefill(); got != routing.PrefillDone || endpoint.Conns() != 1 {
		t.Errorf("after the suspension: %v, %d connections kept", got, endpoint.Conns())
	}
}

// TestReuseDelayPreventsMismatchedResponse checks that a late second response of an engine is not taken for the
// response to the next request: a connection is not reused until it has been idle for ReuseDelay.
func TestReuseDelayPreventsMismatchedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		reuseDelay     time.Duration
		secondResponse bool
		connections    int64
	}{
		"within the delay": {time.Hour, true, 2},
		"after the delay":  {time.Nanosecond, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
				connections.Add(1)
				serveRequestIDs(conn, c.secondResponse)
			})
			defer endpoint.Close()
			client := newTestClient()
			client.ReuseDelay = c.reuseDelay
			for _, id := range []string{"one", "two"} {
				sink := &testSink{}
				call := newCallWithBody(20 * time.Second)
				call.ID = id
				client.Decode(&Attempt{}, endpoint, call, sink)
				if !strings.Contains(sink.received.String(), id) {
					t.Errorf("request %s got %q", id, sink.received.String())
				}
			}
			if connections.Load() != c.connections {
				t.Errorf("%d connections, want %d", connections.Load(), c.connections)
			}
		})
	}
}

// serveRequestIDs responds to each request with a stream that contains the request's ID. If repeat is set, it sends
// each response a second time, just before the next one.
func serveRequestIDs(conn net.Conn, repeat bool) {
	br := bufio.NewReader(conn)
	delayedResponse := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		readUntilClosed(req.Body)
		events := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\ndata: [DONE]\n\n",
			req.Header.Get(HeaderRequestID))
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(events), events)
		respond(conn, delayedResponse+response)
		if repeat {
			delayedResponse = response
		}
	}
}

// TestTimeoutOnReusedConnectionClosesIdleOnes checks that a time-out of a request on a reused connection closes the
// other idle connections to the same engine. The connection may have been lost without a reset, and so may the others.
func TestTimeoutOnReusedConnectionClosesIdleOnes(t *testing.T) {
	received := make(chan struct{}, 2)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for n := 0; readRequest(br); n++ {
			if n > 0 {
				continue // no response
			}
			received <- struct{}{}
			for len(received) < cap(received) { // waits for the second request, so that two connections are open at once
				time.Sleep(time.Millisecond)
			}
			respond(conn, "HTTP/1.1 503 Full\r\nX-Brackenbend-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newTestClient()
	prefill := func(timeout time.Duration) Outcome {
		return client.Prefill(&Attempt{}, endpoint, newCallWithBody(timeout))
	}
	firstOutcome := make(chan Outcome)
	go func() { firstOutcome <- prefill(20 * time.Second) }()
	a, b := prefill(20*time.Second), <-firstOutcome
	if a.Result != routing.Rejected || b.Result != routing.Rejected || endpoint.Conns() != 2 {
		t.Fatalf("%+v, %+v, %d connections", a, b, endpoint.Conns())
	}
	if out := prefill(50 * time.Millisecond); out.Result != routing.TimedOut {
		t.Errorf("%+v", out)
	}
	if n := endpoint.Conns(); n != 0 {
		t.Errorf("%d connections are kept", n)
	}
}
