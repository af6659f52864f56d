package node

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
)

// TestIDDoesNotRunAgainAfterItsClientHasLeft guards against a request that runs twice because its id comes again when
// its client has left, while the engine still works on it and later.
func TestIDDoesNotRunAgainAfterItsClientHasLeft(t *testing.T) {
	canceled := make(chan struct{}, 10)
	decode := newDecodeEngine(t, func(_ *fakeEngine, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	n, _ := startNode(t, nodeOptions{}, newPrefillEngine(t, replyPrefill), decode)
	first := dialNode(t, n)
	first.send(t, chatRequest("aa01", "order"))
	decode.waitForRequest("POST aa01")
	closeConn(first)
	again := dialNode(t, n)
	for range 2 {
		again.send(t, chatRequest("aa01", "order"))
		if resp, body, _ := again.receive(t); resp.StatusCode != http.StatusConflict {
			t.Errorf("status %d: %s", resp.StatusCode, body)
		}
		<-canceled
		canceled <- struct{}{}
	}
	if got := decode.received(); !slices.Equal(got, []string{"POST aa01"}) {
		t.Errorf("the decode engine got %q", got)
	}
}

// TestIDsThatMayComeAgain checks which ids of ended requests are taken again: those of idempotent requests, and of
// those that never ran.
func TestIDsThatMayComeAgain(t *testing.T) {
	var declines atomic.Bool
	prefill := newPrefillEngine(t, func(e *fakeEngine, w http.ResponseWriter, r *http.Request) {
		if declines.Load() {
			w.Header().Set("Srv-Declined", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		replyPrefill(e, w, r)
	})
	n, _ := startNode(t, nodeOptions{}, prefill, newDecodeEngine(t, replyDecode))
	c := dialNode(t, n)
	request := func(id, class string, wantStatus int) {
		t.Helper()
		c.send(t, chatRequest(id, class))
		if resp, body, _ := c.receive(t); resp.StatusCode != wantStatus {
			t.Errorf("%s, %s: status %d, want %d: %s", id, class, resp.StatusCode, wantStatus, body)
		}
	}
	request("aa01", "enquiry", http.StatusOK)
	request("aa01", "enquiry", http.StatusOK)
	declines.Store(true)
	request("aa02", "order", http.StatusTooManyRequests)
	declines.Store(false)
	request("aa02", "order", http.StatusOK)
	request("aa02", "order", http.StatusConflict)
}
