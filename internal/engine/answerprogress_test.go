package engine

import (
	"testing"

	"brackenbend/internal/sse"
)

// answerEvents are data of events, by whether they bring an answer on that has just begun.
var answerEvents = map[string]bool{
	`{"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":null}]}`: true,
	`{ "id": "a", "choices" : [ {"index":0,"text":""} ] }`:                    true,
	`{"choices":[],"usage":{"completion_tokens":2}}`:                          true,
	`[DONE]`:                            true,
	`{"choices":[]}`:                    false,
	`{"choices":[ ],"usage":null}`:      false,
	`{"choices":null}`:                  false,
	`{}`:                                false,
	``:                                  false,
	`{"type":"ping"}`:                   false,
	`{"text":"\"choices\":[{}]"}`:       false,
	`{"text":"a \"choices","n":[{}]}`:   false,
	`{"text":"\"choices","choices":[]}`: false,
}

func TestOnlyPartsOfAnAnswerAdvanceIt(t *testing.T) {
	for data, want := range answerEvents {
		if !isEventData([]byte(data)) {
			t.Errorf("%s: taken for malformed", data)
		}
		if got := (&answerProgress{}).advance([]byte(data)); got != want {
			t.Errorf("%s: advances the answer: %v", data, got)
		}
	}
}

// TestFinishedAnswerDoesNotAdvance guards against engines that write on after the end of an answer.
func TestFinishedAnswerDoesNotAdvance(t *testing.T) {
	var p answerProgress
	for i, step := range []struct {
		data string
		want bool
	}{
		{`{"choices":[{"index":1,"delta":{"content":"oq"},"finish_reason":null}]}`, true},
		{`{"choices":[{"index":1,"delta":{"content":"oq"},"finish_reason": ""}]}`, true},
		{`{"choices":[{"index":1,"delta":{"content":"oq"},"finish_reason":"stop"}]}`, true},
		{`{"choices":[{"index":1,"delta":{"content":"oq"},"finish_reason":null}]}`, false},
		{`{"choices":[{"index":1,"delta":{"content":"oq"},"finish_reason":"stop"}]}`, false},
		{`{"choices":[{"index":0,"delta":{"content":"\"finish_reason\":\"stop"},"finish_reason":null}]}`, true},
		{`{"choices":[{"delta":{"content":"oq"},"finish_reason":"length"}]}`, true},
		{`{"choices":[{"index":0,"delta":{"content":"oq"}}]}`, false},
		{`{"choices":[{"index":70,"finish_reason":"stop"}]}`, true},
		{`{"choices":[],"usage":{"completion_tokens":2}}`, true},
		{`{"choices":[],"usage":{"completion_tokens":2}}`, false},
		{`[DONE]`, true},
	} {
		if got := p.advance([]byte(step.data)); got != step.want {
			t.Errorf("event %d, %s: advances the answer: %v", i, step.data, got)
		}
	}
}

func TestMalformedEventData(t *testing.T) {
	for _, data := range []string{
		"ping", "5", "[]", `"choices"`, `{"choices":[{}]`, "{\"choices\":[{\"delta\":\"\r\n52\"}]}", "[DONE", "{}{}",
	} {
		if isEventData([]byte(data)) {
			t.Errorf("%s: not taken for malformed", data)
		}
	}
}

// BenchmarkAnswerProgress measures what StrictEvents costs for each event.
func BenchmarkAnswerProgress(b *testing.B) {
	event := []byte(`data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n")
	data := sse.Data(event)
	b.ReportAllocs()
	for b.Loop() {
		var p answerProgress
		if !sse.WellFormed(event) || !isEventData(data) || !p.advance(data) {
			b.Fatal("no part of an answer")
		}
	}
}
