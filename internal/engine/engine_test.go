package engine

import (
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func testClient() *Client {
	return &Client{
		Protocol: VLLM{Extended: true}, LoadReportHeader: HeaderLoadReport, DialTimeout: time.Second, MaxConnsPerEndpoint: 4, MaxIdlePerEndpoint: 4, IdleTimeout: time.Minute,
		StreamIdleTimeout: 20 * time.Second, MaxEventBytes: 16 << 10, MaxReplyBytes: 1 << 16, Limits: http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}, LoadReportFields: []string{"kv", "none"},
	}
}

// peer accepts connections one after another and hands each, with its number, to serve.
func peer(t *testing.T, serve func(i int, c *net.TCPConn)) *Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { serve(i, c.(*net.TCPConn)); c.Close() }()
		}
	}()
	return &Endpoint{ID: 1, Name: "e", Address: l.Addr().String()}
}

// request takes one whole request off c.
func request(c net.Conn, br *bufio.Reader) bool {
	lim := http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}
	r, err := http1.ReadRequest(br, lim)
	if err != nil {
		return false
	}
	var b http1.Body
	b.Reset(br, &r.Message, lim)
	_, err = http1.ReadAll(&b, 1<<20)
	return err == nil
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

type sink struct {
	got    strings.Builder
	begun  int
	refuse bool
	fail   error
	last   bool // told with the latest events
}

func (s *sink) Begin() bool { s.begun++; return !s.refuse }
func (s *sink) Events(p []byte, last bool) error {
	s.last = last
	s.got.Write(p)
	return s.fail
}

const head200 = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nendpoint-load-metrics: TEXT kv=0.5, q=NaN\r\n\r\n"

func chunked(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }

// TestOutcomeTable causes every way in which an attempt can end on the network.
func TestOutcomeTable(t *testing.T) {
	ok := head200 + chunked("data: {}\n\n") + chunked("data: [DONE]\n\n") + http1.LastChunk
	for name, c := range map[string]struct {
		serve func(c *net.TCPConn, br *bufio.Reader)
		want  routing.Result
		begun int
	}{
		"served": {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); io.WriteString(c, ok) }, routing.Served, 1},
		"events cut anywhere": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			for i := range ok {
				io.WriteString(c, ok[i:i+1])
			}
		}, routing.Served, 1},
		"closed after accept":  {func(c *net.TCPConn, br *bufio.Reader) {}, routing.ConnectionReset, 0},
		"reset after request":  {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); reset(c) }, routing.ConnectionReset, 0},
		"closed after request": {func(c *net.TCPConn, br *bufio.Reader) { request(c, br) }, routing.ConnectionReset, 0},
		"closed within head":   {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); io.WriteString(c, ok[:30]) }, routing.ConnectionReset, 0},
		"closed within stream": {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); io.WriteString(c, ok[:len(head200)+20]) }, routing.ConnectionReset, 1},
		"ended without [DONE]": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, head200+chunked("data: {}\n\n")+http1.LastChunk)
		}, routing.ConnectionReset, 1},
		"garbage": {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); io.WriteString(c, "SSH-2.0-x\r\n\r\n") }, routing.EngineError, 0},
		"head too large": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n")
		}, routing.EngineError, 0},
		"broken chunk": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, head200+chunked("data: {}\n\n")+"zz\r\n")
		}, routing.EngineError, 1},
		"event too large": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, head200+chunked("data: "+strings.Repeat("x", 20000)))
		}, routing.EngineError, 0},
		"error event": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, head200+chunked("data: {\"error\":{}}\n\n"))
		}, routing.EngineError, 0},
		"error event in stream": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, head200+chunked("data: {}\n\ndata: {\"error\":{}}\n\n"))
		}, routing.EngineError, 1},
		"500": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		}, routing.EngineError, 0},
		"503, may have run": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		}, routing.EngineError, 0},
		"503, never ran": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\nX-Brackenbend-Never-Ran: 1\r\n\r\n")
		}, routing.Rejected, 0},
		"no answer in time": {func(c *net.TCPConn, br *bufio.Reader) { request(c, br); io.Copy(io.Discard, c) }, routing.TimedOut, 0},
		"early 413": {func(c *net.TCPConn, br *bufio.Reader) {
			io.WriteString(c, "HTTP/1.1 413 x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			request(c, br)
		}, routing.Served, 0},
		"100 forever": {func(c *net.TCPConn, br *bufio.Reader) {
			request(c, br)
			io.WriteString(c, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9))
		}, routing.EngineError, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := peer(t, func(_ int, k *net.TCPConn) { c.serve(k, bufio.NewReader(k)) })
			limit := 10 * time.Second
			if c.want == routing.TimedOut {
				limit = 100 * time.Millisecond
			}
			var to sink
			out := testClient().Decode(&Attempt{}, s, Call{Path: "/v1/chat/completions", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(limit)}, &to)
			if out.Result != c.want || to.begun != c.begun {
				t.Errorf("result %d (%v), want %d; begun %d, want %d", out.Result, out.Err, c.want, to.begun, c.begun)
			}
			if c.begun == 1 && to.last != (c.want == routing.Served) {
				t.Errorf("last told: %v", to.last)
			}
			if c.want == routing.Served && c.begun == 1 && (to.got.String() != "data: {}\n\ndata: [DONE]\n\n" || len(out.LoadReport) != 2 || out.LoadReport[0] != 0.5 || out.LoadReport[1] == out.LoadReport[1]) {
				t.Errorf("relayed %q, report %v", to.got.String(), out.LoadReport)
			}
		})
	}
}

func TestRefusedConnectNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	out := testClient().Prefill(&Attempt{}, &Endpoint{Address: l.Addr().String()}, Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(5 * time.Second)})
	if out.Result != routing.ConnectFailed {
		t.Errorf("%+v", out)
	}
}

func TestNothingIsSentOnceShutOrCalledOff(t *testing.T) {
	got := make(chan bool, 4)
	s := peer(t, func(_ int, c *net.TCPConn) { got <- request(c, bufio.NewReader(c)) })
	c := testClient()
	a := &Attempt{}
	a.Cancel()
	if out := c.Prefill(a, s, Call{Path: "/v1/x", ID: "a"}); out.Result != routing.NotSent {
		t.Errorf("called off: %+v", out)
	}
	s.Close()
	if out := c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "a"}); out.Result != routing.NotSent {
		t.Errorf("shut: %+v", out)
	}
	// a drain that is told while the connection is being made
	s.Open()
	k, err := c.getConn(nil, s, true, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	c.putConn(s, k, true)
	if !(&Attempt{}).attachConn(k.Conn) {
		t.Fatal("a fresh attempt can't hold its connection")
	}
	s.Close()
	if s.Conns() != 0 {
		t.Errorf("%d connections stay to a server that drains", s.Conns())
	}
	select {
	case sent := <-got:
		if sent {
			t.Error("a request reached the server")
		}
	case <-time.After(time.Second):
	}
}

func TestCancelWhileWaiting(t *testing.T) {
	reached := make(chan struct{})
	gone := make(chan struct{})
	s := peer(t, func(_ int, c *net.TCPConn) {
		request(c, bufio.NewReader(c))
		close(reached)
		io.Copy(io.Discard, c)
		close(gone)
	})
	a := &Attempt{}
	go func() { <-reached; a.Cancel() }()
	if out := testClient().Prefill(a, s, Call{Path: "/v1/x", ID: "a"}); out.Result != routing.Cancelled {
		t.Errorf("%+v", out)
	}
	<-gone // the engine sees that nobody waits
}

// TestOnceNeverRidesOnAPooledConnection: the peer kills the idle connection just as it would be used again.
func TestOnceNeverRidesOnAPooledConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
	conns := make(chan int, 10)
	s := peer(t, func(i int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for request(c, br) {
			conns <- i
			io.WriteString(c, answer)
		}
	})
	c := testClient()
	call := Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(10 * time.Second)}
	for i, once := range []bool{false, false, true} {
		call.SingleUseConn = once
		if out := c.Prefill(&Attempt{}, s, call); out.Result != routing.PrefillDone {
			t.Fatalf("%+v", out)
		}
		if used := <-conns; used != []int{0, 0, 1}[i] {
			t.Errorf("call %d rode on connection %d", i, used)
		}
	}
}

func TestDeadIdleConnectionIsSeen(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
	closed := make(chan struct{}, 1)
	s := peer(t, func(i int, c *net.TCPConn) {
		request(c, bufio.NewReader(c))
		io.WriteString(c, answer)
		c.Close() // without having said so
		closed <- struct{}{}
	})
	c := testClient()
	for range 3 {
		if out := c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(10 * time.Second)}); out.Result != routing.PrefillDone {
			t.Fatalf("%+v", out)
		}
		<-closed
		for s.Conns() == 1 { // until the close has come through
			s.mu.Lock()
			if len(s.idle) == 1 && !s.idle[0].isQuiet() {
				s.mu.Unlock()
				break
			}
			s.mu.Unlock()
		}
	}
}

func TestConnectionsAreCapped(t *testing.T) {
	s := peer(t, func(_ int, c *net.TCPConn) { request(c, bufio.NewReader(c)); io.Copy(io.Discard, c) })
	c := testClient()
	c.MaxConnsPerEndpoint = 1
	a := &Attempt{}
	done := make(chan Outcome)
	go func() { done <- c.Prefill(a, s, Call{Path: "/v1/x", ID: "a"}) }()
	for s.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	if out := c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "b"}); out.Result != routing.NotSent || !errors.Is(out.Err, errConnLimit) {
		t.Errorf("%+v", out)
	}
	a.Cancel()
	<-done
	if s.Conns() != 0 {
		t.Errorf("%d connections left", s.Conns())
	}
}

