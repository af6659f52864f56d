package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

const (
	hungEngineBuffer = 4 << 10
	longPrompt       = 256 << 10 // bytes; many times what the buffers of a hung engine take
)

// listenWithSmallBuffers listens for connections whose receive buffers have hungEngineBuffer bytes.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, hungEngineBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l
}

// TestRequestDoesNotArriveAfterItsClientHasLeft guards against decodes that a hung engine begins long after their
// client has left, where engines can't abort work: the router cancels nothing there, and the request had not arrived.
func TestRequestDoesNotArriveAfterItsClientHasLeft(t *testing.T) {
	Hooks.Settings = func(c *routing.Config) { c.CanCancel = false }
	t.Cleanup(func() { Hooks = TestHooks{} })
	prefill, hung := (&stubEngine{}).start(t), listenWithSmallBuffers(t)
	tg := newTestGateway(t, `body="1MiB"`)
	tg.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: []endpointslice.Endpoint{
		{Name: "reader-0", Kind: "reader", Address: prefill, State: routing.EndpointReady},
		{Name: "writer-0", Kind: "writer", Address: hung.Addr().String(), State: routing.EndpointReady},
	}})
	body := strings.Replace(chatBody(true, 3), "hello there", strings.Repeat("a", longPrompt), 1)
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
