// Package socket queries the receive state of connections from the kernel, without consuming data and without blocking.
// It keeps no state, and its functions are safe for concurrent use.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is the receive state of a connection.
type State uint8

// The receive states of a connection.
const (
	Idle     State = iota // open, without unread data
	Readable              // data is unread; whether the peer has closed after it is unknown
	Closed                // closed or reset by the peer, or closed locally
)

// ReadState returns the receive state of nc. Another goroutine may be reading from nc. A connection that has no socket,
// such as a net.Pipe, is Idle.
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
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for a pending read
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
