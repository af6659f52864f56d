package engine

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// TestFailureTableOrder checks which row of the failure table applies where several match.
func TestFailureTableOrder(t *testing.T) {
	unconnected, connected := delivery{}, delivery{connected: true}
	started := delivery{connected: true, mayHaveRun: true}
	timeout := fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
	malformed := &http1.Error{Status: 400, Reason: "malformed"}
	for name, c := range map[string]struct {
		err          error
		delivery     delivery
		want         outcomeRow
		wantCanceled outcomeRow // for a canceled attempt
	}{
		"not sent":           {errNotSent, connected, outcomeRow{7, false}, outcomeRow{7, false}},
		"connection limit":   {errConnLimit, unconnected, outcomeRow{7, false}, outcomeRow{7, false}},
		"dial refused":       {syscall.ECONNREFUSED, unconnected, outcomeRow{4, false}, outcomeRow{7, false}},
		"dial timed out":     {timeout, unconnected, outcomeRow{4, false}, outcomeRow{7, false}},
		"write failed":       {syscall.EPIPE, connected, outcomeRow{9, false}, outcomeRow{7, false}},
		"write timed out":    {timeout, connected, outcomeRow{9, false}, outcomeRow{7, false}},
		"early response":     {errEarlyResponse, connected, outcomeRow{9, false}, outcomeRow{7, false}},
		"read timed out":     {timeout, started, outcomeRow{3, false}, outcomeRow{6, false}},
		"not arrived":        {errNotArrived, started, outcomeRow{3, false}, outcomeRow{6, false}},
		"reset":              {syscall.ECONNRESET, started, outcomeRow{5, false}, outcomeRow{6, false}},
		"closed":             {io.EOF, started, outcomeRow{5, false}, outcomeRow{6, false}},
		"malformed response": {malformed, started, outcomeRow{1, true}, outcomeRow{6, false}},
		"error event":        {errErrorEvent, started, outcomeRow{1, false}, outcomeRow{1, false}},
		"event too large":    {errEventTooLarge, started, outcomeRow{1, false}, outcomeRow{1, false}},
		"malformed event":    {errMalformedEvent, started, outcomeRow{1, true}, outcomeRow{6, false}},
		"too many events":    {errTooManyEvents, started, outcomeRow{1, false}, outcomeRow{1, false}},
		"stream too large":   {errStreamTooLarge, started, outcomeRow{1, false}, outcomeRow{1, false}},
		"stream truncated":   {errStreamTruncated, started, outcomeRow{5, false}, outcomeRow{5, false}},
		"response claimed":   {errResponseClaimed, started, outcomeRow{6, false}, outcomeRow{6, false}},
		"sink failed":        {&sinkError{net.ErrClosed}, started, outcomeRow{6, false}, outcomeRow{6, false}},
		"sink timed out":     {&sinkError{timeout}, started, outcomeRow{6, false}, outcomeRow{6, false}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, canceled := range []bool{false, true} {
				a, want := &Attempt{delivery: c.delivery}, c.want
				if canceled {
					a.Cancel()
					want = c.wantCanceled
				}
				out := a.failureOutcome(c.err)
				if got := (outcomeRow{int(out.Result), out.StateMissing}); got != want {
					t.Errorf("canceled %v: result and missing state %v, want %v", canceled, got, want)
				}
			}
		})
	}
}

// TestCanceledAttemptWithCompleteReply checks the outcome of an attempt whose reply was complete, but which was
// canceled before its connection returned to the pool.
func TestCanceledAttemptWithCompleteReply(t *testing.T) {
	a := &Attempt{delivery: delivery{connected: true, mayHaveRun: true}}
	a.Cancel()
	if out := a.failureOutcome(nil); out.Result != routing.Canceled || out.Err != nil {
		t.Errorf("%+v", out)
	}
}
