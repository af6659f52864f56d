package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialNode(n *node) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", n.listen, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// requestText returns a client's request in the form of the protocol page.
func (s *site) requestText(id, class string, deadline time.Duration, body string) string {
	owner := ""
	if s.owner != "" {
		owner = "Req-Owner: " + s.owner + "\r\n"
	}
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: " + class +
		"\r\n" + owner + "Req-Key: " + id + "\r\nReq-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) +
		"\r\nReq-Extra: prompt_len=100,prefix_len=0,max_out=200\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const (
	usualDeadline  = 4 * time.Second  // for the first token
	clientPatience = 20 * time.Second // for the whole answer, and for reads that get nothing
)

const usualBody = `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"when does the oil come"}]}`

// reply is what a client has seen of the answer to one request.
type reply struct {
	status    int // 0 = none
	keepAlive bool
	events    int
	lastEvent time.Time // arrival of the last event; zero = none
	whole     bool      // the answer came to its end (for a stream: with the last chunk)
	err       error     // what ended the answer otherwise
	endedAt   time.Time
}

func (r *reply) String() string {
	return fmt.Sprintf("status %d, %d events, whole %v, keep-alive %v, error %v", r.status, r.events, r.whole, r.keepAlive, r.err)
}

// ask sends a request on a new connection and reads its answer.
func (s *site) ask(env *environment, n *node, id, class, body string) reply {
	conn, err := dialNode(n)
	if err != nil {
		env.rec.add("client: %s: not sent: %v", id, err)
		return reply{err: err, endedAt: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	env.rec.add("client: %s: sends %d bytes of body", id, len(body))
	if err := write(conn, s.requestText(id, class, usualDeadline, body)); err != nil {
		env.rec.add("client: %s: not sent whole: %v", id, err)
		return reply{err: err, endedAt: time.Now()}
	}
	r := conn.readReply(time.Now().Add(clientPatience))
	env.rec.add("client: %s: %v", id, &r)
	return r
}

// readReply reads one answer. It stops at limit.
func (c *clientConn) readReply(limit time.Time) reply {
	_ = c.SetReadDeadline(limit)
	var r reply
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err, r.endedAt = err, time.Now()
		return r
	}
	r.status, r.keepAlive = resp.StatusCode, !resp.Close
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			r.events, r.lastEvent = r.events+1, time.Now()
		}
		if err != nil {
			r.endedAt = time.Now()
			if r.whole = errors.Is(err, io.EOF); !r.whole {
				r.err = err
			}
			return r
		}
	}
}
