package endpointslice

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestEmptyLinesDoNotExtendWatch guards against an endpoint list that goes stale behind a watch without events: each
// line extended the time-out, also an empty one.
func TestEmptyLinesDoNotExtendWatch(t *testing.T) {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, "\n"); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	}))
	defer server.Close()
	watcher := &Watcher{URL: server.URL, Namespace: "n", Client: server.Client(), WatchTimeout: 50 * time.Millisecond}
	result := make(chan error, 1)
	go func() { result <- watcher.watch(t.Context()) }()
	select {
	case err := <-result:
		if !errors.Is(err, errWatchTimeout) {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		server.CloseClientConnections()
		t.Error("the watch went on without an event")
	}
	<-ended
}
