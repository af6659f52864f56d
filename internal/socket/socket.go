// Package socket asks the system about connections, without reading from them and without waiting. It keeps no state
// and may be used from any goroutine.
package socket

import (
	"errors"
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

// ReadState is the state of nc's incoming side. Another goroutine may be reading from nc. A connection that is not the
// system's is Idle.
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
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for a read that is under way
		state = peek(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return Readable
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return Idle
	default:
		return Closed
	}
}
