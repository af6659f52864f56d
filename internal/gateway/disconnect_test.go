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

// TestDisconnectCancelsAttempts: the client leaves while an engine has the request.
func TestDisconnectCancelsAttempts(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for _, phase := range []string{"waiting", "streaming"} {
		t.Run(phase, func(t *testing.T) {
			for name, e := range r.engines {
				e.SetFaults(fakeengine.Faults{Stall: phase == "waiting" && strings.HasPrefix(name, "reader")})
			}
			c := r.dial(chatRequest(chat(true, 100000), "X-Class: order\r\n"))
			if phase == "streaming" {
				if _, err := bufio.NewReader(c).ReadString('}'); err != nil {
					t.Fatal(err)
				}
			}
			r.awaitOpenRequests(1)
			closeQuietly(c)
			r.awaitOpenRequests(0)
			r.eventually("no engine works on it", func() bool {
				for _, e := range r.engines {
					if e.InFlight() > 0 {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestClientThatStopsReading: memory stays bounded, and the attempt is canceled.
func TestClientThatStopsReading(t *testing.T) {
	r := newRig(t, `stall-time="300ms"`, "reader", "writer")
	c := r.dial("")
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	send(t, c, chatRequest(chat(true, 10_000_000), ""))
	for _, e := range r.engines {
		e.SetEndlessStreams(true) // tokens as fast as the sockets accept them
	}
	r.awaitOpenRequests(1)
	r.awaitOpenRequests(0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 8<<20 {
		t.Errorf("the heap grew by %d bytes", grown)
	}
}

// TestOneAnswerOfRacingOwners: a rejection, a first token and a disconnect come at once, and exactly one of them owns
// the answer.
func TestOneAnswerOfRacingOwners(t *testing.T) {
	for range 2000 {
		ours, theirs := net.Pipe()
		g := &Gateway{settings: &config.Settings{Limits: &config.Limits{WriteTimeout: time.Second}}}
		request := &inflightRequest{
			conn: newClientConn(g, ours), class: &routing.Class{}, done: make(chan struct{}), chunked: true,
			acceptedAt: time.Now(),
		}
		a := &attempt{request: request, endpoint: &engine.Endpoint{}, post: func(routing.Event, localEvent) {}}
		go func() { _, _ = io.Copy(io.Discard, theirs) }() // ends with the pipe
		var wait sync.WaitGroup
		var won [3]bool
		start := make(chan struct{})
		for i, act := range []func() bool{
			func() bool { return request.respond(rejectionResponse(routing.Reject{RetryAfter: time.Second})) },
			a.Begin,
			func() bool { return request.state.CompareAndSwap(answerPending, answerAbandoned) },
		} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				<-start
				won[i] = act()
			}()
		}
		close(start)
		wait.Wait()
		n := 0
		for _, w := range won {
			if w {
				n++
			}
		}
		if n != 1 {
			t.Fatalf("%d of a rejection, a first token and a disconnect won: %v", n, won)
		}
		closeQuietly(ours)
		closeQuietly(theirs)
	}
}

// TestRequestAtEndOfStream: a client that has the last chunk sends its next request, which is read before the gateway's
// write of that chunk has returned. It is the next request on that connection, not one pipelined behind the first.
func TestRequestAtEndOfStream(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	r.gateway.Pipelining = RejectPipelining
	next, lastChunk := make(chan struct{}), make(chan struct{})
	requests, streams := 0, 0
	c := r.connect(&hookedConn{
		afterRead: func(p []byte) {
			if bytes.HasPrefix(p, []byte("POST")) {
				if requests++; requests == 2 {
					close(next)
				}
			}
		},
		afterWrite: func(p []byte) {
			if bytes.HasSuffix(p, []byte("0\r\n\r\n")) {
				if streams++; streams == 1 {
					close(lastChunk)
					<-next
				}
			}
		},
	})
	send(t, c, chatRequest(chat(true, 3), ""))
	<-lastChunk
	send(t, c, chatRequest(chat(true, 4), "Connection: close\r\n"))
	got, err := readAll(c)
	if err != nil || strings.Count(got, "HTTP/1.1 200") != 2 || strings.Count(got, "[DONE]") != 2 {
		t.Errorf("%v: %q", err, got)
	}
}

// TestCloseNotYetRead: a client has left, but its connection's goroutine has not seen it when the first attempt is
// about to be written. The system knows, and nothing is sent.
func TestCloseNotYetRead(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	reads, seen := 0, make(chan struct{})
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	r.connect(&hookedConn{
		beforeRead: func() {
			if reads++; reads == 2 { // the one that sees the close
				close(seen)
				<-released
			}
		},
	}, func(c *net.TCPConn) {
		send(t, c, chatRequest(chat(true, 3), ""))
		closeQuietly(c)
	})
	<-seen
	r.eventually("an attempt is not sent", func() bool {
		return testutil.ToFloat64(r.gateway.metrics.Attempts.WithLabelValues("read", resultNames[routing.NotSent])) > 0
	})
	release()
	r.eventually("the connection has ended", func() bool {
		return testutil.ToFloat64(r.gateway.metrics.ClientConnections) == 0
	})
	r.requireNoArrivals()
}
