package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// answerLine is what a front logs of a request's final answer, with JSON lines at level info.
type answerLine struct {
	TS        string  `json:"ts"`
	Msg       string  `json:"msg"`
	Front     string  `json:"front"`
	Class     string  `json:"class"`
	Tenant    string  `json:"tenant"`
	Session   string  `json:"session"`
	Prefix    string  `json:"prefix"`
	Prompt    float64 `json:"prompt_tokens"`
	PrefixLen float64 `json:"prefix_tokens"`
	MaxOut    float64 `json:"max_out"`
	Events    int     `json:"events"`
	Stream    bool    `json:"stream"`
	First     string  `json:"first_token"`
	Took      string  `json:"took"`
}

// FromLog makes a trace of a front's log. Lines that are no final answers are passed over; what looks like one and can't
// be read is an error that names the line. skipped counts lines of other programs or of other kinds.
func FromLog(log io.Reader, out io.Writer) (requests, skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	var w *Writer
	var begin time.Time
	for n := 1; lines.Scan(); n++ {
		var l answerLine
		if json.Unmarshal(lines.Bytes(), &l) != nil || !strings.HasPrefix(l.Msg, "answer ") {
			skipped++
			continue
		}
		end, err := time.Parse(time.RFC3339Nano, l.TS)
		if err != nil {
			return requests, skipped, fmt.Errorf("trace: log line %d: ts: %w", n, err)
		}
		q := Request{
			Class: l.Class, Tenant: l.Tenant, Session: l.Session, Prefix: l.Prefix, Prompt: l.Prompt, PrefixLen: l.PrefixLen, MaxOut: l.MaxOut,
			Out: l.Events, Stream: l.Stream, Result: strings.TrimPrefix(l.Msg, "answer "),
		}
		if q.Took, err = time.ParseDuration(l.Took); err != nil {
			return requests, skipped, fmt.Errorf("trace: log line %d: took: %w", n, err)
		}
		if l.First != "" {
			if q.First, err = time.ParseDuration(l.First); err != nil {
				return requests, skipped, fmt.Errorf("trace: log line %d: first_token: %w", n, err)
			}
		}
		if w == nil {
			begin = end.Add(-q.Took)
			if w, err = NewWriter(out, Header{Begin: begin, Source: l.Front}); err != nil {
				return 0, skipped, err
			}
		}
		q.At = end.Add(-q.Took).Sub(begin)
		if err := w.Add(&q); err != nil {
			return requests, skipped, err
		}
		requests++
	}
	if err := lines.Err(); err != nil {
		return requests, skipped, err
	}
	if w == nil {
		return 0, skipped, errors.New(`trace: the log holds no final answers: it must be JSON lines at level info (<log level="info"/>)`)
	}
	return requests, skipped, w.Close()
}
