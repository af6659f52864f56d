package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

func TestMalformedRequestIsAnsweredAndConnectionClosed(t *testing.T) {
	tg := newTestGateway(t, `head="2KiB" body="1KiB" head-time="200ms" body-time="200ms"`, "reader", "writer")
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct{ name, send, status string }{
		{"smuggling: two lengths", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", "400"},
		{
			"smuggling: length and chunked",
			post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400",
		},
		{"bare LF", "GET /v1/models HTTP/1.1\nHost: a\n\n", "400"},
		{"head too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n", "431"},
		{"body too large", chatRequest(strings.Repeat("x", 2000), ""), "413"},
		{
			"chunked body too large",
			post + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", "413",
		},
		{"partial body", strings.TrimSuffix(chatRequest(chatBody(true, 2), "Connection: close\r\n"), "]}"), "408"},
		{"partial head", "GET /v1/models HTTP/1.1\r\n", "408"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := tg.sendRaw(c.send)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || strings.Count(got, "HTTP/1.1 ") != 1 {
				t.Errorf("%.200q", got)
			}
		})
	}
}

func TestRequestFraming(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	const lastRequest = "Connection: close\r\n"
	t.Run("pipelined", func(t *testing.T) {
		got := tg.sendRaw(chatRequest(chatBody(true, 3), "") + chatRequest(chatBody(true, 4), lastRequest))
		if strings.Count(got, "HTTP/1.1 200") != 2 || strings.Count(got, "[DONE]") != 2 ||
			strings.Index(got, "w3") < strings.Index(got, "[DONE]") {
			t.Errorf("%q", got)
		}
	})
	t.Run("a byte at a time", func(t *testing.T) {
		got := tg.sendRaw(strings.Split(chatRequest(chatBody(true, 3), lastRequest), "")...)
		if strings.Count(got, "[DONE]") != 1 {
			t.Errorf("%q", got)
		}
	})
	t.Run("100-continue", func(t *testing.T) {
		got := tg.sendRaw(chatRequest(chatBody(true, 1), lastRequest+"Expect: 100-continue\r\n"))
		if !strings.HasPrefix(got, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200") {
			t.Errorf("%q", got)
		}
	})
	t.Run("HTTP/1.0", func(t *testing.T) {
		got := tg.sendRaw(strings.Replace(chatRequest(chatBody(true, 3), ""), "HTTP/1.1", "HTTP/1.0", 1))
		if strings.Contains(got, "chunked") || !strings.HasSuffix(got, "data: [DONE]\n\n") {
			t.Errorf("%q", got)
		}
	})
}

func TestLimitsShedRequestsAndConnections(t *testing.T) {
	tg := newTestGateway(t, `open-requests="1" connections="3"`, "reader", "writer")
	tg.dial(chatRequest(chatBody(true, 100000), ""))
	tg.awaitOpenRequests(1)
	if resp, text := tg.post("ask", chatBody(true, 1)); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	http.DefaultClient.CloseIdleConnections()
	tg.eventually("only the stream's connection is open", func() bool { return tg.gateway.connections() == 1 })
	var last net.Conn
	for range 5 {
		last = tg.dial("")
	}
	_ = last.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := last.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection over the limit was not closed: %v", err)
	}
}

// racingConn is a client's connection on which a request arrives right after duringRead has run.
type racingConn struct {
	net.Conn
	duringRead func()
	closed     bool
}

