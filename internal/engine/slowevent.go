package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"brackenbend/internal/sse"
)

// This file lets an event that an engine writes slowly take longer than StreamIdleTimeout. Its bytes count as long as
// they can still become an event of a usual size: those of a stream that never ends grow beyond it, or are no event.

// Bounds on the size of an event that may take longer, in bytes: a multiple of the largest one before it in the stream,
// and a minimum for the first ones.
const (
	slowEventFactor  = 2
	minSlowEventSize = 256
)

// extraTime is the time that a connection's reads get beyond their deadline, while bytes keep coming.
type extraTime struct {
	maxGap time.Duration // longest wait for the next byte
	end    time.Time     // when the extra time is over; zero = there is none
}

// Read reads from the connection. While there is extra time, a read that times out waits for maxGap from the last byte.
func (pc *persistConn) Read(p []byte) (int, error) {
	for {
		n, err := pc.Conn.Read(p)
		if pc.extra.end.IsZero() {
			return n, err
		}
		if n > 0 {
			pc.lastReadAt = time.Now()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !pc.startExtraTime() {
			return n, err
		}
	}
}

// startExtraTime sets the read deadline to maxGap from the last byte, within the extra time. It returns false if that
// has passed.
func (pc *persistConn) startExtraTime() bool {
	deadline := pc.lastReadAt.Add(pc.extra.maxGap)
	if deadline.After(pc.extra.end) {
		deadline = pc.extra.end
	}
	return time.Now().Before(deadline) && pc.SetReadDeadline(deadline) == nil
}

// grantExtraTime gives the reads of the connection extra time while an event is incomplete that the engine may still be
// writing.
func (r *streamRelay) grantExtraTime() {
	r.conn.extra = extraTime{}
	lastEventAt := r.attempt.stream.lastEventAt
	if r.client.SlowEventGap == 0 || r.filled == 0 || r.strayed || lastEventAt.IsZero() {
		return
	}
	if time.Since(lastEventAt) < r.client.StreamIdleTimeout/2 {
		return // bytes that come so early are of no interest when the time is over
	}
	if r.filled > max(slowEventFactor*r.largestEvent, minSlowEventSize) || !canBecomeEvent(r.buf[:r.filled]) {
		return
	}
	r.conn.lastReadAt = time.Now()
	r.conn.extra = extraTime{
		maxGap: r.client.SlowEventGap, end: lastEventAt.Add(r.client.SlowEventTimeout),
	}
}

var dataFieldName = []byte("data:")

// canBecomeEvent reports whether text is the beginning of an event with the data of an answer, in one line.
func canBecomeEvent(text []byte) bool {
	data, isData := bytes.CutPrefix(text, dataFieldName)
	if !isData {
		return bytes.HasPrefix(dataFieldName, text)
	}
	data = bytes.TrimSpace(data)
	if bytes.HasPrefix([]byte(sse.Done), data) {
		return true
	}
	if !bytes.HasPrefix(data, []byte("{")) {
		return false
	}
	var object json.RawMessage
	err := json.NewDecoder(bytes.NewReader(data)).Decode(&object)
	return err == nil || errors.Is(err, io.ErrUnexpectedEOF)
}
