package engine

import (
	"brackenbend/internal/api"
	"brackenbend/routing"
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
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

// visible makes each line end of a message readable, so that CR and LF are held too.
func visible(s string) string {
	s = strings.ReplaceAll(s, "\r", `\r`)
	return strings.ReplaceAll(s, "\n", "\\n\n") + "\n"
}

// captured runs send against a peer that answers one request with answer; it returns the bytes that the peer got, with
// its address replaced.
func captured(t *testing.T, answer string, send func(s *Endpoint)) string {
	t.Helper()
	got := make(chan string, 1)
	s := peer(t, func(_ int, c *net.TCPConn) {
		var raw bytes.Buffer
		br := bufio.NewReader(io.TeeReader(c, &raw))
		request(c, br)
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, br) // all that may come behind the request, too
		got <- raw.String()
	})
	send(s)
	s.DiscardIdleConns()
	return strings.ReplaceAll(<-got, s.Address, "ADDRESS")
}

const (
	chatText = `{"model":"m","messages":[{"role":"system","content":"You help."},` +
		`{"role":"user","content":"h\u00e9llo <&>"}], "temperature": 0.70,"max_completion_tokens":9,"stream":STREAM,` +
		`"stream_options":{"include_usage":true},"min_tokens":2,"kv_transfer_params":{"forged":1},` +
		`"user":"u","unknown":{"b":[1, 2],"a":null}}`
	promptText = `{"model":"m","prompt":[5,6,7],"max_tokens":9,"stream":STREAM}`
	plainText  = `{"prompt":"hello","model":"m"}`

	readAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"kv_transfer_params":{"a":1}}`
)

var writeAnswer = head200 + chunked("data: {\"a\":1}\n\n") + chunked("data: [DONE]\n\n") + "0\r\n\r\n"

// TestEngineRequestBytes holds every byte of reads, writes and releases as an engine's socket gets them.
func TestEngineRequestBytes(t *testing.T) {
	for _, extended := range []bool{false, true} {
		for _, key := range []string{"", "key-1"} {
			var all strings.Builder
			c := testClient()
			c.Protocol = VLLM{Extended: extended, UserAgent: "agent/1"}
			call := func(path string, body []byte) Call {
				return Call{Path: path, ID: "run-1-2", IdempotencyKey: key, Body: body, Deadline: time.Now().Add(time.Minute)}
			}
			for _, in := range []struct{ name, path, text string }{
				{"chat, stream", api.PathChat, strings.ReplaceAll(chatText, "STREAM", "true")},
				{"chat, whole", api.PathChat, strings.ReplaceAll(chatText, "STREAM", "false")},
				{"completion, stream", api.PathCompletions, strings.ReplaceAll(promptText, "STREAM", "true")},
				{"completion, whole", api.PathCompletions, strings.ReplaceAll(promptText, "STREAM", "false")},
				{"completion, fewest fields", api.PathCompletions, plainText},
			} {
				req, e := api.Parse(in.path, []byte(in.text))
				if e != nil {
					t.Fatal(e)
				}
				add := func(what, bytes string) { fmt.Fprintf(&all, "== %s: %s\n%s", in.name, what, visible(bytes)) }
				add("read", captured(t, readAnswer, func(s *Endpoint) {
					if out := c.Prefill(&Attempt{}, s, call(in.path, req.PrefillBody())); out.Result != routing.PrefillDone {
						t.Errorf("result %d, %v", out.Result, out.Err)
					}
				}))
				for _, kv := range []json.RawMessage{nil, json.RawMessage(`{"remote_block_ids":[1, 2],"port":7}`)} {
					name := fmt.Sprintf("write, usage %v, kv_transfer_params %q", !req.Stream, kv)
					add(name, captured(t, writeAnswer, func(s *Endpoint) {
						out := c.Decode(&Attempt{}, s, call(in.path, req.DecodeBody(kv, !req.Stream)), &sink{})
						if out.Result != routing.Served {
							t.Errorf("result %d, %v", out.Result, out.Err)
						}
					}))
				}
			}
			if extended {
				release := captured(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(s *Endpoint) {
					if err := c.ReleaseState(&Attempt{}, s, "run-1-2", true, time.Now().Add(time.Minute)); err != nil {
						t.Error(err)
					}
				})
				fmt.Fprintf(&all, "== release\n%s", visible(release))
			} else if c.ReleasesState() {
				t.Error("a release without the extension")
			}
			golden(t, "request"+suffix(extended, "extended")+suffix(key != "", "key")+".golden", all.String())
		}
	}
}

// suffix is a part of a golden file's name.
func suffix(on bool, name string) string {
	if on {
		return "-" + name
	}
	return ""
}

// TestRequestBytesWithHeldBackLastByte: a body whose last byte waits for Settle arrives as the same bytes.
func TestRequestBytesWithHeldBackLastByte(t *testing.T) {
	c := platform(testClient())
	c.SettleDelay = time.Millisecond
	golden(t, "request-once.golden", visible(captured(t, readAnswer, func(s *Endpoint) {
		call := Call{Path: "/v1/x", ID: "run-1-2", SingleUseConn: true, Body: []byte(`{"model":"m"}`)}
		call.Deadline = time.Now().Add(time.Minute)
		if out := c.Prefill(&Attempt{}, s, call); out.Result != routing.PrefillDone {
			t.Errorf("result %d, %v", out.Result, out.Err)
		}
	})))
}

// TestResultNumbers holds the numbers of the outcomes, as the decision module's records have them.
func TestResultNumbers(t *testing.T) {
	for i, r := range []struct {
		got  routing.Result
		want int
	}{
		{routing.Served, 0},
		{routing.EngineError, 1},
		{routing.Rejected, 2},
		{routing.TimedOut, 3},
		{routing.ConnectFailed, 4},
		{routing.ConnectionReset, 5},
		{routing.Cancelled, 6},
		{routing.NotSent, 7},
		{routing.PrefillDone, 8},
		{routing.RequestIncomplete, 9},
	} {
		if int(r.got) != r.want {
			t.Errorf("row %d: %d, want %d", i, r.got, r.want)
		}
	}
}

// TestOutcomeByStatus holds every row of the outcome table that goes by a status, for reads and writes, by numbers.
func TestOutcomeByStatus(t *testing.T) {
	var all strings.Builder
	for _, extended := range []bool{false, true} {
		for _, read := range []bool{true, false} {
			for _, status := range []int{200, 202, 204, 300, 400, 401, 404, 408, 409, 410, 413, 422, 429, 500, 502, 503, 504} {
				for _, fields := range []string{
					"", HeaderNeverRan + ": 1\r\n", HeaderNoState + ": 1\r\n",
					HeaderNeverRan + ": 1\r\n" + HeaderNoState + ": 1\r\n", HeaderNeverRan + ": 0\r\n",
				} {
					if status == 200 && !read || fields != "" && status != 200 && status != 400 && status != 429 && status != 503 {
						continue
					}
					c := testClient()
					c.Protocol = VLLM{Extended: extended, UserAgent: "agent/1"}
					answer := fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 30\r\n\r\n%s", status, fields,
						`{"kv_transfer_params":{"a":1}}`)
					if status == 204 {
						answer = "HTTP/1.1 204 x\r\n\r\n"
					}
					s := peer(t, func(_ int, c *net.TCPConn) {
						request(c, bufio.NewReader(c))
						_, _ = io.WriteString(c, answer)
						_, _ = io.Copy(io.Discard, c)
					})
					call := Call{Path: "/v1/x", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
					var out Outcome
					if read {
						out = c.Prefill(&Attempt{}, s, call)
					} else {
						out = c.Decode(&Attempt{}, s, call, &sink{})
					}
					s.DiscardIdleConns()
					reply := "none"
					if out.Reply != nil {
						reply = fmt.Sprintf("%d %s", out.Reply.Status, out.Reply.Body)
					}
					fmt.Fprintf(&all, "extended %v, read %v, %d, %q: result %d, never ran %v, no state %v, kv %q, reply %s\n",
						extended, read, status, fields, int(out.Result), out.Result.NeverExecuted(), out.StateMissing, out.KVTransferParams, reply)
				}
			}
		}
	}
	golden(t, "outcome-by-status.golden", all.String())
}

// TestOutcomeOfReadAnswers holds what a reader's 200 becomes by its body.
func TestOutcomeOfReadAnswers(t *testing.T) {
	var all strings.Builder
	for _, text := range []string{
		`{"kv_transfer_params":{"a": 1}}`, `{"kv_transfer_params":null}`, `{}`, `garbage`, ``,
		`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":64}}}`,
		`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":-1}}}`,
	} {
		s := peer(t, func(_ int, c *net.TCPConn) {
			request(c, bufio.NewReader(c))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			_, _ = io.Copy(io.Discard, c)
		})
		call := Call{Path: "/v1/x", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
		out := testClient().Prefill(&Attempt{}, s, call)
		s.DiscardIdleConns()
		fmt.Fprintf(&all, "%q: result %d, kv %q, kept %v\n", text, int(out.Result), out.KVTransferParams, out.CachedTokens)
	}
	golden(t, "outcome-read-answers.golden", all.String())
}

