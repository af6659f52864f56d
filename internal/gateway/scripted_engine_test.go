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

// scriptedEngine answers all prefills and releases alike, and each decode as set; nothing depends on chance.
type scriptedEngine struct {
	mu     sync.Mutex
	answer func(c net.Conn)
}

// setAnswer sets the answer to the following decodes.
func (e *scriptedEngine) setAnswer(answer func(c net.Conn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

// writes makes an answer that writes text. A broken connection shows in what the client gets.
func writes(text string) func(net.Conn) { return func(c net.Conn) { _, _ = io.WriteString(c, text) } }

// start serves until the test ends, and returns the engine's address.
func (e *scriptedEngine) start(t *testing.T) string {
	t.Helper()
	l := listen(t)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				defer closeQuietly(c)
				e.serve(c)
			}()
		}
	}()
	t.Cleanup(func() {
		closeQuietly(l)
		wait.Wait()
	})
	return l.Addr().String()
}

func (e *scriptedEngine) serve(c net.Conn) {
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
			writes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")(c)
		case strings.Contains(string(text), `"do_remote_decode":true`):
			writes("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`)(c)
		default:
			e.mu.Lock()
			answer := e.answer
			e.mu.Unlock()
			answer(c)
		}
	}
}

// newScriptedRig makes a gateway with one scripted engine in both roles.
func newScriptedRig(t *testing.T, limits string) (*rig, *scriptedEngine) {
	t.Helper()
	e := &scriptedEngine{}
	prefill, decode := e.start(t), e.start(t) // they end after the gateway
	r := newRig(t, limits)
	r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: []endpointslice.Endpoint{
		{Name: "reader-0", Kind: "reader", Address: prefill, State: routing.EndpointReady},
		{Name: "writer-0", Kind: "writer", Address: decode, State: routing.EndpointReady},
	}})
	return r, e
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

func chunk(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }

var wholeStream = streamHead + chunk(": a comment\n\n"+event1+event2) + chunk(eventUsage+eventDone) + "0\r\n\r\n"
