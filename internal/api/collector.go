package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Collector joins the events of a stream into the one object for a client that does not stream. Engines are always
// asked to stream, since only so the gateway learns of the first token.
type Collector struct {
	chat    bool
	limit   int // bytes of all events
	size    int // bytes of the events so far
	fields  map[string]any
	choices []map[string]any
}

// Errors of a Collector.
var (
	ErrTooLarge      = errors.New("api: answer over the limit for whole answers")
	ErrNoEvents      = errors.New("api: no event came")
	ErrInvalidChoice = errors.New("api: event: a choice is not an object")
)

// maxChoices is how many choices the API lets a client ask for.
const maxChoices = 128

// NewCollector collects an answer of at most limit bytes of events.
func NewCollector(chat bool, limit int) *Collector { return &Collector{chat: chat, limit: limit} }

// Add adds the data of one event.
func (c *Collector) Add(data []byte) error {
	if c.size += len(data); c.size > c.limit {
		return ErrTooLarge
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

// addChoice merges the part of a choice that an event has.
func (c *Collector) addChoice(choice any) error {
	part, ok := choice.(map[string]any)
	if !ok {
		return ErrInvalidChoice
	}
	if delta, ok := part["delta"]; ok {
		part["message"] = delta
		delete(part, "delta")
	}
	into, err := c.choice(part)
	if err != nil {
		return err
	}
	merge(into, part)
	return nil
}

// choice finds or makes the choice with the index of part.
func (c *Collector) choice(part map[string]any) (map[string]any, error) {
	index, _ := part["index"].(float64)
	if index < 0 || index >= maxChoices {
		return nil, fmt.Errorf("api: event: index %v", index)
	}
	for len(c.choices) <= int(index) {
		c.choices = append(c.choices, map[string]any{"index": float64(len(c.choices))})
	}
	return c.choices[int(index)], nil
}

// wholeStrings are the fields whose strings come whole in each delta, where others are appended.
var wholeStrings = []string{"role", "id", "type", "finish_reason"}

// merge adds a delta: text is appended, lists with an index are merged by it, and everything else is replaced.
func merge(into, delta map[string]any) {
	for name, v := range delta {
		old := into[name]
		switch v := v.(type) {
		case nil:
			if old == nil {
				into[name] = nil
			}
		case string:
			if s, ok := old.(string); ok && !slices.Contains(wholeStrings, name) {
				v = s + v
			}
			into[name] = v
		case map[string]any:
			object, ok := old.(map[string]any)
			if !ok {
				object = map[string]any{}
				into[name] = object
			}
			merge(object, v)
		case []any:
			into[name] = mergeList(old, v)
		default:
			into[name] = v
		}
	}
}

func mergeList(old any, delta []any) any {
	list, _ := old.([]any)
	for _, element := range delta {
		part, ok := element.(map[string]any)
		if _, hasIndex := part["index"]; !ok || !hasIndex {
			list = append(list, element)
			continue
		}
		i := slices.IndexFunc(list, func(other any) bool {
			object, ok := other.(map[string]any)
			return ok && object["index"] == part["index"]
		})
		if i < 0 {
			list = append(list, map[string]any{})
			i = len(list) - 1
		}
		merge(list[i].(map[string]any), part)
	}
	return list
}

// JSON is the whole answer. Nothing can be added after it.
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

// completeMessage makes a message out of a choice's deltas: some fields are required, and tool calls have no index.
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
