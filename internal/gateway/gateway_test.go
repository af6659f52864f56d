package gateway

import (
	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	standin "brackenbend/internal/fake/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func params(role string) enginemodel.Params {
	return enginemodel.Params{
		Reads: true, Writes: role != "reader", Slots: 64, Queue: 32, Memory: 200000, ReadRate: 50000, Chunk: 512,
		Step: 2 * time.Millisecond, FetchRate: 1e6, Kept: 100000, StateLife: 30 * time.Second,
	}
}

// rig is a front with stand-in engines.
type rig struct {
	t       *testing.T
	gateway       *Gateway
	addr    string
	engines map[string]*standin.Server
	list    []endpointslice.Endpoint
	served  chan error
}

const settings = `<brackenbend>
  <front name="t" listen="127.0.0.1:0" drain="5s" answer-margin="100ms"/>
  <limits %s/>
  <service fronts="1" max-attempts="6" release-within="500ms" writers-read="true" cancel="true" default-class="ask"/>
  <class name="ask" effect="safe" aim="5s" deadline="10s" late-worth="0.5"/>
  <class name="quick" effect="unsafe" aim="1s" deadline="1s"/>
  <class name="brief" effect="safe" aim="1s" deadline="1s"/>
  <class name="order" effect="unsafe" aim="5s" deadline="10s"/>
  <class name="book" effect="keyed" window="30s" aim="5s" deadline="10s"/>
  <kind name="reader" role="reader" memory="200000tokens"/>
  <kind name="writer" role="writer" memory="200000tokens"/>
  <model name="m" bytes-per-token="4" max-output="64tokens"/>
  <rule when="header" name="X-Class" equals="quick" class="quick"/>
  <rule when="header" name="X-Class" equals="brief" class="brief"/>
  <rule when="header" name="X-Class" equals="order" class="order"/>
  <rule when="header" name="X-Class" equals="book" class="book"/>
  <prefix from="system-messages"/>
  <engines dialect="extended" dial-time="1s"/>
  <server name="unused" kind="reader" address="127.0.0.1:1"/>
</brackenbend>`

func newRig(t *testing.T, limits string, roles ...string) *rig {
	t.Helper()
	return newRigOn(t, listenOn(t), limits, roles...)
}

func listenOn(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// newRigOn makes a rig that serves on l.
func newRigOn(t *testing.T, l net.Listener, limits string, roles ...string) *rig {
	t.Helper()
	set, err := config.Parse("test.xml", fmt.Appendf(nil, settings, limits))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, engines: map[string]*standin.Server{}, served: make(chan error, 1)}
	if r.gateway, err = NewFromSettings(set, zap.NewNop(), telemetry.NewMetrics()); err != nil {
		t.Fatal(err)
	}
	for i, role := range roles {
		name := fmt.Sprintf("%s-%d", role, i)
		s, err := standin.Start(standin.Config{Name: name, Kind: role, Params: params(role), CancelStops: true}, "127.0.0.1:0", false)
		if err != nil {
			t.Fatal(err)
		}
		r.engines[name] = s
		r.list = append(r.list, endpointslice.Endpoint{Name: name, Kind: role, Address: s.Info().Address, State: routing.EndpointReady})
	}
	r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: r.list})
	r.addr = l.Addr().String()
	go func() { r.served <- r.gateway.Serve(l) }()
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
		defer stop()
		r.gateway.Shutdown(ctx)
		if err := <-r.served; err != nil {
			t.Error(err)
		}
		for _, s := range r.engines {
			s.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return r
}

func (r *rig) post(class, body string) (*http.Response, string) {
	r.t.Helper()
	req, _ := http.NewRequest("POST", "http://"+r.addr+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("X-Class", class)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatalf("%v after %q", err, text)
	}
	return resp, string(text)
}

