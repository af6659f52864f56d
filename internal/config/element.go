package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
)

// Bounds on a settings file.
const (
	maxDepth = 16      // of nested elements
	maxSize  = 8 << 20 // bytes
)

// element is an element of a file with its place.
type element struct {
	Pos
	name     string
	attrs    []xml.Attr
	children []*element
}

// elementParser builds the tree of elements and reports what can't stand in it.
type elementParser struct {
	report Reporter
	open   []*element // from the root to the element that is read
	root   *element
}

// parseElements reads the root element of a file. It returns nil where none can be made; the reason is reported.
func parseElements(text []byte, report Reporter) *element {
	if len(text) > maxSize {
		report(Pos{1, 1}, "split it or remove what is not needed", "the file has %d bytes, %d at most are read",
			len(text), maxSize)
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
		if !p.token(token, Pos{line, column}) {
			return nil
		}
	}
	if p.root == nil {
		report(Pos{1, 1}, "begin with <brackenbend>", "no element in the file")
	}
	return p.root
}

// token takes one token; false ends the parse.
func (p *elementParser) token(token xml.Token, at Pos) bool {
	switch token := token.(type) {
	case xml.StartElement:
		return p.start(&element{Pos: at, name: token.Name.Local, attrs: token.Copy().Attr})
	case xml.EndElement:
		p.open = p.open[:len(p.open)-1]
	case xml.CharData:
		if text := strings.TrimSpace(string(token)); text != "" {
			p.report(at, "remove it, or make it a comment", "text %q where only elements may stand", clip(text))
		}
	}
	return true
}

func (p *elementParser) start(e *element) bool {
	if len(p.open) == maxDepth {
		p.report(e.Pos, "see the schema for what may stand where", "elements are nested over %d deep", maxDepth)
		return false
	}
	if len(p.open) > 0 {
		parent := p.open[len(p.open)-1]
		parent.children = append(parent.children, e)
	} else {
		p.root = e
	}
	p.open = append(p.open, e)
	return true
}
