package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/golden"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// TestDecodeOutcomeTable checks the results of decodes whose connections and responses end in different ways.
func TestDecodeOutcomeTable(t *testing.T) {
	const events = "data: {}\n\ndata: [DONE]\n\n"
	completeResponse := streamHeader + chunk("data: {}\n\n") + chunk("data: [DONE]\n\n") + http1.LastChunk
	replyWith := func(text string) func(*net.TCPConn, *bufio.Reader) {
		return func(conn *net.TCPConn, br *bufio.Reader) {
			readRequest(br)
			respond(conn, text)
		}
	}
	for name, c := range map[string]struct {
		serve      func(conn *net.TCPConn, br *bufio.Reader)
		want       routing.Result
		beginCalls int
	}{
		"served": {replyWith(completeResponse), routing.Served, 1},
		"served a byte at a time": {func(conn *net.TCPConn, br *bufio.Reader) {
			readRequest(br)
			for i := range completeResponse {
				respond(conn, completeResponse[i:i+1])
			}
		}, routing.Served, 1},
		"closed after accept": {func(*net.TCPConn, *bufio.Reader) {}, routing.ConnectionReset, 0},
		"reset after request": {func(conn *net.TCPConn, br *bufio.Reader) {
			readRequest(br)
			resetOnClose(conn)
		}, routing.ConnectionReset, 0},
		"closed after request": {replyWith(""), routing.ConnectionReset, 0},
		"closed within header": {replyWith(completeResponse[:30]), routing.ConnectionReset, 0},
		"closed within stream": {replyWith(completeResponse[:len(streamHeader)+20]), routing.ConnectionReset, 1},
		"ended without [DONE]": {
			replyWith(streamHeader + chunk("data: {}\n\n") + http1.LastChunk), routing.ConnectionReset, 1,
		},
		"garbage": {replyWith("SSH-2.0-x\r\n\r\n"), routing.EngineError, 0},
		"header too large": {
			replyWith("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n"), routing.EngineError, 0,
		},
		"broken chunk": {replyWith(streamHeader + chunk("data: {}\n\n") + "zz\r\n"), routing.EngineError, 1},
		"event too large": {
			replyWith(streamHeader + chunk("data: "+strings.Repeat("x", 20000))), routing.EngineError, 0,
		},
		"error event": {replyWith(streamHeader + chunk("data: {\"error\":{}}\n\n")), routing.EngineError, 0},
		"error event in stream": {
			replyWith(streamHeader + chunk("data: {}\n\ndata: {\"error\":{}}\n\n")), routing.EngineError, 1,
		},
		"500":               {replyWith("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"), routing.EngineError, 0},
		"503, may have run": {replyWith("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"), routing.EngineError, 0},
		"503, never ran": {
			replyWith("HTTP/1.1 503 x\r\nContent-Length: 0\r\nX-Brackenbend-Never-Ran: 1\r\n\r\n"), routing.Rejected, 0,
		},
		"no response in time": {func(conn *net.TCPConn, br *bufio.Reader) {
			readRequest(br)
			readUntilClosed(conn)
		}, routing.TimedOut, 0},
		"early 413": {func(conn *net.TCPConn, br *bufio.Reader) {
			respond(conn, "HTTP/1.1 413 x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			readRequest(br)
		}, routing.Served, 0},
		"too many 100 responses": {replyWith(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9)), routing.EngineError, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := startPeer(t, func(_ int, conn *net.TCPConn) { c.serve(conn, bufio.NewReader(conn)) })
			timeout := 10 * time.Second
			if c.want == routing.TimedOut {
				timeout = 100 * time.Millisecond
			}
			call := newCallWithBody(timeout)
			call.Path = "/v1/chat/completions"
			var sink testSink
			out := newTestClient().Decode(&Attempt{}, endpoint, call, &sink)
			if out.Result != c.want || sink.beginCalls != c.beginCalls {
				t.Errorf("result %d (%v), want %d; %d calls of Begin, want %d", out.Result, out.Err, c.want,
					sink.beginCalls, c.beginCalls)
			}
			if c.beginCalls == 0 {
				return
			}
			if sink.lastFlag != (c.want == routing.Served) {
				t.Errorf("argument last of the latest Events call: %v", sink.lastFlag)
			}
			if c.want != routing.Served {
				return
			}
			if sink.received.String() != events {
				t.Errorf("relayed %q", sink.received.String())
			}
			if len(out.LoadReport) != 2 || out.LoadReport[0] != 0.5 || out.LoadReport[1] == out.LoadReport[1] {
				t.Errorf("load report %v", out.LoadReport)
			}
		})
	}
}

func TestPrefillOutcomeOfRefusedConnect(t *testing.T) {
	endpoint := &Endpoint{Address: unusedAddress(t)}
	if out := newTestClient().Prefill(&Attempt{}, endpoint, newCall(5*time.Second)); out.Result != routing.ConnectFailed {
		t.Errorf("%+v", out)
	}
}

