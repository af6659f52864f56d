package node

import (
	"brackenbend/internal/http1"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
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

var waits = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\r\nretry-after-ms: [0-9]+\r`)

// visible makes each line end of a message readable, so that CR and LF are held too, and replaces a measured wait.
func visible(s string) string {
	s = waits.ReplaceAllString(s, "Retry-After: S.MMM\r\nretry-after-ms: MS\r")
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// exchanged sends text on a connection of its own and returns all that comes back until the node ends it.
func exchanged(t *testing.T, n *Node, text string) string {
	t.Helper()
	c := dial(t, n)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	c.send(t, text)
	got, err := io.ReadAll(c.br)
	if err != nil {
		t.Errorf("%v after %q", err, got)
	}
	return string(got)
}

const ending = "Connection: close\r\n\r\n"

// closing is a request whose connection is not to stay.
func closing(id, class string, change ...string) string {
	return strings.Replace(message(id, class, change...), "\r\n\r\n", "\r\n"+ending, 1)
}

// TestClientAnswerBytes holds what clients of a front node get, byte for byte.
func TestClientAnswerBytes(t *testing.T) {
	streamHead := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	framed := func(s string) string { return string(http1.AppendChunk(nil, []byte(s))) }
	whole := raw(streamHead + framed(strings.Join(stream, "")) + "0\r\n\r\n")
	broken := raw(streamHead + framed(stream[0]) + "0\r\n\r\n")
	failing := raw("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
	length := fmt.Sprintf("Content-Length: %d", len(body))
	plain := func(line string) string { return line + " HTTP/1.1\r\nHost: a\r\n" + ending }
	for _, group := range []struct {
		name   string
		answer func(*stub, http.ResponseWriter, *http.Request)
		cases  map[string]string // what is sent, by name
	}{
		{"served", whole, map[string]string{
			"stream":             closing("a1", "enquiry"),
			"stream-unsafe":      closing("a2", "order"),
			"health":             plain("GET /healthz"),
			"health-head":        plain("HEAD /healthz"),
			"health-post":        plain("POST /healthz"),
			"health-1.0":         "GET /healthz HTTP/1.0\r\nHost: a\r\n\r\n",
			"health-keep-alive":  "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" + plain("GET /healthz"),
			"404":                closing("b1", "order", "/v1/chat/completions", "/v1/embeddings"),
			"404-state":          plain("DELETE /state/a1"),
			"405":                plain("GET /v1/chat/completions"),
			"413":                message("b1", "order", length, "Content-Length: 62914560"),
			"417":                message("b1", "order", length, length+"\r\nExpect: a miracle"),
			"431":                "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10) + "\r\n\r\n",
			"505":                message("b1", "order", "HTTP/1.1", "HTTP/1.0"),
			"two-at-once":        message("b1", "order") + message("b2", "order"),
			"negative-length":    message("b1", "order", length, "Content-Length: -5"),
			"two-lengths":        message("b1", "order", length, length+"\r\n"+length),
			"both-lengths":       message("b1", "order", length, length+"\r\nTransfer-Encoding: chunked"),
			"unknown-class":      closing("b1", "nothing"),
			"unknown-tenant":     closing("b1", "order", "acme", "other"),
			"deadline-in-words":  closing("b1", "order", "4800", "soon"),
			"no-id":              closing("", "order"),
			"id-with-slash":      closing("a/b", "order"),
			"field-twice":        closing("b1", "order", "Req-Key: 7f", "Req-Key: 7f\r\nreq-key: 7f"),
			"unknown-retry":      closing("b1", "order", "Req-Key: 7f", "Req-Retry: maybe"),
			"repeat-unsafe":      closing("b1", "order", "Req-Key: 7f", "Req-Retry: 1"),
			"no-prompt-length":   closing("b1", "order", "prompt_len=20,", ""),
			"bad-prompt-length":  closing("b1", "order", "prompt_len=20", "prompt_len=many"),
			"prompt-given-twice": closing("b1", "order", "prompt_len=20", "prompt_len=20,prompt_len=20"),
			"not-json":           cut(closing("b1", "order", length, "Content-Length: 3")),
		}},
		{"failing", failing, map[string]string{"unsafe": closing("a1", "order")}},
		{"broken", broken, map[string]string{"stream": closing("a1", "order"), "stream-keep-alive": message("a1", "order")}},
	} {
		n, _ := start(t, setup{}, newStub(t, "r1", "prefill", reads), newStub(t, "w1", "decode", group.answer))
		for _, name := range slices.Sorted(maps.Keys(group.cases)) {
			golden(t, "client-"+group.name+"-"+name+".golden", visible(exchanged(t, n, group.cases[name])))
		}
	}
}

// cut takes all but the first three bytes of the body away.
func cut(text string) string { return text[:len(text)-len(body)+3] }

// TestKeepAliveBytes holds two streams one after another on one connection.
func TestKeepAliveBytes(t *testing.T) {
	whole := raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		string(http1.AppendChunk(nil, []byte(strings.Join(stream, "")))) + "0\r\n\r\n")
	n, _ := start(t, setup{}, newStub(t, "r1", "prefill", reads), newStub(t, "w1", "decode", whole))
	c := dial(t, n)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	all := ""
	for _, id := range []string{"a1", "a2"} {
		c.send(t, message(id, "order"))
		for got := ""; !strings.HasSuffix(got, "0\r\n\r\n"); {
			line, err := c.br.ReadString('\n')
			if err != nil {
				t.Fatalf("%v after %q", err, all)
			}
			got, all = got+line, all+line
		}
	}
	golden(t, "client-keep-alive.golden", visible(all))
}

// TestHealthBytesWithoutEngines holds the health answer of a node that starts with no list: it counts as ready.
func TestHealthBytesWithoutEngines(t *testing.T) {
	n, _ := start(t, setup{})
	for _, method := range []string{"GET", "HEAD"} {
		got := exchanged(t, n, method+" /healthz HTTP/1.1\r\nHost: a\r\n"+ending)
		golden(t, "health-without-engines-"+strings.ToLower(method)+".golden", visible(got))
	}
}

// TestRefusalBytes: without a writer all is refused. The wait is the module's, and replaced.
func TestRefusalBytes(t *testing.T) {
	n, _ := start(t, setup{deadline: time.Second}, newStub(t, "r1", "prefill", reads))
	for _, class := range []string{"enquiry", "order"} {
		golden(t, "refusal-"+class+".golden", visible(exchanged(t, n, closing("a1", class))))
	}
}
