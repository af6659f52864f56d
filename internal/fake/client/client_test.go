package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"brackenbend/internal/audit"
)

// serveOnce accepts one connection, reads a request and calls answer, which writes the response.
func serveOnce(t *testing.T, answer func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			answer(conn)
		}
	}()
	return listener.Addr().String()
}

func respond(status int, header, body string) func(net.Conn) {
	return func(conn net.Conn) {
		// A failed write is visible in the result of the client.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
}

func TestSendClassifiesAnswers(t *testing.T) {
	const sseType = "Content-Type: text/event-stream\r\n"
	for _, test := range []struct {
		name     string
		answer   func(net.Conn)
		attempt  Attempt
		want     string
		recorded audit.EventKind
	}{
		{"not streamed", respond(200, "", `{"x":"w0 "}`), Attempt{}, Served, audit.Answer},
		{"not JSON", respond(200, "", `{`), Attempt{}, Invalid, audit.Answer},
		{"stream", respond(200, sseType, "data: {}\n\ndata: [DONE]\n\n"), Attempt{}, Served, audit.Answer},
		{"stream ended by an error", respond(200, sseType, "data: {\"error\":{}}\n\n"), Attempt{}, StreamError, audit.Answer},
		{"stream without an end", respond(200, sseType, "data: {}\n\n"), Attempt{}, ConnectionLost, audit.ConnectionCut},
		{"rejection", respond(429, "retry-after-ms: 20\r\n", ""), Attempt{}, Rejected, audit.Answer},
		{"shutdown", respond(503, "Retry-After: 1\r\n", ""), Attempt{}, Unavailable, audit.Answer},
		{"failure", respond(502, "", ""), Attempt{}, Failed, audit.Answer},
		{"connection closed without a response", func(net.Conn) {}, Attempt{}, ConnectionLost, audit.ConnectionCut},
		{
			"no response before the timeout", func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) },
			Attempt{Timeout: 30 * time.Millisecond},
			TimedOut, audit.AttemptSent,
		},
		{
			"client disconnects", func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) },
			Attempt{DisconnectAfter: 30 * time.Millisecond},
			Disconnected, audit.ClientDisconnected,
		},
		{
			"extra bytes", func(conn net.Conn) {
				respond(200, "", "{}")(conn)
				_, _ = conn.Write([]byte("more"))
				_, _ = conn.Read(make([]byte, 1)) // until the client has read them and closes the connection
			}, Attempt{}, Served, audit.ExtraBytes,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempt := test.attempt
			if attempt.Timeout == 0 {
				attempt.Timeout = 10 * time.Second
			}
			record := audit.NewRecord()
			result := Send(&attempt, "replica", serveOnce(t, test.answer), record)
			if result.Outcome != test.want {
				t.Errorf("got %q, want %q", result.Outcome, test.want)
			}
			recordedEvents := record.Events()
			if last := recordedEvents[len(recordedEvents)-1].Kind; last != test.recorded {
				t.Errorf("recorded last %q, want %q", last, test.recorded)
			}
		})
	}
}

func TestSendReadsRetryAfter(t *testing.T) {
	for header, want := range map[string]time.Duration{"retry-after-ms: 20\r\n": 20 * time.Millisecond, "": time.Second} {
		attempt := Attempt{Timeout: 10 * time.Second}
		result := Send(&attempt, "replica", serveOnce(t, respond(429, header, "")), nil)
		if result.RetryAfter != want {
			t.Errorf("header %q: %v, want %v", header, result.RetryAfter, want)
		}
	}
}

func TestSendRecordsRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	record := audit.NewRecord()
	attempt := Attempt{ID: "a", Timeout: time.Second}
	if result := Send(&attempt, "replica", addr, record); result.Outcome != NotSent {
		t.Errorf("got %q", result.Outcome)
	}
	if events := record.Events(); len(events) != 1 || events[0].Kind != audit.AttemptUnsent {
		t.Errorf("recorded %+v", events)
	}
}
