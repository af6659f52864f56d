package node

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// barrier lets calls through once enough of them are open at one time.
type barrier struct {
	mu      sync.Mutex
	open    int
	want    int
	full    chan struct{} // closed once so many are open
	givenUp chan struct{} // one for each that ended before
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
		b.givenUp <- struct{}{}
	}
}

// TestLostEnginesDoNotHoldUpARelease: the reader that holds a state and two other engines do not answer a release. The next one is
// asked while the calls to them are still open, not after each one's time-out.
func TestLostEnginesDoNotHoldUpARelease(t *testing.T) {
	b := &barrier{want: 4, full: make(chan struct{}), givenUp: make(chan struct{}, 100)}
	begun := make(chan struct{})
	engines := []*stub{newStub(t, "r1", "prefill", reads)}
	for _, id := range []string{"w1", "w2", "w3"} {
		engines = append(engines, newStub(t, id, "decode", func(_ *stub, _ http.ResponseWriter, q *http.Request) {
			close(begun)
			<-q.Context().Done()
		}))
	}
	for _, e := range engines {
		e.released = b.enter
	}
	n, _ := start(t, setup{}, engines...)
	c := dial(t, n)
	c.send(t, message("aa01", "enquiry"))
	<-begun
	c.Close()
	select {
	case <-b.full:
	case <-b.givenUp:
		t.Error("a call was given up before all were made")
	}
}

// TestAReleaseThatFailedIsGivenAgain: no engine takes a release for some time, well beyond one round of calls. It is given again until
// one does.
func TestAReleaseThatFailedIsGivenAgain(t *testing.T) {
	var mu sync.Mutex
	failing, taken, begun := 20, make(chan struct{}), make(chan struct{})
	engines := []*stub{newStub(t, "r1", "prefill", reads), newStub(t, "w1", "decode", func(_ *stub, _ http.ResponseWriter, q *http.Request) {
		close(begun)
		<-q.Context().Done()
	})}
	for _, e := range engines {
		e.released = func(*http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if failing--; failing >= 0 {
				panic(http.ErrAbortHandler)
			}
			if failing == -1 {
				close(taken)
			}
		}
	}
	n, _ := start(t, setup{change: []string{`"Release":1000000`, `"Release":100000`}}, engines...)
	c := dial(t, n)
	c.send(t, message("aa01", "enquiry"))
	<-begun
	c.Close()
	select {
	case <-taken:
	case <-time.After(10 * time.Second):
		t.Error("the release was not given again")
	}
}

// TestAReleaseThatOvertakesAGivenUpWrite: the client leaves, and the release reaches its engine before the writer has seen that its
// connection was closed. The state, for which a write seems to wait, stays. The release is given once more.
func TestAReleaseThatOvertakesAGivenUpWrite(t *testing.T) {
	begun, overtaken, released := make(chan struct{}), make(chan struct{}), make(chan struct{})
	w := newStub(t, "w1", "decode", func(_ *stub, _ http.ResponseWriter, q *http.Request) {
		close(begun)
		<-q.Context().Done()
		<-overtaken // it looks only now
	})
	r := newStub(t, "r1", "prefill", reads)
	first, second := sync.OnceFunc(func() { close(overtaken) }), sync.OnceFunc(func() { close(released) })
	r.released = func(*http.Request) {
		select {
		case <-overtaken:
			second()
		default:
			first()
		}
	}
	n, _ := start(t, setup{}, r, w)
	c := dial(t, n)
	c.send(t, message("aa01", "enquiry"))
	<-begun
	c.Close()
	<-overtaken
	select {
	case <-released:
	case <-time.After(1300 * time.Millisecond): // the release time and 0.3 s
		t.Error("no release came after the write's end was seen")
	}
}

// TestAnUnclearReadIsReleasedBeforeItsRequestWaits: a connection breaks under a read that may have ended well, and no reader is left
// for another. The request waits, but what it may hold does not; it is served once a reader is back.
func TestAnUnclearReadIsReleasedBeforeItsRequestWaits(t *testing.T) {
	r, w := newStub(t, "r1", "prefill", nil), newStub(t, "w1", "decode", writes)
	d := newRegister(t, list(1, true, member(r, "Ready"), member(w, "Ready")))
	tries := 0
	r.answer = func(s *stub, rw http.ResponseWriter, q *http.Request) {
		if tries++; tries > 1 {
			reads(s, rw, q)
			return
		}
		d.news <- list(2, false, member(r, "Terminating"))
		d.news <- list(3, false) // the node has taken the one before
		panic(http.ErrAbortHandler)
	}
	n, _ := start(t, setup{discovery: d.Listener.Addr().String(), change: []string{`"LocalRead":true`, `"LocalRead":false`}})
	d.news <- list(1, false)
	c := dial(t, n)
	c.send(t, message("aa01", "order"))
	r.await("DELETE aa01")
	d.news <- list(4, false, member(r, "Ready"))
	if resp, text, whole := c.answer(t); resp.StatusCode != 200 || !whole {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(r.saw(), want) {
		t.Errorf("the reader saw %q", r.saw())
	}
}

// TestAnUnclearReadIsReleasedBeforeTheNextOne: a connection breaks under a read that may have ended well, and the request is read again
// at once. The second read may never arrive, so what the first one left is released before it is sent.
func TestAnUnclearReadIsReleasedBeforeTheNextOne(t *testing.T) {
	w := newStub(t, "w1", "decode", writes)
	tries := 0
	r := newStub(t, "r1", "prefill", func(s *stub, rw http.ResponseWriter, q *http.Request) {
		if tries++; tries == 1 {
			panic(http.ErrAbortHandler)
		}
		reads(s, rw, q)
	})
	n, _ := start(t, setup{}, r, w)
	c := dial(t, n)
	c.send(t, message("aa01", "order"))
	if resp, text, whole := c.answer(t); resp.StatusCode != 200 || !whole {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
	if want := []string{"POST aa01", "DELETE aa01", "POST aa01"}; !slices.Equal(r.saw(), want) {
		t.Errorf("the reader saw %q", r.saw())
	}
}

// TestARestartedEngineIsAskedOnANewConnection: a process comes back under the same id and address; what was kept towards the old one
// is not used, though nothing shows that it is of no use.
func TestARestartedEngineIsAskedOnANewConnection(t *testing.T) {
	r, w := newStub(t, "r1", "prefill", nil), newStub(t, "w1", "decode", writes)
	var mu sync.Mutex
	peers := map[string]bool{}
	r.answer = func(s *stub, rw http.ResponseWriter, q *http.Request) {
		mu.Lock()
		peers[q.RemoteAddr] = true
		mu.Unlock()
		reads(s, rw, q)
	}
	d := newRegister(t, list(1, true, member(r, "Ready"), member(w, "Ready")))
	n, _ := start(t, setup{discovery: d.Listener.Addr().String()})
	d.news <- list(1, false)
	c := dial(t, n)
	for i, id := range []string{"aa01", "aa02", "aa03"} {
		if i == 2 {
			d.news <- list(2, false, strings.Replace(member(r, "Ready"), `"up_since_ms":0`, `"up_since_ms":1700000000123`, 1))
			d.news <- list(2, false) // the node has taken the one before
		}
		time.Sleep(2 * reuseDelay) // a connection may be used again then
		c.send(t, message(id, "enquiry"))
		if resp, _, whole := c.answer(t); resp.StatusCode != 200 || !whole {
			t.Errorf("%s: %d", id, resp.StatusCode)
		}
	}
	if len(peers) != 2 {
		t.Errorf("asked on %d connections, want one before the restart and one after it", len(peers))
	}
}
