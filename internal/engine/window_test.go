package engine

import (
	"brackenbend/routing"
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestARepeatIsNotSentPastItsWindow: the time in which a request may be sent ends before the call, between the connection's coming
// up and the first byte, and while the engine does not take the rest of it. The engine runs none of them and is not blamed.
func TestARepeatIsNotSentPastItsWindow(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	whole := make(chan bool, 10) // of each connection: whether a whole request came
	stalled := make(chan struct{})
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				<-stalled
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err == nil {
					_, err = io.ReadAll(req.Body)
				}
				whole <- err == nil
			}()
		}
	}()
	until := func(at time.Time) { time.Sleep(time.Until(at) + time.Millisecond) }
	for name, k := range map[string]struct {
		body int
		left time.Duration
		hook func(calls int, by time.Time)
	}{
		"before the call": {body: 2, left: -time.Millisecond, hook: func(int, time.Time) {}},
		"once the connection is up": {body: 2, left: 200 * time.Millisecond, hook: func(calls int, by time.Time) {
			if calls == 2 {
				until(by)
			}
		}},
		"half of it sent": {body: 32 << 20, left: 200 * time.Millisecond, hook: func(int, time.Time) {}},
	} {
		c := testClient()
		c.RunsWhenComplete = true
		calls, by := 0, time.Now().Add(k.left)
		call := Call{Path: "/v1/x", ID: "a", Body: bytes.Repeat([]byte("x"), k.body), SendBy: by, Deadline: time.Now().Add(time.Minute)}
		call.Abandoned = func() bool { calls++; k.hook(calls, by); return false }
		out := c.Decode(&Attempt{}, &Endpoint{Address: l.Addr().String()}, call, &sink{})
		if out.Result != routing.NotSent {
			t.Errorf("%s: %+v", name, out)
		}
	}
	over := Call{Path: "/v1/x", ID: "a", Deadline: time.Now().Add(-time.Millisecond)} // it waited for something else
	if out := testClient().Decode(&Attempt{}, &Endpoint{Address: l.Addr().String()}, over, &sink{}); out.Result != routing.NotSent {
		t.Errorf("past its deadline: %+v", out)
	}
	close(stalled)
	for range 2 { // the first made no connection
		if <-whole {
			t.Error("an engine got a whole request")
		}
	}
}
