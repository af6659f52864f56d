package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/fake/loopback"
	"brackenbend/routing"
)

// TestRequestDoesNotArriveAfterItsClientHasLeft guards against decodes that a hung engine begins long after their
// client has left, where engines can't abort work: the router cancels nothing there, and the request had not arrived.
func TestRequestDoesNotArriveAfterItsClientHasLeft(t *testing.T) {
	Hooks.Settings = func(c *routing.Config) { c.CanCancel = false }
	t.Cleanup(func() { Hooks = TestHooks{} })
	prefill := (&stubEngine{}).start(t)
	hung, err := loopback.ListenHung(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(hung)
	tg := newTestGateway(t, `body="1MiB"`)
	tg.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: []endpointslice.Endpoint{
		{Name: "reader-0", Kind: "reader", Address: prefill, State: routing.EndpointReady},
		{Name: "writer-0", Kind: "writer", Address: hung.Addr().String(), State: routing.EndpointReady},
	}})
	body := strings.Replace(chatBody(true, 3), "hello there", strings.Repeat("a", loopback.LongRequest), 1)
	client := tg.dial(chatRequest(body, ""))
	decode, err := hung.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(decode)
	closeQuietly(client)
	tg.awaitOpenRequests(0)
	stepped := make(chan struct{})
	tg.gateway.loop.post(nil, stepAwaited{stepped})
	<-stepped
	request, err := http.ReadRequest(bufio.NewReader(decode))
	if err != nil {
		return // not even the head has arrived
	}
	if n, err := io.Copy(io.Discard, request.Body); err == nil {
		t.Errorf("the whole request of %d bytes has arrived", n)
	}
}
