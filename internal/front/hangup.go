package front

import (
	"syscall"
)

// hungUp asks the system whether the client has closed its connection, with nothing unread in front of the close. The connection's
// goroutine finds out by itself, but may be scheduled late; this is asked at the moment in which an attempt would be written.
func (c *client) hungUp() bool {
	conn, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // closed at this end
	}
	ended := false
	err = raw.Control(func(fd uintptr) { // Read would wait for the goroutine's own
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err != nil || ended
}

// abandoned tells that no attempt may begin for the flight any more: it has its answer, or its client has left.
func (fl *flight) abandoned() bool { return fl.over() || fl.to.hungUp() }
