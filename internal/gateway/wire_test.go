package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/golden"
	"brackenbend/routing"
)

// Header fields whose values differ from run to run.
var (
	requestIDField    = regexp.MustCompile(`X-Request-Id: [0-9a-f]{16}-[0-9a-f]+-0\r`)
	retryAfterField   = regexp.MustCompile(`Retry-After: [1-9][0-9]*\r`)
	retryAfterMsField = regexp.MustCompile(`retry-after-ms: [1-9][0-9]*\r`)
)

// normalizeMessage replaces the request id in a message and writes each CR and LF as an escape sequence, so that golden
// files show them.
func normalizeMessage(s string) string {
	s = requestIDField.ReplaceAllString(s, "X-Request-Id: ID\r")
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

const connectionClose = "Connection: close\r\n"

// TestClientResponseBytes compares the responses to clients of OpenAI's API, byte by byte, with golden files.
func TestClientResponseBytes(t *testing.T) {
	tg, engine := newTestGatewayWithStub(t, `head="2KiB" body="1KiB"`)
	post := func(body, more string) string { return chatRequest(body, more+connectionClose) }
	completionRequest := strings.Replace(
		post(`{"model":"m","prompt":"hello"}`, ""), "/v1/chat/completions", "/v1/completions", 1)
	requestWithoutBody := func(line string) string { return line + " HTTP/1.1\r\nHost: a\r\n" + connectionClose + "\r\n" }
	error400 := "HTTP/1.1 400 x\r\nContent-Length: 26\r\n\r\n" + `{"error":{"message":"no"}}`
	for _, c := range []struct{ name, answer, send string }{
		{"stream", completeStream, post(chatBody(true, 5), "")},
		{"stream, unsafe", completeStream, post(chatBody(true, 5), "X-Class: order\r\n")},
		{"stream, keyed", completeStream, post(chatBody(true, 5), "X-Class: book\r\nIdempotency-Key: k\r\n")},
		{"stream, HTTP/1.0", completeStream, strings.Replace(chatRequest(chatBody(true, 5), ""), "HTTP/1.1", "HTTP/1.0", 1)},
		{"stream, 100-continue", completeStream, post(chatBody(true, 5), "Expect: 100-continue\r\n")},
		{"whole", completeStream, post(chatBody(false, 5), "")},
		{"whole, HTTP/1.0", completeStream, strings.Replace(chatRequest(chatBody(false, 5), ""), "HTTP/1.1", "HTTP/1.0", 1)},
		{"whole, completion", streamHead + chunk(textEvent+eventDone) + "0\r\n\r\n", completionRequest},
		{
			"keep-alive, then close", completeStream,
			chatRequest(chatBody(false, 5), "") + chatRequest(chatBody(true, 5), "") + post(chatBody(false, 5), ""),
		},
		{"engine's 400", error400, post(chatBody(true, 5), "")},
		{"engine's 400, whole", error400, post(chatBody(false, 5), "X-Class: order\r\n")},
		{"failure, unsafe", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", post(chatBody(true, 5), "X-Class: order\r\n")},
		{
			"failure, unsafe, whole", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
			post(chatBody(false, 5), "X-Class: order\r\n"),
		},
		{
			"failure, repeat by an SDK", completeStream,
			post(chatBody(true, 5), "X-Class: order\r\nX-Stainless-Retry-Count: 1\r\n"),
		},
		{"stream that breaks", streamHead + chunk(event1) + "0\r\n\r\n", post(chatBody(true, 5), "X-Class: order\r\n")},
		{
			"stream that breaks, HTTP/1.0", streamHead + chunk(event1) + "0\r\n\r\n",
			strings.Replace(chatRequest(chatBody(true, 5), ""), "HTTP/1.1", "HTTP/1.0", 1),
		},
		{
			"stream that breaks, whole", streamHead + chunk(event1) + "0\r\n\r\n",
			post(chatBody(false, 5), "X-Class: order\r\n"),
		},
		{"stream that breaks, whole, safe", streamHead + chunk(event1) + "0\r\n\r\n", post(chatBody(false, 5), "")},
		{"no key", "", post(chatBody(true, 5), "X-Class: book\r\n")},
		{"not JSON", "", post("{", "")},
		{"not JSON, keep-alive", "", chatRequest("{", "") + requestWithoutBody("GET /v1/models")},
		{"not an object", "", post("[]", "")},
		{"no model", "", post(`{"messages":[]}`, "")},
		{"unknown model", "", post(strings.Replace(chatBody(true, 5), `"m"`, `"x"`, 1), "")},
		{"model twice", "", post(`{"model":"m","model":"m"}`, "")},
		{"stream no boolean", "", post(`{"model":"m","stream":1}`, "")},
		{"max_tokens 0", "", post(`{"model":"m","max_tokens":0}`, "")},
		{"no messages", "", post(`{"model":"m"}`, "")},
		{"content a number", "", post(`{"model":"m","messages":[{"role":"user","content":7}]}`, "")},
		{"no role", "", post(`{"model":"m","messages":[{"content":"a"}]}`, "")},
		{"models", "", requestWithoutBody("GET /v1/models")},
		{"model", "", requestWithoutBody("GET /v1/models/m")},
		{"model unknown", "", requestWithoutBody("GET /v1/models/x")},
		{"models, HTTP/1.0", "", "GET /v1/models HTTP/1.0\r\nHost: a\r\n\r\n"},
		{"models, keep-alive", "", "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n" + requestWithoutBody("GET /v1/models")},
		{"404", "", requestWithoutBody("GET /v1/other")},
		{"404, HEAD", "", requestWithoutBody("HEAD /")},
		{"405", "", requestWithoutBody("GET /v1/chat/completions")},
		{"405, completions", "", requestWithoutBody("DELETE /v1/completions")},
		{"405, models", "", requestWithoutBody("POST /v1/models")},
		{"405 with a body", "", "PUT /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"},
		{"413", "", chatRequest(strings.Repeat("x", 2000), "")},
		{"413, chunked", "", "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" +
			strings.Repeat("x", 2048) + "\r\n0\r\n\r\n"},
		{"431", "", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n"},
		{"400, two lengths", "", chatRequest("{}", "Content-Length: 2\r\n")},
		{"400, bare LF", "", "GET /v1/models HTTP/1.1\nHost: a\n\n"},
		{"417", "", chatRequest("{}", "Expect: a miracle\r\n")},
		{"505", "", "GET /v1/models HTTP/2.0\r\nHost: a\r\n\r\n"},
	} {
		engine.setDecodeReply(writeText(c.answer))
		got := tg.sendRaw(c.send)
		name := strings.NewReplacer(", ", "-", " ", "-", "/", "", "'", "").Replace(c.name)
		golden.Check(t, "client-"+name+".golden", normalizeMessage(got))
	}
}

// TestStreamChunkBytes compares with a golden file the chunks of a stream whose events arrive one by one, on a
// connection that stays open.
func TestStreamChunkBytes(t *testing.T) {
	tg, engine := newTestGatewayWithStub(t, "")
	next := make(chan struct{})
	engine.setDecodeReply(func(c net.Conn) {
		last := chunk(eventDone) + "0\r\n\r\n"
		for _, segment := range []string{streamHead + chunk(event1), chunk(event2), chunk(eventUsage), last} {
			writeText(segment)(c)
			<-next
		}
	})
	c := tg.dial(chatRequest(chatBody(true, 5), ""))
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	br := bufio.NewReader(c)
	stream := ""
	for _, end := range []string{event1, event2, eventUsage, eventDone} {
		stream += readUntil(t, br, end+"\r\n")
		next <- struct{}{}
	}
	stream += readUntil(t, br, "0\r\n\r\n")
	golden.Check(t, "stream-chunks.golden", normalizeMessage(stream))
}

// TestRejectionBytes: without a decode endpoint every request is rejected. The router chooses the time to wait before a
// retry, so the comparison leaves it out.
func TestRejectionBytes(t *testing.T) {
	tg := newTestGateway(t, "", "reader")
	for _, class := range []string{"brief", "quick"} {
		got := tg.sendRaw(chatRequest(chatBody(true, 5), "X-Class: "+class+"\r\n"+connectionClose))
		got = retryAfterField.ReplaceAllString(got, "Retry-After: S\r")
		golden.Check(t, "refusal-"+class+".golden",
			normalizeMessage(retryAfterMsField.ReplaceAllString(got, "retry-after-ms: MS\r")))
	}
}

// TestTimeoutBytes: a request whose decode gets no response fails at the end of the client's timeout.
func TestTimeoutBytes(t *testing.T) {
	for _, stream := range []bool{true, false} {
		// Each case has its own gateway, which has seen no timeout yet.
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			tg, engine := newTestGatewayWithStub(t, "")
			engine.setDecodeReply(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // ends with the connection
			got := tg.sendRaw(chatRequest(chatBody(stream, 5), "X-Class: quick\r\n"+connectionClose))
			golden.Check(t, fmt.Sprintf("timeout-stream-%v.golden", stream), normalizeMessage(got))
		})
	}
}

// responseBytes returns the bytes of a response, normalized, as a connection of g writes it.
func responseBytes(t *testing.T, g *Gateway, response Response, keepAlive bool) string {
	t.Helper()
	gatewayEnd, clientEnd := net.Pipe()
	defer closeQuietly(clientEnd)
	go func() {
		defer closeQuietly(gatewayEnd)
		if err := newClientConn(g, gatewayEnd).writeResponse(response, keepAlive); err != nil {
			t.Error(err)
		}
	}()
	text, err := io.ReadAll(clientEnd)
	if err != nil {
		t.Error(err)
	}
	return normalizeMessage(string(text))
}

// TestRejectionAndFailureFormats compares every form of a rejection and of a failure with a golden file. The times to
// wait before a retry are fixed here, not the router's.
func TestRejectionAndFailureFormats(t *testing.T) {
	var responses strings.Builder
	newGateway := func(format RetryAfterFormat) *Gateway {
		return &Gateway{Options: Options{
			Limits: config.Limits{WriteTimeout: time.Minute}, RetryAfter: format,
		}}
	}
	for _, tc := range []struct {
		name   string
		format RetryAfterFormat
	}{{"no waits", NoRetryAfter}, {"whole seconds", RetryAfterSeconds}, {"fractions", RetryAfterFractional}} {
		g := newGateway(tc.format)
		for _, wait := range []time.Duration{
			0, time.Millisecond, time.Second, 1500 * time.Millisecond, 61 * time.Second,
		} {
			for _, noAutoRetry := range []bool{false, true} {
				response := rejectionResponse(routing.Reject{RetryAfter: wait, NoAutoRetry: noAutoRetry})
				response.requestID = "an-id"
				fmt.Fprintf(&responses, "== refusal, %s, wait %d ms, not to be repeated %v\n%s",
					tc.name, wait.Milliseconds(), noAutoRetry, responseBytes(t, g, response, noAutoRetry))
			}
		}
	}
	g := newGateway(NoRetryAfter)
	now := time.Now()
	for _, class := range []struct {
		name        string
		idempotency routing.Idempotency
	}{{"safe", routing.Idempotent}, {"keyed", routing.IdempotentWithKey}, {"unsafe", routing.NotIdempotent}} {
		for _, deadlinePassed := range []bool{false, true} {
			request := &inflightRequest{class: &routing.Class{Idempotency: class.idempotency}, deadline: now.Add(time.Hour)}
			if deadlinePassed {
				request.deadline = now
			}
			for _, reason := range []string{reasonStreamBroke, reasonNoDecision, reasonAnswerTimeout} {
				fmt.Fprintf(&responses, "== failure, %s, time is up %v, %s\n%s",
					class.name, deadlinePassed, reason, responseBytes(t, g, failureResponse(request, reason), true))
			}
		}
	}
	fmt.Fprintf(&responses, "== failure of a repeat\n%s", responseBytes(t, g, possibleDuplicateResponse(), false))
	fmt.Fprintf(&responses, "== two at once\n%s", responseBytes(t, g, errorResponse(errPipelined), false))
	golden.Check(t, "refusal-and-failure.golden", responses.String())
}
