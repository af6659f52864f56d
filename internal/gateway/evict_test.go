package gateway

import (
	"brackenbend/internal/http1"
	"net"
	"testing"
	"time"
)

// racing is a client's connection on which a request arrives while something else happens.
type racing struct {
	net.Conn
	meanwhile func()
	closed    bool
}

func (c *racing) Read(p []byte) (int, error) {
	c.meanwhile()
	return copy(p, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"), nil
}
func (c *racing) Close() error                    { c.closed = true; return nil }
func (c *racing) SetReadDeadline(time.Time) error { return nil }

// TestARequestOnAnEvictedConnectionIsNotBegun: a request comes in the moment in which its connection is ended to make room.
// Its client sees the close and sends it again, so begun here it would run twice. One whose request came first stays.
func TestARequestOnAnEvictedConnectionIsNotBegun(t *testing.T) {
	for _, during := range []bool{true, false} {
		f := &Gateway{Options: Options{MinIdleTime: time.Nanosecond}, limits: http1.Limits{MaxHeaderBytes: 4096, MaxHeaderFields: 10}, conns: map[*clientConn]struct{}{}}
		nc := &racing{meanwhile: func() {}}
		room := false
		if during {
			nc.meanwhile = func() { time.Sleep(time.Microsecond); room = f.evictIdleConn() }
		}
		c := newClientConn(f, nc)
		c.hadRequest = true
		f.conns[c] = struct{}{}
		req, err := c.readRequest()
		if !during {
			room = f.evictIdleConn()
		}
		if (req == nil) != during || (err != nil) != during || room != during || nc.closed != during {
			t.Errorf("during the wait %v: request %v, error %v, room %v, closed %v", during, req != nil, err, room, nc.closed)
		}
	}
}
