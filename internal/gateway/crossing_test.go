package gateway

import (
	"brackenbend/routing"
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// hookedConn is a client's connection, at the front's end, that stops at named points.
type hookedConn struct {
	*net.TCPConn
	beforeRead func()
	afterRead  func(p []byte)
	afterWrite func(p []byte)
}

func (c *hookedConn) Read(p []byte) (int, error) {
	if c.beforeRead != nil {
		c.beforeRead()
	}
	n, err := c.TCPConn.Read(p)
	if c.afterRead != nil && n > 0 {
		c.afterRead(p[:n])
	}
	return n, err
}

func (c *hookedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.afterWrite != nil {
		c.afterWrite(p[:n])
	}
	return n, err
}

// connect makes a client's connection whose other end, with hooks, is given to the front once before has returned.
func (r *rig) connect(hooked *hookedConn, before ...func(*net.TCPConn)) *net.TCPConn {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, f := range before {
		f(client.(*net.TCPConn))
	}
	hooked.TCPConn = accepted.(*net.TCPConn)
	r.gateway.accept(hooked)
	return client.(*net.TCPConn)
}

// TestARequestAtTheEndOfAStream: a client that has the last chunk sends its next request, which is read before the front's write of
// that chunk has returned. It is the next request on that connection, and not one sent beside the first.
func TestARequestAtTheEndOfAStream(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	r.gateway.RejectPipelining = true
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
	if _, err := io.WriteString(c, request(chat(true, 3), "")); err != nil {
		t.Fatal(err)
	}
	<-lastChunk
	if _, err := io.WriteString(c, request(chat(true, 4), "Connection: close\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	text, err := io.ReadAll(c)
	if got := string(text); err != nil || strings.Count(got, "HTTP/1.1 200") != 2 || strings.Count(got, "[DONE]") != 2 {
		t.Errorf("%v: %q", err, got)
	}
}

// TestARequestReadAsTheFrontEnds: the module has been told that the front ends, and the connection is cut short, while a request
// is being read. It is refused, which is harmless, on a connection that then ends; its client is not left without a word.
func TestARequestReadAsTheFrontEnds(t *testing.T) {
	for name, half := range map[string]bool{"a whole request": false, "half of one": true} {
		r := newRig(t, "", "reader", "writer")
		read, cut := make(chan struct{}), make(chan struct{})
		c := r.connect(&hookedConn{afterRead: func([]byte) { close(read); <-cut }})
		text := request(chat(true, 3), "X-Class: order\r\n")
		if half {
			text = text[:len(text)-9]
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		<-read
		r.gateway.loop.shutdownRouter()
		r.gateway.mu.Lock()
		for c := range r.gateway.conns {
			c.abort()
		}
		r.gateway.mu.Unlock()
		close(cut)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, err := io.ReadAll(c)
		want := map[bool]string{false: "HTTP/1.1 429", true: "HTTP/1.1 408"}[half]
		if err != nil || !strings.HasPrefix(string(got), want) {
			t.Errorf("%s: %v: %q", name, err, got)
		}
		for name, e := range r.engines {
			if n := e.Arrivals(); n > 0 {
				t.Errorf("%s was asked %d times", name, n)
			}
		}
	}
}

// scarceListener fails to accept as long as it is told to, as one does that is out of descriptors.
type scarceListener struct {
	*net.TCPListener
	short  atomic.Bool
	failed chan struct{}
}

func (l *scarceListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if err == nil && l.short.CompareAndSwap(true, false) {
		nc.Close()
		close(l.failed)
		return nil, syscall.EMFILE
	}
	return nc, err
}

// TestDescriptorsRunOutAsTheFrontDrains: an accept fails for want of descriptors after the shutdown has begun. Clients that still
// connect are taken in all the same.
func TestDescriptorsRunOutAsTheFrontDrains(t *testing.T) {
	l := &scarceListener{TCPListener: listenOn(t), failed: make(chan struct{})}
	r := newRigOn(t, l, "", "reader", "writer")
	r.eventually("it listens", func() bool { r.gateway.mu.Lock(); defer r.gateway.mu.Unlock(); return r.gateway.listener != nil })
	r.gateway.AcceptWhileDraining = 20 * time.Second
	l.short.Store(true)
	ended := make(chan struct{})
	go func() { r.gateway.Shutdown(t.Context()); close(ended) }()
	r.eventually("it drains", r.gateway.draining.Load)
	first, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	<-l.failed
	if got := r.raw(request(chat(true, 3), "Connection: close\r\n")); !strings.Contains(got, "[DONE]") {
		t.Errorf("%q", got)
	}
	_ = l.SetDeadline(time.Now()) // nobody else is to come
	<-ended
}

// TestACloseThatNobodyHasReadYet: a client has left, but its connection's goroutine has not come to see it when the first attempt is
// about to be written. The system knows, and nothing is sent.
func TestACloseThatNobodyHasReadYet(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	reads, seen := 0, make(chan struct{})
	answered := make(chan struct{})
	answer := sync.OnceFunc(func() { close(answered) })
	defer answer()
	r.connect(&hookedConn{
		beforeRead: func() {
			if reads++; reads == 2 { // for the close
				close(seen)
				<-answered
			}
		},
	}, func(c *net.TCPConn) {
		if _, err := io.WriteString(c, request(chat(true, 3), "")); err != nil {
			t.Fatal(err)
		}
		c.Close()
	})
	<-seen
	r.eventually("an attempt is not sent", func() bool {
		return testutil.ToFloat64(r.gateway.metrics.Attempts.WithLabelValues("read", resultNames[routing.NotSent])) > 0
	})
	answer()
	r.eventually("the connection has ended", func() bool { return testutil.ToFloat64(r.gateway.metrics.ClientConnections) == 0 })
	for name, e := range r.engines {
		if n := e.Arrivals(); n > 0 {
			t.Errorf("%s was asked %d times", name, n)
		}
	}
}
