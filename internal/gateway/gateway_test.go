package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	fakeengine "brackenbend/internal/fake/engine"
	"brackenbend/routing"
)

// TestCompletionThroughPrefillAndDecode sends a streamed and a collected request that are served, and requests that the
// gateway must answer with a client error (4xx).
func TestCompletionThroughPrefillAndDecode(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	resp, text := tg.post("ask", chatBody(true, 5))
	if resp.StatusCode != 200 || strings.Count(text, "data: ") != 7 || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	resp, text = tg.post("ask", chatBody(false, 5))
	if resp.StatusCode != 200 || !strings.Contains(text, `"content":"w0 w1 w2 w3 w4 "`) ||
		!strings.Contains(text, `"completion_tokens":5`) {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	resp, text = tg.post("book", chatBody(true, 5))
	if resp.StatusCode != 400 || !strings.Contains(text, "idempotency_key_missing") {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	for body, status := range map[string]int{
		`{`: 400, `{"model":"x","messages":[{"role":"user","content":"a"}]}`: 404,
	} {
		resp, text := tg.post("ask", body)
		if resp.StatusCode != status || !strings.Contains(text, `"error":{"message":`) {
			t.Errorf("%s: %d %q", body, resp.StatusCode, text)
		}
	}
}

// TestCompletionRequestForms sends content parts, prompts of token numbers, and requests for several choices, collected
// and streamed, and checks that each answer has an id of its own.
func TestCompletionRequestForms(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	ids := map[string]bool{}
	for _, c := range []struct {
		name, path, body string
		want             []string
		rejected         bool
	}{
		{
			name: "parts", path: "chat/completions",
			body: `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":` +
				`[{"type":"text","text":"two "},{"type":"text","text":"tons"}]}]}`,
			want: []string{`"content":"w0 w1 "`, `"finish_reason":"length"`},
		},
		{
			name: "tokens", path: "completions",
			body: `{"model":"m","max_tokens":2,"prompt":[5,6,7]}`,
			want: []string{`"text":"w0 w1 "`, `"prompt_tokens":3`},
		},
		{
			name: "choices", path: "chat/completions",
			body: `{"model":"m","max_tokens":2,"n":3,"messages":[{"role":"user","content":"x"}]}`,
			want: []string{`"index":0`, `"index":1`, `"index":2`, `"completion_tokens":6`},
		},
		{
			name: "stopped", path: "chat/completions",
			body: `{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"x"}],"metadata":{"answer":"2"}}`,
			want: []string{`"content":"w0 w1 "`, `"finish_reason":"stop"`},
		},
		{
			name: "stream", path: "chat/completions",
			body: `{"model":"m","stream":true,"max_tokens":2,"n":2,"messages":[{"role":"user","content":"x"}]}`,
			want: []string{`"index":1`, `"length"`, "[DONE]"},
		},
		{
			name: "rejected", path: "chat/completions", rejected: true,
			body: `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":7}]}`,
			want: []string{`messages[0].content`},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.Post("http://"+tg.address+"/v1/"+c.path, "application/json", strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			text := readBody(t, resp)
			for _, want := range c.want {
				if !strings.Contains(text, want) {
					t.Errorf("no %s in %d %s", want, resp.StatusCode, text)
				}
			}
			id := resp.Header.Get("X-Request-Id")
			if !c.rejected && (id == "" || ids[id]) {
				t.Errorf("id %q", id)
			}
			ids[id] = true
		})
	}
}

// TestRejectionRetryFields checks the header fields of rejections; without a decode endpoint every request is rejected.
// An SDK may retry by itself, except in a class that is not idempotent: the gateway could not distinguish its retry
// from one after a lost answer.
func TestRejectionRetryFields(t *testing.T) {
	tg := newTestGateway(t, "", "reader")
	for class, shouldRetry := range map[string]string{"brief": "", "quick": "false"} {
		resp, text := tg.post(class, chatBody(true, 5))
		if resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" ||
			resp.Header.Get("retry-after-ms") == "" || resp.Header.Get("x-should-retry") != shouldRetry {
			t.Errorf("%s: %d %v %q", class, resp.StatusCode, resp.Header, text)
		}
	}
}

// TestPrefillRepeatedAfterEndpointCrash crashes a prefill endpoint before the decode fetches its state. The prompt must
// be prefilled again at the other endpoint.
func TestPrefillRepeatedAfterEndpointCrash(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "reader", "writer")
	runningCount := func() (n int) {
		for _, e := range tg.enginesOf("reader") {
			if e.Info().Up {
				n++
			}
		}
		return n
	}
	for _, e := range tg.engines {
		e.BeforeStateFetch(func() { // the first endpoint whose state is fetched crashes
			if e.Info().Up && runningCount() == 2 {
				e.Crash()
			}
		})
	}
	resp, text := tg.post("order", chatBody(true, 3))
	if resp.StatusCode != 200 || !strings.Contains(text, "[DONE]") {
		t.Fatalf("%d %q", resp.StatusCode, text)
	}
	if runningCount() != 1 {
		t.Fatalf("%d prefill endpoints are up; the fault was not injected", runningCount())
	}
}

// TestNoSendToEndpointThatStartedDraining drains an endpoint when it may already have been selected for an attempt. The
// gateway must not send the attempt to it.
func TestNoSendToEndpointThatStartedDraining(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	var once sync.Once
	for _, e := range tg.enginesOf("reader") {
		e.BeforeStateFetch(func() {})
		e.AfterPrefill(func() { // the decode endpoint is selected next; it starts to drain now
			once.Do(func() {
				endpoints := slices.Clone(tg.endpoints) // the event loop may still read the previous list
				for i := range endpoints {
					if strings.HasPrefix(endpoints[i].Name, "writer") {
						endpoints[i].State = routing.EndpointDraining
					}
				}
				tg.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: endpoints})
			})
		})
	}
	resp, text := tg.post("quick", chatBody(true, 3))
	if resp.StatusCode != 429 {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	for name, e := range tg.engines {
		if n := e.Arrivals(); strings.HasPrefix(name, "writer") && n != 0 {
			t.Errorf("%d requests reached a draining decode endpoint", n)
		}
		tg.eventually("all states are released", func() bool { return e.ReadStateCount() == 0 })
	}
}

