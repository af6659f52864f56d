package engine

import (
	"errors"
	"io"
	"net/http"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// lastChunkTimeout is how long to wait for the last chunk of a stream after its last event. Engines send the chunk
// immediately. A connection on which it does not arrive in time is closed.
const lastChunkTimeout = time.Second

// Sink receives the events of a stream. Only the attempt's goroutine calls it.
type Sink interface {
	// Begin is called at the first token, before Events. It returns false if the client has already received another
	// response, which ends the attempt.
	Begin() bool
	// Events receives one or more complete events. The slice is valid only during the call. last means that the stream
	// ends with these events. An error ends the attempt.
	Events(events []byte, last bool) error
}

// Decode runs the decode stage, or the whole request, at e and passes the events of its stream to sink.
func (c *Client) Decode(a *Attempt, e *Endpoint, call Call, sink Sink) Outcome {
	pc, resp, failedOutcome := c.roundTrip(a, e, &call)
	if failedOutcome != nil {
		return *failedOutcome
	}
	if resp.Status != http.StatusOK {
		return c.readReply(a, e, pc, resp, false)
	}
	if c.HeaderTimeout > 0 { // set for engines that send the first event with the header: it comes soon or never
		_ = pc.SetReadDeadline(earlierDeadline(c.StreamIdleTimeout, call.Deadline)) // if this fails, the read fails too
	}
	stream := newStreamRelay(c, a, pc, resp, sink)
	stream.maxEvents = call.maxEvents()
	out := stream.relay()
	out.Stream = a.stream.progress()
	out.CachedTokens, out.LoadReport = a.stream.cachedTokens, a.stream.loadReport
	if out.LoadReport == nil {
		out.LoadReport = c.loadMetrics(resp.Header.Get(c.LoadReportHeader))
	}
	reusable := out.Result == routing.Served && !resp.Close && readLastChunk(pc, &stream.body)
	c.putConn(e, pc, a.detachConn() && reusable)
	return out
}

// readLastChunk reads the end of a stream's body after its last event. It returns false if more data or an error
// follows instead.
func readLastChunk(pc *persistConn, body *http1.Body) bool {
	if body.AtEOF() {
		return true
	}
	_ = pc.SetReadDeadline(time.Now().Add(lastChunkTimeout)) // if this fails, the read fails too
	var b [1]byte
	n, err := body.Read(b[:])
	return n == 0 && errors.Is(err, io.EOF)
}
