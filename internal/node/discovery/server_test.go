package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// stubServer is a fake discovery agent that runs one step per request, in order and across connections. A step that
// writes no reply leaves the request open or closes the connection itself; requests after the last step get no reply.
type stubServer struct {
	listener net.Listener
	steps    []func(conn net.Conn)
	requests chan string // query of each request, prefixed by "+" if the connection is new
	nextStep chan int    // index of the next step; empty while a request updates it
}

func newStubServer(t *testing.T, steps ...func(conn net.Conn)) *stubServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // an error does not affect the test
	s := &stubServer{
		listener: listener, steps: steps, requests: make(chan string, 100), nextStep: make(chan int, 1),
	}
	s.nextStep <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *stubServer) serve(conn net.Conn) {
	defer closeConn(conn)
	reader, newConn := bufio.NewReader(conn), "+"
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		step := <-s.nextStep
		s.nextStep <- step + 1
		s.requests <- newConn + req.URL.RawQuery
		newConn = ""
		if step < len(s.steps) {
			s.steps[step](conn)
		}
	}
}

// send writes text. The error is ignored: after a failed write, the watcher sends other requests than the test expects.
func send(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

func replyWith(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// replyWithHalf sends the head and half of the body, and then stalls.
func replyWithHalf(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
	}
}

// replyInChunks sends text in chunks of one byte.
func replyInChunks(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range len(text) {
			send(conn, "1\r\n%s\r\n", text[i:i+1])
		}
		send(conn, "0\r\n\r\n")
	}
}

func noReply(net.Conn) {}

func closeConn(conn net.Conn) { _ = conn.Close() } // may already be closed

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // a failure would close the connection without a reset
	closeConn(conn)
}

// listJSON returns a complete list of n members.
func listJSON(n, revision int) string {
	var members []string
	for i := range n {
		members = append(members, strings.Replace(memberJSON, "s-1", fmt.Sprintf("s-%d", i), 1))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(members, ","))
}

// changesJSON returns a list of n changes.
func changesJSON(n, revision int) string {
	return strings.Replace(listJSON(n, revision), `"complete":true`, `"complete":false`, 1)
}
