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

// recordTimeout bounds an exchange that is compared with what was recorded.
const recordTimeout = 20 * time.Second

// recordedReply is one reply of a recordingServer; a header closes its connection.
type recordedReply struct{ header, list string }

// recordingServer records connections and the heads of all requests.
type recordingServer struct {
	listener net.Listener
	replies  []recordedReply
	replied  int
	requests strings.Builder // to be read when done is closed
	done     chan struct{}   // closed after one request more than there are replies
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

func (s *recordingServer) close() { _ = s.listener.Close() } // it may be closed already

// serve answers requests on one connection; last reports that there are no more replies.
func (s *recordingServer) serve(conn net.Conn) (last bool) {
	reader := bufio.NewReader(conn)
	for {
		head := readHead(reader)
		if head == "" {
			return false
		}
		fmt.Fprintf(&s.requests, "%q\n", strings.ReplaceAll(head, s.listener.Addr().String(), "HOST:PORT"))
		if s.replied == len(s.replies) {
			return true
		}
		reply := s.replies[s.replied]
		s.replied++
		send(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", reply.header, len(reply.list), reply.list)
		if reply.header != "" {
			return false
		}
	}
}

// readHead reads a request's head, as far as it comes.
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

// TestDiscoveryRequestBytes records every byte that a watcher writes: the list, watches after it, and the list on a new
// connection after a reply that closes. The golden file was recorded before the code was renamed and is not updated
// meanwhile.
func TestDiscoveryRequestBytes(t *testing.T) {
	server := newRecordingServer(t,
		recordedReply{"", `{"revision":41,"complete":true,"members":[` + member1 + `]}`},
		recordedReply{"", `{"revision":41,"complete":false,"members":[]}`},
		recordedReply{"", `{"revision":9007199254740993,"complete":false,"members":[` + member1 + `]}`},
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
	case <-time.After(recordTimeout):
		t.Errorf("not all requests came within %v", recordTimeout)
		server.close()
	}
	stop()
	<-server.done
	golden.Check(t, "requests.txt", server.requests.String())
}

// TestDiscoveryListParsing: what is read of a reply, by the reply's own keys.
func TestDiscoveryListParsing(t *testing.T) {
	var got strings.Builder
	for _, text := range []string{
		`{"revision":41,"complete":true,"members":[` + member1 + `,{"id":"s-2","phase":"Gone"},` +
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

// writeList writes what is read of a list and what it is converted to.
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