func TestRelayAllocatesNothingAToken(t *testing.T) {
	c := testClient()
	token := chunked("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"}}]}\n\n")
	run := func(tokens int) float64 {
		all := head200 + strings.Repeat(token, tokens) + chunked("data: [DONE]\n\n") + http1.LastChunk
		return testing.AllocsPerRun(20, func() {
			k := &persistConn{Conn: nopConn{}, br: bufio.NewReader(strings.NewReader(all))}
			resp, err := http1.ReadResponse(k.br, c.Limits)
			if err != nil {
				t.Fatal(err)
			}
			stream := newStreamRelay(c, &Attempt{}, k, resp, &nullSink{})
			if out := stream.relay(); out.Result != routing.Served {
				t.Fatalf("%+v", out)
			}
		})
	}
	if few, many := run(10), run(2010); many-few > 10 {
		t.Errorf("2,000 tokens more allocate %v times more", many-few)
	}
}

type nopConn struct{ net.Conn }

func (nopConn) SetReadDeadline(time.Time) error { return nil }

type nullSink struct{}

func (nullSink) Begin() bool               { return true }
func (nullSink) Events([]byte, bool) error { return nil }

func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT a=0.1, named_metrics.b=2")
	f.Add(`JSON {"cpu_utilization":0.3,"named_metrics":{"a":1}}`)
	f.Fuzz(func(t *testing.T, s string) {
		for name, v := range ParseLoadReport(s) {
			if v-v != 0 {
				t.Fatalf("%s is not finite", name)
			}
		}
	})
}

// A kept connection that breaks under its next request is the last that is used again, for as long as such are kept;
// what breaks on a new connection says nothing about those.
func TestNoKeptConnectionIsTrustedOnceOneBroke(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
	s := peer(t, func(i int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for n := 0; request(c, br); n++ {
			if n == 1 || i == 0 { // not seen before: the peer waits for the request
				reset(c)
				return
			}
			io.WriteString(c, answer)
		}
	})
	c := testClient()
	read := func() routing.Result {
		return c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(10 * time.Second)}).Result
	}
	if got := read(); got != routing.ConnectionReset || c.reuseSuspended() {
		t.Errorf("a new connection: %v, distrusts %v", got, c.reuseSuspended())
	}
	for i, want := range []routing.Result{routing.PrefillDone, routing.ConnectionReset, routing.PrefillDone, routing.PrefillDone, routing.PrefillDone} {
		if got := read(); got != want {
			t.Errorf("request %d: %v, want %v", i, got, want)
		}
	}
	if s.Conns() != 0 {
		t.Errorf("%d connections are kept", s.Conns())
	}
	c.pool.reuseFailedAt.Add(-int64(c.IdleTimeout)) // they are past their time
	if got := read(); got != routing.PrefillDone || s.Conns() != 1 {
		t.Errorf("later: %v, %d connections kept", got, s.Conns())
	}
}

// platform is a dialect like VLLM whose engines begin with a request's last byte.
func platform(c *Client) *Client {
	c.RunsWhenComplete = true
	return c
}

// What was not accepted as a whole never ran where engines begin with the last byte; elsewhere its first byte counts.
func TestHalfARequestNeverRan(t *testing.T) {
	s := peer(t, func(_ int, c *net.TCPConn) {
		_ = c.SetReadBuffer(4096)
		b := make([]byte, 1)
		_, _ = c.Read(b)
		reset(c)
	})
	call := Call{Path: "/v1/x", ID: "a", Body: make([]byte, 64<<20), Deadline: time.Now().Add(10 * time.Second)}
	if out := platform(testClient()).Prefill(&Attempt{}, s, call); out.Result != routing.RequestIncomplete {
		t.Errorf("the last byte decides: %+v", out)
	}
	if out := testClient().Prefill(&Attempt{}, s, call); out.Result != routing.ConnectionReset {
		t.Errorf("the first byte decides: %+v", out)
	}
}

