// Package trace reads and writes recorded traffic: when requests arrived, their class, session and shared prefix, their
// lengths and their results, but no text. It defines the file format, reads damaged files as far as possible and
// reports the damage.
//
// Version 1 of the format is a sequence of Zstandard frames (RFC 8878) that contain JSON lines. A line that starts with
// the key "trace" is a header and begins a segment, as written by one process of a replica or one append to the file.
// All other lines are requests of the segment, in the order in which they ended. Times are in nanoseconds; at counts
// from the start of the segment.
package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Version is the version of the format that is written, and the only one that is read.
const Version = 1

// Header is the first line of a segment.
type Header struct {
	Version int       `json:"trace"`
	Start   time.Time `json:"begin"`
	Source  string    `json:"source,omitempty"` // the replica's name
}

// Request is one request as its replica saw it.
type Request struct {
	At              time.Duration `json:"at"` // time of acceptance
	Class           string        `json:"class"`
	Tenant          string        `json:"tenant,omitempty"`
	Session         string        `json:"session,omitempty"` // opaque; equal for requests of one session
	Prefix          string        `json:"prefix,omitempty"`  // opaque; equal for requests with the same prefix
	PromptTokens    float64       `json:"prompt"`
	PrefixTokens    float64       `json:"prefix_len,omitempty"`
	MaxAnswerTokens float64       `json:"max_out,omitempty"`
	AnswerTokens    int           `json:"out,omitempty"`
	Stream          bool          `json:"stream,omitempty"`
	Result          string        `json:"result"`
	FirstToken      time.Duration `json:"first,omitempty"` // latency of the first token
	Duration        time.Duration `json:"took"`
}

// Writer writes one segment. It is not safe for concurrent use.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *json.Encoder
}

// NewWriter begins a segment by writing its header. Close ends the segment; a file may contain several, one after the
// other.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	compressor, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	h.Version = Version
	t := &Writer{compressor, json.NewEncoder(compressor)}
	return t, t.encoder.Encode(h)
}

// Add writes a request.
func (w *Writer) Add(r *Request) error { return w.encoder.Encode(r) }

// Flush writes out the requests added so far, so that they can be read even if the process ends without Close.
func (w *Writer) Flush() error { return w.compressor.Flush() }

// Close ends the segment. It does not close the underlying writer.
func (w *Writer) Close() error { return w.compressor.Close() }

// Trace is the content of a file: the requests of all segments, sorted by their times, which count from the start of
// the first segment.
type Trace struct {
	Start      time.Time
	Requests   []Request
	Segments   int
	Truncated  bool  // the end of the file is missing or can't be decompressed
	ClockSteps int   // how often a clock was set back by more than a second; later requests were shifted
	Gaps       []Gap // in order
}

// Gap is a span without requests that is far longer than the usual time between two requests.
type Gap struct{ From, To time.Duration }

// A span without requests is a gap if it is longer than both limits.
const (
	minGap          = 30 * time.Second
	minGapIntervals = 100 // times the median time between requests
)

func (t *Trace) findGaps() {
	n := len(t.Requests)
	if n < 3 {
		return
	}
	// The limit is based on the median, since the gaps themselves would raise a mean.
	var intervals []time.Duration
	for i := 1; i < n; i++ {
		intervals = append(intervals, t.Requests[i].At-t.Requests[i-1].At)
	}
	slices.Sort(intervals)
	limit := max(minGap, minGapIntervals*intervals[len(intervals)/2])
	for i := 1; i < n; i++ {
		if from, to := t.Requests[i-1].At, t.Requests[i].At; to-from > limit {
			t.Gaps = append(t.Gaps, Gap{from, to})
		}
	}
}

// CloseGaps removes the gaps by moving the requests after each gap to its start, so that a replay does not idle.
func (t *Trace) CloseGaps() {
	for len(t.Gaps) > 0 {
		gap := t.Gaps[len(t.Gaps)-1]
		t.Gaps = t.Gaps[:len(t.Gaps)-1]
		for i := range t.Requests {
			if t.Requests[i].At >= gap.To {
				t.Requests[i].At -= gap.To - gap.From
			}
		}
	}
}

// Length returns the time from the start of the first segment to the last request.
func (t *Trace) Length() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At
}

// Warnings returns messages on the damage to the file and on its gaps.
func (t *Trace) Warnings() (warnings []string) {
	if t.Truncated {
		warnings = append(warnings, fmt.Sprintf("the end of the file is missing; %d requests were read", len(t.Requests)))
	}
	if t.ClockSteps > 0 {
		warnings = append(warnings, fmt.Sprintf("the clock was set back %d times; later requests were shifted",
			t.ClockSteps))
	}
	for _, gap := range t.Gaps {
		from, to := gap.From.Round(time.Second), gap.To.Round(time.Second)
		warnings = append(warnings, fmt.Sprintf("no requests from %v to %v", from, to))
	}
	return warnings
}
