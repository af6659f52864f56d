package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// awaitReadable waits until a read from nc would not block.
func awaitReadable(t *testing.T, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (local net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	local, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = local.Close() })
	return local, dialed.(*net.TCPConn)
}

func TestReadState(t *testing.T) {
	for name, c := range map[string]struct {
		act    func(t *testing.T, peer *net.TCPConn)
		want   State
		closed bool // PeerClosed
	}{
		"open":  {func(*testing.T, *net.TCPConn) {}, Idle, false},
		"bytes": {write, Readable, false},
		"bytes before the end": {func(t *testing.T, peer *net.TCPConn) {
			write(t, peer)
			closePeer(t, peer)
		}, Readable, true},
		"bytes before a half-close": {func(t *testing.T, peer *net.TCPConn) {
			write(t, peer)
			check(t, peer.CloseWrite())
		}, Readable, true},
		"bytes before a reset": {func(t *testing.T, peer *net.TCPConn) {
			write(t, peer)
			check(t, peer.SetLinger(0))
			closePeer(t, peer)
		}, Readable, true},
		"closed":      {closePeer, Closed, true},
		"half-closed": {func(t *testing.T, peer *net.TCPConn) { check(t, peer.CloseWrite()) }, Closed, true},
		"reset": {func(t *testing.T, peer *net.TCPConn) {
			check(t, peer.SetLinger(0))
			closePeer(t, peer)
		}, Closed, true},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			reading := make(chan struct{})
			if c.want == Idle { // while another goroutine is blocked in Read
				go func() { defer close(reading); _, _ = local.Read(make([]byte, 1)) }()
				c.act(t, peer)
			} else {
				close(reading)
				c.act(t, peer)
				awaitReadable(t, local)
			}
			if got := ReadState(local); got != c.want {
				t.Errorf("state %d, want %d", got, c.want)
			}
			if got := PeerClosed(local); got != c.closed {
				t.Errorf("closed by the peer: %v, want %v", got, c.closed)
			}
			check(t, local.Close())
			if got := ReadState(local); got != Closed {
				t.Errorf("after a local close: state %d, want Closed", got)
			}
			<-reading
		})
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	_, err := peer.Write([]byte("x"))
	check(t, err)
}

func closePeer(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	check(t, peer.Close())
}

// TestUnacknowledged fills the buffers of a connection whose peer does not read, and lets it read then.
func TestUnacknowledged(t *testing.T) {
	local, peer := connect(t)
	check(t, local.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	written, err := local.Write(make([]byte, 64<<20))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if n, err := Unacknowledged(local); err != nil || n <= 0 || n > written {
		t.Errorf("%d of %d bytes are not acknowledged, error %v", n, written, err)
	}
	_, err = io.CopyN(io.Discard, peer, int64(written))
	check(t, err)
	for {
		n, err := Unacknowledged(local)
		check(t, err)
		if n == 0 {
			break
		}
	}
	check(t, local.Close())
	if _, err := Unacknowledged(local); err == nil {
		t.Error("no error for a closed connection")
	}
	if _, err := Unacknowledged(noSocket{}); !errors.Is(err, errNoSocket) {
		t.Errorf("without a socket: %v", err)
	}
}

type noSocket struct{ net.Conn }

// TestResetOnClose checks what a peer that has not read yet gets of 64 MiB that are being written as the connection
// ends.
func TestResetOnClose(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(net.Conn) error
		reset   bool
	}{
		"reset": {ResetOnClose, true},
		"undone": {func(nc net.Conn) error {
			return errors.Join(ResetOnClose(nc), DeliverOnClose(nc))
		}, false},
		"as usual": {func(net.Conn) error { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			check(t, c.prepare(local))
			check(t, local.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
			written, err := local.Write(make([]byte, 64<<20))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
			check(t, local.Close())
			read, err := io.Copy(io.Discard, peer)
			if wasReset := errors.Is(err, syscall.ECONNRESET); wasReset != c.reset || (read < int64(written)) != c.reset {
				t.Errorf("read %d of %d bytes: %v", read, written, err)
			}
		})
	}
}
