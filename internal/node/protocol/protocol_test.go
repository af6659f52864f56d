package protocol

import (
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"bufio"
	"strings"
	"testing"
	"time"
)

var clients = &Clients{
	Classes: []routing.Class{{Name: "enquiry"}, {Name: "order", Idempotency: routing.NotIdempotent}}, Tenants: []string{"a", "b"},
	NotReady: func() string { return "" },
}

func parse(t testing.TB, head string) *http1.Request {
	t.Helper()
	req, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n")), http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100})
	if err != nil {
		t.Fatal(err)
	}
	return req
}

const (
	good = `POST /v1/chat/completions?x=1 HTTP/1.1
Host: backend.local
Req-Id: 9b1f03aa5c7e2d41
Req-Kind: order
Req-Owner: b
Req-Key: 7f3a9c21e0b4d655
Req-Deadline-Ms: 4800
Req-Retry: 1
Idempotency-Key: fad03ed3-01
Req-Extra: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800`
	body = `{"model":"chat","stream":true}`
)

func TestTakeReadsEveryField(t *testing.T) {
	got, e := clients.ParseRequest(parse(t, good), []byte(body))
	if e != nil {
		t.Fatal(e)
	}
	want := routing.Request{
		Class: 1, Tenant: 1, Session: hash("7f3a9c21e0b4d655"), Prefix: hash("5c0f6e1a2b3d4c59"), PromptTokens: 5120, PrefixTokens: 2048,
		MaxOutputTokens: 800, Retry: true,
	}
	if got.Routing != want || got.ClientID != "9b1f03aa5c7e2d41" || got.FirstTokenTimeout != 4800*time.Millisecond || got.Path != "/v1/chat/completions?x=1" || got.IdempotencyKey != "fad03ed3-01" {
		t.Errorf("taken %+v", got)
	}
	if string(got.Prompt.PrefillBody()) != body || string(got.Prompt.DecodeBody(nil, false)) != body {
		t.Error("the body was changed")
	}
	again, e := clients.ParseRequest(parse(t, strings.Replace(good, "Req-Retry: 1", "Req-Retry: again", 1)), []byte(body))
	if e != nil || again.Routing.Retry || !again.Routing.ResumedStream || again.Routing.PossibleDuplicate {
		t.Errorf("asked again: %+v, %v", again, e)
	}
}

func TestTakeRefusesWhatEnginesCouldNotUse(t *testing.T) {
	for name, change := range map[string][2]string{
		"no id":               {"Req-Id: 9b1f03aa5c7e2d41\n", ""},
		"id with a slash":     {"9b1f03aa5c7e2d41", "../state"},
		"endless id":          {"9b1f03aa5c7e2d41", strings.Repeat("9", 200)},
		"two ids":             {"Req-Id:", "Req-Id: 1\nReq-Id:"},
		"two repeat keys":     {"Idempotency-Key:", "idempotency-key: 1\nIdempotency-Key:"},
		"unknown class":       {"order", "ordre"},
		"no class":            {"Req-Kind: order\n", ""},
		"unknown tenant":      {"Owner: b", "Owner: c"},
		"no tenant":           {"Req-Owner: b\n", ""},
		"deadline in words":   {"4800", "soon"},
		"deadline negative":   {"4800", "-4800"},
		"deadline nought":     {"4800", "0"},
		"deadline a fraction": {"4800", "4800.5"},
		"deadline huge":       {"4800", "99999999999999999999"},
		"no deadline":         {"Req-Deadline-Ms: 4800\n", ""},
		"length in words":     {"prompt_len=5120", "prompt_len=many"},
		"length negative":     {"prompt_len=5120", "prompt_len=-1"},
		"length not a number": {"prompt_len=5120", "prompt_len=NaN"},
		"length infinite":     {"prompt_len=5120", "prompt_len=Inf"},
		"length twice":        {"prompt_len=5120", "prompt_len=5120,prompt_len=1"},
		"no length":           {"prompt_len=5120,", ""},
		"no most":             {",max_out=800", ""},
		"unknown mark":        {"Req-Retry: 1", "Req-Retry: maybe"},
	} {
		if !strings.Contains(good, change[0]) {
			t.Fatalf("%s changes nothing", name)
		}
		if got, e := clients.ParseRequest(parse(t, strings.Replace(good, change[0], change[1], 1)), []byte(body)); e == nil || e.Status != 400 {
			t.Errorf("%s: taken as %+v, error %v", name, got, e)
		}
	}
	for _, text := range []string{"", "x", "[]", `"a"`, `{"a":`, "\x00"} {
		if _, e := clients.ParseRequest(parse(t, good), []byte(text)); e == nil || e.Status != 400 {
			t.Errorf("body %q: error %v", text, e)
		}
	}
}