func chat(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"system","content":"You help."},{"role":"user","content":"hello there"}]}`, stream, tokens)
}

func TestStreamAndWholeThroughTwoStages(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	resp, text := r.post("ask", chat(true, 5))
	if resp.StatusCode != 200 || strings.Count(text, "data: ") != 7 || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	resp, text = r.post("ask", chat(false, 5))
	if resp.StatusCode != 200 || !strings.Contains(text, `"content":"w0 w1 w2 w3 w4 "`) || !strings.Contains(text, `"completion_tokens":5`) {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	if resp, text := r.post("book", chat(true, 5)); resp.StatusCode != 400 || !strings.Contains(text, "idempotency_key_missing") {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	for body, status := range map[string]int{`{`: 400, `{"model":"x","messages":[{"role":"user","content":"a"}]}`: 404} {
		if resp, text := r.post("ask", body); resp.StatusCode != status || !strings.Contains(text, `"error":{"message":`) {
			t.Errorf("%s: %d %q", body, resp.StatusCode, text)
		}
	}
}

// TestOpenAISDK: the published SDK is an independent peer for requests, streams and errors.
func TestOpenAISDK(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	c := openai.NewClient(option.WithBaseURL("http://"+r.addr+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	p := openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You help."), openai.UserMessage("hello")},
	}
	whole, err := c.Chat.Completions.New(t.Context(), p)
	if err != nil || whole.Choices[0].Message.Content != "w0 w1 w2 w3 " || whole.Usage.CompletionTokens != 4 || whole.Choices[0].FinishReason != "length" {
		t.Fatalf("%+v %v", whole, err)
	}
	stream := c.Chat.Completions.NewStreaming(t.Context(), p)
	got := ""
	for stream.Next() {
		for _, ch := range stream.Current().Choices {
			got += ch.Delta.Content
		}
	}
	if stream.Err() != nil || got != "w0 w1 w2 w3 " {
		t.Fatalf("%q %v", got, stream.Err())
	}
	old, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "m", MaxTokens: openai.Int(3),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
	})
	if err != nil || old.Choices[0].Text != "w0 w1 w2 " {
		t.Fatalf("%+v %v", old, err)
	}
	models, err := c.Models.List(t.Context())
	if err != nil || models.Data[0].ID != "m" {
		t.Fatalf("%+v %v", models, err)
	}
	p.Model = "none"
	var apiErr *openai.Error
	if _, err = c.Chat.Completions.New(t.Context(), p); !errors.As(err, &apiErr) || apiErr.StatusCode != 404 || apiErr.Code != "model_not_found" {
		t.Fatalf("%v", err)
	}
	// a stream that breaks is an error to the SDK, not an end
	for name, e := range r.engines {
		if strings.HasPrefix(name, "writer") {
			e.SetFaults(standin.Faults{ResetMid: 1})
		}
	}
	p.Model, p.MaxCompletionTokens = "m", openai.Int(50)
	stream = c.Chat.Completions.NewStreaming(t.Context(), p)
	for stream.Next() {
	}
	if stream.Err() == nil || !strings.Contains(stream.Err().Error(), "stream broke") {
		t.Fatalf("broken stream: %v", stream.Err())
	}
}

// TestWhatEnginesTakeAndAnswer: parts and token numbers as prompts, several choices, whole and streamed, and the id by
// which users and operators speak of a request.
func TestWhatEnginesTakeAndAnswer(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	ids := map[string]bool{}
	for name, c := range map[string]struct {
		path, body string
		want       []string
	}{
		"parts":   {"chat/completions", `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"two "},{"type":"text","text":"tons"}]}]}`, []string{`"content":"w0 w1 "`, `"finish_reason":"length"`}},
		"tokens":  {"completions", `{"model":"m","max_tokens":2,"prompt":[5,6,7]}`, []string{`"text":"w0 w1 "`, `"prompt_tokens":3`}},
		"choices": {"chat/completions", `{"model":"m","max_tokens":2,"n":3,"messages":[{"role":"user","content":"x"}]}`, []string{`"index":0`, `"index":1`, `"index":2`, `"completion_tokens":6`}},
		"stopped": {"chat/completions", `{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"x"}],"metadata":{"answer":"2"}}`, []string{`"content":"w0 w1 "`, `"finish_reason":"stop"`}},
		"stream":  {"chat/completions", `{"model":"m","stream":true,"max_tokens":2,"n":2,"messages":[{"role":"user","content":"x"}]}`, []string{`"index":1`, `"length"`, "[DONE]"}},
		"refused": {"chat/completions", `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":7}]}`, []string{`messages[0].content`}},
	} {
		resp, err := http.Post("http://"+r.addr+"/v1/"+c.path, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range c.want {
			if !strings.Contains(string(text), w) {
				t.Errorf("%s: no %s in %d %s", name, w, resp.StatusCode, text)
			}
		}
		if id := resp.Header.Get("X-Request-Id"); name != "refused" && (id == "" || ids[id]) {
			t.Errorf("%s: id %q", name, id)
		} else {
			ids[id] = true
		}
	}
}

