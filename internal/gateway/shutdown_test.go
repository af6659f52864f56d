package gateway

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	fakeengine "brackenbend/internal/fake/engine"
)

func TestShutdownAnswersOpenRequests(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	got := make(chan string, 1)
	go func() { got <- r.sendRaw(chatRequest(chat(true, 200), "")) }()
	r.awaitOpenRequests(1)
	idle := r.dial("")
	r.gateway.drain.grace = 2 * time.Second // the client below may be scheduled late
	late := make(chan string, 1)
	go func() { // on a connection that was idle, just as the gateway begins to drain
		for !r.gateway.drain.started.Load() {
			runtime.Gosched()
		}
		_, _ = io.WriteString(idle, chatRequest(chat(true, 1), "")) // the answer shows whether it failed
		text, _ := io.ReadAll(idle)
		late <- string(text)
	}()
	r.gateway.Shutdown(t.Context())
	if text := <-got; !strings.Contains(text, "[DONE]") {
		t.Errorf("%q", text)
	}
	if text := <-late; !strings.HasPrefix(text, "HTTP/1.1 503") || !strings.Contains(text, "Retry-After: 1") {
		t.Errorf("a request that came with the drain: %q", text)
	}
	if _, err := net.Dial("tcp", r.address); err == nil {
		t.Error("it still accepts")
	}
}

// TestShutdownRejectsAtItsEnd: only a prefill was pending, which has no effect, so the router rejects the request.
func TestShutdownRejectsAtItsEnd(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for _, e := range r.engines {
		e.SetFaults(fakeengine.Faults{Stall: true})
	}
	got := make(chan string, 1)
	go func() { got <- r.sendRaw(chatRequest(chat(true, 200), "X-Class: order\r\n")) }()
	r.awaitOpenRequests(1)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	r.gateway.Shutdown(ctx)
	text := <-got
	if !strings.HasPrefix(text, "HTTP/1.1 429") || !strings.Contains(text, "x-should-retry: false") ||
		strings.Count(text, "HTTP/1.1") != 1 {
		t.Errorf("%q", text)
	}
}

// TestRequestReadAtEndOfShutdown: the router has been shut down, and the connection is aborted, while a request is
// being read. It is rejected, which is harmless, on a connection that then ends; its client does not remain without an
// answer.
func TestRequestReadAtEndOfShutdown(t *testing.T) {
	for _, c := range []struct {
		name, want string
		missing    int
	}{
		{name: "a whole request", want: "HTTP/1.1 429"},
		{name: "a partial one", want: "HTTP/1.1 408", missing: 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "", "reader", "writer")
			read, aborted := make(chan struct{}), make(chan struct{})
			client := r.connect(&hookedConn{afterRead: func([]byte) { close(read); <-aborted }})
			text := chatRequest(chat(true, 3), "X-Class: order\r\n")
			send(t, client, text[:len(text)-c.missing])
			<-read
			r.gateway.loop.shutdownRouter()
			r.gateway.mu.Lock()
			for conn := range r.gateway.conns {
				conn.abort()
			}
			r.gateway.mu.Unlock()
			close(aborted)
			got, err := readAll(client)
			if err != nil || !strings.HasPrefix(got, c.want) {
				t.Errorf("%v: %q", err, got)
			}
			r.requireNoArrivals()
		})
	}
}

// failingListener fails one accept after fail is set, as one does that is out of descriptors.
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

// TestAcceptFailsWhileDraining: an accept fails for lack of descriptors after the shutdown has begun. Clients that
// still connect are accepted all the same.
func TestAcceptFailsWhileDraining(t *testing.T) {
	l := &failingListener{TCPListener: listen(t), failed: make(chan struct{})}
	r := newRigOn(t, l, "", "reader", "writer")
	r.eventually("it listens", func() bool {
		r.gateway.mu.Lock()
		defer r.gateway.mu.Unlock()
		return r.gateway.listener != nil
	})
	r.gateway.AcceptWhileDraining = 20 * time.Second
	l.fail.Store(true)
	ended := make(chan struct{})
	go func() {
		r.gateway.Shutdown(t.Context())
		close(ended)
	}()
	r.eventually("it drains", r.gateway.drain.started.Load)
	r.dial("")
	<-l.failed
	if got := r.sendRaw(chatRequest(chat(true, 3), "Connection: close\r\n")); !strings.Contains(got, "[DONE]") {
		t.Errorf("%q", got)
	}
	_ = l.SetDeadline(time.Now()) // nobody else is to come
	<-ended
}
