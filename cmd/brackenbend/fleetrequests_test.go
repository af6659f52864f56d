package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// reuseDelayPassed is longer than a connection to an engine rests after a response before it is used again.
const reuseDelayPassed = 50 * time.Millisecond

// send sends a request on a connection of its own.
func (f *processFleet) send(t *testing.T, id, class string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, _ = fmt.Fprintf(
		conn,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Key: 7f\r\n"+
			"Req-Deadline-Ms: 8000\r\n"+
			"Req-Extra: prompt_len=20,max_out=8\r\nContent-Length: 2\r\n\r\n{}",
		id,
		class,
	)
	return conn
}

// readResponse reads the final answer to a request.
func readResponse(t *testing.T, conn net.Conn) (status int, body string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("incomplete response: %v", err)
	}
	return resp.StatusCode, string(text)
}

// requireServed reads the final answer to a request and ends the test if it is no success.
func requireServed(t *testing.T, id string, conn net.Conn) {
	t.Helper()
	if status, _ := readResponse(t, conn); status != http.StatusOK {
		t.Fatalf("%s: %d", id, status)
	}
}

// fillPools has requests served until one of them makes no new connection to an engine. Pooled connections are used
// then, and where there is one prefill engine, or one decode engine, the next request uses a pooled connection to it.
func (f *processFleet) fillPools(t *testing.T) {
	t.Helper()
	accepted := func() (n int) {
		for _, e := range f.engines() {
			n += e.proxy.accepted()
		}
		return n
	}
	const maxRequests = 100
	for i := range maxRequests {
		before := accepted()
		id := fmt.Sprintf("keep%d", i)
		requireServed(t, id, f.send(t, id, idempotentClass))
		time.Sleep(reuseDelayPassed)
		if i > 0 && accepted() == before {
			return
		}
	}
	t.Fatal("no connection to an engine is used again")
}

// fillPoolsWith has n requests served at one time, which leaves n pooled connections to each of a sole prefill engine
// and a sole decode engine.
func (f *processFleet) fillPoolsWith(t *testing.T, n int) {
	t.Helper()
	var conns []net.Conn
	for i := range n {
		conns = append(conns, f.send(t, fmt.Sprintf("several%d", i), idempotentClass))
	}
	for i, conn := range conns {
		requireServed(t, fmt.Sprintf("several%d", i), conn)
	}
	time.Sleep(reuseDelayPassed)
	for _, e := range f.engines() {
		if accepted := e.proxy.accepted(); accepted < n {
			t.Fatalf("%d connections to %s, want %d", accepted, e.name, n)
		}
	}
}

// await waits for an event of a request of one of the kinds; it returns false if none has come by then.
func (f *processFleet) await(id string, by time.Time, kinds ...string) (engineEvent, bool) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		select {
		case event := <-f.events:
			f.seen = append(f.seen, event)
			if event.ID == id && slices.Contains(kinds, event.Kind) {
				return event, true
			}
		case <-timer.C:
			return engineEvent{}, false
		}
	}
}

// awaitLog waits for a line of the node's log with this message, about this request, that contains all of the texts.
func (f *processFleet) awaitLog(t *testing.T, message, id string, texts ...string) {
	t.Helper()
	texts = append(texts, `"msg":"`+message+`"`, `"`+id+`"`)
	containsAll := func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		log, err := os.ReadFile(f.logFile)
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(strings.Split(string(log), "\n"), containsAll) {
			return
		}
	}
	t.Errorf("no line of the node's log contains all of %q", texts)
}

// count is how many events of a kind a request has had. It first receives those that come within a short time.
func (f *processFleet) count(id, kind string) (n int) {
	f.await("", time.Now().Add(50*time.Millisecond))
	for _, event := range f.seen {
		if event.ID == id && event.Kind == kind {
			n++
		}
	}
	return n
}
