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
	Quiet    State = iota // open, with nothing unread
	Readable              // bytes are unread; whether an end follows can't be seen
	Ended                 // the peer has closed or reset it, or this side has closed it
)

// Incoming looks at nc. Another goroutine may be reading from it. A connection that is none of the system's is Quiet.
func Incoming(nc net.Conn) State {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) { // Read would wait for a read that is under way
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Quiet
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
