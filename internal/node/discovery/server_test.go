package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// scriptedServer is a discovery that does one thing after another, each for the next call, whichever connection it
// comes on. A connection ends with a step that writes no reply; after the last step calls stay open.
type scriptedServer struct {
	listener net.Listener
	steps    []func(conn net.Conn)
	requests chan string // the query of each call, after "+" where the connection is new
	nextStep chan int    // holds one value, which also serializes calls
}

func newScriptedServer(t *testing.T, steps ...func(conn net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // nothing is to be done about a failure
	s := &scriptedServer{
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

func (s *scriptedServer) serve(conn net.Conn) {
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

// send writes text; a failure shows as a call of the watcher that differs.
func send(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

func replyWith(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// replyWithHalf sends the head and half of a reply, and no more.
func replyWithHalf(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
	}
}

// replyInChunks sends text in chunks of a byte.
func replyInChunks(text string) func(net.Conn) {
	return func(conn net.Conn) {
		send(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range len(text) {
			send(conn, "1\r\n%s\r\n", text[i:i+1])
		}
		send(conn, "0\r\n\r\n")
	}
}

func silent(net.Conn) {}

func closeConn(conn net.Conn) { _ = conn.Close() } // it may be closed already

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // without it the connection ends by a close, which is another case
	closeConn(conn)
}

// listOf is a complete list of n members.
func listOf(n, revision int) string {
	var members []string
	for i := range n {
		members = append(members, strings.Replace(member1, "s-1", fmt.Sprintf("s-%d", i), 1))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(members, ","))
}

// changesOf is a list of n changes.
func changesOf(n, revision int) string {
	return strings.Replace(listOf(n, revision), `"complete":true`, `"complete":false`, 1)
}
