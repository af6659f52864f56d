// Package client is a client of the day: it writes a request on a socket of its own, reads the answer with
// net/http's parser, and records what passed, also what a well-behaved front never sends.
package client

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/audit"
)

// Attempt is one request of a client.
type Attempt struct {
	ID, Effect string
	Class      audit.Class
	ClassName  string
	Tenant     string
	Session    string
	Key        string // Idempotency-Key
	System     string // shared beginning
	Turns      []string
	MaxTokens  int
	Answer     int // tokens that the stand-in engine answers
	Stream     bool
	Wait       time.Duration // the client's time
	HangUp     time.Duration // leaves after this; 0 = never
	SlowBy     time.Duration // pause after each read of a stream
	Marked     bool          // numbers its tries as the published SDKs do
	Repeats    int           // tries before this one
	Model      string        // "" = day
	Token      func()        // called for each token of a stream as it comes; may be nil
}

// Result is how a try ended.
type Result struct {
	Kind        string        // served, refused, turned (before it was taken), failed, broken, invalid, cut, hung up, unconnected
	First       time.Duration // to the first token; 0 = none
	Took        time.Duration
	Tokens      int
	RetryAfter  time.Duration // told with a refusal
	NoAutoRetry bool          // told not to repeat by itself
}

func (t *Attempt) body() []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var ms []message
	if t.System != "" {
		ms = append(ms, message{"system", t.System})
	}
	for i, s := range t.Turns {
		ms = append(ms, message{[]string{"user", "assistant"}[i%2], s})
	}
	b, err := json.Marshal(map[string]any{
		"model": cmp.Or(t.Model, "day"), "stream": t.Stream, "max_tokens": t.MaxTokens, "messages": ms,
		"metadata": map[string]string{"try": t.ID, "effect": t.Effect, "kind": string(t.Class), "class": t.ClassName, "answer": strconv.Itoa(t.Answer)},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Send sends the try to a front and follows it to its end. rec may be nil.
func Send(t *Attempt, front, addr string, rec *audit.Record) Result {
	began := time.Now()
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		rec.Add(audit.Event{Kind: audit.Unsent, Attempt: t.ID, Replica: front})
		return Result{Kind: "unconnected", Took: time.Since(began)}
	}
	defer nc.Close()
	body := t.body()
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", addr, len(body))
	fmt.Fprintf(&b, "X-Class: %s\r\nX-Tenant: %s\r\nX-Session-Id: %s\r\nX-Stainless-Read-Timeout: %.3f\r\n", t.ClassName, t.Tenant, t.Session, t.Wait.Seconds())
	if t.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
	}
	if t.Marked {
		fmt.Fprintf(&b, "X-Stainless-Retry-Count: %d\r\n", t.Repeats)
	}
	b.WriteString("\r\n")
	b.Write(body)
	until := rec.Now() + t.Wait
	end := time.Now().Add(t.Wait)
	if _, err := nc.Write(b.Bytes()); err != nil {
		rec.Add(audit.Event{Kind: audit.Unsent, Attempt: t.ID, Replica: front})
		return Result{Kind: "unconnected", Took: time.Since(began)}
	}
	rec.Add(audit.Event{Kind: audit.Sent, Attempt: t.ID, Intent: t.Effect, Class: t.Class, Replica: front, Deadline: until})
	if t.HangUp > 0 {
		end = time.Now().Add(t.HangUp)
	}
	_ = nc.SetReadDeadline(end)
	br := bufio.NewReaderSize(nc, 8192)
	res := t.read(nc, br, began)
	res.Took = time.Since(began)
	switch res.Kind {
	case "cut":
		rec.Add(audit.Event{Kind: audit.ConnectionCut, Attempt: t.ID})
	case "hung up":
		rec.Add(audit.Event{Kind: audit.ClientLeft, Attempt: t.ID})
	case "none": // no final answer in the client's time: the record shows it by having none
	default:
		rec.Add(audit.Event{Kind: audit.Answer, Attempt: t.ID, Result: res.Kind})
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := br.Peek(1); err == nil { // the connection is quiet or ends; anything else nobody asked for
			rec.Add(audit.Event{Kind: audit.ExtraBytes, Attempt: t.ID})
		}
	}
	return res
}

// read reads the answer.
func (t *Attempt) read(nc net.Conn, br *bufio.Reader, began time.Time) Result {
	late := func(err error) Result {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			if t.HangUp > 0 {
				return Result{Kind: "hung up"}
			}
			return Result{Kind: "none"}
		}
		return Result{Kind: "cut"}
	}
	if _, err := br.Peek(1); err != nil {
		return late(err)
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: "POST"})
	if err != nil {
		return late(err)
	}
	if resp.StatusCode != 200 {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return late(err)
		}
		return t.refusal(resp)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return late(err)
		}
		if !json.Valid(text) {
			return Result{Kind: "invalid"}
		}
		return Result{Kind: "served", First: time.Since(began), Tokens: bytes.Count(text, []byte("w")), Took: time.Since(began)}
	}
	return t.stream(nc, resp, began, late)
}

// stream reads events to their end. A stream that runs has no deadline but its own silence.
func (t *Attempt) stream(nc net.Conn, resp *http.Response, began time.Time, late func(error) Result) Result {
	res := Result{}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), 1<<20)
	for {
		if t.HangUp == 0 {
			_ = nc.SetReadDeadline(time.Now().Add(40 * time.Second))
		}
		if !lines.Scan() {
			break
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case strings.HasPrefix(data, `{"error"`):
			res.Kind = "broken"
		case data == "[DONE]":
			res.Kind = "served"
		default:
			if res.First == 0 {
				res.First = time.Since(began)
			}
			res.Tokens++
			if t.Token != nil {
				t.Token()
			}
		}
		if t.SlowBy > 0 && ok {
			time.Sleep(t.SlowBy)
		}
	}
	if err := lines.Err(); err != nil && res.Kind == "" {
		return late(err)
	}
	if res.Kind == "" {
		res.Kind = "cut"
	}
	return res
}

func (t *Attempt) refusal(resp *http.Response) Result {
	res := Result{Kind: "invalid", NoAutoRetry: resp.Header.Get("x-should-retry") == "false"}
	turned := resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
	if resp.StatusCode == 429 || turned {
		ms, err := strconv.Atoi(resp.Header.Get("retry-after-ms"))
		if err != nil {
			ms = 1000
		}
		res.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch {
	case turned:
		res.Kind = "turned"
	case resp.StatusCode == 429:
		res.Kind = "refused"
	case resp.StatusCode >= 500:
		res.Kind = "failed"
	}
	return res
}
