package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// eventInterval is the time between two events of a stream.
const eventInterval = 100 * time.Millisecond

// engine is a reader or a writer that speaks the protocol page. The function answer may replace the usual answer to a
// request; it returns whether the connection may carry another request.
type engine struct {
	rec      *record
	member   member
	listener net.Listener
	answer   func(e *engine, conn net.Conn, req *http.Request) bool

	events int // of a usual stream, one each 100 ms

	mu   sync.Mutex
	runs map[string]int       // requests begun, by id
	last map[string]time.Time // when each was begun last
}

func startEngine(rec *record, id, flavor string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		rec: rec, listener: listener, runs: map[string]int{}, last: map[string]time.Time{}, events: 4,
		member: member{
			ID: id, HostPort: listener.Addr().String(), Locality: "a", Flavor: flavor, Cell: 1, Phase: "Ready", Size: 1,
		},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.Method == http.MethodDelete {
			e.rec.add("engine %s: %s", e.member.ID, req.URL.Path)
			if write(conn, "HTTP/1.1 204 No Content\r\n\r\n") != nil {
				return
			}
			continue
		}
		id := req.Header.Get("Req-Id")
		e.mu.Lock()
		e.runs[id]++
		e.last[id] = time.Now()
		e.mu.Unlock()
		e.rec.add("engine %s: begins request %s (%s ms left)", e.member.ID, id, req.Header.Get("Req-Deadline-Ms"))
		switch {
		case e.answer != nil:
			if !e.answer(e, conn, req) {
				return
			}
		case e.member.Flavor == "prefill":
			if prefillDone(conn) != nil {
				return
			}
		default:
			if !e.stream(conn, req, e.events, eventInterval) {
				return
			}
		}
	}
}

// begun returns how often a request was begun here.
func (e *engine) begun(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

func prefillDone(conn net.Conn) error {
	time.Sleep(20 * time.Millisecond)
	body := `{"cached_tokens":0}`
	return write(conn, fmt.Sprintf("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body))
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func tokenEvent(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", i)
}

// stream answers with a whole stream of events.
func (e *engine) stream(conn net.Conn, req *http.Request, events int, interval time.Duration) bool {
	id := req.Header.Get("Req-Id")
	text := streamHead
	for i := range events {
		if write(conn, text+chunk(tokenEvent(i))) != nil {
			e.rec.add("engine %s: request %s: connection closed by the node at event %d of %d", e.member.ID, id, i, events)
			return false
		}
		text = ""
		time.Sleep(interval)
	}
	end := chunk("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n") +
		chunk(fmt.Sprintf("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":%d,"+
			"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n", events)) +
		chunk("data: [DONE]\n\n") + "0\r\n\r\n"
	err := write(conn, end)
	e.rec.add("engine %s: request %s: stream written to its end, error %v", e.member.ID, id, err)
	return err == nil
}
