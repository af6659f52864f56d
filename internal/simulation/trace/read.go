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

const (
	maxLineBytes         = 1 << 16     // bytes
	maxDecompressorBytes = 256 << 20   // bytes
	minClockStep         = time.Second // smaller steps back are ignored
)

// LineError is the error for an invalid line.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("trace: line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// VersionError is the error for a segment of an unsupported format version.
type VersionError struct{ Version int }

func (e VersionError) Error() string {
	return fmt.Sprintf("the header has version %d; only version %d is supported", e.Version, Version)
}

// Other errors that a LineError wraps.
var (
	ErrLongLine       = fmt.Errorf("longer than %d bytes", maxLineBytes)
	ErrNoHeader       = errors.New("not a trace: the first line is not a header")
	ErrInvalidRequest = errors.New("invalid request: class is missing, or prompt, out or took is negative")
)

// Read reads a whole file. A truncated end, clock steps and gaps are reported in the Trace; an invalid line is a
// *LineError.
func Read(r io.Reader) (*Trace, error) {
	decompressor, err := zstd.NewReader(
		r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressorBytes))
	if err != nil {
		return nil, err
	}
	defer decompressor.Close()
	lines := bufio.NewReaderSize(decompressor, maxLineBytes)
	p := parser{trace: &Trace{}}
	for lineNumber := 1; ; lineNumber++ {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if err := p.handleReadError(lineNumber, line, err); err != nil {
				return nil, err
			}
			break
		}
		if err := p.parse(line); err != nil {
			return nil, &LineError{lineNumber, err}
		}
	}
	t := p.trace
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	t.findGaps()
	return t, nil
}

// parser builds a trace line by line.
type parser struct {
	trace         *Trace
	segmentOffset time.Duration // added to the times of the current segment
	lastEnd       time.Duration // the latest end of a request so far
}

// handleReadError handles an error from reading the n-th line. It returns nil at the end of the file, and also where
// the rest of the file can't be read; the trace is then marked as truncated.
func (p *parser) handleReadError(lineNumber int, line []byte, err error) error {
	switch {
	case errors.Is(err, io.EOF) && len(line) == 0 && p.trace.Segments > 0:
		return nil
	case errors.Is(err, bufio.ErrBufferFull):
		return &LineError{lineNumber, ErrLongLine}
	case p.trace.Segments == 0:
		return fmt.Errorf("trace: no header: %w", err)
	}
	p.trace.Truncated = true // the file ends within a frame or a line, or a frame is damaged
	return nil
}

func (p *parser) parse(line []byte) error {
	if bytes.HasPrefix(line, []byte(`{"trace"`)) {
		return p.parseHeader(line)
	}
	if p.trace.Segments == 0 {
		return ErrNoHeader
	}
	return p.parseRequest(line)
}

func (p *parser) parseHeader(line []byte) error {
	var h Header
	if err := json.Unmarshal(line, &h); err != nil || h.Version != Version {
		return VersionError{h.Version}
	}
	if p.trace.Segments == 0 {
		p.trace.Start = h.Start
	}
	p.trace.Segments++
	p.segmentOffset = h.Start.Sub(p.trace.Start)
	if p.lastEnd-p.segmentOffset > minClockStep {
		// The segment begins before the previous one ended: its clock is another one, or was set back in between.
		p.trace.ClockSteps++
		p.segmentOffset = p.lastEnd
	}
	return nil
}

func (p *parser) parseRequest(line []byte) error {
	var r Request
	if err := json.Unmarshal(line, &r); err != nil {
		return err
	}
	validPrompt := r.PromptTokens >= 0 // false for NaN
	if r.Class == "" || !validPrompt || r.Duration < 0 || r.AnswerTokens < 0 {
		return ErrInvalidRequest
	}
	r.At += p.segmentOffset
	if end := r.At + r.Duration; end < p.lastEnd-minClockStep {
		// Requests are written in the order in which they end, so the clock was set back.
		p.trace.ClockSteps++
		p.segmentOffset += p.lastEnd - end
		r.At += p.lastEnd - end
	} else {
		p.lastEnd = max(p.lastEnd, end)
	}
	p.trace.Requests = append(p.trace.Requests, r)
	return nil
}
