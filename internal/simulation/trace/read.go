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
	maxLine      = 1 << 16   // bytes
	maxMemory    = 256 << 20 // bytes, of the decompressor
	minClockStep = time.Second
)

// A LineError is returned for a file with an invalid line.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("trace: line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// A VersionError is returned for a part of another version.
type VersionError struct{ Version int }

func (e VersionError) Error() string {
	return fmt.Sprintf("a header of version %d, this program reads version %d", e.Version, Version)
}

// The other errors of lines.
var (
	ErrLongLine  = fmt.Errorf("over %d bytes", maxLine)
	ErrNoHeader  = errors.New("not a trace: the first line must be its header")
	ErrNoRequest = errors.New("not a request: class, prompt and took are needed")
)

// Read reads a whole file. A cut end, steps of the clock and gaps are reported in the trace; a line that is no request
// is a *LineError.
func Read(r io.Reader) (*Trace, error) {
	decompressor, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMemory))
	if err != nil {
		return nil, err
	}
	defer decompressor.Close()
	lines := bufio.NewReaderSize(decompressor, maxLine)
	p := parser{trace: &Trace{}}
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if err := p.end(n, line, err); err != nil {
				return nil, err
			}
			break
		}
		if err := p.parse(line); err != nil {
			return nil, &LineError{n, err}
		}
	}
	t := p.trace
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	t.findGaps()
	return t, nil
}

// parser builds a trace line by line.
type parser struct {
	trace   *Trace
	offset  time.Duration // of the present part
	lastEnd time.Duration // the latest end of a request so far
}

// end follows an error of reading the n-th line. It returns nil where the file ends there, whole or cut off.
func (p *parser) end(n int, line []byte, err error) error {
	switch {
	case errors.Is(err, io.EOF) && len(line) == 0 && p.trace.Parts > 0:
		return nil
	case errors.Is(err, bufio.ErrBufferFull):
		return &LineError{n, ErrLongLine}
	case p.trace.Parts == 0:
		return fmt.Errorf("trace: no header: %w", err)
	}
	p.trace.Torn = true // cut within a frame, or within a line
	return nil
}

func (p *parser) parse(line []byte) error {
	if bytes.HasPrefix(line, []byte(`{"trace"`)) {
		return p.parseHeader(line)
	}
	if p.trace.Parts == 0 {
		return ErrNoHeader
	}
	return p.parseRequest(line)
}

func (p *parser) parseHeader(line []byte) error {
	var h Header
	if err := json.Unmarshal(line, &h); err != nil || h.Version != Version {
		return VersionError{h.Version}
	}
	if p.trace.Parts == 0 {
		p.trace.Begin = h.Begin
	}
	p.trace.Parts++
	p.offset = h.Begin.Sub(p.trace.Begin)
	if p.lastEnd-p.offset > minClockStep { // it begins before the last part ended: another clock, or a step between
		p.trace.Steps++
		p.offset = p.lastEnd
	}
	return nil
}

func (p *parser) parseRequest(line []byte) error {
	var r Request
	if err := json.Unmarshal(line, &r); err != nil {
		return err
	}
	isPrompt := r.Prompt >= 0 // false for NaN
	if r.Class == "" || !isPrompt || r.Took < 0 || r.Out < 0 {
		return ErrNoRequest
	}
	r.At += p.offset
	if end := r.At + r.Took; end < p.lastEnd-minClockStep { // requests are written in the order of their ends
		p.trace.Steps++
		p.offset += p.lastEnd - end
		r.At += p.lastEnd - end
	} else {
		p.lastEnd = max(p.lastEnd, end)
	}
	p.trace.Requests = append(p.trace.Requests, r)
	return nil
}
