package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// streamDelays measures how long after its writing an event reaches its client. Engines write the time since start as
// the content of each event.
type streamDelays struct {
	start time.Time

	mu      sync.Mutex
	longest time.Duration
	events  int
	served  int // complete streams
}

// writeStream writes a stream of events at an interval; one event for clients whose id begins with "short".
func (d *streamDelays) writeStream(events int, interval time.Duration) engineHandler {
	return func(_ *fakeEngine, w http.ResponseWriter, r *http.Request) {
		n := events
		if strings.HasPrefix(r.Header.Get("Req-Id"), "short") {
			n = 1
		}
		for i := range n {
			if i > 0 {
				time.Sleep(interval)
			}
			write(w, fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", time.Since(d.start)))
			flush(w)
		}
		write(w, "data: [DONE]\n\n")
	}
}

// readStream reads a stream and records its events' delays.
func (d *streamDelays) readStream(body io.Reader) {
	buf, pending := make([]byte, 4096), ""
	var err error
	for err == nil {
		var n int
		n, err = body.Read(buf)
		now := time.Since(d.start)
		pending = d.record(pending+string(buf[:n]), now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, io.EOF) {
		d.served++
	}
}

// record records the events in text and returns what follows the last complete one.
func (d *streamDelays) record(text string, now time.Duration) (rest string) {
	for {
		event, rest, complete := strings.Cut(text, "\n\n")
		if !complete {
			return text
		}
		text = rest
		_, content, _ := strings.Cut(event, `"content":"`)
		content, _, hasContent := strings.Cut(content, `"`)
		written, err := strconv.ParseInt(content, 10, 64)
		if !hasContent || err != nil {
			continue
		}
		d.mu.Lock()
		d.events++
		d.longest = max(d.longest, now-time.Duration(written))
		d.mu.Unlock()
	}
}

// connectAndCollect runs collections, with clients that come and go, until stop is closed.
func connectAndCollect(t *testing.T, n *Node, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		runtime.GC()
		c := dialNode(t, n)
		c.send(t, chatRequest(fmt.Sprintf("short%d", i), "enquiry"))
		_, _, _ = c.receive(t)
		closeConn(c)
	}
}

// TestEventsAreRelayedInTime: hundreds of streams on one processor, with collections running, clients that come and go
// beside them and some that read nothing. Every event reaches its client within 0.3 s of its engine's writing.
func TestEventsAreRelayedInTime(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const streams, events, interval, maxDelay = 200, 15, 200 * time.Millisecond, 300 * time.Millisecond
	d := &streamDelays{start: time.Now()}
	decode := newDecodeEngine(t, d.writeStream(events, interval))
	prefill := newPrefillEngine(t, replyPrefill)
	decode.called, prefill.called = make(chan struct{}, 10000), make(chan struct{}, 10000)
	n, _ := startNode(t, nodeSetup{sockets: 1024}, prefill, decode)
	stop := make(chan struct{})
	var background, clients sync.WaitGroup
	background.Go(func() { connectAndCollect(t, n, stop) })
	for i := range 5 { // these read nothing
		dialNode(t, n).send(t, chatRequest(fmt.Sprintf("still%d", i), "order"))
	}
	for i := range streams {
		clients.Go(func() {
			c := dialNode(t, n)
			c.send(t, chatRequest(fmt.Sprintf("long%d", i), "order", "4800", "30000"))
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				return // rejected, for example
			}
			d.readStream(resp.Body)
		})
	}
	clients.Wait()
	close(stop)
	background.Wait()
	t.Logf("%d of %d streams served, %d events, the latest %v after it was written",
		d.served, streams, d.events, d.longest)
	if d.longest > maxDelay {
		t.Errorf("an event came %v after it was written", d.longest)
	}
	if d.served < streams/2 || d.events < d.served*events {
		t.Errorf("%d of %d streams served, %d events", d.served, streams, d.events)
	}
}
