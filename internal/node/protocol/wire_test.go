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

// visible makes each line end of a message readable, so that CR and LF are compared too.
func visible(s string) string {
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// captureRequest runs send against a peer that answers one request with reply; it returns the bytes that the peer got.
// The peer's address is replaced, and the remaining deadline, which is 59 s and some milliseconds.
func captureRequest(t *testing.T, reply string, send func(endpoint *engine.Endpoint)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing is to be done about a failure
	received := make(chan string, 1)
	go func() { received <- serveOne(listener, reply) }()
	endpoint := &engine.Endpoint{ID: 1, Name: "e", Address: listener.Addr().String()}
	send(endpoint)
	endpoint.DiscardIdleConns()
	text := strings.ReplaceAll(<-received, endpoint.Address, "ADDRESS")
	return regexp.MustCompile(`Req-Deadline-Ms: [3-5]\d{4}\r`).ReplaceAllString(text, "Req-Deadline-Ms: MS\r")
}

// serveOne answers one request on one connection and returns all bytes that came on it.
func serveOne(listener net.Listener, reply string) string {
	var raw bytes.Buffer
	conn, err := listener.Accept()
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the client has closed it
	br := bufio.NewReader(io.TeeReader(conn, &raw))
	req, err := http1.ReadRequest(br, smallLimits)
	if err != nil {
		return raw.String()
	}
	var body http1.Body
	body.Reset(br, &req.Message, smallLimits)
	_, _ = http1.ReadAll(&body, 1<<20) // what came stands in raw
	_, _ = io.WriteString(conn, reply) // a failure shows as the client's outcome
	_, _ = io.Copy(io.Discard, br)     // until the client closes
	return raw.String()
}

var smallLimits = http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}

const (
	prefillReply = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"
	releaseReply = "HTTP/1.1 204 x\r\n\r\n"
)

var decodeReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	string(http1.AppendChunk(nil, []byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"))) + "0\r\n\r\n"

// discard is a client that takes all events.
type discard struct{}

func (discard) Begin() bool               { return true }
func (discard) Events([]byte, bool) error { return nil }

func newEngineClient() *engine.Client {
	return &engine.Client{
		Protocol:            Engines{},
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
		Limits:              smallLimits,
	}
}

// TestEngineRequestBytes holds every byte of prefills, decodes and releases as an engine's socket gets them.
func TestEngineRequestBytes(t *testing.T) {
	for _, tc := range []struct {
		golden         string
		singleUseConn  bool
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
					NotIdempotent: tc.singleUseConn, Body: body, Deadline: time.Now().Add(time.Minute),
				}
			}
			golden.Check(t, tc.golden, exchangeAll(t, newEngineClient(), call))
		})
	}
}

// exchangeAll returns the bytes of a prefill and a decode of two bodies each, and of a release.
func exchangeAll(t *testing.T, client *engine.Client, call func(body []byte) engine.Call) string {
	t.Helper()
	var all strings.Builder
	for _, text := range []string{
		`{"model":"chat","stream":true}`,
		`{ "stream":false, "model":"chat","kv_transfer_params":{"a":1} }`,
	} {
		body := prompt(text)
		prefill := captureRequest(t, prefillReply, func(endpoint *engine.Endpoint) {
			out := client.Prefill(&engine.Attempt{}, endpoint, call(body.PrefillBody()))
			if out.Result != routing.PrefillDone {
				t.Errorf("result %d, %v", out.Result, out.Err)
			}
		})
		decode := captureRequest(t, decodeReply, func(endpoint *engine.Endpoint) {
			decodeCall := call(body.DecodeBody([]byte(`{"b":2}`), true))
			out := client.Decode(&engine.Attempt{}, endpoint, decodeCall, discard{})
			if out.Result != routing.Served {
				t.Errorf("result %d, %v", out.Result, out.Err)
			}
		})
		fmt.Fprintf(&all, "== read\n%s== write\n%s", visible(prefill), visible(decode))
	}
	release := captureRequest(t, releaseReply, func(endpoint *engine.Endpoint) {
		deadline := time.Now().Add(time.Minute)
		if err := client.ReleaseState(&engine.Attempt{}, endpoint, "9b1f03aa5c7e2d41", true, deadline); err != nil {
			t.Error(err)
		}
	})
	fmt.Fprintf(&all, "== release\n%s", visible(release))
	return all.String()
}

// TestRequestHeadBytes holds a head whose deadline has passed: it has no random part at all.
func TestRequestHeadBytes(t *testing.T) {
	endpoint := &engine.Endpoint{Address: "10.0.0.1:8000"}
	const want = "POST /v1/x HTTP/1.1\r\nHost: 10.0.0.1:8000\r\nContent-Type: application/json\r\n" +
		"Content-Length: 2\r\nReq-Id: abc\r\nIdempotency-Key: k\r\nReq-Deadline-Ms: 1\r\n"
	call := &engine.Call{Path: "/v1/x", ID: "abc", IdempotencyKey: "k", Body: []byte("{}")}
	if got := string(Engines{}.AppendHead(nil, endpoint, call)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestReleaseAccepted(t *testing.T) {
	for status, want := range map[int]bool{199: false, 200: true, 204: true, 299: true, 300: false, 404: false} {
		if got := (Engines{}).ReleaseAccepted(status); got != want {
			t.Errorf("status %d: accepted %v, want %v", status, got, want)
		}
	}
}

// TestNotReadyBody holds the response to a health check of a node that should get no clients.
func TestNotReadyBody(t *testing.T) {
	c := &Clients{NotReady: func() string { return "draining" }}
	const want = `{"error":{"message":"draining","type":"server_error","param":null,"code":null}}`
	for _, method := range []string{"GET", "HEAD"} {
		resp := c.RespondDirectly(readRequest(t, method+" /healthz HTTP/1.1\nHost: x"))
		if resp.Status != 503 || string(resp.Body) != want {
			t.Errorf("%s: %d %s", method, resp.Status, resp.Body)
		}
	}
}
