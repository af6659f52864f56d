// Package api reads requests of the OpenAI-compatible API, rewrites their bodies for the engines' two stages,
// and writes its answers and error objects. It holds no sockets; who a request belongs to is in classify.go.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

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

	fields []field
}

// field is one member of the body: its name, and name and value as they came.
type field struct{ name, key, value string }

// maxDepth bounds how deep a body may nest, as encoding/json does; parsers recurse.
const maxDepth = 10000

// deep tells that b nests deeper than maxDepth.
func deep(b []byte) bool {
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inString:
			if c == '\\' {
				i++
			} else if c == '"' {
				inString = false
			}
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return false
}

// looked are the fields by which requests are routed. One of them named twice is refused: the engine might go by
// the other.
var looked = []string{"model", "stream", "user", "max_tokens", "max_completion_tokens", "messages", "prompt"}

// Parse reads a request body for one of the two completion paths.
func Parse(path string, body []byte) (*Request, *Error) {
	r := &Request{Path: path, Chat: path == PathChat}
	if deep(body) {
		return nil, invalid("", "the body nests deeper than %d levels", maxDepth)
	}
	if !gjson.ValidBytes(body) {
		var v any
		if err := json.Unmarshal(body, &v); err != nil { // its words tell where
			return nil, invalid("", "the body is not a JSON object: %v", err)
		}
		return nil, invalid("", "the body is not a JSON object")
	}
	top := gjson.ParseBytes(body)
	if !top.IsObject() {
		return nil, invalid("", "the body is not a JSON object")
	}
	var twice string
	r.fields = make([]field, 0, 12)
	top.ForEach(func(key, value gjson.Result) bool {
		if _, known := r.get(key.Str); known && slices.Contains(looked, key.Str) {
			twice = key.Str
		}
		r.fields = append(r.fields, field{key.Str, key.Raw, value.Raw})
		return twice == ""
	})
	if twice != "" {
		return nil, invalid(twice, "%s is given twice", twice)
	}
	if e := r.text("model", &r.Model); e != nil {
		return nil, e
	}
	if r.Model == "" {
		return nil, invalid("model", "model is missing")
	}
	switch v, _ := r.get("stream"); v {
	case "true":
		r.Stream = true
	case "", "false", "null":
	default:
		return nil, invalid("stream", "stream must be true or false")
	}
	if e := r.text("user", &r.User); e != nil {
		return nil, e
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		v, ok := r.get(name)
		if !ok || v == "null" {
			continue
		}
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return nil, invalid(name, "%s must be a whole number from 1 to %d, it is %s", name, math.MaxInt32, quote(v))
		}
		r.MaxTokens = int(n)
	}
	if r.Chat {
		return r, r.messages()
	}
	return r, r.prompt()
}

// get is the value of a field as it came.
func (r *Request) get(name string) (value string, ok bool) {
	for i := range r.fields {
		if r.fields[i].name == name {
			return r.fields[i].value, true
		}
	}
	return "", false
}

// text reads a field that is a string or null.
func (r *Request) text(name string, into *string) *Error {
	raw, ok := r.get(name)
	if !ok {
		return nil
	}
	v := gjson.Parse(raw)
	if v.Type != gjson.String && v.Type != gjson.Null {
		return invalid(name, "%s must be a string", name)
	}
	*into = v.Str
	return nil
}

func (r *Request) messages() *Error {
	raw, _ := r.get("messages")
	ms := gjson.Parse(raw)
	if raw != "" && !ms.IsArray() && ms.Type != gjson.Null {
		return invalid("messages", "messages must be an array")
	}
	var e *Error
	ms.ForEach(func(_, m gjson.Result) bool {
		e = r.message(len(r.Messages), m)
		return e == nil
	})
	if e == nil && len(r.Messages) == 0 {
		e = invalid("messages", "messages is missing or empty")
	}
	return e
}

func (r *Request) message(i int, m gjson.Result) *Error {
	if !m.IsObject() {
		return invalid(fmt.Sprintf("messages[%d]", i), "messages[%d] must be an object", i)
	}
	var role, content gjson.Result
	m.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "role":
			role = value
		case "content":
			content = value
		}
		return true
	})
	if role.Type != gjson.String || role.Str == "" {
		return invalid(fmt.Sprintf("messages[%d].role", i), "messages[%d] has no role", i)
	}
	text, err := contentText(content)
	if err != nil {
		return invalid(fmt.Sprintf("messages[%d].content", i), "messages[%d].content: %v", i, err)
	}
	r.Messages = append(r.Messages, Message{role.Str, text})
	return nil
}

// contentText takes a string, null, or an array of parts, of which the text ones count.
func contentText(v gjson.Result) (string, error) {
	if v.Type == gjson.String || v.Type == gjson.Null {
		return v.Str, nil
	}
	if !v.IsArray() {
		return "", errors.New("neither a string nor an array of parts")
	}
	var b strings.Builder
	var err error
	v.ForEach(func(_, part gjson.Result) bool {
		text := part.Get("text")
		if !part.IsObject() || text.Type != gjson.String && text.Type != gjson.Null {
			err = errors.New("a part must be an object, its text a string")
			return false
		}
		b.WriteString(text.Str)
		return true
	})
	return b.String(), err
}