// TestResultNumbers checks the numeric values of the results, which the router's recordings contain.
func TestResultNumbers(t *testing.T) {
	for want, got := range []routing.Result{
		0: routing.Served,
		1: routing.EngineError,
		2: routing.Rejected,
		3: routing.TimedOut,
		4: routing.ConnectFailed,
		5: routing.ConnectionReset,
		6: routing.Canceled,
		7: routing.NotSent,
		8: routing.PrefillDone,
		9: routing.RequestIncomplete,
	} {
		if int(got) != want {
			t.Errorf("result %d, want %d", got, want)
		}
	}
}

// outcomeRow is the part of an outcome that a test case compares; the result is given by its number.
type outcomeRow struct {
	result       int
	stateMissing bool
}

// TestOutcomeByConnectionEnd checks the outcomes that depend on how a connection or a response ends, for prefills and
// decodes.
func TestOutcomeByConnectionEnd(t *testing.T) {
	const token = "data: {}\n\n"
	for name, c := range map[string]struct {
		response        string
		beforeClose     func(conn *net.TCPConn)
		prefill, decode outcomeRow
	}{
		"closed before a response": {"", nil, outcomeRow{5, false}, outcomeRow{5, false}},
		"reset before a response":  {"", resetOnClose, outcomeRow{5, false}, outcomeRow{5, false}},
		"closed within the header": {
			"HTTP/1.1 200 OK\r\nContent", nil, outcomeRow{5, false}, outcomeRow{5, false},
		},
		"closed within a body with a length": {
			"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{", nil, outcomeRow{5, false}, outcomeRow{5, false},
		},
		"closed within a chunk": {streamHeader + "20\r\ndata", nil, outcomeRow{5, false}, outcomeRow{5, false}},
		"closed before the last chunk": {
			streamHeader + chunk(token), nil, outcomeRow{5, false}, outcomeRow{5, false},
		},
		"closed within a 500": {
			"HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\n", nil, outcomeRow{1, false}, outcomeRow{1, false},
		},
		"closed within a 400": {
			"HTTP/1.1 400 x\r\nContent-Length: 9\r\n\r\n", nil, outcomeRow{1, false}, outcomeRow{1, false},
		},
		"garbage": {"SSH-2.0-x\r\n\r\n", nil, outcomeRow{1, true}, outcomeRow{1, true}},
		"chunk size not a number": {
			streamHeader + chunk(token) + "zz\r\n", nil, outcomeRow{1, true}, outcomeRow{1, true},
		},
		"header too large": {
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", nil,
			outcomeRow{1, true},
			outcomeRow{1, true},
		},
		"too many interim responses": {
			strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), nil, outcomeRow{1, true}, outcomeRow{1, true},
		},
		"stream without its last event": {
			streamHeader + chunk(token) + "0\r\n\r\n", nil, outcomeRow{1, false}, outcomeRow{5, false},
		},
		"error event": {
			streamHeader + chunk("data: {\"error\":{}}\n\n") + "0\r\n\r\n", nil,
			outcomeRow{1, false},
			outcomeRow{1, false},
		},
		"a stream": {decodeStream, nil, outcomeRow{1, false}, outcomeRow{0, false}},
	} {
		newEndpoint := func(t *testing.T) *Endpoint {
			t.Helper()
			return startPeer(t, func(_ int, conn *net.TCPConn) {
				readRequest(bufio.NewReader(conn))
				respond(conn, c.response)
				if c.beforeClose != nil {
					c.beforeClose(conn)
				}
			})
		}
		call := newCallWithBody(time.Minute)
		call.NewConn = true
		check := func(t *testing.T, out Outcome, want outcomeRow) {
			t.Helper()
			if got := (outcomeRow{int(out.Result), out.StateMissing}); got != want {
				t.Errorf("result and missing state %v, want %v (%v)", got, want, out.Err)
			}
		}
		t.Run("prefill, "+name, func(t *testing.T) {
			check(t, newTestClient().Prefill(&Attempt{}, newEndpoint(t), call), c.prefill)
		})
		t.Run("decode, "+name, func(t *testing.T) {
			check(t, newTestClient().Decode(&Attempt{}, newEndpoint(t), call, &testSink{}), c.decode)
		})
	}
}

