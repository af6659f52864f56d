// Package config reads the settings of a gateway: XML, checked against what the program takes, with every problem named
// by file, line, column and fix. It decides nothing about requests: what is left out becomes the router's documented
// default, or a bound written in defaults.go.
//
// Settings are plain values without goroutines; who loads them owns them.
package config

import (
	"cmp"
	"os"
	"reflect"
	"slices"
)

// Load reads and checks a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// rootElement is the root of a settings file.
const rootElement = "brackenbend"

// Parse reads settings; file is for messages. The error is Problems.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := Decode(file, text, rootElement, s, s.check); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, nil
}

// Reporter takes a problem that a check found.
type Reporter func(at Pos, fix, what string, args ...any)

// Decode fills into, a pointer to a struct with cfg tags, from a file whose root element is root. check looks
// for what no single attribute shows. The error is Problems, in the file's order.
func Decode(file string, text []byte, root string, into any, check func(Reporter)) error {
	d := &decoder{file: file}
	if e := parseElements(text, d.problem); e != nil {
		if e.name != root {
			d.problem(e.Pos, "begin with <"+root+">", "the root element is <%s>", e.name)
		} else {
			d.fill(e, reflect.ValueOf(into).Elem())
			check(d.problem)
		}
	}
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}
