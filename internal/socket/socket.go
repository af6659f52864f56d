// Package socket asks the system about connections, without reading from them and without waiting.
package socket

import (
	"net"
	"syscall"
)

// State is what the system knows of a connection's incoming side.
type State uint8

// The states of a connection's incoming side.
const (
	Idle     State = iota // open, with nothing unread
	Readable              // bytes are unread; whether an end follows can't be seen
	Closed                // the peer has closed or reset it, or this side has closed it
)

// ReadState looks at nc. Another goroutine may be reading from it. A connection that is none of the system's is Quiet.
func ReadState(nc net.Conn) State {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { // Read would wait for a read that is under way
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
