package engine

import (
	"bytes"
	"encoding/json"

	"brackenbend/internal/sse"
)

// Names in the JSON of an event.
var (
	choicesName      = []byte(`"choices"`)
	indexName        = []byte(`"index"`)
	finishReasonName = []byte(`"finish_reason"`)
	usageName        = []byte(`"usage"`)
)

// answerProgress tells events that bring an answer nearer to its end from those that an engine may go on writing for
// ever. It allocates nothing. The zero value is ready to use.
type answerProgress struct {
	finishedChoices choiceSet // those that have had a finish reason
	usageReceived   bool
}

// advance reports whether an event with this data adds to the answer: it is the last event, or has a choice that was
// not finished before, or the usage for the first time.
func (p *answerProgress) advance(data []byte) bool {
	if string(data) == sse.Done {
		return true
	}
	choices := memberValue(data, choicesName)
	if hasElements(choices) {
		return p.advanceChoice(choices)
	}
	if p.usageReceived || !bytes.HasPrefix(memberValue(data, usageName), []byte("{")) {
		return false
	}
	p.usageReceived = true
	return true
}

// advanceChoice reports whether the first of the choices was not finished before. Engines write an event for each.
func (p *answerProgress) advanceChoice(choices []byte) bool {
	index := leadingNumber(memberValue(choices, indexName))
	if p.finishedChoices.contains(index) {
		return false
	}
	reason, isText := bytes.CutPrefix(memberValue(choices, finishReasonName), []byte(`"`))
	if isText && !bytes.HasPrefix(reason, []byte(`"`)) { // some engines write "" for none
		p.finishedChoices.add(index)
	}
	return true
}

// choiceSet is a set of the indexes of choices. It holds those below 64 only.
type choiceSet uint64

func (s choiceSet) contains(index int) bool { return s&(1<<index) != 0 }

func (s *choiceSet) add(index int) { *s |= 1 << index }

// leadingNumber returns the number that text begins with, 0 if there is none. Of a longer one it returns the first
// digits.
func leadingNumber(text []byte) (n int) {
	const maxDigits = 9
	for _, c := range text[:min(len(text), maxDigits)] {
		if c < '0' || c > '9' {
			break
		}
		n = 10*n + int(c-'0')
	}
	return n
}

// isEventData reports whether data is what the events of an answer hold: a JSON object, or the mark of the last event.
// Empty data is allowed too, since readers of event streams skip it.
func isEventData(data []byte) bool {
	if len(data) == 0 || string(data) == sse.Done {
		return true
	}
	return bytes.HasPrefix(bytes.TrimLeft(data, jsonSpace), []byte("{")) && json.Valid(data)
}

// jsonSpace are the characters that may stand between the tokens of JSON.
const jsonSpace = " \t\r\n"

// memberValue returns the rest of object from the value of the first member with this name, which is quoted; nil if
// there is none. object is valid JSON, so that an unescaped quotation mark begins or ends a string.
func memberValue(object, name []byte) []byte {
	for {
		start := bytes.Index(object, name)
		if start < 0 {
			return nil
		}
		escaped := start > 0 && object[start-1] == '\\'
		object = object[start+len(name):]
		value, isMember := bytes.CutPrefix(bytes.TrimLeft(object, jsonSpace), []byte(":"))
		if isMember && !escaped {
			return bytes.TrimLeft(value, jsonSpace)
		}
	}
}

// hasElements reports whether value begins with an array that is not empty.
func hasElements(value []byte) bool {
	elements, isArray := bytes.CutPrefix(value, []byte("["))
	return isArray && !bytes.HasPrefix(bytes.TrimLeft(elements, jsonSpace), []byte("]"))
}
