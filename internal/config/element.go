package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
)

// Limits of a settings file.
const (
	maxNestingDepth = 16      // levels of nested elements
	maxFileBytes    = 8 << 20 // bytes
)

// element is an XML element with its position in the file.
type element struct {
	Pos
	name     string
	attrs    []xml.Attr
	children []*element
}

// elementParser builds the tree of elements. It reports text outside tags and elements that are nested too deeply.
type elementParser struct {
	report       Reporter
	openElements []*element // path from the root to the current element
	root         *element
}

// parseElements returns the root element of a file with its children. It reports problems, and returns nil if the file
// is not well-formed XML, has no element, or is over the limits.
func parseElements(text []byte, report Reporter) *element {
	if len(text) > maxFileBytes {
		report(Pos{1, 1}, "remove unused elements", "the file has %d bytes; the limit is %d",
			len(text), maxFileBytes)
		return nil
	}
	p := &elementParser{report: report}
	decoder := xml.NewDecoder(bytes.NewReader(text))
	for {
		line, column := decoder.InputPos()
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			line, column = decoder.InputPos()
			report(Pos{line, column}, "correct the XML there", "%v", err)
			return nil
		}
		if !p.handleToken(token, Pos{line, column}) {
			return nil
		}
	}
	if p.root == nil {
		report(Pos{1, 1}, "begin with <brackenbend>", "the file has no root element")
	}
	return p.root
}

// handleToken adds a token to the tree. It returns false if the parser must stop.
func (p *elementParser) handleToken(token xml.Token, at Pos) bool {
	switch token := token.(type) {
	case xml.StartElement:
		return p.startElement(&element{Pos: at, name: token.Name.Local, attrs: token.Copy().Attr})
	case xml.EndElement:
		p.openElements = p.openElements[:len(p.openElements)-1]
	case xml.CharData:
		if text := strings.TrimSpace(string(token)); text != "" {
			p.report(at, "remove it, or make it a comment", "text %q where only elements may stand", truncate(text))
		}
	}
	return true
}

func (p *elementParser) startElement(e *element) bool {
	if len(p.openElements) == maxNestingDepth {
		p.report(e.Pos, "see the schema for the allowed nesting", "elements are nested more than %d levels deep",
			maxNestingDepth)
		return false
	}
	if len(p.openElements) > 0 {
		parent := p.openElements[len(p.openElements)-1]
		parent.children = append(parent.children, e)
	} else {
		p.root = e
	}
	p.openElements = append(p.openElements, e)
	return true
}
