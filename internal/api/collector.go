package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Collector merges the events of an engine's stream into one response object, for a client that did not ask for a
// stream. DecodeBody always requests a stream, as that is how the gateway learns when the first token arrives.
type Collector struct {
	chat     bool
	maxBytes int // limit on size
	size     int // bytes of all events so far
	fields   map[string]any
	choices  []map[string]any
}

// Errors of a Collector.
var (
	ErrTooLarge      = errors.New("api: the stream exceeds the size limit of responses that are not streamed")
	ErrNestedTooDeep = fmt.Errorf("api: event: nested deeper than %d levels", maxEventNesting)
	ErrNoEvents      = errors.New("api: the stream has no events")
	ErrInvalidChoice = errors.New("api: event: a choice is not a JSON object")
)

// maxChoices is the largest number of choices that the API lets a client request.
const maxChoices = 128

// NewCollector returns a Collector for a stream of at most limit bytes of events. chat selects the format of the
// response: a chat completion or a text completion.
func NewCollector(chat bool, limit int) *Collector { return &Collector{chat: chat, maxBytes: limit} }

// Add merges the data of one event.
func (c *Collector) Add(data []byte) error {
	if c.size += len(data); c.size > c.maxBytes {
		return ErrTooLarge
	}
	if nestingExceeds(data, maxEventNesting) {
		return ErrNestedTooDeep
	}
	var event map[string]any
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("api: event: %w", err)
	}
	choices, _ := event["choices"].([]any)
	delete(event, "choices")
	if c.fields == nil {
		c.fields = map[string]any{}
	}
	for name, v := range event {
		if v != nil || c.fields[name] == nil {
			c.fields[name] = v
		}
	}
	for _, choice := range choices {
		if err := c.addChoice(choice); err != nil {
			return err
		}
	}
	return nil
}

// addChoice merges the part of a choice that one event contains.
func (c *Collector) addChoice(choice any) error {
	choiceDelta, ok := choice.(map[string]any)
	if !ok {
		return ErrInvalidChoice
	}
	if delta, ok := choiceDelta["delta"]; ok {
		choiceDelta["message"] = delta
		delete(choiceDelta, "delta")
	}
	target, err := c.choice(choiceDelta)
	if err != nil {
		return err
	}
	merge(target, choiceDelta)
	return nil
}

// choice returns the choice with the index of choiceDelta and creates it if needed.
func (c *Collector) choice(choiceDelta map[string]any) (map[string]any, error) {
	index, _ := choiceDelta["index"].(float64)
	if index < 0 || index >= maxChoices {
		return nil, fmt.Errorf("api: event: choice index %v is out of range", index)
	}
	for len(c.choices) <= int(index) {
		c.choices = append(c.choices, map[string]any{"index": float64(len(c.choices))})
	}
	return c.choices[int(index)], nil
}

// replacedStrings are the string fields that each delta contains as a whole. In other fields a delta contains the next
// part of the string.
var replacedStrings = []string{"role", "id", "type", "finish_reason"}

// merge adds a delta to an object. Strings are appended, except those of replacedStrings; objects are merged; elements
// of lists are merged by their index field, or appended if they have no index that is a number; null changes no value;
// all other values are replaced.
func merge(target, delta map[string]any) {
	for name, v := range delta {
		oldValue := target[name]
		switch v := v.(type) {
		case nil:
			if oldValue == nil {
				target[name] = nil
			}
		case string:
			if s, ok := oldValue.(string); ok && !slices.Contains(replacedStrings, name) {
				v = s + v
			}
			target[name] = v
		case map[string]any:
			object, ok := oldValue.(map[string]any)
			if !ok {
				object = map[string]any{}
				target[name] = object
			}
			merge(object, v)
		case []any:
			target[name] = mergeList(oldValue, v)
		default:
			target[name] = v
		}
	}
}

func mergeList(oldValue any, delta []any) any {
	list, _ := oldValue.([]any)
	for _, element := range delta {
		elementDelta, index, ok := indexedObject(element)
		if !ok {
			list = append(list, element)
			continue
		}
		i := slices.IndexFunc(list, func(other any) bool {
			_, otherIndex, ok := indexedObject(other)
			return ok && otherIndex == index
		})
		if i < 0 {
			list = append(list, map[string]any{})
			i = len(list) - 1
		}
		merge(list[i].(map[string]any), elementDelta)
	}
	return list
}

// indexedObject returns a list element that is an object, and its index. ok is false if it is no object or has no index
// that is a number.
func indexedObject(element any) (object map[string]any, index float64, ok bool) {
	object, _ = element.(map[string]any)
	index, ok = object["index"].(float64)
	return object, index, ok
}

// JSON returns the response body. Add must not be called after it.
func (c *Collector) JSON() ([]byte, error) {
	if c.fields == nil {
		return nil, ErrNoEvents
	}
	c.fields["object"] = "text_completion"
	if c.chat {
		c.fields["object"] = "chat.completion"
		for _, choice := range c.choices {
			completeMessage(choice)
		}
	}
	c.fields["choices"] = c.choices
	if c.choices == nil {
		c.fields["choices"] = []any{}
	}
	return json.Marshal(c.fields)
}

// completeMessage turns a choice's merged deltas into a message: it sets the required fields and removes the indices of
// tool calls, which only deltas have.
func completeMessage(choice map[string]any) {
	message, ok := choice["message"].(map[string]any)
	if !ok {
		message = map[string]any{"content": ""}
		choice["message"] = message
	}
	if message["role"] == nil {
		message["role"] = "assistant"
	}
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	calls, _ := message["tool_calls"].([]any)
	for _, call := range calls {
		if call, ok := call.(map[string]any); ok {
			delete(call, "index")
		}
	}
}
