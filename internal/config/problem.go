package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file, with its position and a suggested fix.
type Problem struct {
	File         string
	Line, Column int
	Message, Fix string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.Message, p.Fix)
}

// Problems are all problems of a file, ordered by position.
type Problems []Problem

// Error implements error. The text has a line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Pos is a position in a file. Both numbers start at 1.
type Pos struct{ Line, Column int }

// maxQuotedValue is the number of bytes of an invalid value that a problem's message quotes.
const maxQuotedValue = 40

// truncate shortens a value to maxQuotedValue bytes.
func truncate(s string) string {
	if len(s) > maxQuotedValue {
		return s[:maxQuotedValue] + "..."
	}
	return s
}