// prompt takes a string, an array of one string, or an array of token numbers. Batches are refused: each of
// their prompts would need a reader and an answer of its own.
func (r *Request) prompt() *Error {
	raw, ok := r.get("prompt")
	if !ok {
		return invalid("prompt", "prompt is missing")
	}
	v := gjson.Parse(raw)
	switch {
	case v.Type == gjson.String:
		r.Prompt = v.Str
		return nil
	case !v.IsArray():
		return invalid("prompt", "prompt must be a string, an array of one string, or an array of token numbers")
	}
	texts, numbers, others := 0, 0, 0
	v.ForEach(func(_, p gjson.Result) bool {
		switch {
		case p.Type == gjson.String:
			texts++
			r.Prompt = p.Str
		case p.Type == gjson.Number && !strings.ContainsAny(p.Raw, ".eE"):
			numbers++
		default:
			others++
		}
		return true
	})
	switch {
	case texts == 1 && numbers+others == 0:
	case numbers > 0 && texts+others == 0:
		r.PromptTokens, r.Prompt = numbers, raw
	case numbers+others == 0:
		return invalid("prompt", "prompt holds %d prompts; send them as one request each", texts)
	default:
		return invalid("prompt", "prompt must be a string, an array of one string, or an array of token numbers")
	}
	return nil
}

// EstimateTokens estimates the prompt's length from its bytes.
func (r *Request) EstimateTokens(bytesPerToken float64) float64 {
	if r.PromptTokens > 0 {
		return float64(r.PromptTokens)
	}
	n := len(r.Prompt)
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Text)
	}
	return math.Ceil(float64(n) / bytesPerToken)
}

// SystemPrefix is the hash and the size in bytes of the leading system and developer messages, which sessions
// share; 0, 0 when there are none. A completion's prompt has no such part.
func (r *Request) SystemPrefix() (hash uint64, size int) {
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

// FirstTurnHash is the hash of everything up to the first user message: all turns of a conversation share it.
func (r *Request) FirstTurnHash() uint64 {
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

// Prefix is the hash of the first n bytes of the whole text, with the number of bytes that it covers; 0, 0
// when the text is shorter.
func (r *Request) Prefix(n int) (hash uint64, size int) {
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

// set is a field that the front writes.
type set struct{ name, value string }

// PrefillBody is the body for a reader: one token at most, not streamed, state kept for another engine.
func (r *Request) PrefillBody() []byte {
	most := "max_tokens"
	if _, ok := r.get(most); !ok {
		if _, ok := r.get("max_completion_tokens"); ok {
			most = "max_completion_tokens"
		}
	}
	return r.with([]set{{most, "1"}, {"stream", "false"}, {"kv_transfer_params", remoteDecode}},
		"max_tokens", "max_completion_tokens", "stream_options", "min_tokens")
}

// DecodeBody is the body for a writer, always streamed; kv is what the reader answered, nil for a request that
// runs whole. usage asks for the token counts at the end, which a whole answer owes its client.
func (r *Request) DecodeBody(kv json.RawMessage, usage bool) []byte {
	put := append(make([]set, 0, 3), set{"stream", "true"})
	if usage {
		put = append(put, set{"stream_options", `{"include_usage":true}`})
	}
	if kv != nil {
		put = append(put, set{"kv_transfer_params", string(kv)})
	}
	return r.with(put, "kv_transfer_params")
}

// with writes the body with some fields set and some left out; the others stay to the byte, in their order.
func (r *Request) with(put []set, drop ...string) []byte {
	size := 2
	for _, f := range r.fields {
		size += len(f.key) + len(f.value) + 2
	}
	for _, s := range put {
		size += len(s.name) + len(s.value) + 4
	}
	b := append(make([]byte, 0, size), '{')
	for _, f := range r.fields {
		if slices.Contains(drop, f.name) || slices.ContainsFunc(put, func(s set) bool { return s.name == f.name }) {
			continue
		}
		b = append(append(append(append(b, f.key...), ':'), f.value...), ',')
	}
	for _, s := range put {
		b = append(append(append(b, '"'), s.name...), '"', ':')
		b = append(append(b, s.value...), ',')
	}
	b[len(b)-1] = '}' // in place of the last comma; at least one field is set
	return b
}

// PrefillReply takes a reader's whole answer.
type PrefillReply struct {
	KVTransferParams json.RawMessage // kv_transfer_params, nil when it gave none
	CachedTokens     float64         // prompt tokens that it found kept; 0 when not told
}

// ParsePrefillReply reads the answer of an engine to a ReadBody.
func ParsePrefillReply(body []byte) (PrefillReply, error) {
	if deep(body) || !gjson.ValidBytes(body) {
		return PrefillReply{}, errors.New("api: the reader's answer is not JSON")
	}
	var r PrefillReply
	if kv := gjson.GetBytes(body, "kv_transfer_params"); kv.Exists() && kv.Type != gjson.Null {
		r.KVTransferParams = json.RawMessage(kv.Raw)
	}
	r.CachedTokens = CachedTokens(body)
	return r, nil
}

// IsRetry tells that a client repeats a request by itself: the OpenAI SDKs number their tries of one call in
// X-Stainless-Retry-Count, from 0. What is there but no number counts as a repeat, since not to see one does harm.
func IsRetry(h http1.Header) bool {
	v := strings.TrimSpace(h.Get("X-Stainless-Retry-Count"))
	return strings.Trim(v, "0") != ""
}

// ClientTimeout is how long the client says it waits, from the time-out headers of the OpenAI SDKs (seconds);
// 0 when it does not say.
func ClientTimeout(h http1.Header) time.Duration {
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

// CachedTokens is how many prompt tokens the usage of an answer, or of an event, says were found kept; 0 when not told.
func CachedTokens(text []byte) float64 {
	n := gjson.GetBytes(text, "usage.prompt_tokens_details.cached_tokens")
	if n.Type == gjson.Number && n.Num >= 0 && n.Num < 1e9 {
		return n.Num
	}
	return 0
}
