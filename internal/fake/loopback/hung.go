package loopback

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// hungBuffer is the size of the receive buffers of a hung engine's connections, in bytes.
	hungBuffer = 4 << 10
	// LongRequest is a size, in bytes, that a sender's kernel accepts at once, but that by far exceeds what a hung
	// engine's connection takes.
	LongRequest = 256 << 10
)

// ListenHung listens for an engine that does not read its connections for a while. Their receive buffers are small, so
// that a request of LongRequest bytes stays in the buffers of the sender.
func ListenHung(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, hungBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}
