package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// departures books when clients closed their connections, and what reached engines for them after that.
type departures struct {
	mu      sync.Mutex
	left    map[string]time.Time // by request id
	late    int                  // attempts that reached an engine after their client had left
	longest time.Duration
}

func (d *departures) leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[id] = time.Now()
}

func (d *departures) arrive(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left, ok := d.left[id]; ok {
		d.late++
		d.longest = max(d.longest, time.Since(left))
	}
}

// TestNothingBeginsForClientsThatLeft: thousands of clients leave at all stages, held, being read, parked, being written, while others
// stay, on one processor. No attempt reaches an engine more than 0.1 s after its client's close.
func TestNothingBeginsForClientsThatLeft(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const clients, rounds, most = 16, 190, 100 * time.Millisecond
	d := &departures{left: map[string]time.Time{}}
	slowly := func(answer func(*stub, http.ResponseWriter, *http.Request)) func(*stub, http.ResponseWriter, *http.Request) {
		return func(s *stub, w http.ResponseWriter, r *http.Request) {
			d.arrive(r.Header.Get("Req-Id"))
			time.Sleep(rand.N(8 * time.Millisecond))
			answer(s, w, r)
		}
	}
	engines := []*stub{newStub(t, "r1", "prefill", slowly(reads)), newStub(t, "w1", "decode", slowly(writes))}
	for _, e := range engines {
		go func() { // nobody waits for a call here
			for range e.changed {
			}
		}()
		defer close(e.changed)
	}
	n, _ := start(t, setup{sockets: 512}, engines...)
	var work sync.WaitGroup
	served := 0
	for i := range clients {
		work.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("c%d-%d", i, round)
				c := dial(t, n)
				class := []string{"enquiry", "order"}[round%2]
				c.send(t, message(id, class, "prompt_len=20", "prompt_len=1500"))
				if i%4 == 0 { // one that stays
					if resp, text, whole := c.answer(t); resp.StatusCode == 200 && whole && text == strings.Join(stream, "") {
						d.mu.Lock()
						served++
						d.mu.Unlock()
					}
				} else {
					time.Sleep(rand.N(15 * time.Millisecond))
				}
				c.Close()
				d.leave(id)
			}
		})
	}
	work.Wait()
	n.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Logf("%d departures: %d attempts reached an engine after the close, the latest %v after it; %d of %d that stayed were served",
		clients*rounds*3/4, d.late, d.longest, served, clients*rounds/4)
	if d.longest > most {
		t.Errorf("an attempt reached an engine %v after its client had left", d.longest)
	}
	if served == 0 {
		t.Error("none of those that stayed was served")
	}
}
