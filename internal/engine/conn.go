package engine

import (
	"bufio"
	"net"
	"time"

	"brackenbend/internal/socket"
)

// connReadBuffer bounds a response header line and is all that an idle connection keeps in memory, in bytes.
const connReadBuffer = 4096

// persistConn is a connection to an engine with what is known of its use. It belongs to one attempt at a time, or to
// the idle connections of its endpoint.
type persistConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time // when its last use ended
	reused    bool      // an earlier request was sent on it
}

func newPersistConn(nc net.Conn) *persistConn {
	return &persistConn{Conn: nc, br: bufio.NewReaderSize(nc, connReadBuffer)}
}

// idleFor is how long an idle connection has not been used.
func (pc *persistConn) idleFor() time.Duration { return time.Since(pc.idleSince) }

// isQuiet reports that the peer has neither closed an idle connection nor sent anything on it. It narrows, but can't
// close, the gap in which a connection dies at reuse; so requests that must run only once dial anew.
func (pc *persistConn) isQuiet() bool { return socket.ReadState(pc.Conn) == socket.Idle }

// reusable makes a connection ready for its next request; false when it can't serve one.
func (pc *persistConn) reusable() bool {
	return pc.br.Buffered() == 0 && pc.SetDeadline(time.Time{}) == nil
}
