package node

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// decodeUntilCancel closes started with its first call, and waits for the node to cancel it.
func decodeUntilCancel(started chan struct{}) engineHandler {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		close(started)
		waitForCancel(e, w, r)
	}
}

// disconnectDuringDecode sends a request of an idempotent class and closes its connection once its decode has started.
func disconnectDuringDecode(t *testing.T, n *Node, started <-chan struct{}) {
	t.Helper()
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "enquiry"))
	<-started
	closeConn(c)
}

// TestStateIsReleasedAtAnotherEngine: the prefill engine can't be reached any more when the client disconnects; the
// read state is released at another engine.
func TestStateIsReleasedAtAnotherEngine(t *testing.T) {
	prefill := newPrefillEngine(t, replyPrefill)
	started := make(chan struct{})
	decode := newDecodeEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		closeConn(prefill.Listener)
		prefill.CloseClientConnections()
		decodeUntilCancel(started)(e, w, r)
	})
	n, _ := startNode(t, nodeSetup{}, prefill, decode)
	disconnectDuringDecode(t, n, started)
	decode.waitFor("DELETE aa01")
}

// barrier lets calls through once enough of them are open at one time.
type barrier struct {
	mu       sync.Mutex
	open     int
	want     int
	full     chan struct{} // closed once so many are open
	canceled chan struct{} // one for each that ended before
}

// enter waits for the others, or for the end of the call.
func (b *barrier) enter(r *http.Request) {
	b.mu.Lock()
	if b.open++; b.open == b.want {
		close(b.full)
	}
	b.mu.Unlock()
	select {
	case <-b.full:
	case <-r.Context().Done():
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		b.canceled <- struct{}{}
	}
}

// TestReleaseIsNotDelayedByLostEngines: the engine that holds a state and two others do not answer a release. The next
// one is called while the calls to them are still open, not after each one's timeout.
func TestReleaseIsNotDelayedByLostEngines(t *testing.T) {
	b := &barrier{want: 4, full: make(chan struct{}), canceled: make(chan struct{}, 100)}
	started := make(chan struct{})
	engines := []*fakeEngine{newPrefillEngine(t, replyPrefill)}
	for _, id := range []string{"w1", "w2", "w3"} {
		engines = append(engines, newFakeEngine(t, id, "decode", decodeUntilCancel(started)))
	}
	for _, e := range engines {
		e.onRelease = b.enter
	}
	n, _ := startNode(t, nodeSetup{}, engines...)
	disconnectDuringDecode(t, n, started)
	select {
	case <-b.full:
	case <-b.canceled:
		t.Error("a call was canceled before all were made")
	}
}

// TestFailedReleaseIsRetried: no engine accepts a release for some time, well beyond one round of calls. It is retried
// until one does.
func TestFailedReleaseIsRetried(t *testing.T) {
	var mu sync.Mutex
	failures, accepted, started := 20, make(chan struct{}), make(chan struct{})
	engines := []*fakeEngine{newPrefillEngine(t, replyPrefill), newDecodeEngine(t, decodeUntilCancel(started))}
	for _, e := range engines {
		e.onRelease = func(*http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if failures--; failures >= 0 {
				panic(http.ErrAbortHandler)
			}
			if failures == -1 {
				close(accepted)
			}
		}
	}
	n, _ := startNode(t, nodeSetup{replace: []string{`"Release":1000000`, `"Release":100000`}}, engines...)
	disconnectDuringDecode(t, n, started)
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Error("the release was not retried")
	}
}

// TestReleaseThatOvertakesCanceledDecodeIsRepeated: the client disconnects, and the release reaches its engine before
// the decode engine has seen that its connection was closed. The state, for which a decode seems to wait, stays. The
// release is sent once more.
func TestReleaseThatOvertakesCanceledDecodeIsRepeated(t *testing.T) {
	started, overtaken, released := make(chan struct{}), make(chan struct{}), make(chan struct{})
	decode := newDecodeEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		decodeUntilCancel(started)(e, w, r)
		<-overtaken // it notices only now
	})
	prefill := newPrefillEngine(t, replyPrefill)
	first, second := sync.OnceFunc(func() { close(overtaken) }), sync.OnceFunc(func() { close(released) })
	prefill.onRelease = func(*http.Request) {
		select {
		case <-overtaken:
			second()
		default:
			first()
		}
	}
	n, _ := startNode(t, nodeSetup{}, prefill, decode)
	disconnectDuringDecode(t, n, started)
	<-overtaken
	select {
	case <-released:
	case <-time.After(1300 * time.Millisecond): // the state's TTL and 0.3 s
		t.Error("no release came after the decode's end was noticed")
	}
}

