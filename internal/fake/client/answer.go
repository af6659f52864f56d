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
	// streamIdleTimeout bounds the time between two lines of a stream. It is longer than any pause of an engine in a
	// scenario.
	streamIdleTimeout = 40 * time.Second
	// maxEventLine bounds a line of a stream; one with a single token is far shorter.
	maxEventLine   = 1 << 20
	lineBufferSize = 4096
	// defaultRetryAfter is the delay before a retry if the response has no valid retry-after-ms.
	defaultRetryAfter = time.Second
)

// responseReader reads the response to an attempt.
type responseReader struct {
	attempt   *Attempt
	conn      net.Conn
	reader    *bufio.Reader // of conn
	startedAt time.Time
}

// read reads the whole response.
func (r *responseReader) read() Result {
	if _, err := r.reader.Peek(1); err != nil {
		return r.failedReadResult(err)
	}
	resp, err := http.ReadResponse(r.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return r.failedReadResult(err)
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return r.failedReadResult(err)
		}
		return errorStatusResult(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.readStream(resp.Body)
	}
	return r.readBody(resp.Body)
}

// failedReadResult returns the result of an attempt whose response could not be read.
func (r *responseReader) failedReadResult(err error) Result {
	var netErr net.Error
	switch {
	case !errors.As(err, &netErr) || !netErr.Timeout():
		return Result{Outcome: ConnectionLost}
	case r.attempt.DisconnectAfter > 0:
		return Result{Outcome: Disconnected}
	default:
		return Result{Outcome: TimedOut}
	}
}

// readBody reads a response that is not streamed. It counts the tokens by the letter w, since the fake engines write
// each token as w and its number.
func (r *responseReader) readBody(body io.Reader) Result {
	text, err := io.ReadAll(body)
	if err != nil {
		return r.failedReadResult(err)
	}
	if !json.Valid(text) {
		return Result{Outcome: Invalid}
	}
	return Result{Outcome: Served, FirstToken: time.Since(r.startedAt), Tokens: bytes.Count(text, []byte("w"))}
}

// readStream reads the events of a stream to its end. The stream has no deadline, except for streamIdleTimeout or the
// time at which the client disconnects.
func (r *responseReader) readStream(body io.Reader) Result {
	result := Result{}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, lineBufferSize), maxEventLine)
	for {
		if r.attempt.DisconnectAfter == 0 {
			setReadDeadline(r.conn, time.Now().Add(streamIdleTimeout))
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
	if result.Outcome != "" {
		return result
	}
	if err := lines.Err(); err != nil {
		return r.failedReadResult(err)
	}
	result.Outcome = ConnectionLost
	return result
}

// readEvent adds the data of one event to the result. An event counts as a token unless it is an error or [DONE].
func (r *responseReader) readEvent(result *Result, data string) {
	switch {
	case strings.HasPrefix(data, `{"error"`):
		result.Outcome = StreamError
	case data == "[DONE]":
		result.Outcome = Served
	default:
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(r.startedAt)
		}
		result.Tokens++
		if r.attempt.OnToken != nil {
			r.attempt.OnToken()
		}
	}
}

// errorStatusResult returns the result of a response whose status is not 200.
func errorStatusResult(resp *http.Response) Result {
	rejected := resp.StatusCode == http.StatusTooManyRequests
	unavailable := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
	result := Result{Outcome: Invalid, NoAutoRetry: resp.Header.Get("x-should-retry") == "false"}
	if rejected || unavailable {
		result.RetryAfter = retryAfter(resp.Header)
	}
	switch {
	case unavailable:
		result.Outcome = Unavailable
	case rejected:
		result.Outcome = Rejected
	case resp.StatusCode >= http.StatusInternalServerError:
		result.Outcome = Failed
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
