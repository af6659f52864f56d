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

// newTestClient is a client whose engines begin with a request's first byte.
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

// newLastByteClient is a client whose engines begin with a request's last byte.
func newLastByteClient() *Client {
	c := newTestClient()
	c.RunsWhenComplete = true
	return c
}

// newCall is a call without a body that has so much time.
func newCall(timeout time.Duration) Call {
	return Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(timeout)}
}

// newCallWithBody is a call with a small body that has so much time.
func newCallWithBody(timeout time.Duration) Call {
	call := newCall(timeout)
	call.Body = []byte("{}")
	return call
}

// startPeer accepts connections and hands each, with its number, to serve on a goroutine of its own.
func startPeer(t *testing.T, serve func(i int, conn *net.TCPConn)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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

// unusedAddress is an address at which nothing listens.
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

// readRequest reads one whole request; false when none comes.
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

// respond writes text. The client may be gone by then, which some cases are about.
func respond(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// readUntilClosed reads all that comes.
func readUntilClosed(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// resetOnClose makes the close of a connection a reset.
func resetOnClose(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// chunk frames s as one chunk.
func chunk(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }

// testSink records a stream.
type testSink struct {
	received  strings.Builder
	begun     int // calls of Begin
	decline   bool
	fail      error
	lastIsEnd bool // the latest events were given as the last ones
}

func (s *testSink) Begin() bool {
	s.begun++
	return !s.decline
}

func (s *testSink) Events(events []byte, last bool) error {
	s.lastIsEnd = last
	s.received.Write(events)
	return s.fail
}

// discardSink accepts a stream and keeps nothing.
type discardSink struct{}

func (discardSink) Begin() bool               { return true }
func (discardSink) Events([]byte, bool) error { return nil }
