//go:build linux

package engine

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"brackenbend/routing"
)

// maxBacklog exceeds the number of connections that the kernel accepts for a backlog of 0.
const maxBacklog = 16

// TestNothingIsSentWhenDrainedWhileDialing drains an endpoint while a dial to it is pending because the engine's accept
// backlog is full. The dial then succeeds, and the request must not be sent.
func TestNothingIsSentWhenDrainedWhileDialing(t *testing.T) {
	fd, address := listenWithoutBacklog(t)
	pending := fillBacklog(t, address)
	client := newTestClient()
	client.DialTimeout = 20 * time.Second
	endpoint := &Endpoint{Address: address}
	done := make(chan Outcome, 1)
	go func() {
		call := Call{Path: "/v1/x", ID: "a", NotIdempotent: true, Body: []byte("{}")}
		done <- client.Decode(&Attempt{}, endpoint, call, &testSink{})
	}()
	for endpoint.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	endpoint.Close()
	go func() { // makes room in the backlog, so that the dial succeeds when the kernel retransmits its SYN
		for range pending + 1 {
			accepted, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			defer closeSocket(accepted)
		}
	}()
	if out := <-done; out.Result != routing.NotSent {
		t.Errorf("%+v", out)
	}
}

// listenWithoutBacklog listens on a socket with the smallest backlog of connections that are not yet accepted.
func listenWithoutBacklog(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Skip(err)
	}
	t.Cleanup(func() { closeSocket(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Skip(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Skip(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Skip(err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// fillBacklog connects until a connect times out, and returns the number of established connections.
func fillBacklog(t *testing.T, address string) int {
	t.Helper()
	for n := 0; n <= maxBacklog; n++ {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return n
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Skip("the accept backlog does not fill up on this system")
	return 0
}

func closeSocket(fd int) { _ = syscall.Close(fd) }
