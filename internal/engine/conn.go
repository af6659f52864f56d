package engine

import (
	"bufio"
	"net"
	"time"

	"brackenbend/internal/socket"
)

// connReadBuffer is the size of a connection's read buffer in bytes. An idle connection holds no other buffer.
const connReadBuffer = 4096

// persistConn is a connection to an engine that may serve several requests. It is owned by one attempt at a time, or is
// in the list of idle connections of its endpoint. It ends with a reset while a request is open on it, however it ends
// (socket.ResetOnClose): a request that was given up must not arrive later. Releases are an exception.
type persistConn struct {
	net.Conn
	br         *bufio.Reader
	idleSince  time.Time // when its last response ended
	reused     bool      // an earlier request has been sent on it
	extra      extraTime // set by the relay of a stream
	lastReadAt time.Time // when bytes were last read, where there is extra time
}

func newPersistConn(nc net.Conn) *persistConn {
	pc := &persistConn{Conn: nc}
	pc.br = bufio.NewReaderSize(pc, connReadBuffer)
	return pc
}

// idleFor is the time since an idle connection was last used.
func (pc *persistConn) idleFor() time.Duration { return time.Since(pc.idleSince) }

// peerIdle reports whether the peer of an idle connection has neither closed it nor sent anything. The peer may still
// close it between this check and the next request, so a request that is not idempotent always gets a new connection.
func (pc *persistConn) peerIdle() bool { return socket.ReadState(pc.Conn) == socket.Idle }

// prepareReuse clears the connection's deadlines for its next request. It returns false if the connection has unread
// data or its deadlines can't be cleared.
func (pc *persistConn) prepareReuse() bool {
	return pc.br.Buffered() == 0 && pc.SetDeadline(time.Time{}) == nil
}
