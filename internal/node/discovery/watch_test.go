package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

// runWatcher runs a watcher. The returned function stops it and waits for it to end.
func runWatcher(t *testing.T, w *Watcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestInvalidReplyIsFollowedByCompleteList checks that an invalid list is logged and not delivered, and that the
// complete list is requested next. It also checks that a watch starts at the revision of the last reply, and that a
// reply without changes delivers no update.
func TestInvalidReplyIsFollowedByCompleteList(t *testing.T) {
	draining := strings.Replace(memberJSON, "Ready", "Terminating", 1)
	invalid := strings.Replace(memberJSON, "Ready", "Dozing", 1)
	replies := []struct{ query, text string }{
		{"", `{"revision":41,"complete":true,"members":[` + memberJSON + `]}`},
		{"from=41&hold_ms=5000", `{"revision":41,"complete":false,"members":[]}`},
		{"from=41&hold_ms=5000", `{"revision":43,"complete":false,"members":[` + draining + `]}`},
		{"from=43&hold_ms=5000", `{"revision":44,"complete":false,"members":[` + invalid + `]}`},
		{"", `{"revision":45,"complete":true,"members":[]}`},
	}
	queries, serverDone, nextReply := make(chan string, 100), make(chan struct{}), 0
	handler := func(w http.ResponseWriter, r *http.Request) { // requests are sequential
		queries <- r.URL.RawQuery
		if nextReply == len(replies) {
			<-serverDone
			return
		}
		_, _ = fmt.Fprint(w, replies[nextReply].text) // after a failed write, the next expected query does not arrive
		nextReply++
	}
	srv := httptest.NewServer(http.HandlerFunc(handler))
	defer srv.Close()
	defer close(serverDone)
	updates, logs := make(chan endpointslice.Update, 100), make(chan string, 100)
	w := &Watcher{
		OnUpdate:         func(u endpointslice.Update) { updates <- u },
		Log:              func(_ string, err error) { logs <- err.Error() },
		WatchTimeout:     5 * time.Second,
		ConnectTimeout:   time.Minute,
		FirstByteTimeout: time.Minute,
		ResponseTimeout:  10 * time.Second,
		MaxBackoff:       time.Millisecond,
		MaxListBytes:     1 << 20,
	}
	w.SetAddress(srv.Listener.Addr().String())
	stop := runWatcher(t, w)
	for i, reply := range replies {
		if query := <-queries; query != reply.query {
			t.Errorf("request %d has the query %q, want %q", i, query, reply.query)
		}
	}
	for i, want := range []struct {
		scope     routing.ListScope
		endpoints int
		state     routing.EndpointState
	}{
		{routing.ListFull, 1, routing.EndpointReady},
		{routing.ListChanges, 1, routing.EndpointDraining},
		{routing.ListFull, 0, 0},
	} {
		u := <-updates
		if u.Scope != want.scope || len(u.Endpoints) != want.endpoints {
			t.Errorf("update %d: %+v", i, u)
		} else if want.endpoints > 0 && u.Endpoints[0].State != want.state {
			t.Errorf("update %d: %+v", i, u)
		}
	}
	if text := <-logs; !strings.Contains(text, "Dozing") {
		t.Errorf("logged %q", text)
	}
	stop()
	if len(updates) > 0 || len(logs) > 0 {
		t.Errorf("%d more updates, %d more log lines", len(updates), len(logs))
	}
}

// TestWatchThatDoesNotWaitIsPaced guards against a node that is kept busy by an agent that answers each watch at once,
// without anything new.
func TestWatchThatDoesNotWaitIsPaced(t *testing.T) {
	queries := make(chan string, 1000)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			_, _ = fmt.Fprint(w, listJSON(2, 41))
			return
		}
		_, _ = fmt.Fprint(w, `{"revision":41,"complete":false,"members":[]}`)
	}))
	defer srv.Close()
	w := &Watcher{
		OnUpdate: func(endpointslice.Update) {}, Log: func(string, error) {},
		WatchTimeout: time.Minute, ConnectTimeout: time.Minute, FirstByteTimeout: time.Minute, ResponseTimeout: time.Minute,
		MaxBackoff: time.Millisecond, MaxListBytes: 1 << 20,
	}
	w.SetAddress(srv.Listener.Addr().String())
	start := time.Now()
	defer runWatcher(t, w)()
	const watches = 3
	for range 1 + watches {
		<-queries
	}
	if took, shortest := time.Since(start), (watches-1)*emptyWatchPause; took < shortest {
		t.Errorf("%d watches in %v, less than %v", watches, took, shortest)
	}
}

