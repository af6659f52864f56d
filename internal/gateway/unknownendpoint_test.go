package gateway

import (
	"strings"
	"testing"

	"brackenbend/routing"
)

// sendToUnknown is a local event that starts an attempt of each open request at an unknown endpoint.
type sendToUnknown struct{ done chan struct{} }

func (e sendToUnknown) handle(l *eventLoop) routing.Event {
	for id := range l.requests {
		l.startAttempt(routing.Send{Request: id, Endpoint: 9999})
	}
	close(e.done)
	return nil
}

// TestSendToUnknownEndpoint checks that a send to an endpoint that the gateway doesn't know ends as an attempt that was
// not sent. The router should never decide such a send. When the gateway didn't add the attempt to the request, its
// outcome referred to a missing attempt, and the event loop panicked, which ended all requests of the gateway.
func TestSendToUnknownEndpoint(t *testing.T) {
	tg := newTestGateway(t, "") // no engine is listed, so the request waits
	response := make(chan string, 1)
	go func() {
		response <- tg.sendRaw(chatRequest(chatBody(true, 5), "X-Class: brief\r\nConnection: close\r\n"))
	}()
	tg.awaitOpenRequests(1)
	e := sendToUnknown{make(chan struct{})}
	tg.gateway.loop.post(nil, e)
	<-e.done
	if text := <-response; !strings.HasPrefix(text, "HTTP/1.1 429") && !strings.HasPrefix(text, "HTTP/1.1 503") {
		t.Errorf("%q", text)
	}
}