// TestDoubtfulPrefillIsReleasedBeforeRequestWaits: a connection breaks under a prefill that may have ended well, and no
// prefill engine is left for a retry. The request waits, but what it may hold does not; it is served once an engine is
// back.
func TestDoubtfulPrefillIsReleasedBeforeRequestWaits(t *testing.T) {
	prefill, decode := newPrefillEngine(t, nil), newDecodeEngine(t, replyDecode)
	d := newFakeDiscovery(t, memberList(1, true, member(prefill, "Ready"), member(decode, "Ready")))
	attempts := 0
	prefill.handle = func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts > 1 {
			replyPrefill(e, w, r)
			return
		}
		d.updates <- memberList(2, false, member(prefill, "Terminating"))
		d.updates <- memberList(3, false) // the node has applied the one before
		panic(http.ErrAbortHandler)
	}
	n, _ := startNode(t, nodeSetup{
		discovery: d.address(), replace: []string{`"LocalRead":true`, `"LocalRead":false`},
	})
	d.updates <- memberList(1, false)
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "order"))
	prefill.waitFor("DELETE aa01")
	d.updates <- memberList(4, false, member(prefill, "Ready"))
	if resp, body, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(prefill.received(), want) {
		t.Errorf("the prefill engine got %q", prefill.received())
	}
}

// TestDoubtfulPrefillIsReleasedBeforeRetry: a connection breaks under a prefill that may have ended well, and the
// request is retried at once. The retry may never arrive, so what the first attempt left is released before it is sent.
func TestDoubtfulPrefillIsReleasedBeforeRetry(t *testing.T) {
	attempts := 0
	prefill := newPrefillEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts == 1 {
			panic(http.ErrAbortHandler)
		}
		replyPrefill(e, w, r)
	})
	n, _ := startNode(t, nodeSetup{}, prefill, newDecodeEngine(t, replyDecode))
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "order"))
	if resp, body, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(prefill.received(), want) {
		t.Errorf("the prefill engine got %q", prefill.received())
	}
}

// TestRestartedEngineGetsNewConnection: a process comes back under the same id and address; idle connections to the old
// one are not used, though nothing shows that they are dead.
func TestRestartedEngineGetsNewConnection(t *testing.T) {
	prefill, decode := newPrefillEngine(t, nil), newDecodeEngine(t, replyDecode)
	var mu sync.Mutex
	peers := map[string]bool{}
	prefill.handle = func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		peers[r.RemoteAddr] = true
		mu.Unlock()
		replyPrefill(e, w, r)
	}
	d := newFakeDiscovery(t, memberList(1, true, member(prefill, "Ready"), member(decode, "Ready")))
	n, _ := startNode(t, nodeSetup{discovery: d.address()})
	d.updates <- memberList(1, false)
	c := dialNode(t, n)
	for i, id := range []string{"aa01", "aa02", "aa03"} {
		if i == 2 {
			restarted := strings.Replace(member(prefill, "Ready"), `"up_since_ms":0`, `"up_since_ms":1700000000123`, 1)
			d.updates <- memberList(2, false, restarted)
			d.updates <- memberList(2, false) // the node has applied the one before
		}
		time.Sleep(2 * reuseDelay) // a connection may be used again then
		c.send(t, chatRequest(id, "enquiry"))
		if resp, _, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
			t.Errorf("%s: %d", id, resp.StatusCode)
		}
	}
	if len(peers) != 2 {
		t.Errorf("called on %d connections, want one before the restart and one after it", len(peers))
	}
}
