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

// pathList is the path of the endpoint list. With a revision in the query, the request is a watch (a long poll).
const pathList = "/v1/servers"

// readBufferSize is the size of a connection's read buffer in bytes. Replies may be longer.
const readBufferSize = 4096

// responseLimits bounds the heads of replies. The platform's replies have few header fields.
var responseLimits = http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100}

// conn is a connection to the discovery agent. The first request on it is for the complete list.
type conn struct {
	net.Conn
	address       string
	reader        *bufio.Reader
	detachContext func() bool // stops the context from closing the connection; false = already closed
	watchSentAt   time.Time   // when the last watch was sent
}

// close closes the connection. The error is ignored, since the reply was read or abandoned.
func (c *conn) close() { _ = c.Close() }

// attemptResult is the result of one attempt to get the complete list.
type attemptResult struct {
	conn *conn
	err  error
}

// listAttempts is a series of attempts to get the complete list, each on its own connection. The first connection on
// which a reply begins is used.
type listAttempts struct {
	attempt      func(ctx context.Context) (*conn, error)
	results      chan attemptResult
	pending      int // number of attempts without a result
	startedCount int
	cancels      [MaxListRequests]context.CancelFunc
}

// requestList requests the complete list and returns the connection on which a reply begins. It repeats the request on
// a new connection each time that FirstByteTimeout passes without a reply, because a discovery agent that was down does
// not answer the requests that it received before it came back.
func (w *Watcher) requestList(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	attempts := &listAttempts{
		attempt: func(ctx context.Context) (*conn, error) { return w.attemptList(ctx, address) },
		results: make(chan attemptResult),
	}
	defer func() {
		cancel()
		attempts.discard()
	}()
	repeatTicker := time.NewTicker(w.FirstByteTimeout)
	defer repeatTicker.Stop()
	for {
		attempts.start(ctx)
		if c, err := attempts.await(repeatTicker.C); c != nil || err != nil {
			return c, err
		}
	}
}

// start starts an attempt. If MaxListRequests attempts are in flight, it cancels the oldest one.
func (a *listAttempts) start(ctx context.Context) {
	cancelSlot := &a.cancels[a.startedCount%MaxListRequests]
	a.startedCount++
	if *cancelSlot != nil {
		(*cancelSlot)()
	}
	ctx, *cancelSlot = context.WithCancel(ctx)
	a.pending++
	go func() {
		c, err := a.attempt(ctx)
		a.results <- attemptResult{c, err}
	}()
}

// await returns the first connection on which a reply begins, or an error once all attempts have failed. It returns
// neither when repeat fires.
func (a *listAttempts) await(repeatTimer <-chan time.Time) (*conn, error) {
	for {
		select {
		case result := <-a.results:
			a.pending--
			if result.err == nil && result.conn.detachContext() {
				return result.conn, nil
			}
			if result.err != nil && a.pending == 0 {
				return nil, result.err
			}
		case <-repeatTimer:
			return nil, nil
		}
	}
}

// discard waits for the remaining attempts, whose context must have been canceled, and closes their connections.
func (a *listAttempts) discard() {
	for ; a.pending > 0; a.pending-- {
		if result := <-a.results; result.err == nil {
			result.conn.close()
		}
	}
}

// attemptList requests the complete list on a new connection and waits for the first byte of the reply. When ctx ends,
// the connection is closed.
func (w *Watcher) attemptList(ctx context.Context, address string) (*conn, error) {
	connectCtx, cancel := context.WithTimeout(ctx, w.ConnectTimeout)
	netConn, err := w.connect(connectCtx, address)
	cancel()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: netConn, address: address, reader: bufio.NewReaderSize(netConn, readBufferSize)}
	c.detachContext = context.AfterFunc(ctx, c.close)
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
	c.watchSentAt = time.Now()
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

// readReply reads a reply whose first byte has arrived. reusable reports whether the connection may be used for another
// request.
func (w *Watcher) readReply(c *conn) (content []byte, reusable bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(w.ResponseTimeout)); err != nil {
		return nil, false, err
	}
	resp, err := http1.ReadResponse(c.reader, responseLimits)
	if err != nil {
		return nil, false, err
	}
	if resp.Status != http.StatusOK {
		return nil, false, fmt.Errorf("discovery: agent returned status %d", resp.Status)
	}
	var body http1.Body
	body.Reset(c.reader, &resp.Message, responseLimits)
	content, err = http1.ReadAll(&body, w.MaxListBytes)
	return content, !resp.Close, err
}
