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

// finalAnswerLogLine is the JSON line that a replica logs at level info for the final answer of a request.
type finalAnswerLogLine struct {
	Timestamp       string  `json:"ts"`
	Message         string  `json:"msg"`
	Replica         string  `json:"front"`
	Class           string  `json:"class"`
	Tenant          string  `json:"tenant"`
	Session         string  `json:"session"`
	Prefix          string  `json:"prefix"`
	PromptTokens    float64 `json:"prompt_tokens"`
	PrefixTokens    float64 `json:"prefix_tokens"`
	MaxAnswerTokens float64 `json:"max_out"`
	Events          int     `json:"events"`
	Stream          bool    `json:"stream"`
	FirstToken      string  `json:"first_token"`
	Duration        string  `json:"took"`
}

// answerMessagePrefix begins the message of a final answer; the result follows it.
const answerMessagePrefix = "answer "

// FieldError is the error for the log line of a final answer with an invalid field.
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

// maxLogLineBytes is the longest accepted line of a log, in bytes.
const maxLogLineBytes = 1 << 20

// FromLog writes a trace of the requests in a replica's log. Lines that are not of a final answer are skipped and
// counted; a final answer with an invalid time is a *FieldError.
func FromLog(log io.Reader, out io.Writer) (requests, skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), maxLogLineBytes)
	var w *Writer
	var start time.Time
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		var line finalAnswerLogLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || !strings.HasPrefix(line.Message, answerMessagePrefix) {
			skipped++
			continue
		}
		r, acceptedAt, err := line.request(lineNumber)
		if err != nil {
			return requests, skipped, err
		}
		if w == nil {
			start = acceptedAt
			if w, err = NewWriter(out, Header{Start: start, Source: line.Replica}); err != nil {
				return 0, skipped, err
			}
		}
		r.At = acceptedAt.Sub(start)
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

// request returns the request of the line, which is the n-th of the log, and when it was accepted.
func (l *finalAnswerLogLine) request(lineNumber int) (r Request, acceptedAt time.Time, err error) {
	endedAt, err := time.Parse(time.RFC3339Nano, l.Timestamp)
	if err != nil {
		return r, acceptedAt, &FieldError{lineNumber, "ts", err}
	}
	r = Request{
		Class: l.Class, Tenant: l.Tenant, Session: l.Session, Prefix: l.Prefix, PromptTokens: l.PromptTokens,
		PrefixTokens: l.PrefixTokens, MaxAnswerTokens: l.MaxAnswerTokens, AnswerTokens: l.Events, Stream: l.Stream,
		Result: strings.TrimPrefix(l.Message, answerMessagePrefix),
	}
	if r.Duration, err = time.ParseDuration(l.Duration); err != nil {
		return r, acceptedAt, &FieldError{lineNumber, "took", err}
	}
	if l.FirstToken != "" {
		if r.FirstToken, err = time.ParseDuration(l.FirstToken); err != nil {
			return r, acceptedAt, &FieldError{lineNumber, "first_token", err}
		}
	}
	return r, endedAt.Add(-r.Duration), nil
}
