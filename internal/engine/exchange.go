package engine

import (
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// exchange dials or reuses, checks that the server is still open, sends, and reads the response's head. On
// failure it returns the outcome and no connection.
func (c *Client) exchange(a *Attempt, s *Endpoint, call *Call) (*conn, *http1.Response, *Outcome) {
	fail := func(k *conn, out Outcome) (*conn, *http1.Response, *Outcome) {
		if k != nil {
			a.drop()
			c.give(s, k, false)
		}
		if out.Result.NeverExecuted() && call.late() { // the server is not to blame
			out.Result = routing.NotSent
		}
		return nil, nil, &out
	}
	if a.Cancelled() || !s.IsOpen() || call.over() || call.expired() {
		return fail(nil, Outcome{Result: routing.NotSent, Err: errShut})
	}
	a.start()
	up := call.sendBy()
	if call.ConnectTimeout > 0 {
		up = soon(call.ConnectTimeout, up)
	}
	k, err := c.take(a, s, call.SingleUseConn || call.NewConn, up)
	if errors.Is(err, errTooMany) {
		return fail(nil, Outcome{Result: routing.NotSent, Err: err})
	}
	if err != nil {
		return fail(nil, a.ended(err))
	}
	if !a.hold(k.Conn) || !s.IsOpen() || call.over() { // called off, or told to drain while the dial was pending
		return fail(k, Outcome{Result: routing.NotSent, Err: errShut})
	}
	if err := k.SetReadDeadline(call.Deadline); err != nil {
		return fail(k, a.ended(err))
	}
	if err := k.SetWriteDeadline(call.sendBy()); err != nil {
		return fail(k, a.ended(err))
	}
	a.up = true
	a.advance(func(p *Progress, since time.Duration) { p.ReusedConn, p.Connected = k.reused, since })
	n, err := c.transmit(a, s, k, call)
	a.sent = n > 0 && (!c.RunsWhenComplete || err == nil)
	if err == nil {
		a.advance(func(p *Progress, since time.Duration) { p.Written = since })
	}
	if errors.Is(err, errShut) {
		return fail(k, Outcome{Result: routing.NotSent, Err: err})
	}
	if err != nil {
		if n > 0 { // an engine may answer and close before it has read everything
			_ = k.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if resp, rerr := http1.ReadResponse(k.br, c.Limits); rerr == nil && resp.Status >= 300 {
				resp.Close = true
				return k, resp, nil
			}
		}
		return fail(k, a.ended(err))
	}
	resp, err := c.head(k, call.Deadline)
	if k.reused && err != nil && k.br.Buffered() == 0 && !a.Cancelled() {
		c.lostOnKept(s, err)
	}
	if err != nil {
		return fail(k, a.ended(err))
	}
	a.advance(func(p *Progress, since time.Duration) { p.ResponseStarted = since })
	s.lastAnswer.Store(time.Now().UnixNano())
	return k, resp, nil
}

// broken tells that a connection ended, and was neither too slow nor understood wrongly.
func broken(err error) bool {
	var proto *http1.Error
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &proto) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// soon is the end of a wait that may not go past deadline.
func soon(wait time.Duration, deadline time.Time) time.Time {
	if at := time.Now().Add(wait); deadline.IsZero() || at.Before(deadline) {
		return at
	}
	return deadline
}

// head reads the head of the answer, passing over interim ones. Each may be waited for until deadline, but must be
// whole soon after its first byte.
func (c *Client) head(k *conn, deadline time.Time) (*http1.Response, error) {
	if c.HeaderTimeout == 0 {
		return http1.ReadResponse(k.br, c.Limits)
	}
	for i := range http1.MaxInterimResponses {
		if _, err := k.br.Peek(1); err != nil {
			return nil, err
		}
		if !http1.HeaderBuffered(k.br) {
			if err := k.SetReadDeadline(soon(c.HeaderTimeout, deadline)); err != nil {
				return nil, err
			}
		}
		resp, err := http1.ReadResponseHeader(k.br, c.Limits)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = &http1.Error{Status: 502, Reason: "the head of the answer does not end"}
		}
		if err != nil || resp.Status >= 200 {
			if err == nil && i > 0 {
				resp.Close = true // nobody asked for the ones before it: what else comes on the connection is not known
			}
			return resp, err
		}
		if err := k.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
	}
	return nil, &http1.Error{Status: 502, Reason: "too many interim responses"}
}

