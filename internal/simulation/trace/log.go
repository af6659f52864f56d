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

// answerLine is what a replica logs of a request's final answer, with JSON lines at level info.
type answerLine struct {
	TS        string  `json:"ts"`
	Msg       string  `json:"msg"`
	Replica   string  `json:"front"`
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

// answerMessage is the prefix of the message of a final answer; the result follows.
const answerMessage = "answer "

// A FieldError is returned for a log line of a final answer with an invalid field.
type FieldError struct {
	Line  int
	Field string
	Err   error
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("trace: log line %d: %s: %v", e.Line, e.Field, e.Err)
}

func (e *FieldError) Unwrap() error { return e.Err }

// ErrNoAnswers is returned for a log without final answers.
var ErrNoAnswers = errors.New(
	`trace: the log holds no final answers: it must be JSON lines at level info (<log level="info"/>)`)

// maxLogLine is the longest line of a log, in bytes.
const maxLogLine = 1 << 20

// FromLog writes a trace of a replica's log. Lines that are no final answers are skipped and counted; one that looks
// like a final answer and can't be read is a *FieldError.
func FromLog(log io.Reader, out io.Writer) (requests, skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), maxLogLine)
	var w *Writer
	var begin time.Time
	for n := 1; lines.Scan(); n++ {
		var line answerLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || !strings.HasPrefix(line.Msg, answerMessage) {
			skipped++
			continue
		}
		r, accepted, err := line.request(n)
		if err != nil {
			return requests, skipped, err
		}
		if w == nil {
			begin = accepted
			if w, err = NewWriter(out, Header{Begin: begin, Source: line.Replica}); err != nil {
				return 0, skipped, err
			}
		}
		r.At = accepted.Sub(begin)
		if err := w.Add(&r); err != nil {
			return requests, skipped, err
		}
		requests++
	}
	if err := lines.Err(); err != nil {
		return requests, skipped, err
	}
	if w == nil {
		return 0, skipped, ErrNoAnswers
	}
	return requests, skipped, w.Close()
}

// request returns the request of the n-th line, and when it was accepted.
func (l *answerLine) request(n int) (r Request, accepted time.Time, err error) {
	ended, err := time.Parse(time.RFC3339Nano, l.TS)
	if err != nil {
		return r, accepted, &FieldError{n, "ts", err}
	}
	r = Request{
		Class: l.Class, Tenant: l.Tenant, Session: l.Session, Prefix: l.Prefix, Prompt: l.Prompt,
		PrefixLen: l.PrefixLen, MaxOut: l.MaxOut, Out: l.Events, Stream: l.Stream,
		Result: strings.TrimPrefix(l.Msg, answerMessage),
	}
	if r.Took, err = time.ParseDuration(l.Took); err != nil {
		return r, accepted, &FieldError{n, "took", err}
	}
	if l.First != "" {
		if r.First, err = time.ParseDuration(l.First); err != nil {
			return r, accepted, &FieldError{n, "first_token", err}
		}
	}
	return r, ended.Add(-r.Took), nil
}
