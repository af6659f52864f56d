package engine

import (
	"fmt"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/internal/socket"
)

// maxReleaseAttempts is the maximum number of attempts to send one release. Releases are idempotent.
const maxReleaseAttempts = 3

// ReleasesState reports whether the protocol has a request that releases read state.
func (c *Client) ReleasesState() bool { return c.Protocol.ReleaseMessage(&Endpoint{}, "") != nil }

// ReleaseState releases the read state of id at e. It makes up to maxReleaseAttempts attempts, and no retry after
// deadline or once a is canceled. If newConn is set, each attempt uses a new connection. ReleaseState does nothing if
// the protocol has no release request; engines then release read state by their own time-out.
func (c *Client) ReleaseState(a *Attempt, e *Endpoint, id string, newConn bool, deadline time.Time) error {
	message := c.Protocol.ReleaseMessage(e, id)
	if message == nil {
		return nil
	}
	var err error
	for attempt := range maxReleaseAttempts {
		if attempt > 0 && (time.Until(deadline) <= 0 || a.Canceled()) {
			break
		}
		if err = c.release(a, e, message, newConn, deadline); err == nil {
			return nil
		}
	}
	return err
}

// release sends one release request and reads its response.
func (c *Client) release(a *Attempt, e *Endpoint, message []byte, newConn bool, deadline time.Time) error {
	pc, err := c.getConn(a, e, newConn, deadline)
	if err != nil {
		return err
	}
	reusable := false
	defer func() { c.putConn(e, pc, a.detachConn() && reusable) }()
	if !a.attachConn(pc.Conn) {
		return errNotSent
	}
	if err := pc.SetDeadline(deadline); err != nil {
		return err
	}
	_ = socket.DeliverOnClose(pc.Conn) // a release that is given up does no harm if it arrives, but good
	if _, err := pc.Write(message); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(pc.br, c.Limits)
	if err != nil {
		return err
	}
	e.markResponse()
	var body http1.Body
	body.Reset(pc.br, &resp.Message, c.Limits)
	_, err = http1.ReadAll(&body, c.MaxReplyBytes)
	reusable = err == nil && body.AtEOF() && !resp.Close
	_ = socket.ResetOnClose(pc.Conn) // for its next request
	if !c.Protocol.ReleaseAccepted(resp.Status) {
		return fmt.Errorf("engine: release failed with status %d", resp.Status)
	}
	return err
}
