package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/golden"
)

// exchangeTimeout bounds the exchange of requests and replies that is compared with a golden file.
const exchangeTimeout = 20 * time.Second

// recordedReply is one reply of a recordingServer. A reply with a header closes its connection.
type recordedReply struct{ header, list string }

// recordingServer records each connection and the heads of all requests.
type recordingServer struct {
	listener    net.Listener
	replies     []recordedReply
	repliesSent int
	requests    strings.Builder // may be read once done is closed
	done        chan struct{}   // closed when the server ends, usually after a request for which no reply is left
}

func newRecordingServer(t *testing.T, replies ...recordedReply) *recordingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recordingServer{listener: listener, replies: replies, done: make(chan struct{})}
	t.Cleanup(s.close)
	go func() {
		defer close(s.done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer closeConn(conn)
			s.requests.WriteString("connection\n")
			if s.serve(conn) {
				return
			}
		}
	}()
	return s
}

func (s *recordingServer) close() { _ = s.listener.Close() } // may already be closed

// serve answers requests on one connection. last reports that a request came for which no reply was left.
func (s *recordingServer) serve(conn net.Conn) (last bool) {
	reader := bufio.NewReader(conn)
	for {
		head := readHead(reader)
		if head == "" {
			return false
		}
		fmt.Fprintf(&s.requests, "%q\n", strings.ReplaceAll(head, s.listener.Addr().String(), "HOST:PORT"))
		if s.repliesSent == len(s.replies) {
			return true
		}
		reply := s.replies[s.repliesSent]
		s.repliesSent++
		send(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", reply.header, len(reply.list), reply.list)
		if reply.header != "" {
			return false
		}
	}
}

// readHead reads the head of a request, which is incomplete if the connection ends.
func readHead(reader *bufio.Reader) string {
	head := ""
	for !strings.HasSuffix(head, "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		head += line
	}
	return head
}

// TestDiscoveryRequestBytes compares every byte that a watcher writes with a recording: the list, the watches after it,
// and the list on a new connection after a reply with Connection: close. Refactoring must not change the golden file.
func TestDiscoveryRequestBytes(t *testing.T) {
	server := newRecordingServer(t,
		recordedReply{"", `{"revision":41,"complete":true,"members":[` + memberJSON + `]}`},
		recordedReply{"", `{"revision":41,"complete":false,"members":[]}`},
		recordedReply{"", `{"revision":9007199254740993,"complete":false,"members":[` + memberJSON + `]}`},
		recordedReply{"Connection: close\r\n", `{"revision":9007199254740994,"complete":false,"members":[]}`},
		recordedReply{"", `{"revision":9007199254740995,"complete":true,"members":[]}`},
	)
	w := &Watcher{
		OnUpdate:         func(endpointslice.Update) {},
		Log:              func(string, error) {},
		WatchTimeout:     2345 * time.Millisecond,
		ConnectTimeout:   time.Minute,
		FirstByteTimeout: time.Minute,
		ResponseTimeout:  time.Minute,
		MaxBackoff:       time.Millisecond,
		MaxListBytes:     1 << 20,
	}
	w.SetAddress(server.listener.Addr().String())
	stop := runWatcher(t, w)
	select {
	case <-server.done:
	case <-time.After(exchangeTimeout):
		t.Errorf("not all requests arrived within %v", exchangeTimeout)
		server.close()
	}
	stop()
	<-server.done
	golden.Check(t, "requests.txt", server.requests.String())
}

// TestDiscoveryListParsing compares the parsed fields of lists, and the updates that the lists are converted to, with a
// golden file.
func TestDiscoveryListParsing(t *testing.T) {
	var got strings.Builder
	for _, text := range []string{
		`{"revision":41,"complete":true,"members":[` + memberJSON + `,{"id":"s-2","phase":"Gone"},` +
			`{"id":"s-3","host_port":"[::1]:1","phase":"Terminating","cell":-4}]}`,
		`{"revision":42,"complete":false,"members":[]}`,
		`{"REVISION":43,"Complete":true,"MEMBERS":[{"ID":"x","Host_Port":"a:1","PHASE":"Ready"}],"more":1}`,
		`{"revision":1,"complete":true}`,
		`{"revision":1,"complete":true,"members":[{"id":"","phase":"Ready"}]}`,
		`{"revision":1,"complete":true,"members":[{"id":"a","phase":"Ready","host_port":"here"}]}`,
		`{"revision":1,"complete":true,"members":[{"id":"a","phase":"Dozing","host_port":"a:1"}]}`,
		`{"revision":1,"complete":true,"members":[{"id":"a","phase":"Ready","host_port":"a:1","up_since_ms":-1}]}`,
		`[`,
	} {
		fmt.Fprintf(&got, "answer %s\n", text)
		writeList(&got, text)
	}
	golden.Check(t, "lists.txt", got.String())
}

// writeList writes the parsed fields of a list and the update that it is converted to.
func writeList(s *strings.Builder, text string) {
	list, err := Parse([]byte(text))
	if err != nil {
		fmt.Fprintf(s, "  error %v\n", err)
		return
	}
	fmt.Fprintf(s, "  revision=%d complete=%t\n", list.Revision, list.Complete)
	for _, m := range list.Members {
		fmt.Fprintf(s, "  id=%q host_port=%q locality=%q flavor=%q cell=%d phase=%q size=%v up_since_ms=%d\n",
			m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Phase, m.Size, m.UpSince)
	}
	update, err := list.Update()
	if err != nil {
		fmt.Fprintf(s, "  error %v\n", err)
		return
	}
	fmt.Fprintf(s, "  scope %d\n", update.Scope)
	for _, e := range update.Endpoints {
		fmt.Fprintf(s, "  engine %q %q %q %q %q state %d since %d\n",
			e.Name, e.Address, e.Kind, e.Zone, e.Cell, e.State, e.Started.UnixMilli())
	}
}
