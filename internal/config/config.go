// Package config reads and validates the XML settings file of a gateway. It reports every problem with its file, line
// and column and a suggested fix. Settings that the file omits get the defaults in defaults.go, or stay zero. For
// settings of the router, zero selects the default that routing.Config documents.
//
// Settings are plain values, which the caller of Load or Parse owns. The package starts no goroutines.
package config

import (
	"cmp"
	"os"
	"reflect"
	"slices"
)

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// rootElement is the name of the root element of a settings file.
const rootElement = "brackenbend"

// Parse reads and validates the text of a settings file; file is its name in error messages. The error is of type
// Problems.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := Decode(file, text, rootElement, s, s.check); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, nil
}

// Reporter records a problem that a check found: its position, a suggested fix, and a message in the format of
// fmt.Sprintf.
type Reporter func(at Pos, fix, message string, args ...any)

// Decode fills target, a pointer to a struct with cfg tags, from the text of a file whose root element is rootName. It
// then calls check, which reports problems that the tags can't express. The error is of type Problems, ordered by
// position.
func Decode(file string, text []byte, rootName string, target any, check func(Reporter)) error {
	d := &decoder{file: file}
	if e := parseElements(text, d.addProblem); e != nil {
		if e.name != rootName {
			d.addProblem(e.Pos, "begin with <"+rootName+">", "the root element is <%s>", e.name)
		} else {
			d.fill(e, reflect.ValueOf(target).Elem())
			check(d.addProblem)
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
