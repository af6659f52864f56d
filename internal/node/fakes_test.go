package node

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/http1"
)

// engineHandler handles a prefill or a decode.
type engineHandler func(e *fakeEngine, w http.ResponseWriter, r *http.Request)

// fakeEngine is an engine of the platform whose replies are set by the test.
type fakeEngine struct {
	*httptest.Server
	id, flavor      string
	mu              sync.Mutex
	requests        []string      // method and request id, in order
	requestReceived chan struct{} // receives one value per request
	handle          engineHandler
	onRelease       func(r *http.Request) // called before a release is answered; may be nil
}

func newFakeEngine(t *testing.T, id, flavor string, handle engineHandler) *fakeEngine {
	t.Helper()
	e := &fakeEngine{id: id, flavor: flavor, handle: handle, requestReceived: make(chan struct{}, 1000)}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serveHTTP))
	t.Cleanup(e.Close)
	return e
}

func newPrefillEngine(t *testing.T, handle engineHandler) *fakeEngine {
	t.Helper()
	return newFakeEngine(t, "r1", "prefill", handle)
}

func newDecodeEngine(t *testing.T, handle engineHandler) *fakeEngine {
	t.Helper()
	return newFakeEngine(t, "w1", "decode", handle)
}

func (e *fakeEngine) serveHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a truncated body is reported as another body below
	release := r.Method == http.MethodDelete
	id := r.Header.Get("Req-Id")
	if release {
		id = strings.TrimPrefix(r.URL.Path, "/state/")
	} else if string(body) != chatBody {
		id += " with another body"
	}
	e.mu.Lock()
	e.requests = append(e.requests, r.Method+" "+id)
	e.mu.Unlock()
	e.requestReceived <- struct{}{}
	if !release {
		e.handle(e, w, r)
		return
	}
	if e.onRelease != nil {
		e.onRelease(r)
	}
	w.WriteHeader(http.StatusNoContent)
}

// received returns all requests so far.
func (e *fakeEngine) received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests)
}

// waitForRequest waits until the engine has received a request.
func (e *fakeEngine) waitForRequest(request string) {
	for !slices.Contains(e.received(), request) {
		<-e.requestReceived
	}
}

// write writes a part of a reply. The error is ignored: after a failed write, the client receives an incomplete reply.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }

// replyPrefill answers a prefill successfully.
func replyPrefill(_ *fakeEngine, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	write(w, `{"cached_tokens":7}`)
}

// streamEvents are the events of a complete stream.
var streamEvents = []string{
	`data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":null}]}` + "\n\n",
	`data: {"choices":[{"index":0,"delta":{"content":"vh"},"finish_reason":"stop"}]}` + "\n\n",
	`data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}` +
		"\n\n",
	": Srv-Load: TEXT inflight=7, queue=2, util=0.61\n\n",
	"data: [DONE]\n\n",
}

// completeStream is the text of a complete stream.
var completeStream = strings.Join(streamEvents, "")

// replyDecode answers a decode with a complete stream.
func replyDecode(_ *fakeEngine, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range streamEvents {
		write(w, event)
		flush(w)
	}
}

// replyRaw answers with the given bytes and leaves the connection open until the node closes it.
func replyRaw(reply string) engineHandler {
	return func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer closeConn(conn)
		write(conn, reply)
		_, _ = io.Copy(io.Discard, conn) // until the node closes
	}
}

// waitForCancel sends no reply and waits until the node cancels the request.
func waitForCancel(_ *fakeEngine, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// replyPrefillAfter answers a prefill after released is closed.
func replyPrefillAfter(released <-chan struct{}) engineHandler {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		<-released
		replyPrefill(e, w, r)
	}
}

// chunk encodes text as one chunk of a chunked body.
func chunk(text string) string { return string(http1.AppendChunk(nil, []byte(text))) }

// member returns the entry of an engine in a discovery list.
func member(e *fakeEngine, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":%q,`+
		`"size":1.0,"up_since_ms":0}`, e.id, e.Listener.Addr().String(), e.flavor, phase)
}

// memberList returns a reply of the discovery agent.
func memberList(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// fakeDiscovery is a discovery agent that answers requests for the list at once and holds watches until the test sends
// an update.
type fakeDiscovery struct {
	*httptest.Server
	updates      chan string
	listRequests chan struct{} // receives one value per request for the list
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{updates: make(chan string), listRequests: make(chan struct{}, 100)}
	quit := make(chan struct{})
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			d.listRequests <- struct{}{}
			write(w, list)
			return
		}
		select {
		case update := <-d.updates:
			write(w, update)
		case <-r.Context().Done():
		case <-quit:
		}
	}))
	t.Cleanup(func() {
		close(quit)
		d.Close()
	})
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

