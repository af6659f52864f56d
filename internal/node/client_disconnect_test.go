package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

// disconnectRecorder records when clients closed their connections, and the attempts that reached engines after that.
type disconnectRecorder struct {
	mu              sync.Mutex
	disconnectTimes map[string]time.Time // when each client closed, by request id
	lateAttempts    int                  // attempts that reached an engine after their client had closed its connection
	longestDelay    time.Duration
	servedClients   int
}

func (d *disconnectRecorder) recordDisconnect(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnectTimes[id] = time.Now()
}

func (d *disconnectRecorder) recordAttempt(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if disconnectedAt, ok := d.disconnectTimes[id]; ok {
		d.lateAttempts++
		d.longestDelay = max(d.longestDelay, time.Since(disconnectedAt))
	}
}

// withRandomDelay returns a handler that records the attempt and waits for a random time before it calls handle.
func (d *disconnectRecorder) withRandomDelay(handle engineHandler) engineHandler {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		d.recordAttempt(r.Header.Get("Req-Id"))
		time.Sleep(rand.N(8 * time.Millisecond))
		handle(e, w, r)
	}
}

// runClient sends one request and then closes the connection: after the response if waits is set, otherwise
// after a random time, whether or not a response has arrived.
func (d *disconnectRecorder) runClient(t *testing.T, n *Node, id, class string, waits bool) {
	c := dialNode(t, n)
	c.send(t, chatRequest(id, class, "prompt_len=20", "prompt_len=1500"))
	if waits {
		resp, body, complete := c.receive(t)
		if resp.StatusCode == http.StatusOK && complete && body == completeStream {
			d.mu.Lock()
			d.servedClients++
			d.mu.Unlock()
		}
	} else {
		time.Sleep(rand.N(15 * time.Millisecond))
	}
	closeConn(c)
	d.recordDisconnect(id)
}

// TestNoAttemptStartsAfterClientDisconnects runs thousands of client connections on one processor. Most clients
// disconnect at a random stage of their request (queued, in prefill, between prefill and decode, in decode); the others
// wait for the response. No attempt may reach an engine more than 0.1 s after its client disconnected.
func TestNoAttemptStartsAfterClientDisconnects(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const clients, rounds, maxDelay = 16, 190, 100 * time.Millisecond
	d := &disconnectRecorder{disconnectTimes: map[string]time.Time{}}
	engines := []*fakeEngine{
		newPrefillEngine(t, d.withRandomDelay(replyPrefill)),
		newDecodeEngine(t, d.withRandomDelay(replyDecode)),
	}
	for _, e := range engines {
		go func() { // keeps the channel from filling up, since this test does not wait for requests
			for range e.requestReceived {
			}
		}()
		defer close(e.requestReceived)
	}
	n, _ := startNode(t, nodeOptions{sockets: 512}, engines...)
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for round := range rounds {
				class := []string{"enquiry", "order"}[round%2]
				d.runClient(t, n, fmt.Sprintf("c%d-%d", client, round), class, client%4 == 0)
			}
		})
	}
	running.Wait()
	n.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Logf("%d clients disconnected early: %d attempts reached an engine after that, the latest %v after it; "+
		"%d of %d clients that waited were served",
		clients*rounds*3/4, d.lateAttempts, d.longestDelay, d.servedClients, clients*rounds/4)
	if d.longestDelay > maxDelay {
		t.Errorf("an attempt reached an engine %v after its client had disconnected", d.longestDelay)
	}
	if d.servedClients == 0 {
		t.Error("none of the clients that waited was served")
	}
}
