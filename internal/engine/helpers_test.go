package engine

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

const (
	streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"endpoint-load-metrics: TEXT kv=0.5, q=NaN\r\n\r\n"

	prefillReply = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
)

var testLimits = http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}

// newTestClient returns a client of engines that may start at a request's first byte (RunsWhenComplete is not set).
func newTestClient() *Client {
	return &Client{
		Protocol:            VLLM{Extended: true},
		LoadReportHeader:    HeaderLoadReport,
		LoadReportFields:    []string{"kv", "none"},
		DialTimeout:         time.Second,
		IdleTimeout:         time.Minute,
		StreamIdleTimeout:   20 * time.Second,
		MaxConnsPerEndpoint: 4,
		MaxIdlePerEndpoint:  4,
		MaxEventBytes:       16 << 10,
		MaxReplyBytes:       1 << 16,
		Limits:              testLimits,
	}
}

// newLastByteClient returns a client of engines that start at a request's last byte (RunsWhenComplete is set).
func newLastByteClient() *Client {
	c := newTestClient()
	c.RunsWhenComplete = true
	return c
}

// newCall returns a call without a body whose deadline is timeout from now.
func newCall(timeout time.Duration) Call {
	return Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(timeout)}
}

// newCallWithBody returns a call with a small body whose deadline is timeout from now.
func newCallWithBody(timeout time.Duration) Call {
	call := newCall(timeout)
	call.Body = []byte("{}")
	return call
}

// startPeer starts a server that calls serve for each connection, with the connection's number, in a goroutine of its
// own. It returns the server's endpoint.
func startPeer(t *testing.T, serve func(i int, conn *net.TCPConn)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return servePeer(t, listener, serve)
}

// servePeer is like startPeer, on a listener that it closes when the test ends.
func servePeer(t *testing.T, listener net.Listener, serve func(i int, conn *net.TCPConn)) *Endpoint {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close() //nolint:errcheck // the peer may have closed or reset it before
				serve(i, conn.(*net.TCPConn))
			}()
		}
	}()
	return &Endpoint{ID: 1, Name: "e", Address: listener.Addr().String()}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// readRequest reads one request with its body. It returns false if no complete request arrives.
func readRequest(br *bufio.Reader) bool {
	r, err := http1.ReadRequest(br, testLimits)
	if err != nil {
		return false
	}
	var body http1.Body
	body.Reset(br, &r.Message, testLimits)
	_, err = http1.ReadAll(&body, 1<<20)
	return err == nil
}

// respond writes text. It ignores errors, since in some cases the client has already closed the connection.
func respond(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// readUntilClosed reads and discards all data until the connection ends.
func readUntilClosed(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// resetOnClose makes closing the connection send a reset.
func resetOnClose(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// chunk returns s framed as one chunk.
func chunk(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }

// testSink records the events of a stream.
type testSink struct {
	received     strings.Builder
	beginCalls   int   // number of calls of Begin
	declineBegin bool  // Begin returns false
	eventsErr    error // returned by Events
	lastFlag     bool  // argument last of the latest call of Events
}

func (s *testSink) Begin() bool {
	s.beginCalls++
	return !s.declineBegin
}

func (s *testSink) Events(events []byte, last bool) error {
	s.lastFlag = last
	s.received.Write(events)
	return s.eventsErr
}

// discardSink accepts a stream and discards its events.
type discardSink struct{}

func (discardSink) Begin() bool               { return true }
func (discardSink) Events([]byte, bool) error { return nil }
