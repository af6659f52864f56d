package engine

import (
	"encoding/json"
	"errors"
	"strings"
)

// errTextForm is the error of a text in none of the forms that real engines accept.
var errTextForm = errors.New("neither text, parts nor token numbers")

// tokenText stands for a token number, as bytes of a text.
var tokenText = strings.Repeat("0", bytesPerToken)

// text is a message's content or a prompt, in each form that real engines accept: a string, null, an array of parts of
// which the text ones count, an array of one string, or an array of token numbers, each of which counts as four bytes.
type text string

// textPart is one part of a message's content.
type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(raw []byte) error {
	var str *string
	var parts []textPart
	var tokens []int
	var list []string
	switch {
	case json.Unmarshal(raw, &str) == nil:
		*t = ""
		if str != nil {
			*t = text(*str)
		}
	case json.Unmarshal(raw, &tokens) == nil:
		*t = text(strings.Repeat(tokenText, len(tokens)))
	case json.Unmarshal(raw, &list) == nil && len(list) == 1:
		*t = text(list[0])
	case json.Unmarshal(raw, &parts) == nil:
		var b strings.Builder
		for _, part := range parts {
			b.WriteString(part.Text)
		}
		*t = text(b.String())
	default:
		return errTextForm
	}
	return nil
}
