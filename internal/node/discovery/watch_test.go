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

// runWatcher runs a watcher; the function returned ends it and waits for its end.
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

// TestWatchContinuesAfterUnreadableList: a list that can't be read changes nothing, is logged, and the complete list is
// requested again; changes are requested from where the last reply ended; a reply without a change delivers nothing.
func TestWatchContinuesAfterUnreadableList(t *testing.T) {
	draining := strings.Replace(member1, "Ready", "Terminating", 1)
	unreadable := strings.Replace(member1, "Ready", "Dozing", 1)
	replies := []struct{ query, text string }{
		{"", `{"revision":41,"complete":true,"members":[` + member1 + `]}`},
		{"from=41&hold_ms=5000", `{"revision":41,"complete":false,"members":[]}`},
		{"from=41&hold_ms=5000", `{"revision":43,"complete":false,"members":[` + draining + `]}`},
		{"from=43&hold_ms=5000", `{"revision":44,"complete":false,"members":[` + unreadable + `]}`},
		{"", `{"revision":45,"complete":true,"members":[]}`},
	}
	queries, quit, next := make(chan string, 100), make(chan struct{}), 0
	handler := func(w http.ResponseWriter, r *http.Request) { // one call at a time
		queries <- r.URL.RawQuery
		if next == len(replies) {
			<-quit
			return
		}
		_, _ = fmt.Fprint(w, replies[next].text) // a failure shows as a query that does not come
		next++
	}
	srv := httptest.NewServer(http.HandlerFunc(handler))
	defer srv.Close()
	defer close(quit)
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
			t.Errorf("call %d requested %q, want %q", i, query, reply.query)
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

// TestFailedCallsAreRepeated: whatever becomes of a call, the next one comes, on a new connection and for the complete
// list, since changes may have been lost.
func TestFailedCallsAreRepeated(t *testing.T) {
	const list, watch41, watch42, watch43, watch4 = "+", "from=41", "from=42", "from=43", "from=4"
	indented := strings.NewReplacer(",", ",\n    ", "[", "[\n  ", "{", "{\n\t").Replace(listOf(2, 41))
	for _, tc := range []struct {
		name      string
		steps     []func(net.Conn)
		want      []string
		endpoints int // in the last list
	}{
		{
			"silent from the start",
			[]func(net.Conn){silent, replyWith(listOf(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"a silent watch",
			[]func(net.Conn){replyWith(listOf(1, 41)), silent, replyWith(listOf(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"half a list",
			[]func(net.Conn){replyWithHalf(listOf(9, 41)), replyWith(listOf(2, 42))},
			[]string{list, list, watch42},
			2,
		},
		{
			"half of the changes",
			[]func(net.Conn){replyWith(listOf(1, 41)), replyWithHalf(listOf(9, 42)), replyWith(listOf(2, 43))},
			[]string{list, watch41, list, watch43},
			2,
		},
		{
			"closed in place of a reply",
			[]func(net.Conn){closeConn, replyWith(listOf(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"a reset watch",
			[]func(net.Conn){replyWith(listOf(1, 41)), resetConn, replyWith(listOf(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"no list",
			[]func(net.Conn){replyWith("noise"), replyWith(listOf(2, 41))},
			[]string{list, list, watch41},
			2,
		},
		{
			"hundreds of members in small chunks",
			[]func(net.Conn){replyInChunks(listOf(400, 41)), replyWith(listOf(2, 42))},
			[]string{list, watch41, watch42},
			2,
		},
		{
			"changes in place of the complete list",
			[]func(net.Conn){replyWith(changesOf(1, 42)), replyWith(listOf(2, 43))},
			[]string{list, list, watch43},
			2,
		},
		{
			"a watch that goes back",
			[]func(net.Conn){replyWith(listOf(1, 41)), replyWith(changesOf(9, 40)), replyWith(listOf(2, 42))},
			[]string{list, watch41, list, watch42},
			2,
		},
		{
			"an older complete list",
			[]func(net.Conn){
				replyWith(listOf(2, 41)), closeConn, replyWith(listOf(9, 40)), replyWith(listOf(2, 42)),
			},
			[]string{list, watch41, list, list, watch42},
			2,
		},
		{
			"discovery has gone back",
			[]func(net.Conn){replyWith(listOf(2, 41)), closeConn, replyWith(listOf(9, 3)), replyWith(listOf(3, 4))},
			[]string{list, watch41, list, list, watch4},
			3,
		},
		{
			"an indented complete list",
			[]func(net.Conn){replyWith(listOf(1, 40)), replyInChunks(indented)},
			[]string{list, "from=40", watch41},
			2,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScriptedServer(t, tc.steps...)
			endpoints := make(chan int, 100)
			// The timeouts are short where a step lets them pass, and long enough for a complete list in chunks.
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
					t.Errorf("call %d requested %q, want %q", i, got, want)
				}
			}
			stop()
			last := 0
			for len(endpoints) > 0 {
				last = <-endpoints
			}
			if last != tc.endpoints {
				t.Errorf("the last list had %d endpoints, want %d", last, tc.endpoints)
			}
		})
	}
}

// hangingDial reports the addresses that it is called for and never connects.
func hangingDial(dials chan<- string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dials <- address
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// TestConnectTimeoutIsFollowedByAnotherAttempt: after a backoff the next connection attempt is made.
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

// TestSetAddressTakesEffectAtOnce: it waits neither for a connection attempt nor for a backoff.
func TestSetAddressTakesEffectAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		connectTimeout, maxBackoff time.Duration
	}{
		{"while connecting", time.Hour, time.Hour},
		{"in a backoff", time.Millisecond, time.Hour},
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

// TestBackoffIsSpreadOut: three hundred nodes that lose one discovery do not come back at once, and none waits longer
// than MaxBackoff.
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
			t.Errorf("%d of 300 in tenth %d", n, tenth)
		}
	}
	if len(tenths) != 10 {
		t.Errorf("%d tenths", len(tenths))
	}
}

// TestSlowReplyIsNotLost: the first call gets its reply only after the second was made, which never gets one.
func TestSlowReplyIsNotLost(t *testing.T) {
	secondCall := make(chan struct{})
	slowReply := func(conn net.Conn) {
		<-secondCall
		replyWith(listOf(2, 41))(conn)
	}
	s := newScriptedServer(t, slowReply, func(net.Conn) { close(secondCall) })
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
		t.Errorf("%d endpoints", n)
	}
	stop()
}