func FuzzTake(f *testing.F) {
	f.Add("5120", "prompt_len=1,max_out=2")
	f.Fuzz(func(t *testing.T, deadline, extra string) {
		if strings.ContainsAny(deadline+extra, "\r\n") {
			return
		}
		req := parse(t, good)
		for i := range req.Header {
			switch req.Header[i].Name {
			case fieldDeadline:
				req.Header[i].Value = deadline
			case fieldExtra:
				req.Header[i].Value = extra
			}
		}
		got, e := clients.ParseRequest(req, []byte(body))
		if e != nil {
			return
		}
		ev := got.Routing
		if got.FirstTokenTimeout <= 0 || got.FirstTokenTimeout > deadlineMost || !(ev.PromptTokens >= 0 && ev.PromptTokens <= tokensMost) || !(ev.MaxOutputTokens >= 0 && ev.MaxOutputTokens <= tokensMost) ||
			!(ev.PrefixTokens >= 0 && ev.PrefixTokens <= tokensMost) {
			t.Errorf("taken out of bounds: %+v", got)
		}
	})
}

func TestPlainPaths(t *testing.T) {
	why := ""
	c := &Clients{NotReady: func() string { return why }}
	for _, tt := range []struct {
		head string
		want int // 0: it goes on to Take
	}{
		{"POST /v1/chat/completions HTTP/1.1\nHost: x", 0},
		{"GET /v1/chat/completions HTTP/1.1\nHost: x", 405},
		{"POST /v1/chat/completions HTTP/1.0\nHost: x", 505},
		{"POST /v1/other HTTP/1.1\nHost: x", 404},
		{"DELETE /state/1 HTTP/1.1\nHost: x", 404},
		{"GET /healthz HTTP/1.1\nHost: x", 200},
	} {
		got := 0
		if a := c.RespondDirectly(parse(t, tt.head)); a != nil {
			got = a.Status
		}
		if got != tt.want {
			t.Errorf("%q: %d, want %d", tt.head, got, tt.want)
		}
	}
	why = "no list"
	if a := c.RespondDirectly(parse(t, "GET /healthz HTTP/1.1\nHost: x")); a.Status != 503 {
		t.Errorf("not ready: %d", a.Status)
	}
}

// The platform's table of whole answers, row for row; what breaks on the way is the engine package's.
func TestOutcomeOfWholeAnswers(t *testing.T) {
	for _, tt := range []struct {
		read     bool
		status   int
		declined string
		text     string
		want     routing.Result
		noState  bool
		kept     float64
	}{
		{true, 202, "", `{"cached_tokens":4096}`, routing.PrefillDone, false, 4096},
		{true, 202, "", `{"cached_tokens":-1}`, routing.PrefillDone, false, 0},
		{true, 202, "", `garbage`, routing.PrefillDone, false, 0},
		{false, 202, "", `{"cached_tokens":4096}`, routing.EngineError, false, 0},
		{true, 500, "", "", routing.EngineError, false, 0},
		{false, 500, "1", "", routing.EngineError, false, 0},
		{true, 503, "1", "", routing.Rejected, false, 0},
		{false, 503, "1", "", routing.Rejected, false, 0},
		{false, 504, "1", "", routing.Rejected, false, 0},
		{false, 503, "", "", routing.EngineError, false, 0},
		{false, 504, "", "", routing.EngineError, false, 0},
		{false, 503, "0", "", routing.EngineError, false, 0},
		{false, 410, "1", "", routing.Rejected, true, 0},
		{false, 410, "", "", routing.EngineError, false, 0},
		{false, 400, "", "", routing.EngineError, false, 0},
		{false, 404, "", "", routing.EngineError, false, 0},
		{false, 429, "1", "", routing.EngineError, false, 0},
		{true, 200, "", "{}", routing.EngineError, false, 0},
	} {
		resp := &http1.Response{Status: tt.status}
		if tt.declined != "" {
			resp.Header = http1.Header{{Name: "srv-declined", Value: tt.declined}}
		}
		got := Engines{}.ParseReply(tt.read, resp, []byte(tt.text), nil)
		if got.Result != tt.want || got.StateMissing != tt.noState || got.CachedTokens != tt.kept || got.Reply != nil {
			t.Errorf("%+v: %+v", tt, got)
		}
	}
}

func TestEngineMessages(t *testing.T) {
	s := &engine.Endpoint{Address: "10.0.0.1:8000"}
	head := string(Engines{}.AppendHead(nil, s, &engine.Call{Path: "/v1/chat/completions?x=1", ID: "abc", Body: []byte(body), Deadline: time.Now().Add(time.Hour)}))
	for _, want := range []string{"POST /v1/chat/completions?x=1 HTTP/1.1\r\n", "Req-Id: abc\r\n", "Content-Length: 30\r\n", "Req-Deadline-Ms: 35"} {
		if !strings.Contains(head, want) {
			t.Errorf("%q lacks %q", head, want)
		}
	}
	keyed := string(Engines{}.AppendHead(nil, s, &engine.Call{ID: "abc", IdempotencyKey: "fad03ed3-01"}))
	if !strings.Contains(keyed, "\r\nIdempotency-Key: fad03ed3-01\r\n") || strings.Contains(head, "Idempotency-Key") {
		t.Errorf("with a key %q, without one %q", keyed, head)
	}
	if got := string(Engines{}.ReleaseMessage(s, "abc")); got != "DELETE /state/abc HTTP/1.1\r\nHost: 10.0.0.1:8000\r\n\r\n" {
		t.Errorf("release %q", got)
	}
}
