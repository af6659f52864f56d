package gateway

import (
	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares got with testdata/name. These files are recorded from before the renaming and aren't updated while it
// goes on: a difference is a changed byte on the wire.
func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from what was recorded\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

var (
	runID      = regexp.MustCompile(`X-Request-Id: [0-9a-f]{16}-[0-9a-f]+-0\r`)
	waitWhole  = regexp.MustCompile(`Retry-After: [1-9][0-9]*\r`)
	waitMillis = regexp.MustCompile(`retry-after-ms: [1-9][0-9]*\r`)
)

// visible makes each line end of a message readable, so that CR and LF are held too, and replaces the id of a run.
func visible(s string) string {
	s = runID.ReplaceAllString(s, "X-Request-Id: ID\r")
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// scripted is an engine that answers each read alike, and each write as answer says; nothing comes by chance.
type scripted struct {
	mu     sync.Mutex
	answer func(c net.Conn)
}

func (s *scripted) set(answer func(c net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func says(text string) func(net.Conn) { return func(c net.Conn) { _, _ = io.WriteString(c, text) } }

// start serves until the test ends, and returns the engine's address.
func (s *scripted) start(t *testing.T) string {
	t.Helper()
	l := listenOn(t)
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
				defer c.Close()
				s.serve(c)
			}()
		}
	}()
	t.Cleanup(func() { l.Close(); wait.Wait() })
	return l.Addr().String()
}

func (s *scripted) serve(c net.Conn) {
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
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case strings.Contains(string(text), `"do_remote_decode":true`):
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"+`{"kv_transfer_params":{"a":1}}`)
		default:
			s.mu.Lock()
			answer := s.answer
			s.mu.Unlock()
			answer(c)
		}
	}
}

// scriptedRig is a front with one scripted reader and one scripted writer.
func scriptedRig(t *testing.T, limits string) (*rig, *scripted) {
	t.Helper()
	s := &scripted{}
	reader, writer := s.start(t), s.start(t) // they end after the front
	r := newRig(t, limits)
	r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: []endpointslice.Endpoint{
		{Name: "reader-0", Kind: "reader", Address: reader, State: routing.EndpointReady},
		{Name: "writer-0", Kind: "writer", Address: writer, State: routing.EndpointReady},
	}})
	return r, s
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

// until reads from br until what came ends with end.
func until(t *testing.T, br *bufio.Reader, end string) string {
	t.Helper()
	var got strings.Builder
	for !strings.HasSuffix(got.String(), end) {
		b, err := br.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q", err, got.String())
		}
		got.WriteByte(b)
	}
	return got.String()
}

const ending = "Connection: close\r\n"

