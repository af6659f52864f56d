package node

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/golden"
)

// exchangeTimeout bounds an exchange that is compared with a golden file.
const exchangeTimeout = 20 * time.Second

// retryAfterFields matches the header fields with the measured wait before a retry.
var retryAfterFields = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\r\nretry-after-ms: [0-9]+\r`)

// showLineEndings escapes the line endings of a message, so that the comparison includes CR and LF, and replaces the
// measured wait before a retry.
func showLineEndings(s string) string {
	s = retryAfterFields.ReplaceAllString(s, "Retry-After: S.MMM\r\nretry-after-ms: MS\r")
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// exchange sends text on a new connection and returns all bytes that are received until the node closes it.
func exchange(t *testing.T, n *Node, text string) string {
	t.Helper()
	c := dialNode(t, n)
	defer closeConn(c)
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout)) // if this fails, a failing test only takes longer
	c.send(t, text)
	received, err := io.ReadAll(c.reader)
	if err != nil {
		t.Errorf("%v after %q", err, received)
	}
	return string(received)
}

const closeHeader = "Connection: close\r\n\r\n"

// closingRequest returns a chat request that asks for its connection to be closed.
func closingRequest(id, class string, replace ...string) string {
	return strings.Replace(chatRequest(id, class, replace...), "\r\n\r\n", "\r\n"+closeHeader, 1)
}

// bodylessRequest returns a request without a body that asks for its connection to be closed.
func bodylessRequest(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + closeHeader
}

// truncateBody cuts the body of a chat request to its first three bytes.
func truncateBody(request string) string { return request[:len(request)-len(chatBody)+3] }

// TestClientResponseBytes compares the responses to clients byte for byte with golden files.
func TestClientResponseBytes(t *testing.T) {
	completeReply := replyRaw(chunkedStreamHead + chunk(completeStream) + "0\r\n\r\n")
	brokenReply := replyRaw(chunkedStreamHead + chunk(streamEvents[0]) + "0\r\n\r\n")
	failureReply := replyRaw("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
	lengthField := fmt.Sprintf("Content-Length: %d", len(chatBody))
	for _, tc := range []struct {
		name     string
		handle   engineHandler
		requests map[string]string // by name
	}{
		{"served", completeReply, map[string]string{
			"stream":             closingRequest("a1", "enquiry"),
			"stream-unsafe":      closingRequest("a2", "order"),
			"health":             bodylessRequest("GET", "/healthz"),
			"health-head":        bodylessRequest("HEAD", "/healthz"),
			"health-post":        bodylessRequest("POST", "/healthz"),
			"health-1.0":         "GET /healthz HTTP/1.0\r\nHost: a\r\n\r\n",
			"health-keep-alive":  "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" + bodylessRequest("GET", "/healthz"),
			"404":                closingRequest("b1", "order", "/v1/chat/completions", "/v1/embeddings"),
			"404-state":          bodylessRequest("DELETE", "/state/a1"),
			"405":                bodylessRequest("GET", "/v1/chat/completions"),
			"413":                chatRequest("b1", "order", lengthField, "Content-Length: 62914560"),
			"417":                chatRequest("b1", "order", lengthField, lengthField+"\r\nExpect: a miracle"),
			"431":                "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10) + "\r\n\r\n",
			"505":                chatRequest("b1", "order", "HTTP/1.1", "HTTP/1.0"),
			"two-at-once":        chatRequest("b1", "order") + chatRequest("b2", "order"),
			"negative-length":    chatRequest("b1", "order", lengthField, "Content-Length: -5"),
			"two-lengths":        chatRequest("b1", "order", lengthField, lengthField+"\r\n"+lengthField),
			"both-lengths":       chatRequest("b1", "order", lengthField, lengthField+"\r\nTransfer-Encoding: chunked"),
			"unknown-class":      closingRequest("b1", "nothing"),
			"unknown-tenant":     closingRequest("b1", "order", "acme", "other"),
			"deadline-in-words":  closingRequest("b1", "order", "4800", "soon"),
			"no-id":              closingRequest("", "order"),
			"id-with-slash":      closingRequest("a/b", "order"),
			"field-twice":        closingRequest("b1", "order", "Req-Key: 7f", "Req-Key: 7f\r\nreq-key: 7f"),
			"unknown-retry":      closingRequest("b1", "order", "Req-Key: 7f", "Req-Retry: maybe"),
			"repeat-unsafe":      closingRequest("b1", "order", "Req-Key: 7f", "Req-Retry: 1"),
			"no-prompt-length":   closingRequest("b1", "order", "prompt_len=20,", ""),
			"bad-prompt-length":  closingRequest("b1", "order", "prompt_len=20", "prompt_len=many"),
			"prompt-given-twice": closingRequest("b1", "order", "prompt_len=20", "prompt_len=20,prompt_len=20"),
			"not-json":           truncateBody(closingRequest("b1", "order", lengthField, "Content-Length: 3")),
		}},
		{"failing", failureReply, map[string]string{"unsafe": closingRequest("a1", "order")}},
		{"broken", brokenReply, map[string]string{"stream": closingRequest("a1", "order")}},
		{"broken", brokenReply, map[string]string{"stream-keep-alive": chatRequest("a1", "order")}},
	} {
		n, _ := startNode(t, nodeOptions{}, newPrefillEngine(t, replyPrefill), newDecodeEngine(t, tc.handle))
		for _, name := range slices.Sorted(maps.Keys(tc.requests)) {
			file := "client-" + tc.name + "-" + name + ".golden"
			golden.Check(t, file, showLineEndings(exchange(t, n, tc.requests[name])))
		}
	}
}

// TestKeepAliveBytes compares two consecutive streams on one connection with a golden file.
func TestKeepAliveBytes(t *testing.T) {
	complete := replyRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(completeStream) + "0\r\n\r\n")
	n, _ := startNode(t, nodeOptions{}, newPrefillEngine(t, replyPrefill), newDecodeEngine(t, complete))
	c := dialNode(t, n)
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout)) // if this fails, a failing test only takes longer
	responses := ""
	for _, id := range []string{"a1", "a2"} {
		c.send(t, chatRequest(id, "order"))
		for received := ""; !strings.HasSuffix(received, "0\r\n\r\n"); {
			line, err := c.reader.ReadString('\n')
			if err != nil {
				t.Fatalf("%v after %q", err, responses)
			}
			received, responses = received+line, responses+line
		}
	}
	golden.Check(t, "client-keep-alive.golden", showLineEndings(responses))
}

// TestHealthBytesWithoutEngines compares the health response of a node that starts without an endpoint list with a
// golden file. The node is ready.
func TestHealthBytesWithoutEngines(t *testing.T) {
	n, _ := startNode(t, nodeOptions{})
	for _, method := range []string{"GET", "HEAD"} {
		received := exchange(t, n, bodylessRequest(method, "/healthz"))
		golden.Check(t, "health-without-engines-"+strings.ToLower(method)+".golden", showLineEndings(received))
	}
}

// TestRejectionBytes compares the rejections by a node without a decode engine with golden files. The wait before a
// retry is chosen by the router and replaced by a placeholder.
func TestRejectionBytes(t *testing.T) {
	n, _ := startNode(t, nodeOptions{deadline: time.Second}, newPrefillEngine(t, replyPrefill))
	for _, class := range []string{"enquiry", "order"} {
		golden.Check(t, "refusal-"+class+".golden", showLineEndings(exchange(t, n, closingRequest("a1", class))))
	}
}
