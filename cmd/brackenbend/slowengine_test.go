package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// throttle limits how fast bytes pass a throttlingProxy, in bytes a second; 0 = no limit.
type throttle struct {
	toEngine, toNode int
	// unthrottled is how many bytes pass to the node before the limit applies.
	unthrottled int64
}

// throttlingProxy stands between a node and an engine that reads or writes slowly.
type throttlingProxy struct {
	net.Listener
	engineAddress string
	throttle      throttle
}

// proxyReadBuffer is the size of the proxy's socket buffer in bytes, so that a request waits in the node's system.
const proxyReadBuffer = 4096

// newThrottlingProxy starts a proxy in front of an engine. It is closed when the test ends.
func newThrottlingProxy(t *testing.T, engineAddress string, limits throttle) *throttlingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &throttlingProxy{Listener: l, engineAddress: engineAddress, throttle: limits}
	go p.serve()
	return p
}

func (p *throttlingProxy) serve() {
	for {
		node, err := p.Accept()
		if err != nil {
			return
		}
		_ = node.(*net.TCPConn).SetReadBuffer(proxyReadBuffer)
		engine, err := net.Dial("tcp", p.engineAddress)
		if err != nil {
			node.Close()
			continue
		}
		go copyThrottled(engine, node, p.throttle.toEngine, 0)
		go copyThrottled(node, engine, p.throttle.toNode, p.throttle.unthrottled)
	}
}

// copyThrottled copies from one connection to the other at rate bytes a second, in at most twenty pieces, once the
// first bytes have passed. It closes both at the end.
func copyThrottled(to, from net.Conn, rate int, unthrottled int64) {
	defer to.Close()
	defer from.Close()
	if rate == 0 {
		_, _ = io.Copy(to, from)
		return
	}
	_, _ = io.CopyN(to, from, unthrottled)
	const maxPieces = 20 // a second
	pieces := min(rate, maxPieces)
	buffer := make([]byte, rate/pieces)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		time.Sleep(time.Second / time.Duration(pieces))
	}
}

const (
	// slowEngineDeadline is the first token's deadline of the requests in these tests, counted from their last byte.
	slowEngineDeadline = 3 * time.Second
	// latestAnswer is when a request without its final answer is lost.
	latestAnswer = slowEngineDeadline + 500*time.Millisecond
)

// slowAnswer is the answer to a request whose engine reads or writes slowly.
type slowAnswer struct {
	status int
	body   string
	err    error
	after  time.Duration // from the request's last byte to the answer's end
}

// askSlowEngine sends a request with a body of bodySize bytes to a new fleet and returns the answer.
func askSlowEngine(t *testing.T, class string, bodySize int, plan fleetPlan) slowAnswer {
	t.Helper()
	plan.prefillEngines, plan.decodeEngines, plan.stateTTL = 1, 1, time.Second
	f := newFleet(t, plan)
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"a":"` + strings.Repeat("x", bodySize) + `"}`
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: a1\r\nReq-Kind: %s\r\n"+
		"Req-Deadline-Ms: %d\r\nReq-Extra: prompt_len=20,max_out=8\r\nContent-Length: %d\r\n\r\n%s",
		class, slowEngineDeadline.Milliseconds(), len(body), body)
	sentAt := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return slowAnswer{err: err, after: time.Since(sentAt)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return slowAnswer{resp.StatusCode, string(text), err, time.Since(sentAt)}
}

// eachClass runs check for both classes of fleetConfig, at once.
func eachClass(t *testing.T, name string, check func(t *testing.T, class string)) {
	t.Helper()
	for _, class := range []string{idempotentClass, notIdempotentClass} {
		t.Run(name+" "+class, func(t *testing.T) {
			t.Parallel()
			check(t, class)
		})
	}
}

// TestSlowlyWrittenStreamIsServed guards against streams that are cut off while their engine is still writing an event:
// it takes longer than an engine may be silent.
func TestSlowlyWrittenStreamIsServed(t *testing.T) {
	const headAndFirstEvent, slowRate = 260, 15 // bytes, bytes a second: the rest takes 6 s, an event over 5 s
	slow := throttle{toNode: slowRate, unthrottled: headAndFirstEvent}
	eachClass(t, decodeEngine, func(t *testing.T, class string) {
		answer := askSlowEngine(t, class, 0, fleetPlan{decodeThrottle: slow})
		if answer.status != http.StatusOK || answer.err != nil || answer.body != engineStream {
			t.Errorf("cut off: %+v", answer)
		}
	})
}

// TestSlowlyReadRequestIsAnsweredInTime guards against final answers that come late because an engine is still reading
// the request.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	const bodySize, slowRate = 230_000, 20_000 // bytes, bytes a second: reading takes 11 s
	slow := throttle{toEngine: slowRate}
	for stage, plan := range map[string]fleetPlan{
		prefillEngine: {prefillThrottle: slow}, decodeEngine: {decodeThrottle: slow},
	} {
		eachClass(t, stage, func(t *testing.T, class string) {
			answer := askSlowEngine(t, class, bodySize, plan)
			if answer.err != nil || answer.status < http.StatusBadRequest || answer.after > latestAnswer {
				t.Errorf("no final answer in %v: %+v", latestAnswer, answer)
			}
		})
	}
}
