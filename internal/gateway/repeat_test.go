package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// cutter is a path to a front that breaks as the first bytes of each of the first cuts answers come back.
func cutter(t *testing.T, to string, cuts int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var left atomic.Int64
	left.Store(cuts)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				return
			}
			go func() { _, _ = io.Copy(up, c); up.Close() }()
			go func() {
				defer c.Close()
				defer up.Close()
				first := make([]byte, 1)
				if _, err := up.Read(first); err != nil || left.Add(-1) >= 0 {
					return
				}
				if _, err := c.Write(first); err == nil {
					_, _ = io.Copy(c, up)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestStockSDKDoesNotRunAnOrderTwice: the path breaks as the answer begins; the SDK, at its own defaults, sends again
// by itself. An order runs once and its user is told why; what is safe is served by the repeat.
func TestStockSDKDoesNotRunAnOrderTwice(t *testing.T) {
	for _, c := range []struct {
		class    string
		requests int
		served   bool
		writes   int
	}{{"order", 2, false, 1}, {"ask", 2, true, 2}} {
		t.Run(c.class, func(t *testing.T) {
			r := newRig(t, "", "reader", "writer")
			requests := 0
			count := option.WithMiddleware(func(q *http.Request, next option.MiddlewareNext) (*http.Response, error) { requests++; return next(q) })
			sdk := openai.NewClient(option.WithBaseURL("http://"+cutter(t, r.addr, 1)+"/v1"), option.WithAPIKey("k"), option.WithHeader("X-Class", c.class), count)
			_, err := sdk.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
				Model: "m", MaxCompletionTokens: openai.Int(4),
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("order")},
			})
			var apiErr *openai.Error
			if served := err == nil; served != c.served || requests != c.requests {
				t.Errorf("%d requests, %v", requests, err)
			}
			if !c.served && (!errors.As(err, &apiErr) || apiErr.StatusCode != 502 || apiErr.Code != "earlier_try_may_have_run") {
				t.Errorf("the user is told %v", err)
			}
			writes := 0
			for name, e := range r.engines {
				if strings.HasPrefix(name, "writer") {
					writes += e.Arrivals()
				}
			}
			if writes != c.writes {
				t.Errorf("%d writes reached the writer", writes)
			}
		})
	}
}