// TestClientAnswerBytes holds what clients of OpenAI's API get, byte for byte.
func TestClientAnswerBytes(t *testing.T) {
	r, engines := scriptedRig(t, `head="2KiB" body="1KiB"`)
	post := func(body, more string) string { return request(body, more+ending) }
	text := strings.Replace(post(`{"model":"m","prompt":"hello"}`, ""), "/v1/chat/completions", "/v1/completions", 1)
	plain := func(line string) string { return line + " HTTP/1.1\r\nHost: a\r\n" + ending + "\r\n" }
	error400 := "HTTP/1.1 400 x\r\nContent-Length: 26\r\n\r\n" + `{"error":{"message":"no"}}`
	for _, k := range []struct{ name, answer, send string }{
		{"stream", wholeStream, post(chat(true, 5), "")},
		{"stream, unsafe", wholeStream, post(chat(true, 5), "X-Class: order\r\n")},
		{"stream, keyed", wholeStream, post(chat(true, 5), "X-Class: book\r\nIdempotency-Key: k\r\n")},
		{"stream, HTTP/1.0", wholeStream, strings.Replace(request(chat(true, 5), ""), "HTTP/1.1", "HTTP/1.0", 1)},
		{"stream, 100-continue", wholeStream, post(chat(true, 5), "Expect: 100-continue\r\n")},
		{"whole", wholeStream, post(chat(false, 5), "")},
		{"whole, HTTP/1.0", wholeStream, strings.Replace(request(chat(false, 5), ""), "HTTP/1.1", "HTTP/1.0", 1)},
		{"whole, completion", streamHead + chunk(textEvent+eventDone) + "0\r\n\r\n", text},
		{
			"keep-alive, then close", wholeStream,
			request(chat(false, 5), "") + request(chat(true, 5), "") + post(chat(false, 5), ""),
		},
		{"engine's 400", error400, post(chat(true, 5), "")},
		{"engine's 400, whole", error400, post(chat(false, 5), "X-Class: order\r\n")},
		{"failure, unsafe", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", post(chat(true, 5), "X-Class: order\r\n")},
		{"failure, unsafe, whole", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", post(chat(false, 5), "X-Class: order\r\n")},
		{"failure, repeat by an SDK", wholeStream, post(chat(true, 5), "X-Class: order\r\nX-Stainless-Retry-Count: 1\r\n")},
		{"stream that breaks", streamHead + chunk(event1) + "0\r\n\r\n", post(chat(true, 5), "X-Class: order\r\n")},
		{
			"stream that breaks, HTTP/1.0", streamHead + chunk(event1) + "0\r\n\r\n",
			strings.Replace(request(chat(true, 5), ""), "HTTP/1.1", "HTTP/1.0", 1),
		},
		{"stream that breaks, whole", streamHead + chunk(event1) + "0\r\n\r\n", post(chat(false, 5), "X-Class: order\r\n")},
		{"stream that breaks, whole, safe", streamHead + chunk(event1) + "0\r\n\r\n", post(chat(false, 5), "")},
		{"no key", "", post(chat(true, 5), "X-Class: book\r\n")},
		{"not JSON", "", post("{", "")},
		{"not JSON, keep-alive", "", request("{", "") + plain("GET /v1/models")},
		{"not an object", "", post("[]", "")},
		{"no model", "", post(`{"messages":[]}`, "")},
		{"unknown model", "", post(strings.Replace(chat(true, 5), `"m"`, `"x"`, 1), "")},
		{"model twice", "", post(`{"model":"m","model":"m"}`, "")},
		{"stream no boolean", "", post(`{"model":"m","stream":1}`, "")},
		{"max_tokens 0", "", post(`{"model":"m","max_tokens":0}`, "")},
		{"no messages", "", post(`{"model":"m"}`, "")},
		{"content a number", "", post(`{"model":"m","messages":[{"role":"user","content":7}]}`, "")},
		{"no role", "", post(`{"model":"m","messages":[{"content":"a"}]}`, "")},
		{"models", "", plain("GET /v1/models")},
		{"model", "", plain("GET /v1/models/m")},
		{"model unknown", "", plain("GET /v1/models/x")},
		{"models, HTTP/1.0", "", "GET /v1/models HTTP/1.0\r\nHost: a\r\n\r\n"},
		{"models, keep-alive", "", "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n" + plain("GET /v1/models")},
		{"404", "", plain("GET /v1/other")},
		{"404, HEAD", "", plain("HEAD /")},
		{"405", "", plain("GET /v1/chat/completions")},
		{"405, completions", "", plain("DELETE /v1/completions")},
		{"405, models", "", plain("POST /v1/models")},
		{"405 with a body", "", "PUT /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"},
		{"413", "", request(strings.Repeat("x", 2000), "")},
		{"413, chunked", "", "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" +
			strings.Repeat("x", 2048) + "\r\n0\r\n\r\n"},
		{"431", "", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n"},
		{"400, two lengths", "", request("{}", "Content-Length: 2\r\n")},
		{"400, bare LF", "", "GET /v1/models HTTP/1.1\nHost: a\n\n"},
		{"417", "", request("{}", "Expect: a miracle\r\n")},
		{"505", "", "GET /v1/models HTTP/2.0\r\nHost: a\r\n\r\n"},
	} {
		engines.set(says(k.answer))
		got := r.raw(k.send)
		name := strings.NewReplacer(", ", "-", " ", "-", "/", "", "'", "").Replace(k.name)
		golden(t, "client-"+name+".golden", visible(got))
	}
}

// TestStreamChunkBytes holds the chunks of a stream whose events come one by one, on a connection that stays.
func TestStreamChunkBytes(t *testing.T) {
	r, engines := scriptedRig(t, "")
	next := make(chan struct{})
	engines.set(func(c net.Conn) {
		last := chunk(eventDone) + "0\r\n\r\n"
		for _, part := range []string{streamHead + chunk(event1), chunk(event2), chunk(eventUsage), last} {
			_, _ = io.WriteString(c, part)
			<-next
		}
	})
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	br := bufio.NewReader(c)
	if _, err := io.WriteString(c, request(chat(true, 5), "")); err != nil {
		t.Fatal(err)
	}
	all := ""
	for _, end := range []string{event1, event2, eventUsage, eventDone} {
		all += until(t, br, end+"\r\n")
		next <- struct{}{}
	}
	all += until(t, br, "0\r\n\r\n")
	golden(t, "stream-chunks.golden", visible(all))
}

// TestRefusalBytesOnSocket: with a reader alone all is refused. The wait is the module's, and replaced.
func TestRefusalBytesOnSocket(t *testing.T) {
	r := newRig(t, "", "reader")
	for _, class := range []string{"brief", "quick"} {
		got := r.raw(request(chat(true, 5), "X-Class: "+class+"\r\n"+ending))
		got = waitWhole.ReplaceAllString(got, "Retry-After: S\r")
		golden(t, "refusal-"+class+".golden", visible(waitMillis.ReplaceAllString(got, "retry-after-ms: MS\r")))
	}
}

// TestTimeoutBytesOnSocket: a write that is not answered ends with the client's time.
func TestTimeoutBytesOnSocket(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) { // each with a front that has seen no timeout yet
			r, engines := scriptedRig(t, "")
			engines.set(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
			got := r.raw(request(chat(stream, 5), "X-Class: quick\r\n"+ending))
			golden(t, fmt.Sprintf("timeout-stream-%v.golden", stream), visible(got))
		})
	}
}

// TestRefusalAndFailureBytes holds every form of a refusal and of a failure, with waits that are told, not measured.
func TestRefusalAndFailureBytes(t *testing.T) {
	var all strings.Builder
	now := time.Now()
	send := func(f *Gateway, a Response, keep bool) string {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		go func() {
			defer ours.Close()
			if err := newClientConn(f, ours).writeResponse(a, keep); err != nil {
				t.Error(err)
			}
		}()
		text, err := io.ReadAll(theirs)
		if err != nil {
			t.Error(err)
		}
		return visible(string(text))
	}
	front := func() *Gateway {
		return &Gateway{Options: Options{Limits: config.Limits{WriteTimeout: time.Minute}}}
	}
	for _, form := range []struct {
		name             string
		waits, fractions bool
	}{{"no waits", false, false}, {"whole seconds", true, false}, {"fractions", true, true}} {
		f := front()
		f.SendRetryAfter, f.FractionalRetryAfter = form.waits, form.fractions
		for _, wait := range []time.Duration{0, time.Millisecond, time.Second, 1500 * time.Millisecond, 61 * time.Second} {
			for _, handUp := range []bool{false, true} {
				a := rejectionResponse(routing.Reject{RetryAfter: wait, NoAutoRetry: handUp})
				a.id = "an-id"
				fmt.Fprintf(&all, "== refusal, %s, wait %d ms, not to be repeated %v\n%s", form.name, wait.Milliseconds(), handUp,
					send(f, a, handUp))
			}
		}
	}
	for _, effect := range []struct {
		name string
		is   routing.Idempotency
	}{{"safe", routing.Idempotent}, {"keyed", routing.IdempotentWithKey}, {"unsafe", routing.NotIdempotent}} {
		for _, late := range []bool{false, true} {
			fl := &inflightRequest{class: &routing.Class{Idempotency: effect.is}, deadline: now.Add(time.Hour)}
			if late {
				fl.deadline = now
			}
			for _, reason := range []string{reasonStreamBroke, reasonNoDecision, reasonAnswerTimeout} {
				fmt.Fprintf(&all, "== failure, %s, time is up %v, %s\n%s", effect.name, late, reason,
					send(front(), failureResponse(fl, reason), true))
			}
		}
	}
	fmt.Fprintf(&all, "== failure of a repeat\n%s", send(front(), possibleDuplicateResponse(), false))
	fmt.Fprintf(&all, "== two at once\n%s", send(front(), Response{Status: errPipelined.Status, Body: errPipelined.JSON()}, false))
	golden(t, "refusal-and-failure.golden", all.String())
}