// TestSDKIsToldNotToRepeatWhatMayHaveRun: a failed order makes one attempt, though the SDK retries 5xx by itself.
func TestSDKIsToldNotToRepeatWhatMayHaveRun(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for name, e := range r.engines {
		if strings.HasPrefix(name, "writer") {
			e.SetFaults(standin.Faults{FailFast: 1})
		}
	}
	requests := 0
	count := option.WithMiddleware(func(q *http.Request, next option.MiddlewareNext) (*http.Response, error) { requests++; return next(q) })
	c := openai.NewClient(option.WithBaseURL("http://"+r.addr+"/v1"), option.WithAPIKey("k"), option.WithHeader("X-Class", "order"), count)
	_, err := c.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("order")}})
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.StatusCode != 502 || requests != 1 {
		t.Fatalf("%d requests, %v", requests, err)
	}
}

// TestRefusalTellsTheWait: without a writer everything is refused, which an SDK may repeat by itself unless the class
// is unsafe: its repeat could not be told from one after a lost answer.
func TestRefusalTellsTheWait(t *testing.T) {
	r := newRig(t, "", "reader")
	for class, should := range map[string]string{"brief": "", "quick": "false"} {
		resp, text := r.post(class, chat(true, 5))
		if resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" || resp.Header.Get("retry-after-ms") == "" || resp.Header.Get("x-should-retry") != should {
			t.Errorf("%s: %d %v %q", class, resp.StatusCode, resp.Header, text)
		}
	}
}

// raw sends bytes as they are and returns all that comes back until the connection ends.
func (r *rig) raw(parts ...string) string {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	text, _ := io.ReadAll(c)
	return string(text)
}

func request(body, more string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", more, len(body), body)
}

func TestMalformedIsRefusedAndClosed(t *testing.T) {
	r := newRig(t, `head="2KiB" body="1KiB" head-time="200ms" body-time="200ms"`, "reader", "writer")
	for name, c := range map[string]struct{ send, status string }{
		"smuggling: two lengths":        {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}", "400"},
		"smuggling: length and chunked": {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"bare LF":                       {"GET /v1/models HTTP/1.1\nHost: a\n\n", "400"},
		"head too large":                {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n", "431"},
		"body too large":                {request(strings.Repeat("x", 2000), ""), "413"},
		"chunked body too large":        {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", "413"},
		"body cut":                      {strings.TrimSuffix(request(chat(true, 2), "Connection: close\r\n"), "]}"), "408"},
		"head that never ends":          {"GET /v1/models HTTP/1.1\r\n", "408"},
	} {
		got := r.raw(c.send)
		if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: %.200q", name, got)
		}
	}
}

func TestPipelinedByteAtATimeAndContinue(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	two := request(chat(true, 3), "") + request(chat(true, 4), "Connection: close\r\n")
	got := r.raw(two)
	if strings.Count(got, "HTTP/1.1 200") != 2 || strings.Count(got, "[DONE]") != 2 || strings.Index(got, "w3") < strings.Index(got, "[DONE]") {
		t.Errorf("pipelined: %q", got)
	}
	if got := r.raw(strings.Split(request(chat(true, 3), "Connection: close\r\n"), "")...); strings.Count(got, "[DONE]") != 1 {
		t.Errorf("a byte at a time: %q", got)
	}
	if got := r.raw(request(chat(true, 1), "Connection: close\r\nExpect: 100-continue\r\n")); !strings.HasPrefix(got, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200") {
		t.Errorf("continue: %q", got)
	}
	old := strings.Replace(request(chat(true, 3), ""), "HTTP/1.1", "HTTP/1.0", 1)
	if got := r.raw(old); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "data: [DONE]\n\n") {
		t.Errorf("HTTP/1.0: %q", got)
	}
}

// TestHangUpLetsTheEngineGo: the client leaves while an engine has the request.
func TestHangUpLetsTheEngineGo(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for _, phase := range []string{"waiting", "streaming"} {
		for name, e := range r.engines {
			e.SetFaults(standin.Faults{Stall: phase == "waiting" && strings.HasPrefix(name, "reader")})
		}
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request(chat(true, 100000), "X-Class: order\r\n"))
		if phase == "streaming" {
			if _, err := bufio.NewReader(c).ReadString('}'); err != nil {
				t.Fatal(err)
			}
		}
		r.eventually("the request is open", func() bool { return r.gateway.openRequests.Load() == 1 })
		c.Close()
		r.eventually(phase+": the request is over", func() bool { return r.gateway.openRequests.Load() == 0 })
		r.eventually(phase+": no engine works on it", func() bool {
			for _, e := range r.engines {
				if e.Working() > 0 {
					return false
				}
			}
			return true
		})
	}
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not in 20 s: %s", what)
		}
	}
}

