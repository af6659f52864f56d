package engine

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/internal/socket"
	"brackenbend/routing"
)

// earlyResponseTimeout is how long to wait for a response after sending the request has failed. An engine that responds
// before it stops reading the request has sent the response by then, so it arrives soon.
const earlyResponseTimeout = 50 * time.Millisecond

// requestHeadCapacity is the initial buffer size for a request line and header, in bytes; usual calls fit.
const requestHeadCapacity = 512

// Prefill runs the prefill stage at e.
func (c *Client) Prefill(a *Attempt, e *Endpoint, call Call) Outcome {
	pc, resp, failedOutcome := c.roundTrip(a, e, &call)
	if failedOutcome != nil {
		return *failedOutcome
	}
	return c.readReply(a, e, pc, resp, true)
}

// roundTrip gets a connection, sends the request and reads the response header. On failure it returns only the outcome.
func (c *Client) roundTrip(a *Attempt, e *Endpoint, call *Call) (*persistConn, *http1.Response, *Outcome) {
	if a.Canceled() || !e.IsOpen() || call.mustNotSend() || call.deadlinePassed() {
		return nil, nil, c.failAttempt(a, e, nil, call, errNotSent)
	}
	a.start()
	pc, err := c.getConn(a, e, call.NotIdempotent || call.NewConn, call.connectDeadline())
	if err != nil {
		return nil, nil, c.failAttempt(a, e, nil, call, err)
	}
	resp, err := c.exchange(a, e, pc, call)
	if err != nil {
		return nil, nil, c.failAttempt(a, e, pc, call, err)
	}
	return pc, resp, nil
}

// failAttempt resets pc, unless it is nil, and returns the outcome of an attempt that failed with err.
func (c *Client) failAttempt(a *Attempt, e *Endpoint, pc *persistConn, call *Call, err error) *Outcome {
	out := a.failureOutcome(err)
	if pc != nil {
		a.detachConn()
		c.putConn(e, pc, false)
	}
	if out.Result.NeverExecuted() && call.sendTimePassed() { // out of time to send, which is no failure of the engine
		out.Result = routing.NotSent
	}
	return &out
}

// exchange sends the request on pc and reads the response header.
func (c *Client) exchange(a *Attempt, e *Endpoint, pc *persistConn, call *Call) (*http1.Response, error) {
	if err := prepareConn(a, e, pc, call); err != nil {
		return nil, err
	}
	written, err := c.send(a, e, pc, call)
	a.delivery.mayHaveRun = written > 0 && (!c.RunsWhenComplete || err == nil)
	if err != nil {
		if resp := c.readEarlyResponse(pc, written, err); resp != nil {
			return resp, nil
		}
		return nil, err
	}
	a.advance(func(p *Progress, elapsed time.Duration) { p.Written = elapsed })
	resp, err := c.awaitResponse(pc, call)
	if err != nil {
		if pc.reused && pc.br.Buffered() == 0 && !a.Canceled() {
			c.onReuseFailure(e, err)
		}
		return nil, err
	}
	a.advance(func(p *Progress, elapsed time.Duration) { p.ResponseStarted = elapsed })
	e.markResponse()
	return resp, nil
}

// awaitResponse reads the response header of a request that was written. It fails if the request has not arrived by
// SendBy; the caller then resets the connection, so that the request never arrives.
func (c *Client) awaitResponse(pc *persistConn, call *Call) (*http1.Response, error) {
	if call.SendBy.IsZero() || call.writeDeadline() != call.SendBy {
		return c.readResponseHeader(pc, call.Deadline)
	}
	if err := pc.SetReadDeadline(call.SendBy); err != nil {
		return nil, err
	}
	switch _, err := pc.br.Peek(1); {
	case errors.Is(err, os.ErrDeadlineExceeded) && !requestArrived(pc.Conn):
		return nil, errNotArrived
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return nil, err
	}
	if err := pc.SetReadDeadline(call.Deadline); err != nil {
		return nil, err
	}
	return c.readResponseHeader(pc, call.Deadline)
}

