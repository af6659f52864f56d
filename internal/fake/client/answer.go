package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// streamSilence is how long a stream that runs may be silent: longer than any pause of an engine in a scenario.
	streamSilence = 40 * time.Second
	// maxEventLine bounds a line of a stream; tokens are a few bytes.
	maxEventLine   = 1 << 20
	lineBufferSize = 4096
	// defaultRetryAfter is taken for a rejection that names no time in milliseconds.
	defaultRetryAfter = time.Second
)

// answerReader reads the answer to an attempt.
type answerReader struct {
	attempt  *Attempt
	conn     net.Conn
	buffered *bufio.Reader // of conn
	started  time.Time
}

// read reads the answer to its end.
func (r *answerReader) read() Result {
	if _, err := r.buffered.Peek(1); err != nil {
		return r.readFailed(err)
	}
	resp, err := http.ReadResponse(r.buffered, &http.Request{Method: http.MethodPost})
	if err != nil {
		return r.readFailed(err)
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return r.readFailed(err)
		}
		return unservedResult(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.readStream(resp.Body)
	}
	return r.readWhole(resp.Body)
}

// readFailed is the result of an attempt whose answer could not be read.
func (r *answerReader) readFailed(err error) Result {
	var netErr net.Error
	switch {
	case !errors.As(err, &netErr) || !netErr.Timeout():
		return Result{Kind: Cut}
	case r.attempt.DisconnectAfter > 0:
		return Result{Kind: Disconnected}
	default:
		return Result{Kind: NoAnswer}
	}
}

// readWhole reads an answer that is not streamed. The fakes write each token as a "w" and its number.
func (r *answerReader) readWhole(body io.Reader) Result {
	text, err := io.ReadAll(body)
	if err != nil {
		return r.readFailed(err)
	}
	if !json.Valid(text) {
		return Result{Kind: Invalid}
	}
	return Result{Kind: Served, FirstToken: time.Since(r.started), Tokens: bytes.Count(text, []byte("w"))}
}

// readStream reads events to their end. A stream that runs has no deadline but its own silence.
func (r *answerReader) readStream(body io.Reader) Result {
	result := Result{}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, lineBufferSize), maxEventLine)
	for {
		if r.attempt.DisconnectAfter == 0 {
			setReadDeadline(r.conn, time.Now().Add(streamSilence))
		}
		if !lines.Scan() {
			break
		}
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if !isEvent {
			continue
		}
		r.readEvent(&result, data)
		if r.attempt.ReadDelay > 0 {
			time.Sleep(r.attempt.ReadDelay)
		}
	}
	if result.Kind != "" {
		return result
	}
	if err := lines.Err(); err != nil {
		return r.readFailed(err)
	}
	result.Kind = Cut
	return result
}

// readEvent takes one event of a stream.
func (r *answerReader) readEvent(result *Result, data string) {
	switch {
	case strings.HasPrefix(data, `{"error"`):
		result.Kind = Broken
	case data == "[DONE]":
		result.Kind = Served
	default:
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(r.started)
		}
		result.Tokens++
		if r.attempt.OnToken != nil {
			r.attempt.OnToken()
		}
	}
}

// unservedResult is the result of an answer with a status of rejection or failure.
func unservedResult(resp *http.Response) Result {
	rejected := resp.StatusCode == http.StatusTooManyRequests
	notAccepted := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
	result := Result{Kind: Invalid, NoAutoRetry: resp.Header.Get("x-should-retry") == "false"}
	if rejected || notAccepted {
		result.RetryAfter = retryAfter(resp.Header)
	}
	switch {
	case notAccepted:
		result.Kind = NotAccepted
	case rejected:
		result.Kind = Rejected
	case resp.StatusCode >= http.StatusInternalServerError:
		result.Kind = Failed
	}
	return result
}

func retryAfter(header http.Header) time.Duration {
	ms, err := strconv.Atoi(header.Get("retry-after-ms"))
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(ms) * time.Millisecond
}
