package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"brackenbend/internal/http1"
)

// pathList is the path of the list; with a revision it is a watch.
const pathList = "/v1/servers"

// readBufferSize is the size of a connection's read buffer in bytes. A list goes past it into memory of its own.
const readBufferSize = 4096

// responseLimits bounds the heads of replies; those of the platform have few fields.
var responseLimits = http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100}

// conn is one connection on which the complete list was requested.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	detach  func() bool // keeps the end of the attempt's context from closing the connection; false = it did already
}

// close closes the connection. Its error is of no use: what was awaited has been read or was abandoned.
func (c *conn) close() { _ = c.Close() }

// openResult is the result of one connection attempt.
type openResult struct {
	conn *conn
	err  error
}

// openAttempts is a series of connection attempts of which the first one with a reply wins.
type openAttempts struct {
	open    func(ctx context.Context) (*conn, error)
	results chan openResult
	pending int // attempts without a result
	started int
	cancels [MaxOpenCalls]context.CancelFunc
}

// openList requests the complete list and returns the connection on which a reply begins. It repeats the request on a
// new connection whenever no reply has begun for FirstByteTimeout: a discovery that was down does not answer what it
// was sent before it came back.
func (w *Watcher) openList(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	attempts := &openAttempts{
		open:    func(ctx context.Context) (*conn, error) { return w.open(ctx, address) },
		results: make(chan openResult),
	}
	defer func() {
		cancel()
		attempts.discard()
	}()
	repeat := time.NewTicker(w.FirstByteTimeout)
	defer repeat.Stop()
	for {
		attempts.start(ctx)
		if c, err := attempts.await(repeat.C); c != nil || err != nil {
			return c, err
		}
	}
}

// start starts an attempt and cancels the oldest one where MaxOpenCalls are open.
func (a *openAttempts) start(ctx context.Context) {
	slot := &a.cancels[a.started%MaxOpenCalls]
	a.started++
	if *slot != nil {
		(*slot)()
	}
	ctx, *slot = context.WithCancel(ctx)
	a.pending++
	go func() {
		c, err := a.open(ctx)
		a.results <- openResult{c, err}
	}()
}

// await returns the first connection with a reply, or an error when all attempts have failed; neither when repeat
// fires.
func (a *openAttempts) await(repeat <-chan time.Time) (*conn, error) {
	for {
		select {
		case result := <-a.results:
			a.pending--
			if result.err == nil && result.conn.detach() {
				return result.conn, nil
			}
			if result.err != nil && a.pending == 0 {
				return nil, result.err
			}
		case <-repeat:
			return nil, nil
		}
	}
}

// discard waits for the attempts that did not win, whose context has ended, and closes their connections.
func (a *openAttempts) discard() {
	for ; a.pending > 0; a.pending-- {
		if result := <-a.results; result.err == nil {
			result.conn.close()
		}
	}
}

// open requests the complete list on a new connection and waits for the first byte of a reply. The end of ctx ends it.
func (w *Watcher) open(ctx context.Context, address string) (*conn, error) {
	connectCtx, cancel := context.WithTimeout(ctx, w.ConnectTimeout)
	netConn, err := w.connect(connectCtx, address)
	cancel()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: netConn, address: address, reader: bufio.NewReaderSize(netConn, readBufferSize)}
	c.detach = context.AfterFunc(ctx, c.close)
	err = w.sendRequest(c, pathList)
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (w *Watcher) connect(ctx context.Context, address string) (net.Conn, error) {
	if w.dial != nil {
		return w.dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// requestWatch requests the changes since a revision and waits for the first byte of the reply.
func (w *Watcher) requestWatch(c *conn, revision int64) error {
	if err := c.SetReadDeadline(time.Now().Add(w.WatchTimeout + w.FirstByteTimeout)); err != nil {
		return err
	}
	target := fmt.Sprintf("%s?from=%d&hold_ms=%d", pathList, revision, w.WatchTimeout.Milliseconds())
	if err := w.sendRequest(c, target); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

func (w *Watcher) sendRequest(c *conn, target string) error {
	if err := c.SetWriteDeadline(time.Now().Add(w.ResponseTimeout)); err != nil {
		return err
	}
	request := "GET " + target + " HTTP/1.1\r\nHost: " + c.address + "\r\nAccept: application/json\r\n\r\n"
	_, err := c.Write([]byte(request))
	return err
}

// readReply reads a reply that has begun; reusable reports whether the connection may be used for another request.
func (w *Watcher) readReply(c *conn) (text []byte, reusable bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(w.ResponseTimeout)); err != nil {
		return nil, false, err
	}
	resp, err := http1.ReadResponse(c.reader, responseLimits)
	if err != nil {
		return nil, false, err
	}
	if resp.Status != http.StatusOK {
		return nil, false, fmt.Errorf("discovery: answered %d", resp.Status)
	}
	var body http1.Body
	body.Reset(c.reader, &resp.Message, responseLimits)
	text, err = http1.ReadAll(&body, w.MaxListBytes)
	return text, !resp.Close, err
}
