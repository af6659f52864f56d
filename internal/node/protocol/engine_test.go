package protocol

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// TestParseReply checks the outcome of each reply in the platform's table of complete replies. Broken replies are
// tested in package engine.
func TestParseReply(t *testing.T) {
	for _, tc := range []struct {
		prefill      bool
		status       int
		declined     string
		body         string
		want         routing.Result
		stateMissing bool
		cachedTokens float64
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
		t.Run(fmt.Sprintf("prefill=%t,%d,declined=%s,%s", tc.prefill, tc.status, tc.declined, tc.body), func(t *testing.T) {
			resp := &http1.Response{Status: tc.status}
			if tc.declined != "" {
				resp.Header = http1.Header{{Name: "srv-declined", Value: tc.declined}}
			}
			got := EngineProtocol{}.ParseReply(tc.prefill, resp, []byte(tc.body), nil)
			if got.Result != tc.want || got.StateMissing != tc.stateMissing || got.CachedTokens != tc.cachedTokens {
				t.Errorf("outcome %+v", got)
			}
			if got.Reply != nil {
				t.Errorf("reply %+v, want none", got.Reply)
			}
		})
	}
}

func TestAppendHead(t *testing.T) {
	endpoint := &engine.Endpoint{Address: "10.0.0.1:8000"}
	head := string(EngineProtocol{}.AppendHead(nil, endpoint, &engine.Call{
		Path: "/v1/chat/completions?x=1", ID: "abc", Body: []byte(validBody), Deadline: time.Now().Add(time.Hour),
	}))
	for _, want := range []string{
		"POST /v1/chat/completions?x=1 HTTP/1.1\r\n", "Req-Id: abc\r\n", "Content-Length: 30\r\n", "Req-Deadline-Ms: 35",
	} {
		if !strings.Contains(head, want) {
			t.Errorf("%q lacks %q", head, want)
		}
	}
	withKey := string(EngineProtocol{}.AppendHead(nil, endpoint, &engine.Call{ID: "abc", IdempotencyKey: "fad03ed3-01"}))
	if !strings.Contains(withKey, "\r\nIdempotency-Key: fad03ed3-01\r\n") || strings.Contains(head, "Idempotency-Key") {
		t.Errorf("head with an idempotency key %q, without one %q", withKey, head)
	}
}

func TestReleaseMessage(t *testing.T) {
	const want = "DELETE /state/abc HTTP/1.1\r\nHost: 10.0.0.1:8000\r\n\r\n"
	if got := string(EngineProtocol{}.ReleaseMessage(&engine.Endpoint{Address: "10.0.0.1:8000"}, "abc")); got != want {
		t.Errorf("release request %q", got)
	}
}