// TestTheLastByteOfUnsafeWorkIsHeldBack: what breaks, is answered or is called off before it never ran; only what breaks
// after it may have. The waits are long where something ends them, and short where nothing does.
func TestTheLastByteOfUnsafeWorkIsHeldBack(t *testing.T) {
	body := []byte(`{"model":"chat"}`)
	short := func(c *net.TCPConn) (got int) { // all but the last byte
		b := make([]byte, 4096)
		for n := 0; !bytes.HasSuffix(b[:got], body[:len(body)-1]); got += n {
			var err error
			if n, err = c.Read(b[got:]); err != nil {
				return -1
			}
		}
		return got
	}
	for _, k := range []struct {
		name   string
		settle time.Duration
		serve  func(c *net.TCPConn, s *Endpoint)
		want   routing.Result
	}{
		{"reset at the first byte", time.Minute, func(c *net.TCPConn, _ *Endpoint) {
			_, _ = c.Read(make([]byte, 1)) // else it may be reset before the dial has seen that it is up
			reset(c)
		}, routing.RequestIncomplete},
		{"reset while the request came", time.Minute, func(c *net.TCPConn, _ *Endpoint) { short(c); reset(c) }, routing.RequestIncomplete},
		{"closed while the request came", time.Minute, func(c *net.TCPConn, _ *Endpoint) { short(c) }, routing.RequestIncomplete},
		{"failed while the request came", time.Minute, func(c *net.TCPConn, _ *Endpoint) {
			short(c)
			_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
			_, _ = io.Copy(io.Discard, c)
		}, routing.RequestIncomplete},
		{"served while the request came", time.Minute, func(c *net.TCPConn, _ *Endpoint) {
			short(c)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			_, _ = io.Copy(io.Discard, c)
		}, routing.RequestIncomplete},
		{"told to drain meanwhile", 50 * time.Millisecond, func(c *net.TCPConn, s *Endpoint) {
			short(c)
			s.Close()
			if n, _ := c.Read(make([]byte, 1)); n > 0 {
				t.Error("the last byte came to an engine that drains")
			}
		}, routing.NotSent},
		{"reset after the whole request", time.Millisecond, func(c *net.TCPConn, _ *Endpoint) {
			request(c, bufio.NewReader(c))
			reset(c)
		}, routing.ConnectionReset},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := platform(testClient())
			c.SettleDelay = k.settle
			var s *Endpoint
			ready := make(chan struct{})
			s = peer(t, func(_ int, c *net.TCPConn) { <-ready; k.serve(c, s) })
			close(ready)
			out := c.Decode(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", SingleUseConn: true, Body: body, Deadline: time.Now().Add(time.Minute)}, &sink{})
			if out.Result != k.want {
				t.Errorf("%+v, want %v", out, k.want)
			}
		})
	}
}

// TestNothingIsWrittenForAClientThatLeft: it leaves while the attempt waits to begin, while the connection comes up, or while the last
// byte is held back. Nothing is written from then on, and it never ran.
func TestNothingIsWrittenForAClientThatLeft(t *testing.T) {
	body := []byte(`{"model":"chat"}`)
	for looks := range 3 { // how often the attempt still finds the client there
		got := make(chan []byte, 1)
		s := peer(t, func(_ int, c *net.TCPConn) {
			b, _ := io.ReadAll(c)
			got <- b
		})
		c := platform(testClient())
		c.SettleDelay = time.Millisecond
		n := 0
		out := c.Decode(&Attempt{}, s, Call{
			Path: "/v1/x", ID: "a", SingleUseConn: true, Body: body, Deadline: time.Now().Add(time.Minute),
			Abandoned: func() bool { n++; return n > looks },
		}, &sink{})
		if out.Result != routing.NotSent {
			t.Errorf("left at look %d: %+v", looks, out)
		}
		if looks == 0 {
			continue
		}
		if b := <-got; bytes.HasSuffix(b, body) || looks < 2 && len(b) > 0 {
			t.Errorf("left at look %d: %q was written", looks, b)
		}
	}
}

// The bound over all engines is kept by closing what rested longest, wherever that is.
func TestConnectionsToAllEnginesAreCapped(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
	serve := func(_ int, c *net.TCPConn) {
		for br := bufio.NewReader(c); request(c, br); {
			io.WriteString(c, answer)
		}
	}
	c := testClient()
	c.MaxConns = 2
	servers := []*Endpoint{peer(t, serve), peer(t, serve), peer(t, serve)}
	for i, s := range servers {
		out := c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(10 * time.Second)})
		if out.Result != routing.PrefillDone {
			t.Fatalf("engine %d: %+v", i, out)
		}
	}
	if n := [3]int{servers[0].Conns(), servers[1].Conns(), servers[2].Conns()}; n != [3]int{0, 1, 1} || c.pool.open.Load() != 2 {
		t.Errorf("%v connections, %d in all", n, c.pool.open.Load())
	}
	c.IdleTimeout = 0 // all that rest are past their time
	c.CloseExpiredIdle()
	if n := c.pool.open.Load(); n != 0 || len(c.pool.withIdle) != 0 {
		t.Errorf("%d connections after the sweep, %d servers with some", n, len(c.pool.withIdle))
	}
}
