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

// delayRecorder measures the time from the writing of an event by an engine to its arrival at the client. Engines write
// the time since start as the content of each event.
type delayRecorder struct {
	start time.Time

	mu              sync.Mutex
	longestDelay    time.Duration
	events          int
	completeStreams int // complete streams
}

// writeStream returns a handler that writes a stream of events at an interval, or of one event for requests whose id
// begins with "short".
func (d *delayRecorder) writeStream(events int, interval time.Duration) engineHandler {
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

// readStream reads a stream and records the delays of its events.
func (d *delayRecorder) readStream(body io.Reader) {
	buf, pending := make([]byte, 4096), ""
	var err error
	for err == nil {
		var n int
		n, err = body.Read(buf)
		now := time.Since(d.start)
		pending = d.recordEvents(pending+string(buf[:n]), now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, io.EOF) {
		d.completeStreams++
	}
}

// recordEvents records the delays of the complete events in text and returns the rest.
func (d *delayRecorder) recordEvents(text string, now time.Duration) (rest string) {
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
		d.longestDelay = max(d.longestDelay, now-time.Duration(written))
		d.mu.Unlock()
	}
}

// runClientsAndGC runs garbage collections and short client connections alternately until stop is closed.
func runClientsAndGC(t *testing.T, n *Node, stop <-chan struct{}) {
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

// TestEventsAreRelayedInTime relays hundreds of streams on one processor, during garbage collections and next to
// clients that connect and disconnect or never read. Every event must reach its client within 0.3 s after its engine
// wrote it.
func TestEventsAreRelayedInTime(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const streams, events, interval, maxDelay = 200, 15, 200 * time.Millisecond, 300 * time.Millisecond
	recorder := &delayRecorder{start: time.Now()}
	decode := newDecodeEngine(t, recorder.writeStream(events, interval))
	prefill := newPrefillEngine(t, replyPrefill)
	decode.requestReceived, prefill.requestReceived = make(chan struct{}, 10000), make(chan struct{}, 10000)
	n, _ := startNode(t, nodeOptions{sockets: 1024}, prefill, decode)
	stop := make(chan struct{})
	var backgroundGroup, clientGroup sync.WaitGroup
	backgroundGroup.Go(func() { runClientsAndGC(t, n, stop) })
	for i := range 5 { // clients that never read
		dialNode(t, n).send(t, chatRequest(fmt.Sprintf("unread%d", i), "order"))
	}
	for i := range streams {
		clientGroup.Go(func() {
			c := dialNode(t, n)
			c.send(t, chatRequest(fmt.Sprintf("long%d", i), "order", "4800", "30000"))
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				return // for example if the request was rejected
			}
			recorder.readStream(resp.Body)
		})
	}
	clientGroup.Wait()
	close(stop)
	backgroundGroup.Wait()
	t.Logf("%d of %d streams served, %d events, the longest delay %v",
		recorder.completeStreams, streams, recorder.events, recorder.longestDelay)
	if recorder.longestDelay > maxDelay {
		t.Errorf("an event arrived %v after it was written", recorder.longestDelay)
	}
	if recorder.completeStreams < streams/2 || recorder.events < recorder.completeStreams*events {
		t.Errorf("%d of %d streams served, %d events", recorder.completeStreams, streams, recorder.events)
	}
}
