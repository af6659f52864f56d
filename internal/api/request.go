// Package api reads requests of the OpenAI-compatible API, rewrites their bodies for the two stages at engines, and
// writes the API's answers and error objects. It also classifies requests for routing.
//
// It holds no sockets and starts no goroutines. A Request and a Collector belong to one goroutine at a time; a
// Classifier is read-only.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// The paths served.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// Names of fields of request bodies.
const (
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldUser                = "user"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldMessages            = "messages"
	fieldPrompt              = "prompt"
	fieldStreamOptions       = "stream_options"
	fieldMinTokens           = "min_tokens"
	fieldKVTransferParams    = "kv_transfer_params"
)

// routedFields are the fields by which requests are routed. A request that has one of them twice is invalid: the engine
// might use the other one.
var routedFields = []string{
	fieldModel, fieldStream, fieldUser, fieldMaxTokens, fieldMaxCompletionTokens, fieldMessages, fieldPrompt,
}

// Message is one message of a chat, as far as routing reads it.
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
	MaxTokens    int // 0 = no limit given
	User         string
	Messages     []Message // of a chat
	Prompt       string    // of a completion
	PromptTokens int       // if the prompt is token numbers

	fields []field
}

// field is one member of the body: its name, and name and value as they were sent.
type field struct{ name, key, value string }

// fieldsCapacity is enough for most requests.
const fieldsCapacity = 12

// Parse parses the request body of one of the two completion paths.
func Parse(path string, body []byte) (*Request, *Error) {
	r := &Request{Path: path, Chat: path == PathChat}
	if e := r.parseFields(body); e != nil {
		return nil, e
	}
	if e := r.parseModel(); e != nil {
		return nil, e
	}
	if e := r.parseStream(); e != nil {
		return nil, e
	}
	if e := r.parseString(fieldUser, &r.User); e != nil {
		return nil, e
	}
	if e := r.parseMaxTokens(); e != nil {
		return nil, e
	}
	if r.Chat {
		return r, r.parseMessages()
	}
	return r, r.parsePrompt()
}

// parseFields splits the body into its fields.
func (r *Request) parseFields(body []byte) *Error {
	if nestsTooDeep(body) {
		return invalid("", "the body nests deeper than %d levels", maxDepth)
	}
	if !gjson.ValidBytes(body) {
		var v any
		if err := json.Unmarshal(body, &v); err != nil { // its message says where
			return invalid("", "the body is not a JSON object: %v", err)
		}
		return invalid("", "the body is not a JSON object")
	}
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return invalid("", "the body is not a JSON object")
	}
	var repeated string
	r.fields = make([]field, 0, fieldsCapacity)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, known := r.get(key.Str); known && slices.Contains(routedFields, key.Str) {
			repeated = key.Str
		}
		r.fields = append(r.fields, field{key.Str, key.Raw, value.Raw})
		return repeated == ""
	})
	if repeated != "" {
		return invalid(repeated, "%s is given twice", repeated)
	}
	return nil
}

// get returns the value of a field as it was sent.
func (r *Request) get(name string) (value string, ok bool) {
	for i := range r.fields {
		if r.fields[i].name == name {
			return r.fields[i].value, true
		}
	}
	return "", false
}

// parseString reads a field that is a string or null.
func (r *Request) parseString(name string, into *string) *Error {
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

func (r *Request) parseModel() *Error {
	if e := r.parseString(fieldModel, &r.Model); e != nil {
		return e
	}
	if r.Model == "" {
		return invalid(fieldModel, "model is missing")
	}
	return nil
}

func (r *Request) parseStream() *Error {
	switch v, _ := r.get(fieldStream); v {
	case "true":
		r.Stream = true
	case "", "false", "null":
	default:
		return invalid(fieldStream, "stream must be true or false")
	}
	return nil
}

// parseMaxTokens reads both names of the limit; the newer one has precedence.
func (r *Request) parseMaxTokens() *Error {
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		v, ok := r.get(name)
		if !ok || v == "null" {
			continue
		}
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return invalid(name, "%s must be a whole number from 1 to %d, it is %s", name, math.MaxInt32, quote(v))
		}
		r.MaxTokens = int(n)
	}
	return nil
}

func (r *Request) parseMessages() *Error {
	raw, _ := r.get(fieldMessages)
	messages := gjson.Parse(raw)
	if raw != "" && !messages.IsArray() && messages.Type != gjson.Null {
		return invalid(fieldMessages, "messages must be an array")
	}
	var e *Error
	messages.ForEach(func(_, message gjson.Result) bool {
		e = r.parseMessage(len(r.Messages), message)
		return e == nil
	})
	if e == nil && len(r.Messages) == 0 {
		e = invalid(fieldMessages, "messages is missing or empty")
	}
	return e
}

func (r *Request) parseMessage(i int, message gjson.Result) *Error {
	if !message.IsObject() {
		return invalid(fmt.Sprintf("messages[%d]", i), "messages[%d] must be an object", i)
	}
	var role, content gjson.Result
	message.ForEach(func(key, value gjson.Result) bool {
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

// Why a message's content is invalid, as a part of the error's message.
var (
	errContentType = errors.New("neither a string nor an array of parts")
	errContentPart = errors.New("a part must be an object, its text a string")
)

// contentText reads a string, null, or an array of parts, and returns the text of all parts that have one.
func contentText(content gjson.Result) (string, error) {
	if content.Type == gjson.String || content.Type == gjson.Null {
		return content.Str, nil
	}
	if !content.IsArray() {
		return "", errContentType
	}
	var b strings.Builder
	var err error
	content.ForEach(func(_, part gjson.Result) bool {
		text := part.Get("text")
		if !part.IsObject() || text.Type != gjson.String && text.Type != gjson.Null {
			err = errContentPart
			return false
		}
		b.WriteString(text.Str)
		return true
	})
	return b.String(), err
}

// parsePrompt reads a string, an array of one string, or an array of token numbers. Batches are invalid: each of their
// prompts would need a prefill and an answer of its own.
func (r *Request) parsePrompt() *Error {
	raw, ok := r.get(fieldPrompt)
	if !ok {
		return invalid(fieldPrompt, "prompt is missing")
	}
	prompt := gjson.Parse(raw)
	if prompt.Type == gjson.String {
		r.Prompt = prompt.Str
		return nil
	}
	if !prompt.IsArray() {
		return invalidPrompt()
	}
	texts, numbers, others := 0, 0, 0
	prompt.ForEach(func(_, element gjson.Result) bool {
		switch {
		case element.Type == gjson.String:
			texts++
			r.Prompt = element.Str
		case element.Type == gjson.Number && !strings.ContainsAny(element.Raw, ".eE"):
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
		return invalid(fieldPrompt, "prompt holds %d prompts; send them as one request each", texts)
	default:
		return invalidPrompt()
	}
	return nil
}

func invalidPrompt() *Error {
	return invalid(fieldPrompt, "prompt must be a string, an array of one string, or an array of token numbers")
}

// maxDepth bounds how deep a body may nest, as in encoding/json: parsers recurse.
const maxDepth = 10000

// nestsTooDeep reports that b nests deeper than maxDepth.
func nestsTooDeep(b []byte) bool {
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		c := b[i]
		if inString {
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case '{', '[':
			if depth++; depth > maxDepth {
				return true
			}
		case '}', ']':
			depth--
		}
	}
	return false
}

// maxQuoted is how many bytes of a client's text an error message repeats.
const maxQuoted = 60

func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return "'" + strings.ToValidUTF8(s, "?") + "'"
}
