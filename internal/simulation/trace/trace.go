// Package trace keeps recorded traffic: which requests came when, of what class, session and shared prefix, how long
// they were and what their results were; no text. It owns the file's format, reads damaged files as far as possible,
// and reports what is wrong with them.
//
// The format, version 1: Zstandard frames (RFC 8878), one after the other, of JSON lines. A line with "trace" begins
// a part, from a replica that started or a file that was appended to; all others are requests of the part, in the
// order in which they ended. Times are nanoseconds; at counts from the part's begin.
package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Version is the newest that is written, and the only one that is read.
const Version = 1

// Header begins a part.
type Header struct {
	Version int       `json:"trace"`
	Begin   time.Time `json:"begin"`
	Source  string    `json:"source,omitempty"` // the replica's name
}

// Request is one request as its replica saw it.
type Request struct {
	At        time.Duration `json:"at"` // when it was accepted
	Class     string        `json:"class"`
	Tenant    string        `json:"tenant,omitempty"`
	Session   string        `json:"session,omitempty"` // opaque; the same for one conversation
	Prefix    string        `json:"prefix,omitempty"`  // opaque; the same for one shared prefix
	Prompt    float64       `json:"prompt"`            // tokens
	PrefixLen float64       `json:"prefix_len,omitempty"`
	MaxOut    float64       `json:"max_out,omitempty"`
	Out       int           `json:"out,omitempty"` // tokens answered
	Stream    bool          `json:"stream,omitempty"`
	Result    string        `json:"result"`
	First     time.Duration `json:"first,omitempty"` // to the first token
	Took      time.Duration `json:"took"`
}

// Writer writes one part. It is used by one goroutine.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *json.Encoder
}

// NewWriter begins a part. Close ends it; a part may follow another in one file.
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

// Flush makes what was added so far readable, should the process end.
func (w *Writer) Flush() error { return w.compressor.Flush() }

// Close ends the part. It does not close what it writes to.
func (w *Writer) Close() error { return w.compressor.Close() }

// Trace is the content of a file: the requests of all parts by time, counted from the first part's begin.
type Trace struct {
	Begin    time.Time
	Requests []Request
	Parts    int
	Torn     bool  // the end is cut off
	Steps    int   // times at which a clock was set back by over a second; what follows was moved
	Gaps     []Gap // spans without requests, far longer than between other requests
}

// Gap is a span without requests.
type Gap struct{ From, To time.Duration }

const (
	minGap     = 30 * time.Second
	minGapTime = 100 // times the median time between requests
)

func (t *Trace) findGaps() {
	n := len(t.Requests)
	if n < 3 {
		return
	}
	// The median, since the gaps themselves would raise the mean.
	var between []time.Duration
	for i := 1; i < n; i++ {
		between = append(between, t.Requests[i].At-t.Requests[i-1].At)
	}
	slices.Sort(between)
	limit := max(minGap, minGapTime*between[len(between)/2])
	for i := 1; i < n; i++ {
		if from, to := t.Requests[i-1].At, t.Requests[i].At; to-from > limit {
			t.Gaps = append(t.Gaps, Gap{from, to})
		}
	}
}

// CloseGaps moves what follows each gap to its start, so that a comparison does not play it.
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

// Length returns the time from the first part's begin to the last request.
func (t *Trace) Length() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At
}

// Notes returns what is wrong with the file, for people.
func (t *Trace) Notes() (notes []string) {
	if t.Torn {
		notes = append(notes, fmt.Sprintf("its end is cut off: %d requests were read", len(t.Requests)))
	}
	if t.Steps > 0 {
		notes = append(notes, fmt.Sprintf("its clock went back %d times; what follows was moved on", t.Steps))
	}
	for _, gap := range t.Gaps {
		from, to := gap.From.Round(time.Second), gap.To.Round(time.Second)
		notes = append(notes, fmt.Sprintf("nothing from %v to %v", from, to))
	}
	return notes
}
