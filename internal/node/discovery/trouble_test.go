package discovery

import (
	"brackenbend/internal/endpointslice"
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// script is a discovery that does one thing after another, each to the next call, whichever connection it comes on. What a
// step does not answer ends with its connection; after the last one calls stay open.
type script struct {
	t     *testing.T
	l     net.Listener
	steps []func(nc net.Conn)
	asked chan string // "query" of each call, "+" before it where the connection is new
	turn  chan int
}

func newScript(t *testing.T, steps ...func(nc net.Conn)) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, l: l, steps: steps, asked: make(chan string, 100), turn: make(chan int, 1)}
	s.turn <- 0
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s
}

func (s *script) serve(nc net.Conn) {
	defer nc.Close()
	br, fresh := bufio.NewReader(nc), "+"
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		i := <-s.turn
		s.turn <- i + 1
		s.asked <- fresh + req.URL.RawQuery
		if fresh = ""; i < len(s.steps) {
			s.steps[i](nc)
		}
	}
}

func says(text string) func(net.Conn) {
	return func(nc net.Conn) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// starts sends the head and half of an answer, and no more.
func starts(text string) func(net.Conn) {
	return func(nc net.Conn) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
	}
}

// pieces sends text in chunks of a byte.
func pieces(text string) func(net.Conn) {
	return func(nc net.Conn) {
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range len(text) {
			fmt.Fprintf(nc, "1\r\n%s\r\n", text[i:i+1])
		}
		fmt.Fprint(nc, "0\r\n\r\n")
	}
}

func silent(net.Conn)    {}
func closes(nc net.Conn) { nc.Close() }
func resets(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

func listOf(n, revision int) string {
	var ms []string
	for i := range n {
		ms = append(ms, strings.Replace(one, "s-1", fmt.Sprintf("s-%d", i), 1))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(ms, ","))
}

func changesOf(n, revision int) string {
	return strings.Replace(listOf(n, revision), `"complete":true`, `"complete":false`, 1)
}

// TestCallsThatComeToNothingAreGivenUp: whatever becomes of a call, the next one comes, on a connection of its own and for the
// whole list, since changes may have been lost.
func TestCallsThatComeToNothingAreGivenUp(t *testing.T) {
	indented := strings.NewReplacer(",", ",\n    ", "[", "[\n  ", "{", "{\n\t").Replace(listOf(2, 41))
	for name, k := range map[string]struct {
		steps []func(net.Conn)
		want  []string
		news  int // engines in the last list
	}{
		"silent from the start":   {[]func(net.Conn){silent, says(listOf(2, 41))}, []string{"+", "+", "from=41"}, 2},
		"a silent watch":          {[]func(net.Conn){says(listOf(1, 41)), silent, says(listOf(2, 42))}, []string{"+", "from=41", "+", "from=42"}, 2},
		"half a list":             {[]func(net.Conn){starts(listOf(9, 41)), says(listOf(2, 42))}, []string{"+", "+", "from=42"}, 2},
		"half of what changed":    {[]func(net.Conn){says(listOf(1, 41)), starts(listOf(9, 42)), says(listOf(2, 43))}, []string{"+", "from=41", "+", "from=43"}, 2},
		"a close for an answer":   {[]func(net.Conn){closes, says(listOf(2, 41))}, []string{"+", "+", "from=41"}, 2},
		"a reset watch":           {[]func(net.Conn){says(listOf(1, 41)), resets, says(listOf(2, 42))}, []string{"+", "from=41", "+", "from=42"}, 2},
		"no list":                 {[]func(net.Conn){says("noise"), says(listOf(2, 41))}, []string{"+", "+", "from=41"}, 2},
		"hundreds, in pieces":     {[]func(net.Conn){pieces(listOf(400, 41)), says(listOf(2, 42))}, []string{"+", "from=41", "from=42"}, 2},
		"changes for the whole":   {[]func(net.Conn){says(changesOf(1, 42)), says(listOf(2, 43))}, []string{"+", "+", "from=43"}, 2},
		"a watch that goes back":  {[]func(net.Conn){says(listOf(1, 41)), says(changesOf(9, 40)), says(listOf(2, 42))}, []string{"+", "from=41", "+", "from=42"}, 2},
		"an older whole list":     {[]func(net.Conn){says(listOf(2, 41)), closes, says(listOf(9, 40)), says(listOf(2, 42))}, []string{"+", "from=41", "+", "+", "from=42"}, 2},
		"discovery has gone back": {[]func(net.Conn){says(listOf(2, 41)), closes, says(listOf(9, 3)), says(listOf(3, 4))}, []string{"+", "from=41", "+", "+", "from=4"}, 3},
		"an indented whole list":  {[]func(net.Conn){says(listOf(1, 40)), pieces(indented)}, []string{"+", "from=40", "from=41"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, k.steps...)
			last := make(chan int, 100)
			// the waits are short where a step lets them pass, and long enough for a whole list in pieces
			w := &Watcher{
				OnUpdate: func(u endpointslice.Update) { last <- len(u.Endpoints) }, Log: func(string, error) {}, WatchTimeout: 10 * time.Millisecond,
				ConnectTimeout: time.Minute, FirstByteTimeout: time.Minute, ResponseTimeout: time.Minute, MaxBackoff: time.Millisecond, MaxListBytes: 1 << 20,
			}
			if slices.ContainsFunc(k.want[1:], func(q string) bool { return q == "+" }) {
				w.FirstByteTimeout, w.ResponseTimeout = 200*time.Millisecond, 500*time.Millisecond
			}
			w.SetAddress(s.l.Addr().String())
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			for i, want := range k.want {
				got, _, _ := strings.Cut(<-s.asked, "&")
				if got != want {
					t.Errorf("call %d asked %q, want %q", i, got, want)
				}
			}
			stop()
			<-done
			n := 0
			for len(last) > 0 {
				n = <-last
			}
			if n != k.news {
				t.Errorf("the last list had %d engines, want %d", n, k.news)
			}
		})
	}
}

