// Package trace keeps recorded traffic: which requests came when, of what class, session and shared beginning, how long
// they were and what became of them; no text. It owns the file's format, reads it with whatever happened to it, and says
// what it found amiss.
//
// The format, version 1: Zstandard frames (RFC 8878), one after the other, of JSON lines. A line with "trace" begins a part,
// from a front that started or a file that was appended to; all others are requests of the part, in the order in which
// they ended. Times are nanoseconds; at counts from the part's begin.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
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
	Source  string    `json:"source,omitempty"` // the front's name
}

// Request is one request as its front saw it.
type Request struct {
	At        time.Duration `json:"at"` // when it was taken
	Class     string        `json:"class"`
	Tenant    string        `json:"tenant,omitempty"`
	Session   string        `json:"session,omitempty"` // opaque; the same for one conversation
	Prefix    string        `json:"prefix,omitempty"`  // opaque; the same for one shared beginning
	Prompt    float64       `json:"prompt"`            // tokens
	PrefixLen float64       `json:"prefix_len,omitempty"`
	MaxOut    float64       `json:"max_out,omitempty"`
	Out       int           `json:"out,omitempty"` // tokens answered
	Stream    bool          `json:"stream,omitempty"`
	Result    string        `json:"result"`
	First     time.Duration `json:"first,omitempty"` // to the first token
	Took      time.Duration `json:"took"`
}

// Writer writes one part.
type Writer struct {
	z   *zstd.Encoder
	enc *json.Encoder
}

// NewWriter begins a part. Close ends it; a part may follow another in one file.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	z, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	h.Version = Version
	t := &Writer{z, json.NewEncoder(z)}
	return t, t.enc.Encode(h)
}

// Add writes a request.
func (w *Writer) Add(r *Request) error { return w.enc.Encode(r) }

// Flush makes what was added so far readable, should the process end.
func (w *Writer) Flush() error { return w.z.Flush() }

// Close ends the part. It does not close what it writes to.
func (w *Writer) Close() error { return w.z.Close() }

// Trace is what was read: the requests of all parts by time, counted from the first part's begin.
type Trace struct {
	Begin    time.Time
	Requests []Request
	Parts    int
	Torn     bool  // the end is cut off
	Steps    int   // times at which a clock went back by over a second; what follows was moved on
	Gaps     []Gap // spans with nothing, far longer than between other requests
}

// Gap is a span without requests.
type Gap struct{ From, To time.Duration }

const (
	maxLine   = 1 << 16
	stepLeast = time.Second
	gapLeast  = 30 * time.Second
	gapTimes  = 100 // mean times between requests
)

// Read reads a whole file. A cut end, steps of the clock and gaps are found and told of; a line that is no request is an
// error that names it.
func Read(r io.Reader) (*Trace, error) {
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	t := &Trace{}
	lines := bufio.NewReaderSize(z, maxLine)
	var offset, ended time.Duration // of the present part; the latest end so far
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF && len(line) == 0 && t.Parts > 0 {
			break
		}
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, fmt.Errorf("trace: line %d is over %d bytes", n, maxLine)
			}
			if t.Parts == 0 {
				return nil, fmt.Errorf("trace: no header: %w", err)
			}
			t.Torn = true // cut within a frame, or within a line
			break
		}
		var h Header
		if bytes.HasPrefix(line, []byte(`{"trace"`)) {
			if err := json.Unmarshal(line, &h); err != nil || h.Version != Version {
				return nil, fmt.Errorf("trace: line %d: a header of version %d, this program reads version %d", n, h.Version, Version)
			}
			if t.Parts == 0 {
				t.Begin = h.Begin
			}
			t.Parts++
			offset = h.Begin.Sub(t.Begin)
			if ended-offset > stepLeast { // it begins before the last part ended: another clock, or a step between
				t.Steps++
				offset = ended
			}
			continue
		}
		if t.Parts == 0 {
			return nil, fmt.Errorf("trace: line %d: not a trace: the first line must be its header", n)
		}
		var q Request
		if err := json.Unmarshal(line, &q); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", n, err)
		}
		if q.Class == "" || !(q.Prompt >= 0) || q.Took < 0 || q.Out < 0 {
			return nil, fmt.Errorf("trace: line %d: not a request: class, prompt and took are needed", n)
		}
		q.At += offset
		if end := q.At + q.Took; end < ended-stepLeast {
			t.Steps++
			offset += ended - end
			q.At += ended - end
		} else {
			ended = max(ended, end)
		}
		t.Requests = append(t.Requests, q)
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	t.findGaps()
	return t, nil
}

func (t *Trace) findGaps() {
	n := len(t.Requests)
	if n < 3 {
		return
	}
	// the median, since the gaps themselves would raise the mean
	var between []time.Duration
	for i := 1; i < n; i++ {
		between = append(between, t.Requests[i].At-t.Requests[i-1].At)
	}
	slices.Sort(between)
	most := max(gapLeast, gapTimes*between[len(between)/2])
	for i := 1; i < n; i++ {
		if a, b := t.Requests[i-1].At, t.Requests[i].At; b-a > most {
			t.Gaps = append(t.Gaps, Gap{a, b})
		}
	}
}

// CloseGaps moves what follows each gap to its beginning, so that a comparison does not play emptiness.
func (t *Trace) CloseGaps() {
	for len(t.Gaps) > 0 {
		g := t.Gaps[len(t.Gaps)-1]
		t.Gaps = t.Gaps[:len(t.Gaps)-1]
		for i := range t.Requests {
			if t.Requests[i].At >= g.To {
				t.Requests[i].At -= g.To - g.From
			}
		}
	}
}

// Length is the time from the first part's begin to the last request.
func (t *Trace) Length() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At
}

// Notes tell what is amiss, for people.
func (t *Trace) Notes() (out []string) {
	if t.Torn {
		out = append(out, fmt.Sprintf("its end is cut off: %d requests were read", len(t.Requests)))
	}
	if t.Steps > 0 {
		out = append(out, fmt.Sprintf("its clock went back %d times; what follows was moved on", t.Steps))
	}
	for _, g := range t.Gaps {
		out = append(out, fmt.Sprintf("nothing from %v to %v", g.From.Round(time.Second), g.To.Round(time.Second)))
	}
	return out
}
