package engine

import (
	"brackenbend/internal/http1"
	"fmt"
	"time"
)

// ReleasesState tells that engines are told to let go of state.
func (c *Client) ReleasesState() bool { return c.Protocol.ReleaseMessage(&Endpoint{}, "") != nil }

// ReleaseState lets go of what id holds at s, trying while there is time and a was not cancelled; fresh asks for a new connection. Without
// such a call in the dialect it does nothing: engines let go by their own time-out.
func (c *Client) ReleaseState(a *Attempt, s *Endpoint, id string, fresh bool, deadline time.Time) error {
	message := c.Protocol.ReleaseMessage(s, id)
	if message == nil {
		return nil
	}
	var last error
	for try := range 3 { // letting go twice is harmless
		if try > 0 && (time.Until(deadline) <= 0 || a.Cancelled()) {
			break
		}
		if last = c.release(a, s, message, fresh, deadline); last == nil {
			return nil
		}
	}
	return last
}

func (c *Client) release(a *Attempt, s *Endpoint, message []byte, fresh bool, deadline time.Time) error {
	k, err := c.take(a, s, fresh, deadline)
	if err != nil {
		return err
	}
	clean := false
	defer func() { c.give(s, k, a.drop() && clean) }()
	if !a.hold(k.Conn) {
		return errShut
	}
	if err := k.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := k.Write(message); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(k.br, c.Limits)
	if err != nil {
		return err
	}
	s.lastAnswer.Store(time.Now().UnixNano())
	var b http1.Body
	b.Reset(k.br, &resp.Message, c.Limits)
	_, err = http1.ReadAll(&b, c.MaxReplyBytes)
	clean = err == nil && b.AtEOF() && !resp.Close
	if !c.Protocol.ReleaseAccepted(resp.Status) {
		return fmt.Errorf("engine: release answered %d", resp.Status)
	}
	return err
}