func (c *racingConn) Read(p []byte) (int, error) {
	c.duringRead()
	return copy(p, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"), nil
}
func (c *racingConn) Close() error                    { c.closed = true; return nil }
func (c *racingConn) SetReadDeadline(time.Time) error { return nil }

// TestConnectionIsEitherEvictedOrServed: a request arrives while its connection is being evicted. The client sees the
// close and sends the request again, so if the gateway started it, it would run twice. A connection whose request
// arrived before the eviction is not evicted.
func TestConnectionIsEitherEvictedOrServed(t *testing.T) {
	for name, evictFirst := range map[string]bool{"evicted first": true, "request first": false} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{
				Options: Options{MinIdleTime: time.Nanosecond},
				limits:  http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 10},
				conns:   map[*clientConn]struct{}{},
			}
			conn := &racingConn{duringRead: func() {}}
			evicted := false
			if evictFirst {
				conn.duringRead = func() {
					time.Sleep(time.Microsecond)
					evicted = g.evictIdleConn()
				}
			}
			c := newClientConn(g, conn)
			c.hadRequest = true
			g.conns[c] = struct{}{}
			req, err := c.readRequest()
			if !evictFirst {
				evicted = g.evictIdleConn()
			}
			if (req == nil) != evictFirst || (err != nil) != evictFirst || evicted != evictFirst ||
				conn.closed != evictFirst {
				t.Errorf("request %v, error %v, evicted %v, closed %v", req != nil, err, evicted, conn.closed)
			}
		})
	}
}

// TestNewConnectionsCanBeEvictedAtOnce guards against clients that are turned away at the connection limit though all
// others are idle: a connection could be evicted only when its goroutine had run, which may be late on a busy machine.
func TestNewConnectionsCanBeEvictedAtOnce(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	tg.gateway.Limits.MaxConnections, tg.gateway.MinIdleTime = 2, time.Minute
	l := listen(t)
	defer closeQuietly(l)
	var clients, accepted []net.Conn
	for range tg.gateway.Limits.MaxConnections + 1 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer closeQuietly(client)
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		clients, accepted = append(clients, client), append(accepted, conn)
	}
	processors := runtime.GOMAXPROCS(1) // no goroutine of a connection runs before all are accepted
	for _, conn := range accepted {
		tg.gateway.accept(conn)
	}
	runtime.GOMAXPROCS(processors)
	last := clients[len(clients)-1]
	send(t, last, chatRequest(chatBody(true, 3), "Connection: close\r\n"))
	if got, err := readAll(last); err != nil || !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("%v: %q", err, got)
	}
}

// interruptedConn lets the goroutine of a connection go on while an interrupt sets a read deadline, and records the
// deadline that was set last.
type interruptedConn struct {
	net.Conn
	duringInterrupt func()
	lastDeadline    time.Time
}

func (c *interruptedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.Equal(pastDeadline) {
		c.duringInterrupt()
	}
	c.lastDeadline = deadline
	return nil
}

// TestDrainDoesNotInterruptTheWaitDuringIt guards against requests on idle connections that get no answer at the start
// of a drain: the interrupt of the idle wait came after the deadline of the wait during the drain was set.
func TestDrainDoesNotInterruptTheWaitDuringIt(t *testing.T) {
	tg := newTestGateway(t, "")
	recorder := &interruptedConn{}
	conn := newClientConn(tg.gateway, recorder)
	graceEnd, waiting := time.Now().Add(time.Hour), make(chan struct{})
	recorder.duringInterrupt = func() {
		conn.clearIdle()
		go func() {
			defer close(waiting)
			if err := conn.setReadDeadline(graceEnd); err != nil {
				t.Error(err)
			}
		}()
		select {
		case <-waiting:
		case <-time.After(50 * time.Millisecond): // it has to wait for the interrupt
		}
	}
	conn.interruptIdleRead()
	<-waiting
	if !recorder.lastDeadline.Equal(graceEnd) {
		t.Errorf("the wait during the drain ends at %v, want %v", recorder.lastDeadline, graceEnd)
	}
}

// writeDeadlineConn records the write deadlines of the gateway's end of a connection. A write ends only when the clock
// has moved on.
type writeDeadlineConn struct {
	net.Conn
	deadlines []time.Time
}

func (c *writeDeadlineConn) SetWriteDeadline(deadline time.Time) error {
	c.deadlines = append(c.deadlines, deadline)
	return nil
}

func (c *writeDeadlineConn) Write(p []byte) (int, error) {
	for start := time.Now(); !time.Now().After(start); {
		runtime.Gosched()
	}
	return len(p), nil
}