// TestOutcomeOfBreaks holds the rows that go by how a connection or an answer ends, for reads and writes, by numbers.
func TestOutcomeOfBreaks(t *testing.T) {
	const token = "data: {}\n\n"
	type row struct {
		result  int
		noState bool
	}
	for _, k := range []struct {
		name        string
		answer      string
		then        func(c *net.TCPConn) // before the connection is closed
		read, write row
	}{
		{"closed before an answer", "", nil, row{5, false}, row{5, false}},
		{"reset before an answer", "", reset, row{5, false}, row{5, false}},
		{"closed within the head", "HTTP/1.1 200 OK\r\nContent", nil, row{5, false}, row{5, false}},
		{
			"closed within a body of a length", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{", nil,
			row{5, false},
			row{5, false},
		},
		{"closed within a chunk", head200 + "20\r\ndata", nil, row{5, false}, row{5, false}},
		{"closed before the last chunk", head200 + chunked(token), nil, row{5, false}, row{5, false}},
		{"closed within a 500", "HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\n", nil, row{1, false}, row{1, false}},
		{"closed within a 400", "HTTP/1.1 400 x\r\nContent-Length: 9\r\n\r\n", nil, row{1, false}, row{1, false}},
		{"garbage", "SSH-2.0-x\r\n\r\n", nil, row{1, true}, row{1, true}},
		{"chunk size no number", head200 + chunked(token) + "zz\r\n", nil, row{1, true}, row{1, true}},
		{
			"head too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", nil,
			row{1, true},
			row{1, true},
		},
		{
			"too many interim answers", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), nil,
			row{1, true},
			row{1, true},
		},
		{"stream without its last event", head200 + chunked(token) + "0\r\n\r\n", nil, row{1, false}, row{5, false}},
		{
			"error event", head200 + chunked("data: {\"error\":{}}\n\n") + "0\r\n\r\n", nil,
			row{1, false},
			row{1, false},
		},
		{"a stream", writeAnswer, nil, row{1, false}, row{0, false}},
	} {
		s := peer(t, func(_ int, c *net.TCPConn) {
			request(c, bufio.NewReader(c))
			_, _ = io.WriteString(c, k.answer)
			if k.then != nil {
				k.then(c)
			}
		})
		call := Call{Path: "/v1/x", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute), NewConn: true}
		for _, read := range []bool{true, false} {
			var out Outcome
			want := k.write
			if read {
				want = k.read
				out = testClient().Prefill(&Attempt{}, s, call)
			} else {
				out = testClient().Decode(&Attempt{}, s, call, &sink{})
			}
			if got := (row{int(out.Result), out.StateMissing}); got != want {
				t.Errorf("%s, read %v: %v, want %v (%v)", k.name, read, got, want, out.Err)
			}
		}
	}
}

