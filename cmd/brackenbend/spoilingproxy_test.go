package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

// spoilInterval is the pause between two pieces of a spoilt stream.
const spoilInterval = 100 * time.Millisecond

// spoilPlan says how the answer to a request goes on after the first event of its stream, which the proxy passes on as
// it came.
type spoilPlan struct {
	// opening is written in place of the head and the first event, without asking the engine; empty = they are passed on.
	opening string

	start  string // written once, behind the first event
	repeat string // written again and again, at spoilInterval
	// repetitions is how often repeat is written before the stream falls silent; 0 = until the node closes the connection.
	repetitions int
}

// spoilingProxy stands between a node and an engine. It forwards requests, and spoils the answers to those with a plan.
type spoilingProxy struct {
	net.Listener
	engineAddress string
	plans         map[string]spoilPlan // by request id; not changed after the start

	mu           sync.Mutex
	firstEventAt map[string]time.Time // by request id: when the proxy wrote the engine's first event
}

// newSpoilingProxy starts a proxy in front of an engine. It is closed when the test ends.
func newSpoilingProxy(t *testing.T, engineAddress string, plans map[string]spoilPlan) *spoilingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &spoilingProxy{Listener: l, engineAddress: engineAddress, plans: plans, firstEventAt: map[string]time.Time{}}
	go p.serve()
	return p
}

// firstEvent returns when the engine's first event was passed on to the node; zero = not yet.
func (p *spoilingProxy) firstEvent(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEventAt[id]
}

func (p *spoilingProxy) serve() {
	for {
		conn, err := p.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

// serveConn forwards the requests on one connection from the node. A spoilt stream ends it.
func (p *spoilingProxy) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		plan, spoilt := p.plans[req.Header.Get("Req-Id")]
		if plan.opening != "" {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, plan.opening)
			plan.play(conn)
			return
		}
		if !p.forward(conn, req, plan, spoilt) {
			return
		}
	}
}

// forward forwards one request. It returns whether the connection can be used further.
func (p *spoilingProxy) forward(conn net.Conn, req *http.Request, plan spoilPlan, spoilt bool) bool {
	req.URL.Scheme, req.URL.Host, req.RequestURI = "http", p.engineAddress, ""
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if !spoilt {
		return resp.Write(conn) == nil
	}
	firstEvent, err := readEvent(bufio.NewReader(resp.Body))
	if err != nil {
		return false
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, _ = io.WriteString(conn, chunkOf(firstEvent))
	p.mu.Lock()
	p.firstEventAt[req.Header.Get("Req-Id")] = time.Now()
	p.mu.Unlock()
	plan.play(conn)
	return false
}

// play writes the rest of a spoilt stream. It returns once the node has closed the connection.
func (s spoilPlan) play(conn net.Conn) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	ticker := time.NewTicker(spoilInterval)
	defer ticker.Stop()
	_, _ = io.WriteString(conn, s.start)
	for i := 0; s.repetitions == 0 || i < s.repetitions; i++ {
		select {
		case <-closed:
			return
		case <-ticker.C:
			_, _ = io.WriteString(conn, s.repeat)
		}
	}
	<-closed
}

// readEvent reads one event of a stream, with the empty line behind it.
func readEvent(reader *bufio.Reader) (string, error) {
	var event strings.Builder
	for !strings.HasSuffix(event.String(), "\n\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		event.WriteString(line)
	}
	return event.String(), nil
}

// chunkOf frames text as one chunk.
func chunkOf(text string) string { return string(http1.AppendChunk(nil, []byte(text))) }