// TestFailedRequestIsFollowedByCompleteList checks that after each kind of failure the complete list is requested on a
// new connection, since changes may have been lost. Replies that are unusual but valid must not be treated as failures.
func TestFailedRequestIsFollowedByCompleteList(t *testing.T) {
	const list, watch41, watch42, watch43, watch4 = "+", "from=41", "from=42", "from=43", "from=4"
	indented := strings.NewReplacer(",", ",\n    ", "[", "[\n  ", "{", "{\n\t").Replace(listJSON(2, 41))
	for _, tc := range []struct {
		name      string
		steps     []func(net.Conn)
		want      []string
		endpoints int // in the last update
	}{
		{
			"no reply to the first request",
			[]func(net.Conn){noReply, replyWith(listJSON(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"no reply to a watch",
			[]func(net.Conn){replyWith(listJSON(1, 41)), noReply, replyWith(listJSON(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"reply with half of the list",
			[]func(net.Conn){replyWithHalf(listJSON(9, 41)), replyWith(listJSON(2, 42))},
			[]string{list, list, watch42},
			2,
		},
		{
			"reply with half of the changes",
			[]func(net.Conn){replyWith(listJSON(1, 41)), replyWithHalf(listJSON(9, 42)), replyWith(listJSON(2, 43))},
			[]string{list, watch41, list, watch43},
			2,
		},
		{
			"connection closed without a reply",
			[]func(net.Conn){closeConn, replyWith(listJSON(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"connection reset during a watch",
			[]func(net.Conn){replyWith(listJSON(1, 41)), resetConn, replyWith(listJSON(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"reply that is not JSON",
			[]func(net.Conn){replyWith("not JSON"), replyWith(listJSON(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"hundreds of members in small chunks",
			[]func(net.Conn){replyInChunks(listJSON(400, 41)), replyWith(listJSON(2, 42))},
			[]string{list, watch41, watch42},
			2,
		},
		{
			"changes in place of the complete list",
			[]func(net.Conn){replyWith(changesJSON(1, 42)), replyWith(listJSON(2, 43))},
			[]string{list, list, watch43},
			2,
		},
		{
			"changes with an older revision",
			[]func(net.Conn){replyWith(listJSON(1, 41)), replyWith(changesJSON(9, 40)), replyWith(listJSON(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"one complete list with an older revision",
			[]func(net.Conn){
				replyWith(listJSON(2, 41)), closeConn, replyWith(listJSON(9, 40)), replyWith(listJSON(2, 42)),
			},
			[]string{list, watch41, list, list, watch42},
			2,
		},
		{
			"revisions were reset",
			[]func(net.Conn){replyWith(listJSON(2, 41)), closeConn, replyWith(listJSON(9, 3)), replyWith(listJSON(3, 4))},
			[]string{list, watch41, list, list, watch4},
			3,
		},
		{
			"an indented complete list",
			[]func(net.Conn){replyWith(listJSON(1, 40)), replyInChunks(indented)},
			[]string{list, "from=40", watch41},
			2,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newStubServer(t, tc.steps...)
			endpoints := make(chan int, 100)
			// The timeouts are short in the cases that wait for them, but long enough for a complete list in chunks.
			w := &Watcher{
				OnUpdate:         func(u endpointslice.Update) { endpoints <- len(u.Endpoints) },
				Log:              func(string, error) {},
				WatchTimeout:     10 * time.Millisecond,
				ConnectTimeout:   time.Minute,
				FirstByteTimeout: time.Minute,
				ResponseTimeout:  time.Minute,
				MaxBackoff:       time.Millisecond,
				MaxListBytes:     1 << 20,
			}
			if slices.Contains(tc.want[1:], list) {
				w.FirstByteTimeout, w.ResponseTimeout = 200*time.Millisecond, 500*time.Millisecond
			}
			w.SetAddress(s.listener.Addr().String())
			stop := runWatcher(t, w)
			for i, want := range tc.want {
				got, _, _ := strings.Cut(<-s.requests, "&")
				if got != want {
					t.Errorf("request %d has the query %q, want %q", i, got, want)
				}
			}
			stop()
			lastCount := 0
			for len(endpoints) > 0 {
				lastCount = <-endpoints
			}
			if lastCount != tc.endpoints {
				t.Errorf("the last update had %d endpoints, want %d", lastCount, tc.endpoints)
			}
		})
	}
}

// hangingDial returns a dial function that reports the addresses it is called with and never connects.
func hangingDial(dials chan<- string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dials <- address
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// TestConnectTimeoutIsFollowedByAnotherAttempt checks that another connection attempt is made after a timeout and a
// backoff.
func TestConnectTimeoutIsFollowedByAnotherAttempt(t *testing.T) {
	dials := make(chan string, 10)
	w := &Watcher{
		OnUpdate:         func(endpointslice.Update) {},
		Log:              func(string, error) {},
		ConnectTimeout:   time.Millisecond,
		FirstByteTimeout: time.Hour,
		MaxBackoff:       time.Millisecond,
		dial:             hangingDial(dials),
	}
	w.SetAddress("a:1")
	stop := runWatcher(t, w)
	for range 3 {
		if address := <-dials; address != "a:1" {
			t.Fatal(address)
		}
	}
	stop()
}

// TestSetAddressTakesEffectAtOnce checks that a new address is used without waiting for a connection attempt or a
// backoff to end.
func TestSetAddressTakesEffectAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		connectTimeout, maxBackoff time.Duration
	}{
		{"while connecting", time.Hour, time.Hour},
		{"during a backoff", time.Millisecond, time.Hour},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dials, failures := make(chan string, 10), make(chan struct{}, 10)
			w := &Watcher{
				OnUpdate:         func(endpointslice.Update) {},
				Log:              func(string, error) { failures <- struct{}{} },
				ConnectTimeout:   tc.connectTimeout,
				FirstByteTimeout: time.Hour,
				MaxBackoff:       tc.maxBackoff,
				dial:             hangingDial(dials),
			}
			w.SetAddress("a:1")
			stop := runWatcher(t, w)
			<-dials
			if tc.connectTimeout < time.Hour {
				<-failures
			}
			w.SetAddress("b:1")
			if address := <-dials; address != "b:1" {
				t.Errorf("connected to %s", address)
			}
			stop()
		})
	}
}

// TestBackoffIsSpreadOut checks that 300 nodes that lose one discovery agent do not reconnect at the same time, and
// that none waits longer than MaxBackoff.
func TestBackoffIsSpreadOut(t *testing.T) {
	w := &Watcher{MaxBackoff: 250 * time.Millisecond}
	tenths := map[time.Duration]int{}
	for seed := range uint64(300) {
		backoff := w.backoff(rand.New(rand.NewPCG(seed, 1)))
		if backoff < w.MaxBackoff/2 || backoff > w.MaxBackoff {
			t.Fatalf("seed %d: %v", seed, backoff)
		}
		tenths[(backoff-w.MaxBackoff/2)*10/(w.MaxBackoff/2+1)]++
	}
	for tenth, n := range tenths {
		if n > 60 {
			t.Errorf("%d of 300 backoffs lie in tenth %d of their range", n, tenth)
		}
	}
	if len(tenths) != 10 {
		t.Errorf("backoffs lie in %d tenths of their range, want 10", len(tenths))
	}
}

// TestSlowReplyToFirstRequestIsUsed replies to the first request only after the second one was sent, and never to the
// second. The reply must be used.
func TestSlowReplyToFirstRequestIsUsed(t *testing.T) {
	secondRequest := make(chan struct{})
	slowReply := func(conn net.Conn) {
		<-secondRequest
		replyWith(listJSON(2, 41))(conn)
	}
	s := newStubServer(t, slowReply, func(net.Conn) { close(secondRequest) })
	endpoints := make(chan int, 10)
	w := &Watcher{
		OnUpdate:         func(u endpointslice.Update) { endpoints <- len(u.Endpoints) },
		Log:              func(string, error) {},
		WatchTimeout:     time.Hour,
		ConnectTimeout:   time.Minute,
		FirstByteTimeout: 500 * time.Millisecond,
		ResponseTimeout:  time.Minute,
		MaxBackoff:       time.Millisecond,
		MaxListBytes:     1 << 20,
	}
	w.SetAddress(s.listener.Addr().String())
	stop := runWatcher(t, w)
	if n := <-endpoints; n != 2 {
		t.Errorf("%d endpoints, want 2", n)
	}
	stop()
}