// TestWriteTimeoutCountsFromEachWrite guards against clients that are given up before they have read nothing for the
// write timeout: a write soon after another one had the deadline of the first.
func TestWriteTimeoutCountsFromEachWrite(t *testing.T) {
	tg := newTestGateway(t, "")
	recorder := &writeDeadlineConn{}
	conn := newClientConn(tg.gateway, recorder)
	const writes = 3
	for i := range writes {
		start := time.Now()
		if err := conn.write([]byte("a")); err != nil {
			t.Fatal(err)
		}
		if len(recorder.deadlines) != i+1 || recorder.deadlines[i].Before(start.Add(tg.gateway.Limits.WriteTimeout)) {
			t.Errorf("write %d at %v, deadlines %v", i, start, recorder.deadlines)
		}
	}
}

// slowReaderConn is a connection whose peer takes a few bytes before each write times out, for a number of times.
type slowReaderConn struct {
	net.Conn
	received bytes.Buffer
	accepts  []int // bytes taken by each write; after that nothing is taken
}

func (c *slowReaderConn) SetWriteDeadline(time.Time) error { return nil }

func (c *slowReaderConn) Write(p []byte) (int, error) {
	n := 0
	if len(c.accepts) > 0 {
		n, c.accepts = min(c.accepts[0], len(p)), c.accepts[1:]
	}
	c.received.Write(p[:n])
	if n < len(p) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// TestClientThatReadsSlowlyIsNotCutOff guards against answers that are cut off while their client is reading them: one
// write took longer than a client may read nothing.
func TestClientThatReadsSlowlyIsNotCutOff(t *testing.T) {
	tg := newTestGateway(t, "")
	for name, c := range map[string]struct {
		accepts  []int
		received string
		err      error
	}{
		"reads all the time": {[]int{2, 1, 3}, "answer", nil},
		"stops reading":      {[]int{2, 1, 0, 3}, "ans", os.ErrDeadlineExceeded},
	} {
		peer := &slowReaderConn{accepts: c.accepts}
		err := newClientConn(tg.gateway, peer).write([]byte("answer"))
		if !errors.Is(err, c.err) || peer.received.String() != c.received {
			t.Errorf("%s: %v, received %q", name, err, peer.received.String())
		}
	}
}

// hookedConn is the gateway's end of a client's connection. It calls hooks before and after reads and after writes.
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

// connectHooked connects a client to the gateway and returns the client's end. It calls the functions of beforeAccept
// with the client's end before it passes gatewayEnd to the gateway.
func (tg *testGateway) connectHooked(gatewayEnd *hookedConn, beforeAccept ...func(*net.TCPConn)) *net.TCPConn {
	tg.t.Helper()
	l := listen(tg.t)
	defer closeQuietly(l)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.t.Cleanup(func() { closeQuietly(client) })
	gatewayEnd.TCPConn, err = l.AcceptTCP()
	if err != nil {
		tg.t.Fatal(err)
	}
	for _, f := range beforeAccept {
		f(client.(*net.TCPConn))
	}
	tg.gateway.accept(gatewayEnd)
	return client.(*net.TCPConn)
}

// readAll reads until the gateway closes the connection.
func readAll(c net.Conn) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	text, err := io.ReadAll(c)
	return string(text), err
}

// TestPipelinedRequestsArePaced guards against one client that keeps the processor busy, while others wait, by sending
// small requests without waiting for the responses.
func TestPipelinedRequestsArePaced(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	const requests = 200
	small := "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"
	start := time.Now()
	got := tg.sendRaw(strings.Repeat(small, requests-1) + "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	if n := strings.Count(got, "HTTP/1.1 404"); n != requests {
		t.Errorf("%d responses to %d requests", n, requests)
	}
	if took, shortest := time.Since(start), requests/2*pipelinedPause; took < shortest {
		t.Errorf("%d pipelined requests were answered in %v, less than %v", requests, took, shortest)
	}
}
