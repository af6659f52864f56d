package apiserver

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"brackenbend/internal/audit"
)

// eventuallyTimeout bounds the wait for a condition that is usually true within milliseconds. It allows for a loaded
// machine.
const eventuallyTimeout = 20 * time.Second

const slicesPath = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices"

func startServer(t *testing.T, record *audit.Record) *Server {
	t.Helper()
	s, err := Start("127.0.0.1:0", record)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// checkingWriter is a ResponseWriter that checks that the readiness of the engine e is recorded before it is written,
// and that its drain is not recorded before it is flushed.
type checkingWriter struct {
	t       *testing.T
	record  *audit.Record
	header  http.Header
	mu      sync.Mutex
	written string
	flushed string
	flushes chan struct{}
}

func newCheckingWriter(t *testing.T, record *audit.Record) *checkingWriter {
	return &checkingWriter{t: t, record: record, header: http.Header{}, flushes: make(chan struct{}, 1)}
}

func (w *checkingWriter) Header() http.Header { return w.header }
func (w *checkingWriter) WriteHeader(int)     {}

func (w *checkingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written += string(b)
	if strings.Contains(w.written, `"ready":true`) && countEvents(w.record, audit.NotifiedReady) == 0 {
		w.t.Error("readiness is written before it is recorded")
	}
	return len(b), nil
}

func (w *checkingWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	const notReady = `"ready":false`
	flushesNotReady := strings.Contains(w.written, notReady) && !strings.Contains(w.flushed, notReady)
	if flushesNotReady && countEvents(w.record, audit.NotifiedGone) != 0 {
		w.t.Error("the drain is recorded before the bytes are flushed")
	}
	w.flushed = w.written
	select {
	case w.flushes <- struct{}{}:
	default:
	}
}

// countEvents counts the events of a kind for the engine e.
func countEvents(record *audit.Record, kind audit.EventKind) (n int) {
	for _, e := range record.Events() {
		if e.Kind == kind && e.Engine == "e" {
			n++
		}
	}
	return n
}

// TestReadyIsRecordedBeforeItIsSentAndDrainAfter guards against false violations. If a replica could use an engine
// before the record says that it was notified of the readiness, or if the record said that it was notified of a drain
// before the bytes were sent, the auditor would report a replica that kept the rules.
func TestReadyIsRecordedBeforeItIsSentAndDrainAfter(t *testing.T) {
	for name, target := range map[string]string{
		"list":  slicesPath,
		"watch": slicesPath + "?watch=1&resourceVersion=1",
	} {
		for _, draining := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, draining %v", name, draining), func(t *testing.T) {
				checkRecordOrder(t, target, draining)
			})
		}
	}
}

func checkRecordOrder(t *testing.T, target string, draining bool) {
	t.Helper()
	record := audit.NewRecord()
	s := startServer(t, record)
	w := newCheckingWriter(t, record)
	s.Set(Entry{Name: "e", Address: "127.0.0.1:1", Ready: true, Draining: draining})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := httptest.NewRequest(http.MethodGet, target, nil).WithContext(ctx)
		r.SetPathValue("ns", "default")
		s.serveSlices(w, r)
	}()
	defer func() {
		cancel()
		<-done
	}()
	wantEvent := audit.NotifiedReady
	if draining {
		wantEvent = audit.NotifiedGone
	}
	for deadline := time.Now().Add(eventuallyTimeout); countEvents(record, wantEvent) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the notification was never recorded")
		}
		select {
		case <-w.flushes:
		case <-time.After(time.Millisecond):
		}
	}
}

func TestSummarizeBatchSeparatesUsableAndUnusable(t *testing.T) {
	ready := event{kind: eventModified, entry: Entry{Name: "e", Ready: true}}
	notReady := event{kind: eventModified, entry: Entry{Name: "e"}}
	removed := event{kind: eventDeleted, entry: Entry{Name: "e", Ready: true}}
	for name, c := range map[string]struct {
		events           []event
		ready, notUsable int
	}{
		"ready":                {[]event{ready}, 1, 0},
		"not ready":            {[]event{notReady}, 0, 1},
		"ready then not ready": {[]event{ready, notReady}, 1, 1},
		"not ready then ready": {[]event{notReady, ready}, 1, 0},
		"removed":              {[]event{removed}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gotReady, gotNotUsable := summarizeBatch(c.events)
			if len(gotReady) != c.ready || len(gotNotUsable) != c.notUsable {
				t.Errorf("ready %v, not usable %v; want %d and %d", gotReady, gotNotUsable, c.ready, c.notUsable)
			}
		})
	}
}

// TestUnreachableServerRejectsNewWatch covers a watch that arrives while the server becomes unreachable. Such a watch
// was once accepted, and was never ended because SetUnreachable had already ended the open watches.
func TestUnreachableServerRejectsNewWatch(t *testing.T) {
	s := startServer(t, nil)
	s.unreachable = true // after serveSlices has checked it
	for _, version := range []string{"1", "0"} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/?watch=1&resourceVersion="+version, nil)
		s.watch(w, r, "")
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("watch from version %s: status %d", version, w.Code)
		}
	}
}
