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

// servePrefills answers every request on a connection with a prefill's reply.
func servePrefills(_ int, conn *net.TCPConn) {
	for br := bufio.NewReader(conn); readRequest(br); {
		respond(conn, prefillReply)
	}
}

func TestSingleUseCallNeverUsesPooledConnection(t *testing.T) {
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
		singleUse  bool
		connection int
	}{{false, 0}, {false, 0}, {true, 1}} {
		call.SingleUseConn = c.singleUse
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
		_ = conn.Close() // without having announced it
		closed <- struct{}{}
	})
	client := newTestClient()
	for range 3 {
		if out := client.Prefill(&Attempt{}, endpoint, newCall(10*time.Second)); out.Result != routing.PrefillDone {
			t.Fatalf("%+v", out)
		}
		<-closed
		awaitCloseSeen(endpoint)
	}
}

// awaitCloseSeen waits until the peer's close of the one connection has come through.
func awaitCloseSeen(e *Endpoint) {
	for e.Conns() == 1 {
		e.mu.Lock()
		seen := len(e.idle) == 1 && !e.idle[0].isQuiet()
		e.mu.Unlock()
		if seen {
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
	first := &Attempt{}
	done := make(chan Outcome)
	go func() { done <- client.Prefill(first, endpoint, Call{Path: "/v1/x", ID: "a"}) }()
	for endpoint.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	out := client.Prefill(&Attempt{}, endpoint, Call{Path: "/v1/x", ID: "b"})
	if out.Result != routing.NotSent || !errors.Is(out.Err, errConnLimit) {
		t.Errorf("%+v", out)
	}
	first.Cancel()
	<-done
	if endpoint.Conns() != 0 {
		t.Errorf("%d connections left", endpoint.Conns())
	}
}

// TestConnectionLimitOverEndpoints checks that the limit over all endpoints is kept by closing what has been idle
// longest, wherever that is.
func TestConnectionLimitOverEndpoints(t *testing.T) {
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
	client.IdleTimeout = 0 // all idle ones are past their time
	client.CloseExpiredIdle()
	if n := client.OpenConns(); n != 0 || len(client.pool.withIdle) != 0 {
		t.Errorf("%d connections after the sweep, %d endpoints with some", n, len(client.pool.withIdle))
	}
}

// TestReuseSuspendedOnceReusedConnectionBroke checks that a reused connection that breaks under its next request is the
// last that is reused, for IdleTimeout; what breaks on a new connection has no such effect.
func TestReuseSuspendedOnceReusedConnectionBroke(t *testing.T) {
	endpoint := startPeer(t, func(i int, conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for n := 0; readRequest(br); n++ {
			if n == 1 || i == 0 { // the socket shows nothing before: the peer waits for the request
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
		t.Errorf("%d connections are kept", endpoint.Conns())
	}
	failedAt := client.pool.reuseFailedAt.Load()
	client.pool.reuseFailedAt.Store(failedAt.Add(-client.IdleTimeout)) // they are past their time
	if got := prefill(); got != routing.PrefillDone || endpoint.Conns() != 1 {
		t.Errorf("later: %v, %d connections kept", got, endpoint.Conns())
	}
}

// TestReuseDelayKeepsLateSecondResponseApart: an engine responds twice, and its second response is on its way as the
// next request is sent. It is not taken for that one's, since the connection is not reused so soon. One that has been
// idle for ReuseDelay is.
func TestReuseDelayKeepsLateSecondResponseApart(t *testing.T) {
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

// serveRequestIDs responds to each request with a stream of its ID. With second, each response is sent once more just
// before the next one.
func serveRequestIDs(conn net.Conn, second bool) {
	br := bufio.NewReader(conn)
	late := ""
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
		respond(conn, late+response)
		if second {
			late = response
		}
	}
}

// TestSilentReusedConnectionDiscardsIdleOnes: a request on a reused connection gets no response in time. It may never
// have arrived, and so may what is sent on the other idle connections to this engine: they are closed.
func TestSilentReusedConnectionDiscardsIdleOnes(t *testing.T) {
	both := make(chan struct{}, 2)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for n := 0; readRequest(br); n++ {
			if n > 0 {
				continue // silent
			}
			both <- struct{}{}
			for len(both) < cap(both) { // so that two connections are open at one time
				time.Sleep(time.Millisecond)
			}
			respond(conn, "HTTP/1.1 503 Full\r\nX-Brackenbend-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newTestClient()
	prefill := func(timeout time.Duration) Outcome {
		return client.Prefill(&Attempt{}, endpoint, newCallWithBody(timeout))
	}
	first := make(chan Outcome)
	go func() { first <- prefill(20 * time.Second) }()
	a, b := prefill(20*time.Second), <-first
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
