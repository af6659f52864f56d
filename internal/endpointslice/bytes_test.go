package endpointslice_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/golden"
	"brackenbend/routing"
)

const sliceJSON = `{"metadata":{"name":"s1","resourceVersion":"%d","labels":{"brackenbend.dev/kind":"decode",` +
	`"brackenbend.dev/cell":"c1"},"annotations":{"brackenbend.dev/started":"{\"pod-0\":\"2026-01-02T03:04:05Z\"}"}},` +
	`"addressType":"IPv4","endpoints":[{"addresses":["10.0.0.1"],"conditions":{"ready":true},"zone":"z1",` +
	`"targetRef":{"name":"pod-0","uid":"u0"}},{"addresses":["10.0.0.2"],"conditions":{"terminating":true}}],` +
	`"ports":[{"name":"other","port":1},{"name":"http","port":8000}]}`

// recordingServer answers one request per connection and records the heads of all requests. The last request gets no
// reply and its connection stays open, so that the watcher is stopped while it waits for a reply.
type recordingServer struct {
	listener net.Listener
	replies  []string
	requests strings.Builder // may be read once done is closed
	lastConn net.Conn        // likewise; nil = fewer requests were received
	done     chan struct{}   // closed when the server ends, usually after the request that gets no reply
}

func newRecordingServer(t *testing.T, replies ...string) *recordingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recordingServer{listener: listener, replies: replies, done: make(chan struct{})}
	t.Cleanup(func() {
		s.close()
		<-s.done
		if s.lastConn != nil {
			_ = s.lastConn.Close() // the watcher may already have closed it
		}
	})
	go func() {
		defer close(s.done)
		for n := 0; n <= len(s.replies); n++ {
			if !s.serveOne(n) {
				return
			}
		}
	}()
	return s
}

func (s *recordingServer) close() { _ = s.listener.Close() } // may already be closed

func (s *recordingServer) address() string { return s.listener.Addr().String() }

// serveOne records one request and sends reply n, if there is one. It reports whether the next connection is to be
// accepted.
func (s *recordingServer) serveOne(n int) bool {
	conn, err := s.listener.Accept()
	if err != nil {
		return false
	}
	last := n == len(s.replies)
	if last {
		s.lastConn = conn
	} else {
		defer func() { _ = conn.Close() }() // the watcher may already have closed it
	}
	head, reader := "", bufio.NewReader(conn)
	for !strings.HasSuffix(head, "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		head += line
	}
	fmt.Fprintf(&s.requests, "%q\n", strings.ReplaceAll(head, s.address(), "HOST:PORT"))
	if !last {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			len(s.replies[n]), s.replies[n])
	}
	return err == nil
}

// TestEndpointSliceRequestBytes compares the requests of a watcher with recorded ones: a list of two pages, watches,
// and a new list after status 410. It also compares the updates that the watcher delivers. Refactoring must not change
// the golden files.
func TestEndpointSliceRequestBytes(t *testing.T) {
	server := newRecordingServer(t,
		`{"metadata":{"continue":"page 2/+&"},"items":[`+fmt.Sprintf(sliceJSON, 7)+`]}`,
		`{"metadata":{"resourceVersion":"9"},"items":[]}`,
		`{"type":"MODIFIED","object":`+strings.Replace(fmt.Sprintf(sliceJSON, 11), "true}", "false}", 1)+"}\n"+
			`{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"12"}}}`+"\n",
		`{"type":"ERROR","object":{"code":410,"message":"too old"}}`+"\n",
		`{"metadata":{"resourceVersion":"20"},"items":[`+fmt.Sprintf(sliceJSON, 18)+`]}`,
	)
	dir := t.TempDir()
	tokenFile := filepath.Join(dir, "token")
	if err := os.WriteFile(tokenFile, []byte("abc.def\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var updates strings.Builder
	w := &endpointslice.Watcher{
		URL:          "http://" + server.address() + "/",
		Namespace:    "name space",
		Selector:     "app=engines,x in (a,b)",
		KindLabel:    "brackenbend.dev/kind",
		CellLabel:    "brackenbend.dev/cell",
		TokenFile:    tokenFile,
		CacheFile:    filepath.Join(dir, "list.json"),
		Client:       &http.Client{Transport: &http.Transport{}},
		UserAgent:    "brackenbend/test",
		Log:          func(string, error) {},
		OnUpdate:     func(u endpointslice.Update) { updates.WriteString(formatUpdate(u)) },
		MinBackoff:   time.Millisecond,
		MaxBackoff:   time.Millisecond,
		WatchTimeout: time.Minute,
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.Run(ctx)
	}()
	select {
	case <-server.done:
	case <-time.After(eventuallyTimeout):
		t.Errorf("not all requests arrived within %v", eventuallyTimeout)
		server.close()
		<-server.done
	}
	cancel()
	<-stopped
	golden.Check(t, "requests.txt", server.requests.String())
	golden.Check(t, "updates.txt", updates.String())
}

func formatUpdate(u endpointslice.Update) string {
	var s strings.Builder
	fmt.Fprintf(&s, "scope %d\n", u.Scope)
	for _, e := range u.Endpoints {
		started := "-"
		if !e.Started.IsZero() {
			started = e.Started.UTC().Format(time.RFC3339Nano)
		}
		fmt.Fprintf(&s, "  name=%q address=%q kind=%q zone=%q cell=%q uid=%q state=%d started=%s\n",
			e.Name, e.Address, e.Kind, e.Zone, e.Cell, e.UID, e.State, started)
	}
	return s.String()
}

// TestCacheFileFormat checks that the cache file is written byte for byte as recorded in testdata, and that a recorded
// file is read completely.
func TestCacheFileFormat(t *testing.T) {
	list := []endpointslice.Endpoint{
		{
			Name: "a", Address: "10.0.0.1:8000", Kind: "decode", Zone: "z1", Cell: "c1", UID: "u1",
			State:   routing.EndpointReady,
			Started: time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC),
		},
		{Name: "b", Address: "[::1]:1", Kind: "prefill", State: routing.EndpointDraining},
		{Name: "c", Address: "c:2", State: routing.EndpointGone},
	}
	file := filepath.Join(t.TempDir(), "list.json")
	if err := endpointslice.WriteCache(file, list); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "list.json", string(text))
	read, err := endpointslice.ReadCache(filepath.Join("testdata", "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, want := formatUpdate(endpointslice.Update{Endpoints: read}), formatUpdate(endpointslice.Update{Endpoints: list})
	if got != want {
		t.Errorf("read\n%s\nwant\n%s", got, want)
	}
	golden.Check(t, "list.read.txt", got)
}
