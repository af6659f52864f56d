package gateway

import (
	"strings"
	"testing"

	"brackenbend/routing"
)

// sendToUnknown has the loop start an attempt of each open request at an endpoint that it doesn't know.
type sendToUnknown struct{ done chan struct{} }

func (e sendToUnknown) handle(l *eventLoop) routing.Event {
	for id := range l.requests {
		l.startAttempt(routing.Send{Request: id, Endpoint: 9999})
	}
	close(e.done)
	return nil
}

// TestSendToUnknownEndpoint: the router never sends to an endpoint that the gateway doesn't know. If it did, the
// attempt's outcome named an attempt that the gateway had not counted, and the event loop ended by a panic, with all
// requests of the gateway.
func TestSendToUnknownEndpoint(t *testing.T) {
	r := newRig(t, "") // no engine is listed, so the request waits
	got := make(chan string, 1)
	go func() { got <- r.raw(request(chat(true, 5), "X-Class: brief\r\nConnection: close\r\n")) }()
	r.awaitOpenRequests(1)
	e := sendToUnknown{make(chan struct{})}
	r.gateway.loop.post(nil, e)
	<-e.done
	if text := <-got; !strings.HasPrefix(text, "HTTP/1.1 429") && !strings.HasPrefix(text, "HTTP/1.1 503") {
		t.Errorf("%q", text)
	}
}