// TestOutcomeOfTimeAndCancel holds the rows that go by time, by the client and by a call off, by numbers.
func TestOutcomeOfTimeAndCancel(t *testing.T) {
	serve := func(answer string) *Endpoint {
		return peer(t, func(_ int, c *net.TCPConn) {
			request(c, bufio.NewReader(c))
			_, _ = io.WriteString(c, answer)
			_, _ = io.Copy(io.Discard, c)
		})
	}
	token := head200 + chunked("data: {}\n\n")
	call := func(wait time.Duration) Call {
		return Call{Path: "/v1/x", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(wait)}
	}
	hold := func(what string, out Outcome, want int) {
		t.Helper()
		if int(out.Result) != want || out.StateMissing {
			t.Errorf("%s: result %d, no state %v, want %d (%v)", what, out.Result, out.StateMissing, want, out.Err)
		}
	}
	c := testClient()
	hold("read not answered in time", c.Prefill(&Attempt{}, serve(""), call(100*time.Millisecond)), 3)
	half := serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
	hold("read not whole in time", c.Prefill(&Attempt{}, half, call(100*time.Millisecond)), 3)
	hold("no first token in time", c.Decode(&Attempt{}, serve(head200), call(100*time.Millisecond), &sink{}), 3)
	hold("time is up before it began", c.Prefill(&Attempt{}, serve(""), call(-time.Second)), 7)
	hold("client answered otherwise", c.Decode(&Attempt{}, serve(token), call(time.Minute), &sink{refuse: true}), 6)
	hold("client takes nothing", c.Decode(&Attempt{}, serve(token), call(time.Minute), &sink{fail: io.ErrClosedPipe}), 6)
	silent := testClient()
	silent.StreamIdleTimeout = 50 * time.Millisecond
	hold("silence within a stream", silent.Decode(&Attempt{}, serve(token), call(time.Minute), &sink{}), 3)
}
