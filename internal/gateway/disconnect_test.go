package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"brackenbend/internal/config"
	"brackenbend/internal/engine"
	fakeengine "brackenbend/internal/fake/engine"
	"brackenbend/routing"
)

// TestDisconnectCancelsAttempts: the client disconnects while an engine works on the request.
func TestDisconnectCancelsAttempts(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	for _, phase := range []string{"waiting", "streaming"} {
		t.Run(phase, func(t *testing.T) {
			for name, e := range tg.engines {
				e.SetFaults(fakeengine.Faults{Stall: phase == "waiting" && strings.HasPrefix(name, "reader")})
			}
			c := tg.dial(chatRequest(chatBody(true, 100000), "X-Class: order\r\n"))
			if phase == "streaming" {
				if _, err := bufio.NewReader(c).ReadString('}'); err != nil {
					t.Fatal(err)
				}
			}
			tg.awaitOpenRequests(1)
			closeQuietly(c)
			tg.awaitOpenRequests(0)
			tg.eventually("no engine works on the request", func() bool {
				for _, e := range tg.engines {
					if e.InFlight() > 0 {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestClientThatStopsReadingIsCanceled: the client reads nothing of an endless stream. Its request ends once a write
// has timed out, and the heap stays bounded.
func TestClientThatStopsReadingIsCanceled(t *testing.T) {
	tg := newTestGateway(t, `stall-time="300ms"`, "reader", "writer")
	c := tg.dial("")
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	send(t, c, chatRequest(chatBody(true, 10_000_000), ""))
	for _, e := range tg.engines {
		e.SetEndlessStreams(true) // tokens as fast as the sockets accept them
	}
	tg.awaitOpenRequests(1)
	tg.awaitOpenRequests(0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > 8<<20 {
		t.Errorf("the heap grew by %d bytes", growth)
	}
}

// TestExactlyOneOwnerOfAnswer: a rejection, a first token and a disconnect happen at the same time, and exactly one of
// them must own the answer.
func TestExactlyOneOwnerOfAnswer(t *testing.T) {
	for range 2000 {
		gatewayEnd, clientEnd := net.Pipe()
		g := &Gateway{settings: &config.Settings{Limits: &config.Limits{WriteTimeout: time.Second}}}
		request := &inflightRequest{
			conn: newClientConn(g, gatewayEnd), class: &routing.Class{}, done: make(chan struct{}), chunked: true,
			acceptedAt: time.Now(),
		}
		a := &attempt{request: request, endpoint: &engine.Endpoint{}, post: func(routing.Event, localEvent) {}}
		go func() { _, _ = io.Copy(io.Discard, clientEnd) }() // ends with the pipe
		var wg sync.WaitGroup
		var claimed [3]bool
		start := make(chan struct{})
		for i, claim := range []func() bool{
			func() bool { return request.respond(rejectionResponse(routing.Reject{RetryAfter: time.Second})) },
			a.Begin,
			func() bool { return request.state.CompareAndSwap(answerPending, answerAbandoned) },
		} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				<-start
				claimed[i] = claim()
			}()
		}
		close(start)
		wg.Wait()
		owners := 0
		for _, w := range claimed {
			if w {
				owners++
			}
		}
		if owners != 1 {
			t.Fatalf("%d of a rejection, a first token and a disconnect won: %v", owners, claimed)
		}
		closeQuietly(gatewayEnd)
		closeQuietly(clientEnd)
	}
}

// TestRequestAfterLastChunkIsNotPipelined: a client that has received the last chunk sends its next request, and the
// gateway reads it before the write of that chunk has returned. It must not be taken for a request pipelined behind the
// first.
func TestRequestAfterLastChunkIsNotPipelined(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	tg.gateway.Pipelining = RejectPipelining
	nextRequestRead, lastChunkWritten := make(chan struct{}), make(chan struct{})
	requests, streams := 0, 0
	c := tg.connectHooked(&hookedConn{
		afterRead: func(p []byte) {
			if bytes.HasPrefix(p, []byte("POST")) {
				if requests++; requests == 2 {
					close(nextRequestRead)
				}
			}
		},
		afterWrite: func(p []byte) {
			if bytes.HasSuffix(p, []byte("0\r\n\r\n")) {
				if streams++; streams == 1 {
					close(lastChunkWritten)
					<-nextRequestRead
				}
			}
		},
	})
	send(t, c, chatRequest(chatBody(true, 3), ""))
	<-lastChunkWritten
	send(t, c, chatRequest(chatBody(true, 4), "Connection: close\r\n"))
	got, err := readAll(c)
	if err != nil || strings.Count(got, "HTTP/1.1 200") != 2 || strings.Count(got, "[DONE]") != 2 {
		t.Errorf("%v: %q", err, got)
	}
}

// TestNoAttemptIsSentAfterUnreadClose: a client has disconnected, but its connection's goroutine has not read the close
// when the first attempt is about to be sent. The operating system reports the close, and nothing is sent.
func TestNoAttemptIsSentAfterUnreadClose(t *testing.T) { checkUnreadClose(t, "") }

// TestNoAttemptIsSentAfterCloseBehindUnreadBytes guards against requests that are sent on though their client has
// closed its connection, since more of its bytes are unread before the close.
func TestNoAttemptIsSentAfterCloseBehindUnreadBytes(t *testing.T) { checkUnreadClose(t, unreadBytes) }

// unreadBytes are more than a connection's read buffer holds, so that some stay in the socket.
var unreadBytes = strings.Repeat("x", 2*clientReadBufferSize)

// checkUnreadClose checks that nothing is sent for a client that has written a request and more bytes and has closed
// its connection, while the goroutine of the connection has read only the request.
func checkUnreadClose(t *testing.T, more string) {
	t.Helper()
	tg := newTestGateway(t, "", "reader", "writer")
	reads, secondReadStarted := 0, make(chan struct{})
	readResumed := make(chan struct{})
	resumeRead := sync.OnceFunc(func() { close(readResumed) })
	defer resumeRead()
	tg.connectHooked(&hookedConn{
		beforeRead: func() {
			if reads++; reads == 2 { // the read that would see the close
				close(secondReadStarted)
				<-readResumed
			}
		},
	}, func(c *net.TCPConn) {
		request := chatRequest(chatBody(true, 3), "X-Pad: \r\n")
		padding := strings.Repeat("x", clientReadBufferSize-len(request)) // so that one read takes the request alone
		send(t, c, strings.Replace(request, "X-Pad: ", "X-Pad: "+padding, 1))
		send(t, c, more)
		closeQuietly(c)
	})
	select {
	case <-secondReadStarted:
	case <-time.After(waitTimeout):
		t.Fatal("the connection's goroutine does not wait for the answer in a read")
	}
	tg.eventually("an attempt ended as not sent", func() bool {
		return testutil.ToFloat64(tg.gateway.metrics.Attempts.WithLabelValues(
			"read", attemptResultNames[routing.NotSent])) > 0
	})
	resumeRead()
	tg.eventually("the connection has ended", func() bool {
		return testutil.ToFloat64(tg.gateway.metrics.ClientConnections) == 0
	})
	tg.requireNoArrivals()
}

// TestPipelinedRequestOfAClosedConnectionIsNotSent guards against requests that are sent on long after their client has
// closed its connection: they waited behind another one, and the close behind them was not seen.
func TestPipelinedRequestOfAClosedConnectionIsNotSent(t *testing.T) {
	tg, stub := newTestGatewayWithStub(t, "")
	decoding, givenUp := make(chan struct{}, 10), make(chan struct{}, 10)
	stub.setDecodeReply(func(c net.Conn) {
		decoding <- struct{}{}
		_, _ = io.Copy(io.Discard, c) // until the gateway gives up the attempt
		givenUp <- struct{}{}
	})
	c := tg.dial(chatRequest(chatBody(true, 3), "") + chatRequest(chatBody(true, 4), "") + unreadBytes)
	tg.eventually("a decode has begun", func() bool { return len(decoding) > 0 })
	<-decoding
	closeQuietly(c)
	tg.eventually("the decode is given up", func() bool { return len(givenUp) > 0 })
	tg.awaitOpenRequests(0)
	if n := testutil.ToFloat64(tg.gateway.metrics.FinalAnswers.WithLabelValues("ask", resultClientGone)); n == 0 {
		t.Error("the first request went on after its client had closed the connection")
	}
	if len(decoding) > 0 {
		t.Error("a request was sent on after its client had closed the connection")
	}
}
