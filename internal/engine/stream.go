package engine

import (
	"errors"
	"io"
	"net/http"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// lastChunkTimeout is how long the last chunk is waited for after the last event. Engines send it right behind; a
// connection without it is closed.
const lastChunkTimeout = time.Second

// Sink takes a stream. It is called from the attempt's goroutine only.
type Sink interface {
	// Begin claims the client's response when the first token is here; false: another response was given.
	Begin() bool
	// Events takes one or more complete events, valid during the call; last: the stream's end is among them. An error
	// ends the attempt.
	Events(events []byte, last bool) error
}

// Decode runs the decode stage, or the whole request, at e and passes its events to sink.
func (c *Client) Decode(a *Attempt, e *Endpoint, call Call, sink Sink) Outcome {
	pc, resp, failed := c.roundTrip(a, e, &call)
	if failed != nil {
		return *failed
	}
	if resp.Status != http.StatusOK {
		return c.readReply(a, e, pc, resp, false)
	}
	if c.HeaderTimeout > 0 { // the first event comes with the header, in time or not at all
		_ = pc.SetReadDeadline(earlierDeadline(c.StreamIdleTimeout, call.Deadline)) // where it fails, so does the read
	}
	stream := newStreamRelay(c, a, pc, resp, sink)
	out := stream.relay()
	out.Events, out.CachedTokens, out.LoadReport = a.stream.events, a.stream.cachedTokens, a.stream.loadReport
	if out.LoadReport == nil {
		out.LoadReport = c.loadFigures(resp.Header.Get(c.LoadReportHeader))
	}
	clean := out.Result == routing.Served && !resp.Close && readLastChunk(pc, &stream.body)
	c.putConn(e, pc, a.detachConn() && clean)
	return out
}

// readLastChunk reads the end of a stream's body after its last event; false when something else comes.
func readLastChunk(pc *persistConn, body *http1.Body) bool {
	if body.AtEOF() {
		return true
	}
	_ = pc.SetReadDeadline(time.Now().Add(lastChunkTimeout)) // where it fails, so does the read
	var b [1]byte
	n, err := body.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}