// TestOutcomeByTimeAndClient checks the outcomes that depend on time-outs and on the client.
func TestOutcomeByTimeAndClient(t *testing.T) {
	const short = 100 * time.Millisecond
	token := streamHeader + chunk("data: {}\n\n")
	client := newTestClient()
	shortIdleClient := newTestClient()
	shortIdleClient.StreamIdleTimeout = 50 * time.Millisecond
	for name, c := range map[string]struct {
		client   *Client
		response string
		timeout  time.Duration
		sink     *testSink // nil = a prefill
		want     int
	}{
		"prefill without a response in time": {client, "", short, nil, 3},
		"prefill without a whole reply in time": {
			client, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", short, nil, 3,
		},
		"no first token in time":           {client, streamHeader, short, &testSink{}, 3},
		"deadline passed before the start": {client, "", -time.Second, nil, 7},
		"client has another response":      {client, token, time.Minute, &testSink{declineBegin: true}, 6},
		"client does not read the stream":  {client, token, time.Minute, &testSink{eventsErr: io.ErrClosedPipe}, 6},
		"idle time-out within a stream":    {shortIdleClient, token, time.Minute, &testSink{}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
				readRequest(bufio.NewReader(conn))
				respond(conn, c.response)
				readUntilClosed(conn)
			})
			var out Outcome
			if c.sink == nil {
				out = c.client.Prefill(&Attempt{}, endpoint, newCallWithBody(c.timeout))
			} else {
				out = c.client.Decode(&Attempt{}, endpoint, newCallWithBody(c.timeout), c.sink)
			}
			if int(out.Result) != c.want || out.StateMissing {
				t.Errorf("result %d, state missing %v, want %d (%v)", out.Result, out.StateMissing, c.want, out.Err)
			}
		})
	}
}

// TestOutcomeByStatus compares the outcomes of all response statuses, for prefills and decodes, with a golden file.
func TestOutcomeByStatus(t *testing.T) {
	var outcomes strings.Builder
	for _, extended := range []bool{false, true} {
		for _, prefill := range []bool{true, false} {
			for _, status := range []int{
				200, 202, 204, 300, 400, 401, 404, 408, 409, 410, 413, 422, 429, 500, 502, 503, 504,
			} {
				for _, fields := range []string{
					"", HeaderNeverRan + ": 1\r\n", HeaderNoState + ": 1\r\n",
					HeaderNeverRan + ": 1\r\n" + HeaderNoState + ": 1\r\n", HeaderNeverRan + ": 0\r\n",
				} {
					if status == 200 && !prefill || fields != "" && !statusWithFields(status) {
						continue
					}
					out := outcomeOfStatus(t, extended, prefill, status, fields)
					reply := "none"
					if out.Reply != nil {
						reply = fmt.Sprintf("%d %s", out.Reply.Status, out.Reply.Body)
					}
					fmt.Fprintf(&outcomes,
						"extended %v, read %v, %d, %q: result %d, never ran %v, no state %v, kv %q, reply %s\n",
						extended, prefill, status, fields, int(out.Result), out.Result.NeverExecuted(),
						out.StateMissing, out.KVTransferParams, reply)
				}
			}
		}
	}
	golden.Check(t, "outcome-by-status.golden", outcomes.String())
}

// statusWithFields reports whether the header fields of the extension are tested with a status.
func statusWithFields(status int) bool {
	return status == 200 || status == 400 || status == 429 || status == 503
}

// outcomeOfStatus returns the outcome of an attempt whose engine responds with status and the header lines in fields.
func outcomeOfStatus(t *testing.T, extended, prefill bool, status int, fields string) Outcome {
	t.Helper()
	response := fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 30\r\n\r\n%s", status, fields,
		`{"kv_transfer_params":{"a":1}}`)
	if status == 204 {
		response = "HTTP/1.1 204 x\r\n\r\n"
	}
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		readRequest(bufio.NewReader(conn))
		respond(conn, response)
		readUntilClosed(conn)
	})
	defer endpoint.DiscardIdleConns()
	client := newTestClient()
	client.Protocol = VLLM{Extended: extended, UserAgent: "agent/1"}
	if prefill {
		return client.Prefill(&Attempt{}, endpoint, newCallWithBody(time.Minute))
	}
	return client.Decode(&Attempt{}, endpoint, newCallWithBody(time.Minute), &testSink{})
}

// TestOutcomeByPrefillReply compares the outcomes of prefill replies with status 200, by body, with a golden file.
func TestOutcomeByPrefillReply(t *testing.T) {
	var outcomes strings.Builder
	for _, text := range []string{
		`{"kv_transfer_params":{"a": 1}}`, `{"kv_transfer_params":null}`, `{}`, `garbage`, ``,
		`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":64}}}`,
		`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":-1}}}`,
	} {
		endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
			readRequest(bufio.NewReader(conn))
			respond(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
			readUntilClosed(conn)
		})
		out := newTestClient().Prefill(&Attempt{}, endpoint, newCallWithBody(time.Minute))
		endpoint.DiscardIdleConns()
		fmt.Fprintf(&outcomes, "%q: result %d, kv %q, kept %v\n",
			text, int(out.Result), out.KVTransferParams, out.CachedTokens)
	}
	golden.Check(t, "outcome-read-answers.golden", outcomes.String())
}