// TestClientThatStopsReading: memory stays bounded and the engine is let go.
func TestClientThatStopsReading(t *testing.T) {
	r := newRig(t, `stall-time="300ms"`, "reader", "writer")
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	io.WriteString(c, request(chat(true, 10_000_000), ""))
	for _, e := range r.engines {
		e.Flood(true) // tokens as fast as the sockets take them
	}
	r.eventually("the stream is open", func() bool { return r.gateway.openRequests.Load() == 1 })
	r.eventually("the stalled client is given up", func() bool { return r.gateway.openRequests.Load() == 0 })
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 8<<20 {
		t.Errorf("the heap grew by %d bytes", grown)
	}
}

// TestReaderDiesWhileItsStateWaits: the writer finds no state; the prompt is read anew elsewhere.
func TestReaderDiesWhileItsStateWaits(t *testing.T) {
	r := newRig(t, "", "reader", "reader", "writer")
	for _, e := range r.engines {
		e.BeforeTake(func() { // whoever is asked for a state dies at that moment, once
			if e.Info().Up && r.upReaders() == 2 {
				e.Crash()
			}
		})
	}
	resp, text := r.post("order", chat(true, 3))
	if resp.StatusCode != 200 || !strings.Contains(text, "[DONE]") {
		t.Fatalf("%d %q", resp.StatusCode, text)
	}
	if r.upReaders() != 1 {
		t.Fatalf("%d readers are up; the fault was not caused", r.upReaders())
	}
}

func (r *rig) upReaders() (n int) {
	for name, e := range r.engines {
		if strings.HasPrefix(name, "reader") && e.Info().Up {
			n++
		}
	}
	return n
}

// TestDeadlineOutcomeAndHangUpAtOnce: whatever comes first, there is one answer and the flight ends.
func TestDeadlineOutcomeAndHangUpAtOnce(t *testing.T) {
	for range 2000 {
		a, b := net.Pipe()
		f := &Gateway{settings: &config.Settings{Limits: &config.Limits{WriteTimeout: time.Second}}}
		fl := &inflightRequest{conn: newClientConn(f, a), class: &routing.Class{}, done: make(chan struct{}), chunked: true, acceptedAt: time.Now()}
		att := &attempt{request: fl, endpoint: &engine.Endpoint{}, post: func(message) {}}
		go io.Copy(io.Discard, b)
		var wg sync.WaitGroup
		var won [3]bool
		start := make(chan struct{})
		for i, act := range []func() bool{
			func() bool { return fl.respond(rejectionResponse(routing.Reject{RetryAfter: time.Second})) },
			att.Begin,
			func() bool { return fl.state.CompareAndSwap(answerPending, answerAbandoned) },
		} {
			wg.Add(1)
			go func() { defer wg.Done(); <-start; won[i] = act() }()
		}
		close(start)
		wg.Wait()
		n := 0
		for _, w := range won {
			if w {
				n++
			}
		}
		if n != 1 {
			t.Fatalf("%d of a refusal, a first token and a hang-up won: %v", n, won)
		}
		a.Close()
		b.Close()
	}
}

func TestShutdownAnswersWhatItHolds(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	got := make(chan string, 1)
	go func() { got <- r.raw(request(chat(true, 200), "")) }()
	r.eventually("the request is open", func() bool { return r.gateway.openRequests.Load() == 1 })
	idle, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	r.gateway.drainGrace = 2 * time.Second // the client below may be scheduled late
	late := make(chan string, 1)
	go func() { // on a connection that was idle, just as the front begins to drain
		for !r.gateway.draining.Load() {
			runtime.Gosched()
		}
		io.WriteString(idle, request(chat(true, 1), ""))
		text, _ := io.ReadAll(idle)
		late <- string(text)
	}()
	r.gateway.Shutdown(t.Context())
	if text := <-got; !strings.Contains(text, "[DONE]") {
		t.Errorf("%q", text)
	}
	if text := <-late; !strings.HasPrefix(text, "HTTP/1.1 503") || !strings.Contains(text, "Retry-After: 1") {
		t.Errorf("a request that came with the drain: %q", text)
	}
	if _, err := net.Dial("tcp", r.addr); err == nil {
		t.Error("it still accepts")
	}
}