// requestArrived reports whether the engine's system has acknowledged all of the request that was written to nc. It
// returns true also where the kernel does not tell.
func requestArrived(nc net.Conn) bool {
	unacknowledged, err := socket.Unacknowledged(nc)
	return err != nil || unacknowledged == 0
}

// prepareConn attaches the connection to the attempt and sets its deadlines.
func prepareConn(a *Attempt, e *Endpoint, pc *persistConn, call *Call) error {
	if !a.attachConn(pc.Conn) || !e.IsOpen() || call.mustNotSend() { // canceled or drained while the dial was pending
		return errNotSent
	}
	if err := pc.SetReadDeadline(call.Deadline); err != nil {
		return err
	}
	if err := pc.SetWriteDeadline(call.writeDeadline()); err != nil {
		return err
	}
	a.delivery.connected = true
	a.advance(func(p *Progress, elapsed time.Duration) { p.ReusedConn, p.Connected = pc.reused, elapsed })
	return nil
}

// send writes a call's request and returns how many bytes of it the kernel accepted. It withholds the last byte of a
// request that is not idempotent until the connection has stayed open for SettleDelay after all other bytes.
func (c *Client) send(a *Attempt, e *Endpoint, pc *persistConn, call *Call) (int64, error) {
	message, lastByte := c.requestMessage(e, call), len(call.Body)-1
	if !call.NotIdempotent || c.SettleDelay <= 0 || !c.RunsWhenComplete || lastByte < 0 {
		return message.WriteTo(pc.Conn)
	}
	(*message)[1] = call.Body[:lastByte]
	written, err := message.WriteTo(pc.Conn)
	if err != nil {
		return written, err
	}
	if err := c.awaitStable(a, e, pc, call); err != nil {
		return written, err
	}
	n, err := pc.Write(call.Body[lastByte:])
	return written + int64(n), err
}

// requestMessage returns a call's complete request without copying the body.
func (c *Client) requestMessage(e *Endpoint, call *Call) *net.Buffers {
	head := make([]byte, 0, requestHeadCapacity)
	head = append(c.Protocol.AppendHead(head, e, call), "\r\n"...)
	return &net.Buffers{head, call.Body}
}

// awaitStable waits for SettleDelay. It returns an error if the connection breaks or receives data in that time, or if
// the request must no longer be sent.
func (c *Client) awaitStable(a *Attempt, e *Endpoint, pc *persistConn, call *Call) error {
	if err := pc.SetReadDeadline(earlierDeadline(c.SettleDelay, call.Deadline)); err != nil {
		return err
	}
	switch _, err := pc.br.Peek(1); {
	case err == nil:
		return errEarlyResponse
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case a.Canceled() || !e.IsOpen() || call.mustNotSend():
		return errNotSent
	}
	return pc.SetReadDeadline(call.Deadline)
}

// readEarlyResponse reads the response that an engine may send before it closes a connection without having read the
// whole request. It returns nil if there is no response with a redirect or error status.
func (c *Client) readEarlyResponse(pc *persistConn, written int64, sendErr error) *http1.Response {
	if written == 0 || errors.Is(sendErr, errNotSent) {
		return nil
	}
	_ = pc.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) // if this fails, the read fails too
	resp, err := http1.ReadResponse(pc.br, c.Limits)
	if err != nil || resp.Status < http.StatusMultipleChoices {
		return nil
	}
	resp.Close = true
	return resp
}

// AwaitSettled waits for SettleDelay if, by its result, this process may have ended the attempt by closing its
// connection. The engine must notice the close before a retry goes to another engine or the client gets an answer. No
// wait is needed after the other results, where the engine ended the attempt itself or never received it.
func (c *Client) AwaitSettled(out *Outcome) {
	switch out.Result {
	case routing.TimedOut, routing.Canceled, routing.EngineError, routing.RequestIncomplete:
	default:
		return
	}
	if c.Sleep != nil {
		c.Sleep(c.SettleDelay)
		return
	}
	time.Sleep(c.SettleDelay)
}