// TestAConnectionThatNeverComesUpIsGivenUp: the next one is made after a pause, and a move does not wait for either.
func TestAConnectionThatNeverComesUpIsGivenUp(t *testing.T) {
	dials := make(chan string, 10)
	w := &Watcher{OnUpdate: func(endpointslice.Update) {}, Log: func(string, error) {}, ConnectTimeout: time.Millisecond, FirstByteTimeout: time.Hour, MaxBackoff: time.Millisecond}
	w.dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials <- address
		<-ctx.Done()
		return nil, ctx.Err()
	}
	w.SetAddress("a:1")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	for range 3 {
		if at := <-dials; at != "a:1" {
			t.Fatal(at)
		}
	}
	stop()
	<-done
	for name, k := range map[string]struct{ connect, pause time.Duration }{"while connecting": {time.Hour, time.Hour}, "in a pause": {time.Millisecond, time.Hour}} {
		w := &Watcher{OnUpdate: w.OnUpdate, ConnectTimeout: k.connect, FirstByteTimeout: time.Hour, MaxBackoff: k.pause, dial: w.dial}
		paused := make(chan struct{}, 10)
		w.Log = func(string, error) { paused <- struct{}{} }
		for len(dials) > 0 {
			<-dials
		}
		w.SetAddress("a:1")
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		<-dials
		if k.connect < time.Hour {
			<-paused
		}
		w.SetAddress("b:1")
		if at := <-dials; at != "b:1" {
			t.Errorf("%s: asked %s", name, at)
		}
		stop()
		<-done
	}
}

// TestPausesAreSpreadOut: three hundred nodes that lose one discovery do not come back in one beat, and none waits longer than
// is reckoned with.
func TestPausesAreSpreadOut(t *testing.T) {
	w := &Watcher{MaxBackoff: 250 * time.Millisecond}
	parts := map[time.Duration]int{}
	for seed := range uint64(300) {
		p := w.pause(rand.New(rand.NewPCG(seed, 1)))
		if p < w.MaxBackoff/2 || p > w.MaxBackoff {
			t.Fatalf("seed %d: %v", seed, p)
		}
		parts[(p-w.MaxBackoff/2)*10/(w.MaxBackoff/2+1)]++
	}
	for part, n := range parts {
		if n > 60 {
			t.Errorf("%d of 300 in tenth %d", n, part)
		}
	}
	if len(parts) != 10 {
		t.Errorf("%d tenths", len(parts))
	}
}

// TestASlowAnswerIsNotLost: the first call is answered only after the second was made, which never is.
func TestASlowAnswerIsNotLost(t *testing.T) {
	second := make(chan struct{})
	s := newScript(t, func(nc net.Conn) { <-second; says(listOf(2, 41))(nc) }, func(net.Conn) { close(second) })
	news := make(chan int, 10)
	w := &Watcher{
		OnUpdate: func(u endpointslice.Update) { news <- len(u.Endpoints) }, Log: func(string, error) {}, WatchTimeout: time.Hour, ConnectTimeout: time.Minute,
		FirstByteTimeout: 500 * time.Millisecond, ResponseTimeout: time.Minute, MaxBackoff: time.Millisecond, MaxListBytes: 1 << 20,
	}
	w.SetAddress(s.l.Addr().String())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	if n := <-news; n != 2 {
		t.Errorf("%d engines", n)
	}
	stop()
	<-done
}
