package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

func TestMalformedRequestsReachNoEngine(t *testing.T) {
	prefill, decode := newPrefillEngine(t, replyPrefill), newDecodeEngine(t, replyDecode)
	n, _ := startNode(t, nodeOptions{}, prefill, decode)
	lengthField := fmt.Sprintf("Content-Length: %d", len(chatBody))
	chunkedField := "Transfer-Encoding: chunked"
	megabyte := strings.Repeat("x", 1<<20)
	for _, tc := range []struct {
		name, text string
		mayReset   bool // a close without a response is allowed, also as a reset
	}{
		{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", false},
		{"head too long", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10), false},
		{"negative length", chatRequest("b1", "order", lengthField, "Content-Length: -5"), false},
		{"huge length", chatRequest("b1", "order", lengthField, "Content-Length: 62914560"), false},
		{"length not a number", chatRequest("b1", "order", lengthField, "Content-Length: ten"), false},
		{"length and chunked", chatRequest("b1", "order", lengthField, lengthField+"\r\n"+chunkedField), false},
		{"two lengths", chatRequest("b1", "order", lengthField, lengthField+"\r\n"+lengthField), false},
		{"invalid chunk", chatRequest("b1", "order", lengthField, chunkedField), false},
		{"unknown class", chatRequest("b1", "nothing"), false},
		{"deadline not a number", chatRequest("b1", "order", "4800", "soon"), false},
		{"no id", chatRequest("", "order"), false},
		{"not JSON", chatRequest("b1", "order", lengthField, "Content-Length: 3"), false},
		{"pipelined requests", chatRequest("b1", "order") + chatRequest("b2", "order"), false},
		{"a body of 1 MB", chatRequest("b1", "order", lengthField, "Content-Length: 1048576") + megabyte, true},
		{
			"a chunk of 1 MB",
			chatRequest("b1", "order", lengthField+"\r\n\r\n", chunkedField+"\r\n\r\n100000\r\n") + megabyte, true,
		},
		{"HTTP/1.0", chatRequest("b1", "order", "HTTP/1.1", "HTTP/1.0"), false},
		{"another path", chatRequest("b1", "order", "/v1/chat/completions", "/v1/embeddings"), false},
		{"unknown expectation", chatRequest("b1", "order", lengthField, lengthField+"\r\nExpect: a miracle"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := dialNode(t, n)
			go write(c, tc.text) // the node may stop reading before the end
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				if !tc.mayReset {
					t.Error(err)
				}
				return
			}
			closeConn(resp.Body)
			if resp.StatusCode < 400 {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
	valid := chatRequest("b1", "order")
	for _, incomplete := range []string{"", "POST /v1", valid[:150], valid[:len(valid)-3]} {
		c := dialNode(t, n)
		c.send(t, incomplete)
		closeConn(c)
	}
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "order"))
	c.expectStream(t, "valid request after the malformed ones")
	want := []string{"POST aa01"}
	if !slices.Equal(prefill.received(), want) || !slices.Equal(decode.received(), want) {
		t.Errorf("the prefill engine got %q, the decode engine %q", prefill.received(), decode.received())
	}
}

const chunkedStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestMalformedStreamEndsConnection checks that a stream that breaks after its first event ends the client's connection
// without the last chunk, so that the client does not take it for complete.
func TestMalformedStreamEndsConnection(t *testing.T) {
	for _, tc := range []struct{ name, rest string }{
		{"chunk size not a number", "zz\r\nabc\r\n"},
		{"chunk longer than its size", "5\r\n" + streamEvents[1] + "\r\n"},
		{"chunk of 3 GB", "c0000000\r\n" + strings.Repeat("x", 100<<10)},
		{"3 GB of events", "c0000000\r\n" + strings.Repeat(streamEvents[1], 300<<10/len(streamEvents[1]))},
		{"last chunk without [DONE]", "0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			decode := newDecodeEngine(t, replyRaw(chunkedStreamHead+chunk(streamEvents[0])+tc.rest))
			n, _ := startNode(t, nodeOptions{}, newPrefillEngine(t, replyPrefill), decode)
			c := dialNode(t, n)
			c.send(t, chatRequest("aa01", "order"))
			resp, body, complete := c.receive(t)
			if resp.StatusCode != http.StatusOK || complete || !strings.HasPrefix(body, streamEvents[0]) {
				t.Errorf("status %d, complete %v: %.100q", resp.StatusCode, complete, body)
			}
			if _, err := c.reader.ReadByte(); err == nil {
				t.Error("the connection was not closed")
			}
			if got := decode.received(); !slices.Equal(got, []string{"POST aa01"}) {
				t.Errorf("the decode engine got %q", got)
			}
		})
	}
}

// TestMalformedReplyHead checks the handling of a reply whose beginning cannot be parsed. The request may have run: if
// it is not idempotent, it must fail rather than be rejected; if it is idempotent, it is retried.
func TestMalformedReplyHead(t *testing.T) {
	for _, tc := range []struct{ name, reply string }{
		{"not HTTP", "\x00\x01\x02noise\r\n\r\n"},
		{"not HTTP, no line end", strings.Repeat("\x07", 500)},
		{"head too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 40<<10)},
		{"head without an end", "HTTP/1.1 200 OK\r\nX: a\r\n"},
		{"invalid first chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			prefill := newPrefillEngine(t, replyPrefill)
			var malformedOnce sync.Once
			handle := func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
				reply := replyDecode
				malformedOnce.Do(func() { reply = replyRaw(tc.reply) })
				reply(e, w, r)
			}
			decode, decode2 := newDecodeEngine(t, handle), newFakeEngine(t, "w2", "decode", handle)
			n, _ := startNode(t, nodeOptions{}, prefill, decode, decode2)
			c := dialNode(t, n)
			c.send(t, chatRequest("aa01", "enquiry"))
			c.expectStream(t, "idempotent request")
			attempts := func() int { return len(decode.received()) + len(decode2.received()) }
			attemptsBefore := attempts()
			malformedOnce = sync.Once{}
			c.send(t, chatRequest("aa02", "order"))
			resp, _, _ := c.receive(t)
			if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable || attempts() != attemptsBefore+1 {
				t.Errorf("request that is not idempotent: status %d, the decode engines got %q and %q",
					resp.StatusCode, decode.received(), decode2.received())
			}
			prefill.waitForRequest("DELETE aa02") // the decode engine may not have fetched the read state
		})
	}
}

// TestStreamWithSurplusBytes checks that a complete stream with additional bytes before or after it is relayed, and
// that its connection is not used again.
func TestStreamWithSurplusBytes(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nSrv-Load: \x80 nonsense=\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, event := range streamEvents {
		stream += chunk(event)
	}
	stream += "0\r\n\r\n"
	for _, tc := range []struct{ name, reply string }{
		{
			"informational responses before the reply",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + stream,
		},
		{"second reply after the first", stream + stream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n, _ := startNode(t, nodeOptions{}, newPrefillEngine(t, replyPrefill), newDecodeEngine(t, replyRaw(tc.reply)))
			c := dialNode(t, n)
			for _, id := range []string{"aa01", "aa02"} {
				c.send(t, chatRequest(id, "order"))
				c.expectStream(t, id)
			}
		})
	}
}
