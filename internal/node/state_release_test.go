package node

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// decodeUntilCancel closes started when it is called, and waits until the node cancels the request.
func decodeUntilCancel(started chan struct{}) engineHandler {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		close(started)
		waitForCancel(e, w, r)
	}
}

// disconnectDuringDecode sends a request of an idempotent class and closes its connection after the decode has started.
func disconnectDuringDecode(t *testing.T, n *Node, started <-chan struct{}) {
	t.Helper()
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "enquiry"))
	<-started
	closeConn(c)
}

// TestStateIsReleasedThroughAnotherEngine checks that a read state is released through another engine if the prefill
// engine is unreachable when the client disconnects.
func TestStateIsReleasedThroughAnotherEngine(t *testing.T) {
	prefill := newPrefillEngine(t, replyPrefill)
	started := make(chan struct{})
	decode := newDecodeEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		closeConn(prefill.Listener)
		prefill.CloseClientConnections()
		decodeUntilCancel(started)(e, w, r)
	})
	n, _ := startNode(t, nodeOptions{}, prefill, decode)
	disconnectDuringDecode(t, n, started)
	decode.waitForRequest("DELETE aa01")
}

// barrier blocks requests until a certain number of them are open at the same time.
type barrier struct {
	mu           sync.Mutex
	openRequests int
	wantOpen     int
	full         chan struct{} // closed when wantOpen requests are open
	canceled     chan struct{} // receives one value per request that was canceled before that
}

// enter waits until the barrier is full or the request is canceled.
func (b *barrier) enter(r *http.Request) {
	b.mu.Lock()
	if b.openRequests++; b.openRequests == b.wantOpen {
		close(b.full)
	}
	b.mu.Unlock()
	select {
	case <-b.full:
	case <-r.Context().Done():
		b.mu.Lock()
		b.openRequests--
		b.mu.Unlock()
		b.canceled <- struct{}{}
	}
}

// TestReleaseIsNotDelayedByUnresponsiveEngines checks that releases are sent to further engines in parallel, not after
// the timeout of each, if the engine that holds the state and two others do not answer.
func TestReleaseIsNotDelayedByUnresponsiveEngines(t *testing.T) {
	b := &barrier{wantOpen: 4, full: make(chan struct{}), canceled: make(chan struct{}, 100)}
	started := make(chan struct{})
	engines := []*fakeEngine{newPrefillEngine(t, replyPrefill)}
	for _, id := range []string{"w1", "w2", "w3"} {
		engines = append(engines, newFakeEngine(t, id, "decode", decodeUntilCancel(started)))
	}
	for _, e := range engines {
		e.onRelease = b.enter
	}
	n, _ := startNode(t, nodeOptions{}, engines...)
	disconnectDuringDecode(t, n, started)
	select {
	case <-b.full:
	case <-b.canceled:
		t.Error("a release was canceled before releases were sent to all engines")
	}
}

// TestFailedReleaseIsRetried lets all engines fail releases for longer than one round of attempts. The release must be
// retried until an engine accepts it.
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
	n, _ := startNode(t, nodeOptions{replacements: []string{`"Release":1000000`, `"Release":100000`}}, engines...)
	disconnectDuringDecode(t, n, started)
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Error("the release was not retried")
	}
}

// TestReleaseArrivingBeforeDecodeEndsIsRepeated covers a client that disconnects during a decode. The release arrives
// before the decode engine has noticed that its connection was closed, and is ignored because a decode seems to need
// the state. The release must be sent once more.
func TestReleaseArrivingBeforeDecodeEndsIsRepeated(t *testing.T) {
	started, firstRelease, secondRelease := make(chan struct{}), make(chan struct{}), make(chan struct{})
	decode := newDecodeEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		decodeUntilCancel(started)(e, w, r)
		<-firstRelease // only now notices the canceled decode
	})
	prefill := newPrefillEngine(t, replyPrefill)
	closeFirst, closeSecond := sync.OnceFunc(func() { close(firstRelease) }),
		sync.OnceFunc(func() { close(secondRelease) })
	prefill.onRelease = func(*http.Request) {
		select {
		case <-firstRelease:
			closeSecond()
		default:
			closeFirst()
		}
	}
	n, _ := startNode(t, nodeOptions{}, prefill, decode)
	disconnectDuringDecode(t, n, started)
	<-firstRelease
	select {
	case <-secondRelease:
	case <-time.After(1300 * time.Millisecond): // the state TTL plus 0.3 s
		t.Error("no release arrived after the engine noticed the end of the decode")
	}
}

