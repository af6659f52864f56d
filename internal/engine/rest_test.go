package engine

import (
	"brackenbend/routing"
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestASecondAnswerThatComesLate: an engine answers twice, and its second answer is on its way as the next request is sent. It is
// not taken for that one's: the connection is not used again so soon. One that has rested is.
func TestASecondAnswerThatComesLate(t *testing.T) {
	for _, rest := range []time.Duration{time.Hour, time.Nanosecond} {
		var connections atomic.Int64
		s := peer(t, func(i int, c *net.TCPConn) {
			connections.Add(1)
			br := bufio.NewReader(c)
			late := ""
			for n := 0; ; n++ {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				event := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\ndata: [DONE]\n\n", req.Header.Get(HeaderRequestID))
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
				fmt.Fprint(c, late+answer)
				if rest == time.Hour {
					late = answer
				}
			}
		})
		c := testClient()
		c.ReuseDelay = rest
		for _, id := range []string{"one", "two"} {
			got := &sink{}
			c.Decode(&Attempt{}, s, Call{Path: "/v1/x", ID: id, Body: []byte("{}"), Deadline: time.Now().Add(20 * time.Second)}, got)
			if !strings.Contains(got.got.String(), id) {
				t.Errorf("rest %v: request %s got %q", rest, id, got.got.String())
			}
		}
		if want := map[bool]int64{true: 2, false: 1}[rest == time.Hour]; connections.Load() != want {
			t.Errorf("rest %v: %d connections, want %d", rest, connections.Load(), want)
		}
		s.Close()
	}
}

// TestOnlyWhatWasGivenUpIsWaitedFor: before anything follows from an attempt of unsafe work that this side ended, its engine gets time
// to see that. What the engine ended itself, or never got, needs none.
func TestOnlyWhatWasGivenUpIsWaitedFor(t *testing.T) {
	for result, waits := range map[routing.Result]bool{
		routing.TimedOut: true, routing.Cancelled: true, routing.EngineError: true, routing.RequestIncomplete: true,
		routing.Served: false, routing.PrefillDone: false, routing.Rejected: false, routing.ConnectionReset: false, routing.ConnectFailed: false, routing.NotSent: false,
	} {
		var waited time.Duration
		c := &Client{SettleDelay: 3 * time.Millisecond, Sleep: func(d time.Duration) { waited = d }}
		c.AwaitSettled(&Outcome{Result: result})
		if waited != map[bool]time.Duration{true: c.SettleDelay}[waits] {
			t.Errorf("result %d: waited %v", result, waited)
		}
	}
}

// TestAConnectionThatFellSilentTakesTheOthersWithIt: a request on a kept connection is not answered in time. It may never have arrived,
// and so may what is sent on the other connections that are kept towards this engine: they are closed.
func TestAConnectionThatFellSilentTakesTheOthersWithIt(t *testing.T) {
	both := make(chan struct{}, 2)
	s := peer(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for n := 0; request(c, br); n++ {
			if n > 0 {
				continue // silent
			}
			both <- struct{}{}
			for len(both) < cap(both) { // so that two connections are open at one time
				time.Sleep(time.Millisecond)
			}
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Brackenbend-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := testClient()
	ask := func(wait time.Duration) Outcome {
		return c.Prefill(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", Body: []byte("{}"), Deadline: time.Now().Add(wait)})
	}
	first := make(chan Outcome)
	go func() { first <- ask(20 * time.Second) }()
	if a, b := ask(20*time.Second), <-first; a.Result != routing.Rejected || b.Result != routing.Rejected || s.Conns() != 2 {
		t.Fatalf("%+v, %+v, %d connections", a, b, s.Conns())
	}
	if out := ask(50 * time.Millisecond); out.Result != routing.TimedOut {
		t.Errorf("%+v", out)
	}
	if n := s.Conns(); n != 0 {
		t.Errorf("%d connections are kept", n)
	}
}
