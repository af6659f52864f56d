package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	fakeengine "brackenbend/internal/fake/engine"
	"brackenbend/internal/http1"
)

func TestShutdownAnswersOpenRequests(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	response := make(chan string, 1)
	go func() { response <- tg.sendRaw(chatRequest(chatBody(true, 200), "")) }()
	tg.awaitOpenRequests(1)
	idleConn := tg.dial("")
	tg.gateway.drain.grace = 2 * time.Second // the client below may be scheduled late
	lateResponse := make(chan string, 1)
	go func() { // sends on an idle connection just as the gateway starts to drain
		for !tg.gateway.drain.started.Load() {
			runtime.Gosched()
		}
		_, _ = io.WriteString(idleConn, chatRequest(chatBody(true, 1), "")) // the answer shows whether it failed
		text, _ := io.ReadAll(idleConn)
		lateResponse <- string(text)
	}()
	tg.gateway.Shutdown(t.Context())
	if text := <-response; !strings.Contains(text, "[DONE]") {
		t.Errorf("%q", text)
	}
	if text := <-lateResponse; !strings.HasPrefix(text, "HTTP/1.1 503") || !strings.Contains(text, "Retry-After: 1") {
		t.Errorf("response to a request sent at the start of the drain: %q", text)
	}
	if _, err := net.Dial("tcp", tg.address); err == nil {
		t.Error("the gateway still accepts connections")
	}
}

// TestShutdownRejectsPendingPrefill: when the time for the shutdown is over, only a prefill is pending. A prefill has
// no effect, so the router rejects the request instead of failing it.
func TestShutdownRejectsPendingPrefill(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	for _, e := range tg.engines {
		e.SetFaults(fakeengine.Faults{Stall: true})
	}
	response := make(chan string, 1)
	go func() { response <- tg.sendRaw(chatRequest(chatBody(true, 200), "X-Class: order\r\n")) }()
	tg.awaitOpenRequests(1)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	tg.gateway.Shutdown(ctx)
	text := <-response
	if !strings.HasPrefix(text, "HTTP/1.1 429") || !strings.Contains(text, "x-should-retry: false") ||
		strings.Count(text, "HTTP/1.1") != 1 {
		t.Errorf("%q", text)
	}
}

// TestRequestReadDuringAbortGetsResponse: the router is shut down and the connection aborted while a request is being
// read. The client must still get a response before the connection ends: a rejection, which is safe to retry, or an
// error for a partial request.
func TestRequestReadDuringAbortGetsResponse(t *testing.T) {
	for _, c := range []struct {
		name, want string
		missing    int
	}{
		{name: "a whole request", want: "HTTP/1.1 429"},
		{name: "a partial request", want: "HTTP/1.1 408", missing: 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			tg := newTestGateway(t, "", "reader", "writer")
			readDone, aborted := make(chan struct{}), make(chan struct{})
			client := tg.connectHooked(&hookedConn{afterRead: func([]byte) { close(readDone); <-aborted }})
			text := chatRequest(chatBody(true, 3), "X-Class: order\r\n")
			send(t, client, text[:len(text)-c.missing])
			<-readDone
			tg.gateway.endDrain()
			close(aborted)
			got, err := readAll(client)
			if err != nil || !strings.HasPrefix(got, c.want) {
				t.Errorf("%v: %q", err, got)
			}
			tg.requireNoArrivals()
		})
	}
}

// TestStreamsAtTheEndOfADrain guards against streams that a draining gateway cuts off while their engine writes on,
// though nothing has killed it: the time until the earliest kill ended them.
func TestStreamsAtTheEndOfADrain(t *testing.T) {
	for _, outlast := range []bool{true, false} {
		t.Run(fmt.Sprintf("outlast the shutdown: %t", outlast), func(t *testing.T) {
			tg, stub := newTestGatewayWithStub(t, "")
			tg.gateway.StreamsOutlastShutdown = outlast
			ended := make(chan struct{})
			stub.setDecodeReply(func(c net.Conn) {
				writeText(streamHead + chunk(event1))(c)
				<-ended
				writeText(chunk(event2) + chunk(eventUsage+eventDone) + "0\r\n\r\n")(c)
			})
			conn := tg.dial(chatRequest(chatBody(true, 2), ""))
			awaitStream(t, conn)
			tg.startDrain()
			tg.gateway.endDrain()
			close(ended)
			got, err := readAll(conn)
			complete := err == nil && strings.HasSuffix(got, http1.LastChunk)
			if complete != outlast {
				t.Errorf("complete: %t, want %t: %v: %q", complete, outlast, err, got)
			}
		})
	}
}

// TestCollectedAnswerAtTheEndOfADrain guards against clients that don't stream and get no response at all: the end of
// the drain closed the connection on which their answer was still being collected.
func TestCollectedAnswerAtTheEndOfADrain(t *testing.T) {
	tg, stub := newTestGatewayWithStub(t, "")
	collected, ended := make(chan struct{}), make(chan struct{})
	stub.setDecodeReply(func(c net.Conn) {
		writeText(streamHead + chunk(event1))(c)
		close(collected)
		<-ended
	})
	defer close(ended)
	conn := tg.dial(chatRequest(chatBody(false, 2), ""))
	<-collected
	var request *inflightRequest
	tg.gateway.mu.Lock()
	for c := range tg.gateway.conns {
		request = c.currentRequest.Load()
	}
	tg.gateway.mu.Unlock()
	tg.eventually("the answer is being collected", func() bool { return request.state.Load() == answerStreaming })
	tg.startDrain()
	tg.gateway.endDrain()
	if got, err := readAll(conn); err != nil || !strings.HasPrefix(got, "HTTP/1.1 5") {
		t.Errorf("%v: %q", err, got)
	}
}

// failingListener fails one Accept after fail is set, as a listener does when file descriptors run out.
type failingListener struct {
	*net.TCPListener
	fail   atomic.Bool
	failed chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil && l.fail.CompareAndSwap(true, false) {
		closeQuietly(conn)
		close(l.failed)
		return nil, syscall.EMFILE
	}
	return conn, err
}

// TestAcceptErrorWhileDrainingIsRetried: Accept fails for lack of file descriptors after the shutdown has begun.
// Clients that connect afterwards must still be accepted.
func TestAcceptErrorWhileDrainingIsRetried(t *testing.T) {
	l := &failingListener{TCPListener: listen(t), failed: make(chan struct{})}
	tg := newTestGatewayOn(t, l, "", "reader", "writer")
	tg.eventually("the gateway has a listener", func() bool {
		tg.gateway.mu.Lock()
		defer tg.gateway.mu.Unlock()
		return tg.gateway.listener != nil
	})
	tg.gateway.AcceptWhileDraining = 20 * time.Second
	l.fail.Store(true)
	shutdownDone := make(chan struct{})
	go func() {
		tg.gateway.Shutdown(t.Context())
		close(shutdownDone)
	}()
	tg.eventually("the gateway is draining", tg.gateway.drain.started.Load)
	tg.dial("")
	<-l.failed
	if got := tg.sendRaw(chatRequest(chatBody(true, 3), "Connection: close\r\n")); !strings.Contains(got, "[DONE]") {
		t.Errorf("%q", got)
	}
	_ = l.SetDeadline(time.Now()) // ends Serve: no further client connects
	<-shutdownDone
}
