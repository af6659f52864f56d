// Package api reads requests of the OpenAI-compatible API, rewrites their bodies for the engines' two stages,
// and writes its answers and error objects. It holds no sockets; who a request belongs to is in classify.go.
package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/internal/http1"
)

// The paths served.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// Error is an error of the API, with the HTTP status it goes out with.
type Error struct {
	Status  int
	Type    string // invalid_request_error, rate_limit_error, server_error ...
	Code    string // may be empty
	Param   string // the field at fault, may be empty
	Message string
}

func (e *Error) Error() string { return fmt.Sprintf("api: %d %s: %s", e.Status, e.Type, e.Message) }

// JSON is the error object of the API.
func (e *Error) JSON() []byte {
	type object struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	}
	opt := func(s string) *string {
		if s == "" {
			return nil
		}
		return &s
	}
	b, err := json.Marshal(struct {
		Error object `json:"error"`
	}{object{e.Message, e.Type, opt(e.Param), opt(e.Code)}})
	if err != nil { // strings always marshal
		panic(err)
	}
	return b
}

func invalid(param, format string, a ...any) *Error {
	return &Error{Status: 400, Type: "invalid_request_error", Param: param, Message: fmt.Sprintf(format, a...)}
}

// Message is one message of a chat as far as routing looks at it.
type Message struct {
	Role string
	Text string // all its text parts
}

// Request is a completion request.
type Request struct {
	Path         string
	Chat         bool
	Model        string
	Stream       bool
	MaxTokens    int // 0 = not told
	User         string
	Messages     []Message // of a chat
	Prompt       string    // of a completion
	PromptTokens int       // where the prompt came as token numbers

	fields map[string]json.RawMessage
}

// Parse reads a request body for one of the two completion paths.
func Parse(path string, body []byte) (*Request, *Error) {
	r := &Request{Path: path, Chat: path == PathChat}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, invalid("", "the body is not a JSON object: %v", err)
	}
	if r.fields == nil {
		return nil, invalid("", "the body is null, a JSON object is needed")
	}
	if e := r.field("model", &r.Model); e != nil {
		return nil, e
	}
	if r.Model == "" {
		return nil, invalid("model", "model is missing")
	}
	if e := r.field("stream", &r.Stream); e != nil {
		return nil, e
	}
	if e := r.field("user", &r.User); e != nil {
		return nil, e
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *int
		if e := r.field(name, &n); e != nil {
			return nil, e
		}
		if n == nil {
			continue
		}
		if *n < 1 || *n > math.MaxInt32 {
			return nil, invalid(name, "%s must be at least 1, it is %d", name, *n)
		}
		r.MaxTokens = *n
	}
	if r.Chat {
		return r, r.messages()
	}
	return r, r.prompt()
}

func (r *Request) field(name string, into any) *Error {
	raw, ok := r.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return invalid(name, "%s: %v", name, err)
	}
	return nil
}

func (r *Request) messages() *Error {
	var ms []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if e := r.field("messages", &ms); e != nil {
		return e
	}
	if len(ms) == 0 {
		return invalid("messages", "messages is missing or empty")
	}
	for i, m := range ms {
		if m.Role == "" {
			return invalid(fmt.Sprintf("messages[%d].role", i), "messages[%d] has no role", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return invalid(fmt.Sprintf("messages[%d].content", i), "messages[%d].content: %v", i, err)
		}
		r.Messages = append(r.Messages, Message{m.Role, text})
	}
	return nil
}

// contentText takes a string, null, or an array of parts, of which the text ones count.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || raw[0] != '[' {
		var s *string
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &s); err != nil {
				return "", err
			}
		}
		if s == nil {
			return "", nil
		}
		return *s, nil
	}
	var parts []struct{ Text string }
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// prompt takes a string, an array of one string, or an array of token numbers. Batches are refused: each of
// their prompts would need a reader and an answer of its own.
func (r *Request) prompt() *Error {
	raw, ok := r.fields["prompt"]
	if !ok {
		return invalid("prompt", "prompt is missing")
	}
	var one string
	var some []string
	var tokens []int
	switch {
	case json.Unmarshal(raw, &one) == nil:
		r.Prompt = one
	case json.Unmarshal(raw, &some) == nil:
		if len(some) != 1 {
			return invalid("prompt", "prompt holds %d prompts; send them as one request each", len(some))
		}
		r.Prompt = some[0]
	case json.Unmarshal(raw, &tokens) == nil:
		r.PromptTokens = len(tokens)
		r.Prompt = string(raw)
	default:
		return invalid("prompt", "prompt must be a string, an array of one string, or an array of token numbers")
	}
	return nil
}

// Tokens estimates the prompt's length from its bytes.
func (r *Request) Tokens(bytesPerToken float64) float64 {
	if r.PromptTokens > 0 {
		return float64(r.PromptTokens)
	}
	n := len(r.Prompt)
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Text)
	}
	return math.Ceil(float64(n) / bytesPerToken)
}

// Leading is the hash and the size in bytes of the leading system and developer messages, which sessions
// share; 0, 0 when there are none. A completion's prompt has no such part.
func (r *Request) Leading() (hash uint64, size int) {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	for _, m := range r.Messages {
		if m.Role != "system" && m.Role != "developer" {
			break
		}
		_, _ = d.WriteString("\x00" + m.Text)
		size += len(m.Role) + len(m.Text)
	}
	if size == 0 {
		return 0, 0
	}
	return d.Sum64(), size
}

