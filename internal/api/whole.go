package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Collector puts a streamed answer together into the one object that a client asked for who did not stream. The
// engine is always asked to stream: only so does the front learn of the first token.
type Collector struct {
	chat    bool
	limit   int // bytes of all events
	seen    int
	top     map[string]any
	choices []map[string]any
}

// NewCollector collects an answer of at most limit bytes of events.
func NewCollector(chat bool, limit int) *Collector { return &Collector{chat: chat, limit: limit} }

// ErrTooLarge is an answer past its limit.
var ErrTooLarge = errors.New("api: answer over the limit for whole answers")

// Add takes the data of one event.
func (w *Collector) Add(data []byte) error {
	if w.seen += len(data); w.seen > w.limit {
		return ErrTooLarge
	}
	var ev map[string]any
	if err := json.Unmarshal(data, &ev); err != nil {
		return fmt.Errorf("api: event: %w", err)
	}
	choices, _ := ev["choices"].([]any)
	delete(ev, "choices")
	if w.top == nil {
		w.top = map[string]any{}
	}
	for k, v := range ev {
		if v != nil || w.top[k] == nil {
			w.top[k] = v
		}
	}
	for _, c := range choices {
		c, ok := c.(map[string]any)
		if !ok {
			return errors.New("api: event: a choice is not an object")
		}
		if d, ok := c["delta"]; ok {
			c["message"] = d
			delete(c, "delta")
		}
		into, err := indexed(&w.choices, c)
		if err != nil {
			return err
		}
		merge(into, c)
	}
	return nil
}

// indexed finds or makes the element of list with the index of part. 128 elements are the most that the API
// lets a client ask for.
func indexed(list *[]map[string]any, part map[string]any) (map[string]any, error) {
	n, _ := part["index"].(float64)
	if n < 0 || n >= 128 {
		return nil, fmt.Errorf("api: event: index %v", n)
	}
	for len(*list) <= int(n) {
		*list = append(*list, map[string]any{"index": float64(len(*list))})
	}
	return (*list)[int(n)], nil
}

// merge adds a delta: text grows, lists with an index are merged by it, all else is replaced.
func merge(into, delta map[string]any) {
	for k, v := range delta {
		old := into[k]
		switch v := v.(type) {
		case nil:
			if old == nil {
				into[k] = nil
			}
		case string:
			if s, ok := old.(string); ok && !slices.Contains([]string{"role", "id", "type", "finish_reason"}, k) {
				v = s + v
			}
			into[k] = v
		case map[string]any:
			m, ok := old.(map[string]any)
			if !ok {
				m = map[string]any{}
				into[k] = m
			}
			merge(m, v)
		case []any:
			into[k] = mergeList(old, v)
		default:
			into[k] = v
		}
	}
}

func mergeList(old any, delta []any) any {
	list, _ := old.([]any)
	for _, d := range delta {
		m, ok := d.(map[string]any)
		if _, has := m["index"]; !ok || !has {
			list = append(list, d)
			continue
		}
		i := slices.IndexFunc(list, func(e any) bool {
			em, ok := e.(map[string]any)
			return ok && em["index"] == m["index"]
		})
		if i < 0 {
			list = append(list, map[string]any{})
			i = len(list) - 1
		}
		merge(list[i].(map[string]any), m)
	}
	return list
}

// JSON is the whole answer.
func (w *Collector) JSON() ([]byte, error) {
	if w.top == nil {
		return nil, errors.New("api: no event came")
	}
	w.top["object"] = "text_completion"
	if w.chat {
		w.top["object"] = "chat.completion"
		for _, c := range w.choices {
			m, ok := c["message"].(map[string]any)
			if !ok {
				m = map[string]any{"content": ""}
				c["message"] = m
			}
			if m["role"] == nil {
				m["role"] = "assistant"
			}
			if _, ok := m["content"]; !ok {
				m["content"] = nil
			}
			calls, _ := m["tool_calls"].([]any)
			for _, t := range calls { // a whole answer's calls have no index
				if t, ok := t.(map[string]any); ok {
					delete(t, "index")
				}
			}
		}
	}
	w.top["choices"] = w.choices
	if w.choices == nil {
		w.top["choices"] = []any{}
	}
	return json.Marshal(w.top)
}
