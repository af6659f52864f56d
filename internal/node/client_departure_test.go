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

// departures records when clients closed their connections, and what reached engines for them after that.
type departures struct {
	mu       sync.Mutex
	departed map[string]time.Time // by request id
	late     int                  // attempts that reached an engine after their client had closed
	longest  time.Duration
	served   int
}

func (d *departures) depart(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departed[id] = time.Now()
}

func (d *departures) attempt(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if departed, ok := d.departed[id]; ok {
		d.late++
		d.longest = max(d.longest, time.Since(departed))
	}
}

// slowly records an attempt, and handles it after a random delay.
func (d *departures) slowly(handle engineHandler) engineHandler {
	return func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		d.attempt(r.Header.Get("Req-Id"))
		time.Sleep(rand.N(8 * time.Millisecond))
		handle(e, w, r)
	}
}

// visit sends one request and closes the connection after the response (stays) or some time before or after it.
func (d *departures) visit(t *testing.T, n *Node, id, class string, stays bool) {
	c := dialNode(t, n)
	c.send(t, chatRequest(id, class, "prompt_len=20", "prompt_len=1500"))
	if stays {
		resp, body, complete := c.receive(t)
		if resp.StatusCode == http.StatusOK && complete && body == completeStream {
			d.mu.Lock()
			d.served++
			d.mu.Unlock()
		}
	} else {
		time.Sleep(rand.N(15 * time.Millisecond))
	}
	closeConn(c)
	d.depart(id)
}

// TestNoAttemptStartsForDepartedClients: thousands of clients close at all stages, queued, in prefill, parked, in
// decode, while others stay, on one processor. No attempt reaches an engine more than 0.1 s after its client's close.
func TestNoAttemptStartsForDepartedClients(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const clients, rounds, maxDelay = 16, 190, 100 * time.Millisecond
	d := &departures{departed: map[string]time.Time{}}
	engines := []*fakeEngine{
		newPrefillEngine(t, d.slowly(replyPrefill)), newDecodeEngine(t, d.slowly(replyDecode)),
	}
	for _, e := range engines {
		go func() { // nobody waits for a call here
			for range e.called {
			}
		}()
		defer close(e.called)
	}
	n, _ := startNode(t, nodeSetup{sockets: 512}, engines...)
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for round := range rounds {
				class := []string{"enquiry", "order"}[round%2]
				d.visit(t, n, fmt.Sprintf("c%d-%d", client, round), class, client%4 == 0)
			}
		})
	}
	running.Wait()
	n.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Logf("%d departures: %d attempts reached an engine after the close, the latest %v after it; "+
		"%d of %d that stayed were served", clients*rounds*3/4, d.late, d.longest, d.served, clients*rounds/4)
	if d.longest > maxDelay {
		t.Errorf("an attempt reached an engine %v after its client had closed", d.longest)
	}
	if d.served == 0 {
		t.Error("none of those that stayed was served")
	}
}
