package api

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestCollectorJoinsEvents(t *testing.T) {
	collector := NewCollector(true, 1<<16)
	for _, event := range []string{
		`{"id":"c1","object":"chat.completion.chunk","created":5,"model":"m",` +
			`"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"content":"Hel"}},{"index":1,"delta":{"content":"x"}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"content":"lo","tool_calls":` +
			`[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":` +
			`[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"c1","choices":[],"usage":{"total_tokens":9}}`,
	} {
		if err := collector.Add([]byte(event)); err != nil {
			t.Fatal(err)
		}
	}
	body, err := collector.JSON()
	if err != nil {
		t.Fatal(err)
	}
	var response struct {
		Object  string
		Choices []struct {
			Message struct {
				Role, Content string
				ToolCalls     []struct {
					ID       string
					Index    *int
					Function struct{ Name, Arguments string }
				} `json:"tool_calls"`
			}
			Finish string `json:"finish_reason"`
		}
		Usage struct {
			Total int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal(body, &response); err != nil {
		t.Fatal(err)
	}
	firstChoice := response.Choices[0]
	if response.Object != "chat.completion" || firstChoice.Message.Content != "Hello" ||
		firstChoice.Finish != "tool_calls" || response.Usage.Total != 9 || response.Choices[1].Message.Role != "assistant" {
		t.Errorf("%s", body)
	}
	toolCall := firstChoice.Message.ToolCalls[0]
	if toolCall.Function.Arguments != `{"a":1}` || toolCall.ID != "t" || toolCall.Index != nil {
		t.Errorf("%s", body)
	}
}

func TestCollectorRejectsEventsOverLimits(t *testing.T) {
	if err := NewCollector(true, 10).Add([]byte(`{"choices":[]}`)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("event over the size limit: %v", err)
	}
	nested := func(levels int) []byte {
		return []byte(strings.Repeat(`{"a":`, levels) + "1" + strings.Repeat("}", levels))
	}
	if err := NewCollector(true, 1<<20).Add(nested(maxEventNesting + 1)); !errors.Is(err, ErrNestedTooDeep) {
		t.Errorf("event nested too deep: %v", err)
	}
	if err := NewCollector(true, 1<<20).Add(nested(maxEventNesting)); err != nil {
		t.Errorf("event nested as deep as allowed: %v", err)
	}
	if err := NewCollector(false, 100).Add([]byte(`{"choices":[{"index":1e9}]}`)); err == nil {
		t.Error("a choice with an index of 1e9 was accepted")
	}
}

// FuzzCollector guards against a gateway ended by an engine's events: two of them with an object as an index made the
// collector panic. Whatever the events are, they are collected into valid JSON or rejected with an error.
func FuzzCollector(f *testing.F) {
	f.Add(`{"choices":[{"delta":{"tool_calls":[{"index":{}}]}}]}`, `{"choices":[{"delta":{"tool_calls":[{"index":{}}]}}]}`)
	f.Add(`{"choices":[{"index":0.5,"delta":{"a":[{"index":[]},1]}}]}`, `{"choices":[{"delta":{"a":[{"index":null}]}}]}`)
	f.Add(`{"id":"a","usage":{"b":1}}`, `{"id":{},"usage":[],"choices":[{"message":1,"delta":"x"}]}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		collector := NewCollector(true, 1<<16)
		for _, event := range []string{first, second} {
			if collector.Add([]byte(event)) != nil {
				return
			}
		}
		if body, err := collector.JSON(); err != nil || !json.Valid(body) {
			t.Errorf("%q: %v", body, err)
		}
	})
}