// Only its read was out, which has no effect: the module refuses it.
func TestShutdownAnswersWhatTakesTooLong(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for _, e := range r.engines {
		e.SetFaults(standin.Faults{Stall: true})
	}
	got := make(chan string, 1)
	go func() { got <- r.raw(request(chat(true, 200), "X-Class: order\r\n")) }()
	r.eventually("the request is open", func() bool { return r.gateway.openRequests.Load() == 1 })
	ctx, stop := context.WithCancel(t.Context())
	stop()
	r.gateway.Shutdown(ctx)
	if text := <-got; !strings.HasPrefix(text, "HTTP/1.1 429") || !strings.Contains(text, "x-should-retry: false") || strings.Count(text, "HTTP/1.1") != 1 {
		t.Errorf("%q", text)
	}
}

func TestOverTheBoundIsRefusedBeforeItIsTaken(t *testing.T) {
	r := newRig(t, `open-requests="1" connections="3"`, "reader", "writer")
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request(chat(true, 100000), ""))
	r.eventually("the request is open", func() bool { return r.gateway.openRequests.Load() == 1 })
	if resp, text := r.post("ask", chat(true, 1)); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	http.DefaultClient.CloseIdleConnections()
	var more []net.Conn
	for range 5 {
		k, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		more = append(more, k)
	}
	_ = more[4].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := more[4].Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a connection over the bound stays: %v", err)
	}
	for _, k := range more {
		k.Close()
	}
}

// TestDrainStopsWhatWasDecided: news of a drain comes after the decision; the send must not go out.
func TestDrainStopsWhatWasDecided(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	var told sync.Once
	for name, e := range r.engines {
		if strings.HasPrefix(name, "reader") {
			e.BeforeTake(func() {})
			e.AfterRead(func() { // the read is done, the writer is chosen next; it drains now
				told.Do(func() {
					list := slices.Clone(r.list) // the loop may still read the one before
					for i := range list {
						if strings.HasPrefix(list[i].Name, "writer") {
							list[i].State = routing.EndpointDraining
						}
					}
					r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: list})
				})
			})
		}
	}
	resp, text := r.post("quick", chat(true, 3))
	if resp.StatusCode != 429 {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	for name, e := range r.engines {
		if n := e.Arrivals(); strings.HasPrefix(name, "writer") && n != 0 {
			t.Errorf("%d requests reached a draining writer", n)
		}
		r.eventually("no state is left", func() bool { return e.States() == 0 })
	}
}

// TestReload: routes are taken while the front runs; anything else leaves everything as it was.
func TestReload(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	parse := func(old, new string) *config.Settings {
		set, err := config.Parse("test.xml", []byte(strings.Replace(fmt.Sprintf(settings, ""), old, new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return set
	}
	if err := r.gateway.Reload(parse(`<model name="m"`, `<model name="m2"`)); err != nil {
		t.Fatal(err)
	}
	if resp, _ := r.post("ask", chat(true, 1)); resp.StatusCode != 404 {
		t.Errorf("the old model is served: %d", resp.StatusCode)
	}
	if err := r.gateway.Reload(parse(`deadline="10s" late-worth`, `deadline="11s" late-worth`)); err == nil || !strings.Contains(err.Error(), "<class>") {
		t.Errorf("another class was taken: %v", err)
	}
	if resp, text := r.post("ask", strings.Replace(chat(true, 1), `"m"`, `"m2"`, 1)); resp.StatusCode != 200 {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
}

// TestAnUnsafeAttemptIsPartedWithBeforeAnythingFollows: an engine that swallows a read may see the end of its connection
// later than the client sees the refusal. So between the two the front waits; where nothing may run twice it need not.
func TestAnUnsafeAttemptIsPartedWithBeforeAnythingFollows(t *testing.T) {
	for _, class := range []string{"brief", "quick"} {
		r := newRig(t, "", "reader", "writer")
		r.engines["reader-0"].SetFaults(standin.Faults{Stall: true})
		var waits atomic.Int64
		r.gateway.loop.engines.Sleep = func(time.Duration) { waits.Add(1) }
		resp, text := r.post(class, chat(true, 3))
		came := int64(r.engines["reader-0"].Arrivals()) // each was given up
		want := map[string]int64{"quick": came}[class]
		if resp.StatusCode < 429 || waits.Load() != want || came == 0 {
			t.Errorf("%s: status %d, %d waits, %d attempts at the reader: %s", class, resp.StatusCode, waits.Load(), came, text)
		}
	}
}
