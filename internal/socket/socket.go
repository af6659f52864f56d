// Package socket queries the state of connections from the kernel, without consuming data and without blocking, and
// sets how a connection ends. It keeps no state, and its functions are safe for concurrent use.
package socket

import (
	"cmp"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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
	state := Closed
	err := control(nc, func(fd uintptr) { state = peek(int(fd)) })
	switch {
	case errors.Is(err, errNoSocket):
		return Idle
	case err != nil:
		return Closed
	}
	return state
}

// PeerClosed reports whether the peer of nc has closed or reset the connection, or its sending side, also where data
// before the close is unread. Where the kernel does not tell, it returns false while data is unread.
func PeerClosed(nc net.Conn) bool {
	if state := ReadState(nc); state != Readable {
		return state == Closed
	}
	var info int
	var err error
	controlErr := control(nc, func(fd uintptr) {
		info, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if cmp.Or(controlErr, err) != nil {
		return false
	}
	switch state := byte(info); state { // the first byte of TCP_INFO
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// errNoSocket means that a connection is not one of the operating system.
var errNoSocket = errors.New("socket: the connection has no socket")

// control calls query with the file descriptor of nc. Unlike a raw read or write, it does not wait for pending ones.
func control(nc net.Conn, query func(fd uintptr)) error {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(query)
}

// Unacknowledged returns how many of the bytes that were written to nc the peer's system has not acknowledged. Those
// that it has acknowledged have arrived; of the others nothing is known. It returns an error if nc is closed or has no
// socket, or if the kernel does not tell.
func Unacknowledged(nc net.Conn) (bytes int, err error) {
	controlErr := control(nc, func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes, cmp.Or(controlErr, err)
}

// ResetOnClose makes the end of nc a reset, also when the process is killed: bytes that the peer's system has not
// acknowledged are dropped. Otherwise the kernel goes on delivering them after the close. It does nothing to a
// connection that has no socket.
func ResetOnClose(nc net.Conn) error { return setLinger(nc, 0) }

// DeliverOnClose undoes ResetOnClose.
func DeliverOnClose(nc net.Conn) error { return setLinger(nc, -1) }

// setLinger sets for how many seconds the kernel tries to deliver bytes after a close; -1 is its default.
func setLinger(nc net.Conn, seconds int) error {
	if conn, ok := nc.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
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