// TestReloadReplacesModels checks that Reload replaces the models of a running gateway, and that settings with any
// other difference are refused and change nothing.
func TestReloadReplacesModels(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	reloadWith := func(before, after string) error {
		return tg.gateway.Reload(parseSettings(t, strings.Replace(fmt.Sprintf(settingsTemplate, ""), before, after, 1)))
	}
	if err := reloadWith(`<model name="m"`, `<model name="m2"`); err != nil {
		t.Fatal(err)
	}
	if resp, _ := tg.post("ask", chatBody(true, 1)); resp.StatusCode != 404 {
		t.Errorf("the old model is still served: %d", resp.StatusCode)
	}
	err := reloadWith(`deadline="10s" late-worth`, `deadline="11s" late-worth`)
	if err == nil || !strings.Contains(err.Error(), "<class>") {
		t.Errorf("a changed class was accepted: %v", err)
	}
	resp, text := tg.post("ask", strings.Replace(chatBody(true, 1), `"m"`, `"m2"`, 1))
	if resp.StatusCode != 200 {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
}

// TestSettleDelayBeforeFinalAnswer checks the delay between a canceled attempt and the rejection. An engine may notice
// the end of its connection only after the client has received the rejection and retried, so that the request runs
// twice. So the gateway waits in between, but only for classes that are not idempotent.
func TestSettleDelayBeforeFinalAnswer(t *testing.T) {
	for _, class := range []string{"brief", "quick"} {
		t.Run(class, func(t *testing.T) {
			tg := newTestGateway(t, "", "reader", "writer")
			tg.engines["reader-0"].SetFaults(fakeengine.Faults{Stall: true})
			var waits atomic.Int64
			tg.gateway.loop.engines.Sleep = func(time.Duration) { waits.Add(1) }
			resp, text := tg.post(class, chatBody(true, 3))
			arrivals := int64(tg.engines["reader-0"].Arrivals()) // each was canceled
			want := map[string]int64{"quick": arrivals}[class]
			if resp.StatusCode < 429 || waits.Load() != want || arrivals == 0 {
				t.Errorf("status %d, %d waits, %d attempts at the prefill endpoint: %s",
					resp.StatusCode, waits.Load(), arrivals, text)
			}
		})
	}
}
