package engine

import (
	"encoding/json"
	"errors"
	"strings"
)

// text is a message's content or a prompt, in each form that real engines take: a string, null, an array of parts of
// which the text ones count, an array of one string, or an array of token numbers, each of which counts as four bytes.
type text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(raw []byte) error {
	var s *string
	var parts []struct{ Type, Text string }
	var tokens []int
	var some []string
	switch {
	case json.Unmarshal(raw, &s) == nil:
		*t = ""
		if s != nil {
			*t = text(*s)
		}
	case json.Unmarshal(raw, &tokens) == nil:
		*t = text(strings.Repeat("0000", len(tokens)))
	case json.Unmarshal(raw, &some) == nil && len(some) == 1:
		*t = text(some[0])
	case json.Unmarshal(raw, &parts) == nil:
		var b strings.Builder
		for _, p := range parts {
			b.WriteString(p.Text)
		}
		*t = text(b.String())
	default:
		return errors.New("neither text, parts nor token numbers")
	}
	return nil
}