const settingsTemplate = `{"Balancers":2,
"Caps":{"AttemptsCap":4,"Cancel":true,"ConnIdle":30000000,"DialTimeout":250000,"MaxOpen":20000,
	"MaxRetryAfter":1000000,"RetryAfter":true,"SecondCopies":true},
"Classes":[
	{"Deadline":DEADLINE,"Group":"all","Importance":1,"LateWorth":0.3,"Name":"enquiry","Promise":1000000,"Repeat":"free",
		"Stream":true},
	{"Deadline":DEADLINE,"Group":"all","Importance":2,"LateWorth":0.3,"Name":"order","Promise":3000000,
		"Repeat":"single_shot","Stream":true}],
"FamilyInfo":{"KindRole":["read","write"],"KvTokens":[200000,200000],"LocalRead":true,"Release":1000000},
"Kinds":["prefill","decode"],
"Invariants":{"Cold":14000000,"ColdFrom":0.25,"OverloadFactor":4,"StopSendingWithin":250000,"TipAfter":1500000},
"Report":{"Fields":["load_share","depth"],"How":"inline"},
"Tenants":[{"Name":"acme","QuotaPerS":1000,"Share":1}],"WorthBy":"work"}`

// settingsWith returns the settings with the given deadline for all classes.
func settingsWith(deadline time.Duration) string {
	return strings.ReplaceAll(settingsTemplate, "DEADLINE", fmt.Sprint(deadline.Microseconds()))
}

// nodeOptions holds the values in which the configurations of tests differ.
type nodeOptions struct {
	cachedList, discovery string
	sockets               int
	deadline              time.Duration // of all classes; it determines the drain windows; 0 = 1 s
	replacements          []string      // pairs of an old and a new text, replaced in the settings
}

// writeConfig writes a configuration file.
func (s nodeOptions) writeConfig(t *testing.T, file string) {
	t.Helper()
	settings := settingsWith(cmp.Or(s.deadline, time.Second))
	settings = strings.NewReplacer(s.replacements...).Replace(settings)
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`,
		s.discovery, cmp.Or(s.sockets, 256), cmp.Or(s.cachedList, "null"), settings)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// noEnv is an environment without variables.
func noEnv(string) string { return "" }

// startNode starts a node and returns it with the path of its configuration file. The engines, if any, form its cached
// list. Without an address of a discovery agent, the node uses one that accepts connections and never replies.
func startNode(t *testing.T, s nodeOptions, engines ...*fakeEngine) (*Node, string) {
	t.Helper()
	if len(engines) > 0 {
		var members []string
		for _, e := range engines {
			members = append(members, member(e, "Ready"))
		}
		s.cachedList = memberList(1, true, members...)
	}
	if s.discovery == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeConn(listener) })
		s.discovery = listener.Addr().String()
	}
	file := filepath.Join(t.TempDir(), "config.json")
	s.writeConfig(t, file)
	n, err := Start(file, noEnv, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	for !isReady(t, n) && s.cachedList != "null" && s.cachedList != "" {
	}
	http.DefaultClient.CloseIdleConnections()
	return n, file
}

// isReady performs one health check.
func isReady(t *testing.T, n *Node) bool {
	t.Helper()
	resp, err := http.Get("http://" + n.Addr() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	closeConn(resp.Body)
	return resp.StatusCode == http.StatusOK
}

const chatBody = `{"model":"chat","stream":true,"max_tokens":8}`

// chatRequest returns a request as clients send it. replace holds pairs of an old and a new text that are replaced in
// its head.
func chatRequest(id, class string, replace ...string) string {
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\n"+
		"Req-Owner: acme\r\nReq-Key: 7f\r\nReq-Deadline-Ms: 4800\r\nReq-Extra: prompt_len=20,max_out=8\r\n"+
		"Content-Length: %d\r\n\r\n", id, class, len(chatBody))
	return strings.NewReplacer(replace...).Replace(head) + chatBody
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialNode(t *testing.T, n *Node) *clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return &clientConn{conn, bufio.NewReader(conn)}
}

func (c *clientConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response. complete reports whether its body is complete.
func (c *clientConn) receive(t *testing.T) (resp *http.Response, body string, complete bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err == nil
}

// expectStream reads one response, which must be a complete stream. request names the request in the failure message.
func (c *clientConn) expectStream(t *testing.T, request string) {
	t.Helper()
	resp, body, complete := c.receive(t)
	if resp.StatusCode != http.StatusOK || body != completeStream || !complete {
		t.Errorf("%s: status %d, complete %v: %q", request, resp.StatusCode, complete, body)
	}
}

// closeConn closes a connection or listener. It may already be closed, or broken by the test.
func closeConn(c io.Closer) { _ = c.Close() }
