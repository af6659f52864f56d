package protocol

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

var clientProtocol = &ClientProtocol{
	Classes:        []routing.Class{{Name: "enquiry"}, {Name: "order", Idempotency: routing.NotIdempotent}},
	Tenants:        []string{"a", "b"},
	NotReadyReason: func() string { return "" },
}

// readRequest parses a request head. It converts the line endings of head from LF to CRLF.
func readRequest(t testing.TB, head string) *http1.Request {
	t.Helper()
	text := strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n"
	limits := http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100}
	req, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(text)), limits)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

const (
	validHead = `POST /v1/chat/completions?x=1 HTTP/1.1
Host: backend.local
Req-Id: 9b1f03aa5c7e2d41
Req-Kind: order
Req-Owner: b
Req-Key: 7f3a9c21e0b4d655
Req-Deadline-Ms: 4800
Req-Retry: 1
Idempotency-Key: fad03ed3-01
Req-Extra: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800`
	validBody = `{"model":"chat","stream":true}`
)

func TestParseRequestReadsEveryField(t *testing.T) {
	got, apiErr := clientProtocol.ParseRequest(readRequest(t, validHead), []byte(validBody))
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	want := routing.Request{
		Class: 1, Tenant: 1, Session: routingKey("7f3a9c21e0b4d655"), Prefix: routingKey("5c0f6e1a2b3d4c59"),
		PromptTokens: 5120, PrefixTokens: 2048, MaxOutputTokens: 800, Retry: true,
	}
	if got.Routing != want {
		t.Errorf("routing request %+v, want %+v", got.Routing, want)
	}
	if got.ClientID != "9b1f03aa5c7e2d41" || got.FirstTokenTimeout != 4800*time.Millisecond ||
		got.Path != "/v1/chat/completions?x=1" || got.IdempotencyKey != "fad03ed3-01" {
		t.Errorf("parsed %+v", got)
	}
	if string(got.Bodies.PrefillBody()) != validBody || string(got.Bodies.DecodeBody(nil, false)) != validBody {
		t.Error("the body was changed")
	}
}

func TestParseRequestReadsResumedStream(t *testing.T) {
	head := strings.Replace(validHead, "Req-Retry: 1", "Req-Retry: again", 1)
	got, apiErr := clientProtocol.ParseRequest(readRequest(t, head), []byte(validBody))
	if apiErr != nil || got.Routing.Retry || !got.Routing.ResumedStream || got.Routing.PossibleDuplicate {
		t.Errorf("parsed %+v, %v", got, apiErr)
	}
}

func TestParseRequestRejectsInvalidFields(t *testing.T) {
	for _, tc := range []struct{ name, old, replacement string }{
		{"no id", "Req-Id: 9b1f03aa5c7e2d41\n", ""},
		{"id with a slash", "9b1f03aa5c7e2d41", "../state"},
		{"id too long", "9b1f03aa5c7e2d41", strings.Repeat("9", 200)},
		{"two ids", "Req-Id:", "Req-Id: 1\nReq-Id:"},
		{"two idempotency keys", "Idempotency-Key:", "idempotency-key: 1\nIdempotency-Key:"},
		{"unknown class", "order", "ordre"},
		{"no class", "Req-Kind: order\n", ""},
		{"unknown tenant", "Owner: b", "Owner: c"},
		{"no tenant", "Req-Owner: b\n", ""},
		{"deadline not a number", "4800", "soon"},
		{"deadline negative", "4800", "-4800"},
		{"deadline zero", "4800", "0"},
		{"deadline fractional", "4800", "4800.5"},
		{"deadline huge", "4800", "99999999999999999999"},
		{"no deadline", "Req-Deadline-Ms: 4800\n", ""},
		{"length non-numeric", "prompt_len=5120", "prompt_len=many"},
		{"length negative", "prompt_len=5120", "prompt_len=-1"},
		{"length NaN", "prompt_len=5120", "prompt_len=NaN"},
		{"length infinite", "prompt_len=5120", "prompt_len=Inf"},
		{"length twice", "prompt_len=5120", "prompt_len=5120,prompt_len=1"},
		{"no length", "prompt_len=5120,", ""},
		{"no output length", ",max_out=800", ""},
		{"unknown retry value", "Req-Retry: 1", "Req-Retry: maybe"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(validHead, tc.old) {
				t.Fatal("the valid head lacks the text to replace")
			}
			head := strings.Replace(validHead, tc.old, tc.replacement, 1)
			got, apiErr := clientProtocol.ParseRequest(readRequest(t, head), []byte(validBody))
			if apiErr == nil || apiErr.Status != http.StatusBadRequest {
				t.Errorf("request accepted as %+v, error %v", got, apiErr)
			}
		})
	}
}

func TestParseRequestRejectsNonObjectBodies(t *testing.T) {
	for _, body := range []string{"", "x", "[]", `"a"`, `{"a":`, "\x00"} {
		_, apiErr := clientProtocol.ParseRequest(readRequest(t, validHead), []byte(body))
		if apiErr == nil || apiErr.Status != http.StatusBadRequest {
			t.Errorf("body %q: error %v", body, apiErr)
		}
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add("5120", "prompt_len=1,max_out=2")
	f.Fuzz(func(t *testing.T, deadline, hints string) {
		if strings.ContainsAny(deadline+hints, "\r\n") {
			return
		}
		req := readRequest(t, validHead)
		for i := range req.Header {
			switch req.Header[i].Name {
			case headerDeadline:
				req.Header[i].Value = deadline
			case headerHints:
				req.Header[i].Value = hints
			}
		}
		got, apiErr := clientProtocol.ParseRequest(req, []byte(validBody))
		if apiErr != nil {
			return
		}
		if got.FirstTokenTimeout <= 0 || got.FirstTokenTimeout > maxDeadline {
			t.Errorf("deadline out of bounds: %+v", got)
		}
		request := got.Routing
		for _, tokens := range []float64{request.PromptTokens, request.MaxOutputTokens, request.PrefixTokens} {
			if !(tokens >= 0 && tokens <= maxTokens) { // negated as a whole, so that NaN fails
				t.Errorf("tokens out of bounds: %+v", got)
			}
		}
	})
}

func TestRespondDirectly(t *testing.T) {
	notReady := ""
	c := &ClientProtocol{NotReadyReason: func() string { return notReady }}
	for _, tc := range []struct {
		requestLine string
		want        int // 0 = no direct response: ParseRequest follows
	}{
		{"POST /v1/chat/completions HTTP/1.1", 0},
		{"GET /v1/chat/completions HTTP/1.1", http.StatusMethodNotAllowed},
		{"POST /v1/chat/completions HTTP/1.0", http.StatusHTTPVersionNotSupported},
		{"POST /v1/other HTTP/1.1", http.StatusNotFound},
		{"DELETE /state/1 HTTP/1.1", http.StatusNotFound},
		{"GET /healthz HTTP/1.1", http.StatusOK},
	} {
		t.Run(tc.requestLine, func(t *testing.T) {
			got := 0
			if resp := c.RespondDirectly(readRequest(t, tc.requestLine+"\nHost: x")); resp != nil {
				got = resp.Status
			}
			if got != tc.want {
				t.Errorf("status %d, want %d", got, tc.want)
			}
		})
	}
	notReady = "no endpoint list"
	resp := c.RespondDirectly(readRequest(t, "GET /healthz HTTP/1.1\nHost: x"))
	if resp.Status != http.StatusServiceUnavailable {
		t.Errorf("health check of a node that is not ready: status %d, want 503", resp.Status)
	}
}
