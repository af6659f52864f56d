package engine

import (
	"bytes"
	"fmt"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/sse"
)

// This file contains what a relay does with each event: whether it is passed on, what it says about the answer, and
// whether the stream may go on.

// Prefixes of the data of error events and usage events, in the form that engines write them.
var (
	errorEventPrefix = []byte(`{"error"`)
	usageEventPrefix = []byte(`{"choices":[],`)
)

// scan returns the range of the buffer to pass on: complete events, starting with the first token. It returns done
// after the last event, unless the last chunk is required too.
func (r *streamRelay) scan() (start, end int, done bool, err error) {
	stream, buffered := &r.attempt.stream, r.buf[:r.filled]
	for {
		n := sse.Split(buffered[end:])
		if n == 0 {
			return start, end, false, nil
		}
		event := buffered[end : end+n]
		if r.client.StrictEvents && !sse.WellFormed(event) {
			return start, end, false, errMalformedEvent
		}
		data := sse.Data(event)
		r.strayed = true
		switch {
		case data != nil:
			if err := r.acceptData(data); err != nil {
				return start, end, false, err
			}
			r.largestEvent = max(r.largestEvent, n)
		case stream.begun:
			r.acceptComment(event)
		default: // a comment before the first token is dropped
			start = end + n
		}
		end += n
		if stream.lastEventReceived && !r.client.RequireLastChunk {
			return start, end, true, nil
		}
	}
}

// acceptData updates the stream's state with an event that has data. After an error the event is not passed on.
func (r *streamRelay) acceptData(data []byte) error {
	stream := &r.attempt.stream
	if bytes.HasPrefix(data, errorEventPrefix) && !r.client.RequireLastChunk {
		return fmt.Errorf("%w: %.200s", errErrorEvent, data)
	}
	if r.client.StrictEvents && (stream.lastEventReceived || !isEventData(data)) {
		return errMalformedEvent
	}
	if !stream.begun {
		if !r.sink.Begin() {
			return errResponseClaimed
		}
		stream.begun = true
	}
	if !r.client.StrictEvents || stream.answer.advance(data) {
		r.advanced, r.strayed = true, false
		stream.lastEventAt = time.Now()
	}
	if string(data) == sse.Done {
		stream.lastEventReceived = true
		return nil
	}
	stream.events++
	if r.client.StrictEvents && r.maxEvents > 0 && stream.events > r.maxEvents {
		return fmt.Errorf("%w: over %d", errTooManyEvents, r.maxEvents)
	}
	if bytes.HasPrefix(data, usageEventPrefix) {
		stream.cachedTokens = api.CachedTokens(data)
	}
	return nil
}

// acceptComment reads the load report that a comment within the stream may contain with RequireLastChunk.
func (r *streamRelay) acceptComment(event []byte) {
	if !r.client.RequireLastChunk {
		return
	}
	if report, ok := bytes.CutPrefix(event, []byte(": "+r.client.LoadReportHeader+": ")); ok {
		r.attempt.stream.loadReport = r.client.loadMetrics(string(bytes.TrimSpace(report)))
	}
}
