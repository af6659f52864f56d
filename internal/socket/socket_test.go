package socket

import (
	"net"
	"syscall"
	"testing"
)

// awaitReadable waits until a read of nc would not wait.
func awaitReadable(t *testing.T, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestIncoming(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, k := range map[string]struct {
		peer func(c *net.TCPConn)
		want State
	}{
		"open":                 {func(*net.TCPConn) {}, Idle},
		"bytes":                {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, Readable},
		"bytes before the end": {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")); c.Close() }, Readable},
		"closed":               {func(c *net.TCPConn) { c.Close() }, Closed},
		"half-closed":          {func(c *net.TCPConn) { _ = c.CloseWrite() }, Closed},
		"reset":                {func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, Closed},
	} {
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		reading := make(chan struct{})
		if k.want == Idle { // while another goroutine reads
			go func() { defer close(reading); _, _ = nc.Read(make([]byte, 1)) }()
			k.peer(peer.(*net.TCPConn))
		} else {
			close(reading)
			k.peer(peer.(*net.TCPConn))
			awaitReadable(t, nc)
		}
		if got := ReadState(nc); got != k.want {
			t.Errorf("%s: %d, want %d", name, got, k.want)
		}
		nc.Close()
		if got := ReadState(nc); got != Closed {
			t.Errorf("%s, closed here: %d", name, got)
		}
		<-reading
	}
}
