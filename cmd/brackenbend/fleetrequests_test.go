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

// reuseDelayPassed is longer than the gateway's reuse delay, after which a pooled connection to an engine is used
// again.
const reuseDelayPassed = 50 * time.Millisecond

const (
	// shortAnswer is the number of tokens that the answers of most tests may have.
	shortAnswer = 8
	// fleetDeadline is the first token's deadline of requests in these tests, and latestFleetAnswer when one without its
	// final answer is lost.
	fleetDeadline     = 8 * time.Second
	latestFleetAnswer = fleetDeadline + 500*time.Millisecond
)

// send sends a request for a short answer on a new connection.
func (f *processFleet) send(t *testing.T, id, class string) net.Conn {
	t.Helper()
	return f.sendFor(t, id, class, shortAnswer)
}

// sendFor sends a request for an answer of at most maxTokens on a new connection.
func (f *processFleet) sendFor(t *testing.T, id, class string, maxTokens int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, _ = fmt.Fprintf(
		conn,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Key: 7f\r\n"+
			"Req-Deadline-Ms: %d\r\n"+
			"Req-Extra: prompt_len=20,max_out=%d\r\nContent-Length: 2\r\n\r\n{}",
		id,
		class,
		fleetDeadline.Milliseconds(),
		maxTokens,
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

// requireServed reads the final answer to a request and ends the test if its status is not 200.
func requireServed(t *testing.T, id string, conn net.Conn) {
	t.Helper()
	if status, _ := readResponse(t, conn); status != http.StatusOK {
		t.Fatalf("%s: status %d", id, status)
	}
}

// fillPools sends requests until one is served on pooled connections, without a new connection to an engine. If
// there is only one prefill engine, or only one decode engine, the next request uses a pooled connection to it.
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
		acceptedBefore := accepted()
		id := fmt.Sprintf("keep%d", i)
		requireServed(t, id, f.send(t, id, idempotentClass))
		time.Sleep(reuseDelayPassed)
		if i > 0 && accepted() == acceptedBefore {
			return
		}
	}
	t.Fatal("every request made a new connection to an engine")
}

// fillPoolsWith sends n requests at once and waits until they are served. In a fleet of one prefill engine and one
// decode engine, this leaves n pooled connections to each.
func (f *processFleet) fillPoolsWith(t *testing.T, requestCount int) {
	t.Helper()
	var connections []net.Conn
	for i := range requestCount {
		connections = append(connections, f.send(t, fmt.Sprintf("several%d", i), idempotentClass))
	}
	for i, conn := range connections {
		requireServed(t, fmt.Sprintf("several%d", i), conn)
	}
	time.Sleep(reuseDelayPassed)
	for _, e := range f.engines() {
		if accepted := e.proxy.accepted(); accepted < requestCount {
			t.Fatalf("%d connections to %s, want %d", accepted, e.name, requestCount)
		}
	}
}

// awaitEvent waits for an event of a request that is of one of the kinds. It returns false if there is none by the
// deadline.
func (f *processFleet) awaitEvent(id string, deadline time.Time, kinds ...string) (engineEvent, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case event := <-f.events:
			f.receivedEvents = append(f.receivedEvents, event)
			if event.ID == id && slices.Contains(kinds, event.Kind) {
				return event, true
			}
		case <-timer.C:
			return engineEvent{}, false
		}
	}
}

// awaitLog waits for a line of the node's log that has this message, names this request and contains all of the
// substrings.
func (f *processFleet) awaitLog(t *testing.T, message, id string, substrings ...string) {
	t.Helper()
	substrings = append(substrings, `"msg":"`+message+`"`, `"`+id+`"`)
	containsAll := func(line string) bool {
		return !slices.ContainsFunc(substrings, func(text string) bool { return !strings.Contains(line, text) })
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		log, err := os.ReadFile(f.logFile)
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(strings.Split(string(log), "\n"), containsAll) {
			return
		}
	}
	t.Errorf("no line of the node's log contains all of %q", substrings)
}

// countEvents returns the number of events of a kind that a request has had, after a short wait for the last of them.
func (f *processFleet) countEvents(id, kind string) (n int) {
	f.awaitEvent("", time.Now().Add(50*time.Millisecond))
	for _, event := range f.receivedEvents {
		if event.ID == id && event.Kind == kind {
			n++
		}
	}
	return n
}
