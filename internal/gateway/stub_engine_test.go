package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// stubEngine is a deterministic engine. It gives the same reply to each prefill and release, and to decodes the reply
// that the test has set.
type stubEngine struct {
	mu          sync.Mutex
	decodeReply func(c net.Conn)
}

// setDecodeReply sets the reply to all decodes from now on.
func (e *stubEngine) setDecodeReply(reply func(c net.Conn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decodeReply = reply
}

// writeText returns a reply that writes text. It ignores errors, since tests see a broken connection at the client.
func writeText(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// start serves on a new address until the test ends, and returns the address.
func (e *stubEngine) start(t *testing.T) string {
	t.Helper()
	l := listen(t)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer closeQuietly(c)
				e.serve(c)
			}()
		}
	}()
	t.Cleanup(func() {
		closeQuietly(l)
		wg.Wait()
	})
	return l.Addr().String()
}

func (e *stubEngine) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text, err := io.ReadAll(req.Body)
		switch {
		case err != nil:
			return
		case strings.HasSuffix(req.URL.Path, "/release"):
			writeText("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")(c)
		case strings.Contains(string(text), `"do_remote_decode":true`):
			writeText("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`)(c)
		default:
			e.mu.Lock()
			reply := e.decodeReply
			e.mu.Unlock()
			reply(c)
		}
	}
}

// newTestGatewayWithStub starts a gateway with one stub engine, which serves at two addresses: those of a prefill and
// of a decode endpoint.
func newTestGatewayWithStub(t *testing.T, limits string) (*testGateway, *stubEngine) {
	t.Helper()
	e := &stubEngine{}
	prefill, decode := e.start(t), e.start(t) // started before the gateway, so that they end after it
	tg := newTestGateway(t, limits)
	tg.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: []endpointslice.Endpoint{
		{Name: "reader-0", Kind: "reader", Address: prefill, State: routing.EndpointReady},
		{Name: "writer-0", Kind: "writer", Address: decode, State: routing.EndpointReady},
	}})
	return tg, e
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event1     = `data: {"id":"e","object":"chat.completion.chunk","created":7,"model":"m",` +
		`"choices":[{"index":0,"delta":{"role":"assistant","content":"w0 "},"finish_reason":null}]}` + "\n\n"
	event2 = `data: {"id":"e","object":"chat.completion.chunk","created":7,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"w1 "},"finish_reason":"length"}]}` + "\n\n"
	eventUsage = `data: {"id":"e","object":"chat.completion.chunk","created":7,"model":"m","choices":[],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7}}` + "\n\n"
	textEvent = `data: {"id":"e","object":"text_completion","created":7,"model":"m",` +
		`"choices":[{"index":0,"text":"w0 ","finish_reason":"stop"}]}` + "\n\n"
	eventDone = "data: [DONE]\n\n"
)

// chunk returns s as one chunk of a chunked body.
func chunk(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }

var completeStream = streamHead + chunk(": a comment\n\n"+event1+event2) + chunk(eventUsage+eventDone) + "0\r\n\r\n"
