package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/golden"
	"brackenbend/routing"
)

// visibleLineEnds makes the line ends of a message visible, so that golden files show CR and LF.
func visibleLineEnds(s string) string {
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// captureRequest runs send against a peer that responds to one request with response. It returns the bytes that the
// peer received, with the peer's address replaced by ADDRESS.
func captureRequest(t *testing.T, response string, send func(e *Endpoint)) string {
	t.Helper()
	received := make(chan string, 1)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		var raw bytes.Buffer
		br := bufio.NewReader(io.TeeReader(conn, &raw))
		readRequest(br)
		respond(conn, response)
		readUntilClosed(br) // also captures anything sent after the request
		received <- raw.String()
	})
	send(endpoint)
	endpoint.DiscardIdleConns()
	return strings.ReplaceAll(<-received, endpoint.Address, "ADDRESS")
}

const (
	chatBody = `{"model":"m","messages":[{"role":"system","content":"You help."},` +
		`{"role":"user","content":"h\u00e9llo <&>"}], "temperature": 0.70,"max_completion_tokens":9,"stream":STREAM,` +
		`"stream_options":{"include_usage":true},"min_tokens":2,"kv_transfer_params":{"forged":1},` +
		`"user":"u","unknown":{"b":[1, 2],"a":null}}`
	completionBody = `{"model":"m","prompt":[5,6,7],"max_tokens":9,"stream":STREAM}`
	smallestBody   = `{"prompt":"hello","model":"m"}`
)

var decodeStream = streamHeader + chunk("data: {\"a\":1}\n\n") + chunk("data: [DONE]\n\n") + "0\r\n\r\n"

// TestRequestBytes compares every byte that an engine receives for prefills, decodes and releases with golden files.
func TestRequestBytes(t *testing.T) {
	for _, extended := range []bool{false, true} {
		for _, key := range []string{"", "key-1"} {
			name := "request" + suffixIf(extended, "-extended") + suffixIf(key != "", "-key") + ".golden"
			t.Run(name, func(t *testing.T) {
				client := newTestClient()
				client.Protocol = VLLM{Extended: extended, UserAgent: "agent/1"}
				text := captureStages(t, client, key)
				if extended {
					text += "== release\n" + visibleLineEnds(captureRelease(t, client))
				} else if client.ReleasesState() {
					t.Error("a client without the extension releases read state")
				}
				golden.Check(t, name, text)
			})
		}
	}
}

// captureStages returns the requests of both stages for request bodies of all kinds.
func captureStages(t *testing.T, client *Client, key string) string {
	t.Helper()
	var requests strings.Builder
	for _, c := range []struct{ name, path, body string }{
		{"chat, stream", api.PathChat, strings.ReplaceAll(chatBody, "STREAM", "true")},
		{"chat, whole", api.PathChat, strings.ReplaceAll(chatBody, "STREAM", "false")},
		{"completion, stream", api.PathCompletions, strings.ReplaceAll(completionBody, "STREAM", "true")},
		{"completion, whole", api.PathCompletions, strings.ReplaceAll(completionBody, "STREAM", "false")},
		{"completion, fewest fields", api.PathCompletions, smallestBody},
	} {
		req, parseErr := api.Parse(c.path, []byte(c.body))
		if parseErr != nil {
			t.Fatal(parseErr)
		}
		call := newCall(time.Minute)
		call.Path, call.ID, call.IdempotencyKey = c.path, "run-1-2", key
		addMessage := func(label, message string) {
			fmt.Fprintf(&requests, "== %s: %s\n%s", c.name, label, visibleLineEnds(message))
		}
		addMessage("read", captureRequest(t, prefillReply, func(e *Endpoint) {
			call.Body = req.PrefillBody()
			if out := client.Prefill(&Attempt{}, e, call); out.Result != routing.PrefillDone {
				t.Errorf("result %d, %v", out.Result, out.Err)
			}
		}))
		for _, kv := range []json.RawMessage{nil, json.RawMessage(`{"remote_block_ids":[1, 2],"port":7}`)} {
			label := fmt.Sprintf("write, usage %v, kv_transfer_params %q", !req.Stream, kv)
			addMessage(label, captureRequest(t, decodeStream, func(e *Endpoint) {
				call.Body = req.DecodeBody(kv, !req.Stream)
				if out := client.Decode(&Attempt{}, e, call, &testSink{}); out.Result != routing.Served {
					t.Errorf("result %d, %v", out.Result, out.Err)
				}
			}))
		}
	}
	return requests.String()
}

func captureRelease(t *testing.T, client *Client) string {
	t.Helper()
	return captureRequest(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(e *Endpoint) {
		if err := client.ReleaseState(&Attempt{}, e, "run-1-2", true, time.Now().Add(time.Minute)); err != nil {
			t.Error(err)
		}
	})
}

// suffixIf returns suffix, a part of a golden file's name, if condition is true, else an empty string.
func suffixIf(condition bool, suffix string) string {
	if condition {
		return suffix
	}
	return ""
}

// TestRequestBytesWithDelayedLastByte checks that a body whose last byte is withheld for SettleDelay arrives
// unchanged.
func TestRequestBytesWithDelayedLastByte(t *testing.T) {
	client := newLastByteClient()
	client.SettleDelay = time.Millisecond
	golden.Check(t, "request-once.golden", visibleLineEnds(captureRequest(t, prefillReply, func(e *Endpoint) {
		call := newCall(time.Minute)
		call.ID, call.NotIdempotent, call.Body = "run-1-2", true, []byte(`{"model":"m"}`)
		if out := client.Prefill(&Attempt{}, e, call); out.Result != routing.PrefillDone {
			t.Errorf("result %d, %v", out.Result, out.Err)
		}
	})))
}