// First is the hash of everything up to the first user message: all turns of a conversation share it.
func (r *Request) First() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	for _, m := range r.Messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Text)
		if m.Role == "user" {
			return d.Sum64()
		}
	}
	return 0
}

// Opening is the hash of the first n bytes of the whole text, with the number of bytes that it covers; 0, 0
// when the text is shorter.
func (r *Request) Opening(n int) (hash uint64, size int) {
	d := xxhash.New()
	_, _ = d.WriteString(r.Model)
	left := n
	take := func(s string) {
		s = s[:min(len(s), left)]
		left -= len(s)
		_, _ = d.WriteString(s)
	}
	take(r.Prompt)
	for _, m := range r.Messages {
		take(m.Role)
		take(m.Text)
	}
	if left > 0 {
		return 0, 0
	}
	return d.Sum64(), n
}

// remoteDecode asks a vLLM engine to keep the read state for another engine to fetch (vLLM, disaggregated
// prefill, NIXL connector).
const remoteDecode = `{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`

// ReadBody is the body for a reader: one token at most, not streamed, state kept for another engine.
func (r *Request) ReadBody() []byte {
	return r.with(map[string]string{"max_tokens": "1", "stream": "false", "kv_transfer_params": remoteDecode},
		"max_completion_tokens", "stream_options", "min_tokens")
}

// WriteBody is the body for a writer, always streamed; kv is what the reader answered, nil for a request that
// runs whole. usage asks for the token counts at the end, which a whole answer owes its client.
func (r *Request) WriteBody(kv json.RawMessage, usage bool) []byte {
	set := map[string]string{"stream": "true"}
	if usage {
		set["stream_options"] = `{"include_usage":true}`
	}
	if kv == nil {
		return r.with(set, "kv_transfer_params")
	}
	set["kv_transfer_params"] = string(kv)
	return r.with(set)
}

// with writes the body with some fields set and some left out; the others stay to the byte.
func (r *Request) with(set map[string]string, drop ...string) []byte {
	if _, ok := r.fields["max_completion_tokens"]; ok && set["max_tokens"] != "" && r.fields["max_tokens"] == nil {
		set["max_completion_tokens"] = set["max_tokens"]
		delete(set, "max_tokens")
	}
	size := 64
	for k, v := range r.fields {
		size += len(k) + len(v) + 4
	}
	for k, v := range set {
		size += len(k) + len(v) + 4
	}
	b := append(make([]byte, 0, size), '{')
	for k, v := range r.fields {
		if _, ok := set[k]; !ok && !slices.Contains(drop, k) {
			b = appendField(b, k, string(v))
		}
	}
	for k, v := range set {
		b = appendField(b, k, v)
	}
	b[len(b)-1] = '}' // in place of the last comma; at least one field is set
	return b
}

func appendField(b []byte, name, value string) []byte {
	if strings.ContainsFunc(name, func(c rune) bool { return c < ' ' || c > '~' || c == '"' || c == '\\' }) {
		quoted, err := json.Marshal(name)
		if err != nil { // strings always marshal
			panic(err)
		}
		b = append(b, quoted...)
	} else {
		b = append(append(append(b, '"'), name...), '"')
	}
	return append(append(append(b, ':'), value...), ',')
}

// ReadReply takes a reader's whole answer.
type ReadReply struct {
	KV     json.RawMessage // kv_transfer_params, nil when it gave none
	Cached float64         // prompt tokens that it found kept; 0 when not told
}

// ParseReadReply reads the answer of an engine to a ReadBody.
func ParseReadReply(body []byte) (ReadReply, error) {
	var v struct {
		KV    json.RawMessage `json:"kv_transfer_params"`
		Usage struct {
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return ReadReply{}, fmt.Errorf("api: reader's answer: %w", err)
	}
	if bytes.Equal(v.KV, []byte("null")) {
		v.KV = nil
	}
	if c := v.Usage.Details.Cached; !(c >= 0 && c < 1e9) {
		v.Usage.Details.Cached = 0
	}
	return ReadReply{v.KV, v.Usage.Details.Cached}, nil
}

// IsRepeat tells that a client repeats a request by itself: the OpenAI SDKs number their tries of one call in
// X-Stainless-Retry-Count, from 0. What is there but no number counts as a repeat, since not to see one does harm.
func IsRepeat(h http1.Header) bool {
	v := strings.TrimSpace(h.Get("X-Stainless-Retry-Count"))
	return strings.Trim(v, "0") != ""
}

// ClientTime is how long the client says it waits, from the time-out headers of the OpenAI SDKs (seconds);
// 0 when it does not say.
func ClientTime(h http1.Header) time.Duration {
	least := time.Duration(0)
	for _, name := range []string{"X-Stainless-Timeout", "X-Stainless-Read-Timeout"} {
		s, err := strconv.ParseFloat(h.Get(name), 64)
		if err != nil || !(s > 0) || s > 86400 {
			continue
		}
		if d := time.Duration(s * float64(time.Second)); least == 0 || d < least {
			least = d
		}
	}
	return least
}
