// Package api implements the OpenAI-compatible API: it parses requests, rewrites their bodies for prefill and decode,
// and encodes responses and error objects. It also classifies requests for routing.
//
// It opens no connections and starts no goroutines. A Request or a Collector must be used by one goroutine at a time; a
// Classifier can be used by several, as it is read-only.
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

// Paths of the API.
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

// routedFields are the fields that the gateway reads. A request that contains one of them twice is rejected, because
// the engine could use the other value.
var routedFields = []string{
	fieldModel, fieldStream, fieldUser, fieldMaxTokens, fieldMaxCompletionTokens, fieldMessages, fieldPrompt,
}

// Message holds the parts of a chat message that routing reads.
type Message struct {
	Role string
	Text string // its text parts, joined
}

// Request is a request for a chat completion or a text completion.
type Request struct {
	Path         string
	Chat         bool
	Model        string
	Stream       bool
	MaxTokens    int // 0 = no limit given
	User         string
	Messages     []Message // of a chat completion
	Prompt       string    // of a text completion
	PromptTokens int       // number of tokens if the prompt is an array of token IDs, else 0

	fields []field
}

// field is a member of the body's JSON object: its decoded name, and the raw JSON of its name and value.
type field struct{ name, rawName, rawValue string }

// fieldsCapacity is the initial capacity of Request.fields, enough for most requests.
const fieldsCapacity = 12

// Parse parses the body of a request to PathChat or PathCompletions.
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
	if !json.Valid(body) {
		var v any
		err := json.Unmarshal(body, &v) // fails in the same way; its error has the position
		return invalidRequest("", "the body is not a JSON object: %v", err)
	}
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return invalidRequest("", "the body is not a JSON object")
	}
	var duplicateName string
	r.fields = make([]field, 0, fieldsCapacity)
	object.ForEach(func(key, value gjson.Result) bool {
		if _, known := r.rawField(key.Str); known && slices.Contains(routedFields, key.Str) {
			duplicateName = key.Str
		}
		r.fields = append(r.fields, field{key.Str, key.Raw, value.Raw})
		return duplicateName == ""
	})
	if duplicateName != "" {
		return invalidRequest(duplicateName, "%s is given twice", duplicateName)
	}
	return nil
}

// rawField returns the raw JSON value of a field.
func (r *Request) rawField(name string) (value string, ok bool) {
	for i := range r.fields {
		if r.fields[i].name == name {
			return r.fields[i].rawValue, true
		}
	}
	return "", false
}

// parseString reads an optional field that is a string or null.
func (r *Request) parseString(name string, target *string) *Error {
	raw, ok := r.rawField(name)
	if !ok {
		return nil
	}
	v := gjson.Parse(raw)
	if v.Type != gjson.String && v.Type != gjson.Null {
		return invalidRequest(name, "%s must be a string", name)
	}
	*target = v.Str
	return nil
}

func (r *Request) parseModel() *Error {
	if e := r.parseString(fieldModel, &r.Model); e != nil {
		return e
	}
	if r.Model == "" {
		return invalidRequest(fieldModel, "model is missing")
	}
	return nil
}

func (r *Request) parseStream() *Error {
	switch v, _ := r.rawField(fieldStream); v {
	case "true":
		r.Stream = true
	case "", "false", "null":
	default:
		return invalidRequest(fieldStream, "stream must be true or false")
	}
	return nil
}

// parseMaxTokens reads the output limit, which has two names in the API; max_completion_tokens has precedence.
func (r *Request) parseMaxTokens() *Error {
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		v, ok := r.rawField(name)
		if !ok || v == "null" {
			continue
		}
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return invalidRequest(name, "%s must be a whole number from 1 to %d, it is %s", name, math.MaxInt32, quote(v))
		}
		r.MaxTokens = int(n)
	}
	return nil
}

func (r *Request) parseMessages() *Error {
	raw, _ := r.rawField(fieldMessages)
	messages := gjson.Parse(raw)
	if raw != "" && !messages.IsArray() && messages.Type != gjson.Null {
		return invalidRequest(fieldMessages, "messages must be an array")
	}
	var e *Error
	messages.ForEach(func(_, message gjson.Result) bool {
		e = r.parseMessage(len(r.Messages), message)
		return e == nil
	})
	if e == nil && len(r.Messages) == 0 {
		e = invalidRequest(fieldMessages, "messages is missing or empty")
	}
	return e
}

func (r *Request) parseMessage(i int, message gjson.Result) *Error {
	if !message.IsObject() {
		return invalidRequest(fmt.Sprintf("messages[%d]", i), "messages[%d] must be an object", i)
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
		return invalidRequest(fmt.Sprintf("messages[%d].role", i), "messages[%d] has no role", i)
	}
	text, err := contentText(content)
	if err != nil {
		return invalidRequest(fmt.Sprintf("messages[%d].content", i), "messages[%d].content: %v", i, err)
	}
	r.Messages = append(r.Messages, Message{role.Str, text})
	return nil
}

// Errors of contentText. Their texts are part of the error message for the client.
var (
	errContentType = errors.New("neither a string nor an array of parts")
	errContentPart = errors.New("a part must be an object, its text a string")
)

// contentText returns the text of a message's content, which is a string, null, or an array of parts. Of an array it
// joins the texts of all parts that have one.
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

// parsePrompt reads a prompt, which is a string, an array of one string, or an array of token IDs. It rejects an array
// of several prompts, each of which would need its own prefill and response.
func (r *Request) parsePrompt() *Error {
	raw, ok := r.rawField(fieldPrompt)
	if !ok {
		return invalidRequest(fieldPrompt, "prompt is missing")
	}
	prompt := gjson.Parse(raw)
	if prompt.Type == gjson.String {
		r.Prompt = prompt.Str
		return nil
	}
	if !prompt.IsArray() {
		return invalidPrompt()
	}
	stringCount, numberCount, otherCount := 0, 0, 0
	prompt.ForEach(func(_, element gjson.Result) bool {
		switch {
		case element.Type == gjson.String:
			stringCount++
			r.Prompt = element.Str
		case element.Type == gjson.Number && !strings.ContainsAny(element.Raw, ".eE"):
			numberCount++
		default:
			otherCount++
		}
		return true
	})
	switch {
	case stringCount == 1 && numberCount+otherCount == 0:
	case numberCount > 0 && stringCount+otherCount == 0:
		r.PromptTokens, r.Prompt = numberCount, raw
	case numberCount+otherCount == 0:
		return invalidRequest(fieldPrompt, "prompt holds %d prompts; send them as one request each", stringCount)
	default:
		return invalidPrompt()
	}
	return nil
}

func invalidPrompt() *Error {
	return invalidRequest(fieldPrompt, "prompt must be a string, an array of one string, or an array of token numbers")
}

// maxQuotedBytes is the number of bytes of a client's text that an error message quotes.
const maxQuotedBytes = 60

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return "'" + strings.ToValidUTF8(s, "?") + "'"
}
