package protocol

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/internal/golden"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// showLineEndings escapes the line endings of a message, so that the comparison includes CR and LF.
func showLineEndings(s string) string {
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// captureRequest calls send with an endpoint that answers one request with reply, and returns the bytes that the
// endpoint received. It replaces the endpoint's address and the time left until the deadline, which is below 60 s.
func captureRequest(t *testing.T, reply string, send func(endpoint *engine.Endpoint)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // an error does not affect the test
	received := make(chan string, 1)
	go func() { received <- serveOneRequest(listener, reply) }()
	endpoint := &engine.Endpoint{ID: 1, Name: "e", Address: listener.Addr().String()}
	send(endpoint)
	endpoint.DiscardIdleConns()
	text := strings.ReplaceAll(<-received, endpoint.Address, "ADDRESS")
	return regexp.MustCompile(`Req-Deadline-Ms: [3-5]\d{4}\r`).ReplaceAllString(text, "Req-Deadline-Ms: MS\r")
}

// serveOneRequest answers one request on one connection and returns all bytes that it received.
func serveOneRequest(listener net.Listener, reply string) string {
	var raw bytes.Buffer
	conn, err := listener.Accept()
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the client has already closed it
	br := bufio.NewReader(io.TeeReader(conn, &raw))
	req, err := http1.ReadRequest(br, testLimits)
	if err != nil {
		return raw.String()
	}
	var body http1.Body
	body.Reset(br, &req.Message, testLimits)
	_, _ = http1.ReadAll(&body, 1<<20) // raw holds what was received
	_, _ = io.WriteString(conn, reply) // after a failed write, the client's outcome is wrong
	_, _ = io.Copy(io.Discard, br)     // until the client closes
	return raw.String()
}

var testLimits = http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}

const (
	prefillReply = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"
	releaseReply = "HTTP/1.1 204 x\r\n\r\n"
)

var decodeReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	string(http1.AppendChunk(nil, []byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"))) + "0\r\n\r\n"

// discardSink is a client that accepts all events.
type discardSink struct{}

func (discardSink) Begin() bool               { return true }
func (discardSink) Events([]byte, bool) error { return nil }

func newEngineClient() *engine.Client {
	return &engine.Client{
		Protocol:            EngineProtocol{},
		LoadReportHeader:    HeaderLoadReport,
		StateByRequestID:    true,
		RequireLastChunk:    true,
		RunsWhenComplete:    true,
		SettleDelay:         time.Millisecond,
		DialTimeout:         10 * time.Second,
		HeaderTimeout:       time.Minute,
		MaxConnsPerEndpoint: 4,
		MaxIdlePerEndpoint:  4,
		IdleTimeout:         time.Minute,
		StreamIdleTimeout:   time.Minute,
		MaxEventBytes:       16 << 10,
		MaxReplyBytes:       1 << 16,
		Limits:              testLimits,
	}
}

// TestEngineRequestBytes compares every byte of prefills, decodes and releases that reaches the socket of an engine
// with golden files.
func TestEngineRequestBytes(t *testing.T) {
	for _, tc := range []struct {
		golden         string
		notIdempotent  bool
		idempotencyKey string
	}{
		{"request.golden", false, ""},
		{"request-key.golden", false, "fad03ed3-01"},
		{"request-once.golden", true, ""},
		{"request-once-key.golden", true, "fad03ed3-01"},
	} {
		t.Run(tc.golden, func(t *testing.T) {
			call := func(body []byte) engine.Call {
				return engine.Call{
					Path: "/v1/chat/completions?x=1", ID: "9b1f03aa5c7e2d41", IdempotencyKey: tc.idempotencyKey,
					NotIdempotent: tc.notIdempotent, Body: body, Deadline: time.Now().Add(time.Minute),
				}
			}
			golden.Check(t, tc.golden, captureAllRequests(t, newEngineClient(), call))
		})
	}
}

// captureAllRequests returns the bytes of a prefill and a decode of two bodies each, and of a release.
func captureAllRequests(t *testing.T, client *engine.Client, call func(body []byte) engine.Call) string {
	t.Helper()
	var requests strings.Builder
	for _, text := range []string{
		`{"model":"chat","stream":true}`,
		`{ "stream":false, "model":"chat","kv_transfer_params":{"a":1} }`,
	} {
		body := rawBody(text)
		prefill := captureRequest(t, prefillReply, func(endpoint *engine.Endpoint) {
			out := client.Prefill(&engine.Attempt{}, endpoint, call(body.PrefillBody()))
			if out.Result != routing.PrefillDone {
				t.Errorf("result %d, %v", out.Result, out.Err)
			}
		})
		decode := captureRequest(t, decodeReply, func(endpoint *engine.Endpoint) {
			decodeCall := call(body.DecodeBody([]byte(`{"b":2}`), true))
			out := client.Decode(&engine.Attempt{}, endpoint, decodeCall, discardSink{})
			if out.Result != routing.Served {
				t.Errorf("result %d, %v", out.Result, out.Err)
			}
		})
		fmt.Fprintf(&requests, "== read\n%s== write\n%s", showLineEndings(prefill), showLineEndings(decode))
	}
	release := captureRequest(t, releaseReply, func(endpoint *engine.Endpoint) {
		deadline := time.Now().Add(time.Minute)
		if err := client.ReleaseState(&engine.Attempt{}, endpoint, "9b1f03aa5c7e2d41", true, deadline); err != nil {
			t.Error(err)
		}
	})
	fmt.Fprintf(&requests, "== release\n%s", showLineEndings(release))
	return requests.String()
}

// TestRequestHeadBytesAfterDeadline compares a whole head. The deadline has passed, so that the remaining time is
// always sent as 1 ms.
func TestRequestHeadBytesAfterDeadline(t *testing.T) {
	endpoint := &engine.Endpoint{Address: "10.0.0.1:8000"}
	const want = "POST /v1/x HTTP/1.1\r\nHost: 10.0.0.1:8000\r\nContent-Type: application/json\r\n" +
		"Content-Length: 2\r\nReq-Id: abc\r\nIdempotency-Key: k\r\nReq-Deadline-Ms: 1\r\n"
	call := &engine.Call{Path: "/v1/x", ID: "abc", IdempotencyKey: "k", Body: []byte("{}")}
	if got := string(EngineProtocol{}.AppendHead(nil, endpoint, call)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestReleaseAccepted(t *testing.T) {
	for status, want := range map[int]bool{199: false, 200: true, 204: true, 299: true, 300: false, 404: false} {
		if got := (EngineProtocol{}).ReleaseAccepted(status); got != want {
			t.Errorf("status %d: accepted %v, want %v", status, got, want)
		}
	}
}

// TestNotReadyBody compares the response to a health check of a node that is not ready.
func TestNotReadyBody(t *testing.T) {
	c := &ClientProtocol{NotReadyReason: func() string { return "draining" }}
	const want = `{"error":{"message":"draining","type":"server_error","param":null,"code":null}}`
	for _, method := range []string{"GET", "HEAD"} {
		resp := c.RespondDirectly(readRequest(t, method+" /healthz HTTP/1.1\nHost: x"))
		if resp.Status != 503 || string(resp.Body) != want {
			t.Errorf("%s: %d %s", method, resp.Status, resp.Body)
		}
	}
}
