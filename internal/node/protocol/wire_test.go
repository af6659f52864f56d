package protocol

import (
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
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

// captured runs send against a peer that answers one request with answer; it returns the bytes that the peer got.
// Replaced are the peer's address and the remaining deadline, which stays one of 59 s and some milliseconds.
func captured(t *testing.T, answer string, send func(s *engine.Endpoint)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan string, 1)
	go func() {
		var raw bytes.Buffer
		defer func() { got <- raw.String() }()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(io.TeeReader(c, &raw))
		lim := http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30}
		req, err := http1.ReadRequest(br, lim)
		if err != nil {
			return
		}
		var b http1.Body
		b.Reset(br, &req.Message, lim)
		_, _ = http1.ReadAll(&b, 1<<20)
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, br)
	}()
	s := &engine.Endpoint{ID: 1, Name: "e", Address: l.Addr().String()}
	send(s)
	s.DiscardIdleConns()
	text := strings.ReplaceAll(<-got, s.Address, "ADDRESS")
	return regexp.MustCompile(`Req-Deadline-Ms: [3-5]\d{4}\r`).ReplaceAllString(text, "Req-Deadline-Ms: MS\r")
}

var streamed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	string(http1.AppendChunk(nil, []byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"))) + "0\r\n\r\n"

type discard struct{}

func (discard) Begin() bool               { return true }
func (discard) Events([]byte, bool) error { return nil }

// TestEngineRequestBytes holds every byte of reads, writes and releases as an engine's socket gets them.
func TestEngineRequestBytes(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, key := range []string{"", "fad03ed3-01"} {
			c := &engine.Client{
				Protocol: Engines{}, LoadReportHeader: HeaderLoadReport, StateByRequestID: true, RequireLastChunk: true, RunsWhenComplete: true,
				SettleDelay: time.Millisecond, DialTimeout: 10 * time.Second, HeaderTimeout: time.Minute, MaxConnsPerEndpoint: 4, MaxIdlePerEndpoint: 4,
				IdleTimeout: time.Minute, StreamIdleTimeout: time.Minute, MaxEventBytes: 16 << 10, MaxReplyBytes: 1 << 16,
				Limits: http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 30},
			}
			call := func(text []byte) engine.Call {
				return engine.Call{
					Path: "/v1/chat/completions?x=1", ID: "9b1f03aa5c7e2d41", IdempotencyKey: key, SingleUseConn: once, Body: text,
					Deadline: time.Now().Add(time.Minute),
				}
			}
			var all strings.Builder
			for _, text := range []string{
				`{"model":"chat","stream":true}`,
				`{ "stream":false, "model":"chat","kv_transfer_params":{"a":1} }`,
			} {
				p := prompt(text)
				fmt.Fprintf(&all, "== read\n%s", visible(captured(t, "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n",
					func(s *engine.Endpoint) {
						if out := c.Prefill(&engine.Attempt{}, s, call(p.PrefillBody())); out.Result != routing.PrefillDone {
							t.Errorf("result %d, %v", out.Result, out.Err)
						}
					})))
				fmt.Fprintf(&all, "== write\n%s", visible(captured(t, streamed, func(s *engine.Endpoint) {
					out := c.Decode(&engine.Attempt{}, s, call(p.DecodeBody([]byte(`{"b":2}`), true)), discard{})
					if out.Result != routing.Served {
						t.Errorf("result %d, %v", out.Result, out.Err)
					}
				})))
			}
			fmt.Fprintf(&all, "== release\n%s", visible(captured(t, "HTTP/1.1 204 x\r\n\r\n", func(s *engine.Endpoint) {
				if err := c.ReleaseState(&engine.Attempt{}, s, "9b1f03aa5c7e2d41", true, time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
			})))
			name := "request"
			if once {
				name += "-once"
			}
			if key != "" {
				name += "-key"
			}
			golden(t, name+".golden", all.String())
		}
	}
}

// TestRequestHeadBytes holds a head whose deadline has passed: it has no random part at all.
func TestRequestHeadBytes(t *testing.T) {
	s := &engine.Endpoint{Address: "10.0.0.1:8000"}
	const want = "POST /v1/x HTTP/1.1\r\nHost: 10.0.0.1:8000\r\nContent-Type: application/json\r\n" +
		"Content-Length: 2\r\nReq-Id: abc\r\nIdempotency-Key: k\r\nReq-Deadline-Ms: 1\r\n"
	call := &engine.Call{Path: "/v1/x", ID: "abc", IdempotencyKey: "k", Body: []byte("{}")}
	if got := string(Engines{}.AppendHead(nil, s, call)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	for status, want := range map[int]bool{199: false, 200: true, 204: true, 299: true, 300: false, 404: false} {
		if got := (Engines{}).ReleaseAccepted(status); got != want {
			t.Errorf("a release answered %d: done %v, want %v", status, got, want)
		}
	}
}

// TestNotReadyBody holds what a node answers to a look at its health when it should get no clients.
func TestNotReadyBody(t *testing.T) {
	c := &Clients{NotReady: func() string { return "draining" }}
	const want = `{"error":{"message":"draining","type":"server_error","param":null,"code":null}}`
	for _, method := range []string{"GET", "HEAD"} {
		if a := c.RespondDirectly(parse(t, method+" /healthz HTTP/1.1\nHost: x")); a.Status != 503 || string(a.Body) != want {
			t.Errorf("%s: %d %s", method, a.Status, a.Body)
		}
	}
}