// TestPrefillOfUnknownOutcomeIsReleasedBeforeRequestWaits breaks the connection of a prefill that may have succeeded,
// while no other prefill engine is available for a retry. The read state that the prefill may have left must be
// released before the request waits. The request is served once an engine is available again.
func TestPrefillOfUnknownOutcomeIsReleasedBeforeRequestWaits(t *testing.T) {
	prefill, decode := newPrefillEngine(t, nil), newDecodeEngine(t, replyDecode)
	d := newFakeDiscovery(t, memberList(1, true, member(prefill, "Ready"), member(decode, "Ready")))
	attempts := 0
	prefill.handle = func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts > 1 {
			replyPrefill(e, w, r)
			return
		}
		d.updates <- memberList(2, false, member(prefill, "Terminating"))
		d.updates <- memberList(3, false) // answers a watch that was sent after the previous update was applied
		panic(http.ErrAbortHandler)
	}
	n, _ := startNode(t, nodeOptions{
		discovery: d.address(), replacements: []string{`"LocalRead":true`, `"LocalRead":false`},
	})
	d.updates <- memberList(1, false)
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "order"))
	prefill.waitForRequest("DELETE aa01")
	d.updates <- memberList(4, false, member(prefill, "Ready"))
	if resp, body, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(prefill.received(), want) {
		t.Errorf("the prefill engine got %q", prefill.received())
	}
}

// TestPrefillOfUnknownOutcomeIsReleasedBeforeRetry breaks the connection of a prefill that may have succeeded, and the
// request is retried at once. The retry may never arrive, so the read state that the first attempt may have left must
// be released before the retry is sent.
func TestPrefillOfUnknownOutcomeIsReleasedBeforeRetry(t *testing.T) {
	attempts := 0
	prefill := newPrefillEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts == 1 {
			panic(http.ErrAbortHandler)
		}
		replyPrefill(e, w, r)
	})
	n, _ := startNode(t, nodeOptions{}, prefill, newDecodeEngine(t, replyDecode))
	c := dialNode(t, n)
	c.send(t, chatRequest("aa01", "order"))
	if resp, body, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(prefill.received(), want) {
		t.Errorf("the prefill engine got %q", prefill.received())
	}
}

// TestRestartedEngineGetsNewConnection checks that idle connections to an engine are not used any more after its
// process was restarted with the same id and address, even though the connections do not appear to be broken.
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
	n, _ := startNode(t, nodeOptions{discovery: d.address()})
	d.updates <- memberList(1, false)
	c := dialNode(t, n)
	for i, id := range []string{"aa01", "aa02", "aa03"} {
		if i == 2 {
			restarted := strings.Replace(member(prefill, "Ready"), `"up_since_ms":0`, `"up_since_ms":1700000000123`, 1)
			d.updates <- memberList(2, false, restarted)
			d.updates <- memberList(2, false) // answers a watch that was sent after the previous update was applied
		}
		time.Sleep(2 * reuseDelay) // after which an idle connection may be used again
		c.send(t, chatRequest(id, "enquiry"))
		if resp, _, complete := c.receive(t); resp.StatusCode != http.StatusOK || !complete {
			t.Errorf("%s: %d", id, resp.StatusCode)
		}
	}
	if len(peers) != 2 {
		t.Errorf("the engine received requests on %d connections, want one before the restart and one after it", len(peers))
	}
}
