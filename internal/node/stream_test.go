package node

import (
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

// TestEventsArePassedOnAsTheyCome: hundreds of streams on one processor, with collections running, clients that come and go beside
// them and some that read nothing. Every event reaches its client within 0.3 s of its engine's writing.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const streams, events, every, most = 200, 15, 200 * time.Millisecond, 300 * time.Millisecond
	start0 := time.Now()
	w := newStub(t, "w1", "decode", func(_ *stub, rw http.ResponseWriter, r *http.Request) {
		n := events
		if strings.HasPrefix(r.Header.Get("Req-Id"), "short") {
			n = 1
		}
		for i := range n {
			if i > 0 {
				time.Sleep(every)
			}
			fmt.Fprintf(rw, "data: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", time.Since(start0))
			rw.(http.Flusher).Flush()
		}
		fmt.Fprint(rw, "data: [DONE]\n\n")
	})
	r := newStub(t, "r1", "prefill", reads)
	w.changed, r.changed = make(chan struct{}, 10000), make(chan struct{}, 10000)
	n, _ := start(t, setup{sockets: 1024}, r, w)
	stop := make(chan struct{})
	var beside, work sync.WaitGroup
	beside.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			runtime.GC()
			c := dial(t, n)
			c.send(t, message(fmt.Sprintf("short%d", i), "enquiry"))
			_, _, _ = c.answer(t)
			c.Close()
		}
	})
	for i := range 5 { // these read nothing
		dial(t, n).send(t, message(fmt.Sprintf("still%d", i), "order"))
	}
	var mu sync.Mutex
	var longest time.Duration
	seen, served := 0, 0
	for i := range streams {
		work.Go(func() {
			c := dial(t, n)
			c.send(t, message(fmt.Sprintf("long%d", i), "order", "4800", "30000"))
			resp, err := http.ReadResponse(c.br, nil)
			if err != nil || resp.StatusCode != 200 {
				return // refused, say
			}
			buf, last := make([]byte, 4096), ""
			for err == nil {
				var got int
				got, err = resp.Body.Read(buf)
				now := time.Since(start0)
				text := last + string(buf[:got])
				for {
					event, rest, whole := strings.Cut(text, "\n\n")
					if !whole {
						last = text
						break
					}
					text = rest
					_, number, _ := strings.Cut(event, `"content":"`)
					number, _, ok := strings.Cut(number, `"`)
					at, bad := strconv.ParseInt(number, 10, 64)
					if !ok || bad != nil {
						continue
					}
					mu.Lock()
					seen++
					longest = max(longest, now-time.Duration(at))
					mu.Unlock()
				}
			}
			mu.Lock()
			served += map[bool]int{true: 1}[err == io.EOF]
			mu.Unlock()
		})
	}
	work.Wait()
	close(stop)
	beside.Wait()
	t.Logf("%d of %d streams served, %d events, the latest %v after it was written", served, streams, seen, longest)
	if longest > most {
		t.Errorf("an event came %v after it was written", longest)
	}
	if served < streams/2 || seen < served*events {
		t.Errorf("%d of %d streams served, %d events", served, streams, seen)
	}
}
