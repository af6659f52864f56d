package engine

import (
	"encoding/json"
	"errors"
	"strings"
)

// errUnsupportedText is returned for a text in none of the forms that real engines accept.
var errUnsupportedText = errors.New("neither a string, an array of parts nor an array of token IDs")

// tokenPlaceholder stands for a token ID in a text and has the length of an average token.
var tokenPlaceholder = strings.Repeat("0", bytesPerToken)

// text is a message's content or a prompt. It is decoded from each form that real engines accept: a string, null, an
// array of parts, of which only the text is kept, an array of one string, or an array of token IDs, each of which
// counts as bytesPerToken bytes.
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
	var tokenIDs []int
	var stringList []string
	switch {
	case json.Unmarshal(raw, &str) == nil:
		*t = ""
		if str != nil {
			*t = text(*str)
		}
	case json.Unmarshal(raw, &tokenIDs) == nil:
		*t = text(strings.Repeat(tokenPlaceholder, len(tokenIDs)))
	case json.Unmarshal(raw, &stringList) == nil && len(stringList) == 1:
		*t = text(stringList[0])
	case json.Unmarshal(raw, &parts) == nil:
		var b strings.Builder
		for _, part := range parts {
			b.WriteString(part.Text)
		}
		*t = text(b.String())
	default:
		return errUnsupportedText
	}
	return nil
}
