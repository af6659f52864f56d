//go:build linux

package engine

import (
	"brackenbend/routing"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestDrainWhileTheDialIsPending: the engine's backlog is full, so the dial waits; a drain is told meanwhile; then
// the engine accepts. Nothing may be sent.
func TestDrainWhileTheDialIsPending(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Skip(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Skip(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Skip(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Skip(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	var fill []net.Conn
	defer func() {
		for _, c := range fill {
			c.Close()
		}
	}()
	for full := false; !full; { // until a connect hangs
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			full = true
		} else if fill = append(fill, c); len(fill) > 16 {
			t.Skip("the backlog does not fill here")
		}
	}
	c := testClient()
	c.DialTimeout = 20 * time.Second
	s := &Endpoint{Address: addr}
	done := make(chan Outcome, 1)
	go func() {
		done <- c.Decode(&Attempt{}, s, Call{Path: "/v1/x", ID: "a", SingleUseConn: true, Body: []byte("{}")}, &sink{})
	}()
	for s.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close()
	go func() { // room in the backlog: the dial goes through at its next try
		for range len(fill) + 1 {
			nfd, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			defer syscall.Close(nfd)
		}
	}()
	if out := <-done; out.Result != routing.NotSent {
		t.Errorf("%+v", out)
	}
}
