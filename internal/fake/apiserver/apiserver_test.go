package apiserver

import (
	"brackenbend/internal/audit"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// peer is a front's end of an answer: at each byte and each flush it looks at what the record holds by then.
type peer struct {
	t      *testing.T
	rec    *audit.Record
	header http.Header
	mu     sync.Mutex
	seen   string // bytes so far
	left   string // bytes that have left
	news   chan struct{}
}

func (p *peer) Header() http.Header { return p.header }
func (p *peer) WriteHeader(int)     {}

func (p *peer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen += string(b)
	if strings.Contains(p.seen, `"ready":true`) && count(p.rec, audit.NotifiedReady, "e") == 0 {
		p.t.Error("bytes that say ready are written, the record does not allow it yet")
	}
	return len(b), nil
}

func (p *peer) Flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := count(p.rec, audit.NotifiedGone, "e"); strings.Contains(p.seen, `"ready":false`) && !strings.Contains(p.left, `"ready":false`) && n != 0 {
		p.t.Error("the record says that the front was told of a drain whose bytes have not left")
	}
	p.left = p.seen
	select {
	case p.news <- struct{}{}:
	default:
	}
}

func count(rec *audit.Record, k audit.Kind, engine string) (n int) {
	for _, e := range rec.Events() {
		if e.Kind == k && e.Engine == engine {
			n++
		}
	}
	return n
}

// TestTheRecordNeverRunsAheadOfADrainNorBehindAReady: else the auditor sees a rule broken by a front that kept it.
func TestTheRecordNeverRunsAheadOfADrainNorBehindAReady(t *testing.T) {
	const path = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices"
	for _, watch := range []bool{false, true} {
		for _, drains := range []bool{false, true} {
			rec := audit.NewRecord()
			s, err := Start("127.0.0.1:0", rec)
			if err != nil {
				t.Fatal(err)
			}
			p := &peer{t: t, rec: rec, header: http.Header{}, news: make(chan struct{}, 1)}
			s.Set(Entry{Name: "e", Address: "127.0.0.1:1", Ready: true, Draining: drains})
			ctx, stop := context.WithCancel(context.Background())
			target := path
			if watch {
				target += "?watch=1&resourceVersion=1"
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				r := httptest.NewRequest(http.MethodGet, target, nil).WithContext(ctx)
				r.SetPathValue("ns", "default")
				s.serve(p, r)
			}()
			want := audit.NotifiedReady
			if drains {
				want = audit.NotifiedGone
			}
			for end := time.Now().Add(20 * time.Second); count(rec, want, "e") == 0; {
				if time.Now().After(end) {
					t.Fatalf("watch %v, drains %v: never recorded", watch, drains)
				}
				select {
				case <-p.news:
				case <-time.After(time.Millisecond):
				}
			}
			stop()
			<-done
			s.Close()
		}
	}
}

func TestWordsOfABatch(t *testing.T) {
	e := func(ready bool) change { return change{kind: "MODIFIED", entry: Entry{Name: "e", Ready: ready}} }
	for _, c := range []struct {
		due        []change
		ready, not int
	}{
		{[]change{e(true)}, 1, 0},
		{[]change{e(false)}, 0, 1},
		{[]change{e(true), e(false)}, 1, 1},
		{[]change{e(false), e(true)}, 1, 0},
		{[]change{{kind: "DELETED", entry: Entry{Name: "e", Ready: true}}}, 0, 1},
	} {
		if ready, not := words(c.due); len(ready) != c.ready || len(not) != c.not {
			t.Errorf("%v: ready %v, not %v", c.due, ready, not)
		}
	}
}

// TestCutEndsWatchesThatBegin: a watch that arrives as the register is cut off is ended too, or turned away. It was
// let in, and nothing ended it any more.
func TestCutEndsWatchesThatBegin(t *testing.T) {
	s, err := Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.cut = true // after serve had looked
	for _, late := range []string{"1", "0"} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest("GET", "/?watch=1&resourceVersion="+late, nil)
		s.watch(w, r, "")
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("from version %s: answered %d", late, w.Code)
		}
	}
}