var errShut = errors.New("engine: drains, is gone, or the attempt was called off before its first byte")

// errEarly: the engine spoke before the request was whole.
var errEarly = errors.New("engine: answered before the request's last byte")

// transmit sends a call's request. The last byte of what may run only once waits until the connection has stood for
// Settle with all the rest.
func (c *Client) transmit(a *Attempt, s *Endpoint, k *conn, call *Call) (int64, error) {
	m, last := c.message(s, call), len(call.Body)-1
	if !call.SingleUseConn || c.SettleDelay <= 0 || !c.RunsWhenComplete || last < 0 {
		return m.WriteTo(k.Conn)
	}
	(*m)[1] = call.Body[:last]
	n, err := m.WriteTo(k.Conn)
	if err != nil {
		return n, err
	}
	if err := k.SetReadDeadline(soon(c.SettleDelay, call.Deadline)); err != nil {
		return n, err
	}
	switch _, err := k.br.Peek(1); {
	case err == nil:
		return n, errEarly
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return n, err
	case a.Cancelled() || !s.IsOpen() || call.over():
		return n, errShut
	}
	if err := k.SetReadDeadline(call.Deadline); err != nil {
		return n, err
	}
	w, err := k.Write(call.Body[last:])
	return n + int64(w), err
}

// message is a call's request; the body is not copied.
func (c *Client) message(s *Endpoint, call *Call) *net.Buffers {
	b := make([]byte, 0, 512)
	b = append(c.Protocol.AppendHead(b, s, call), "\r\n"...)
	return &net.Buffers{b, call.Body}
}

// whole reads the rest of an answer and gives the connection back; alive is false when the attempt was called off.
func (c *Client) whole(a *Attempt, s *Endpoint, k *conn, resp *http1.Response) (text []byte, alive bool, err error) {
	var body http1.Body
	body.Reset(k.br, &resp.Message, c.Limits)
	text, err = http1.ReadAll(&body, c.MaxReplyBytes)
	alive = a.drop()
	c.give(s, k, alive && err == nil && body.AtEOF() && !resp.Close)
	return text, alive, err
}

// answered reads an answer that is no stream.
func (c *Client) answered(a *Attempt, s *Endpoint, k *conn, resp *http1.Response, read bool) Outcome {
	text, alive, err := c.whole(a, s, k, resp)
	if resp.Status < 300 && (err != nil || !alive) {
		return a.ended(err)
	}
	out := c.Protocol.ParseReply(read, resp, text, err)
	if out.Result == routing.EngineError && !a.sent { // it has not begun, whatever it says
		out.Result = routing.RequestIncomplete
	}
	out.LoadReport = c.report(resp.Header.Get(c.LoadReportHeader))
	return out
}

// AwaitSettled waits for Settle after an attempt that was given up: its connection is closed, and the engine has to know before
// another engine or the client is told anything that follows from it. What the engine ended itself needs no wait.
func (c *Client) AwaitSettled(out *Outcome) {
	switch out.Result {
	case routing.TimedOut, routing.Cancelled, routing.EngineError, routing.RequestIncomplete:
		if c.Sleep != nil {
			c.Sleep(c.SettleDelay)
			return
		}
		time.Sleep(c.SettleDelay)
	}
}

// Prefill runs the reading stage at s.
func (c *Client) Prefill(a *Attempt, s *Endpoint, call Call) Outcome {
	k, resp, failed := c.exchange(a, s, &call)
	if failed != nil {
		return *failed
	}
	return c.answered(a, s, k, resp, true)
}
