package config

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a settings file: where, what, and how to fix it.
type Problem struct {
	File         string
	Line, Column int
	What, Fix    string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.What, p.Fix)
}

// Problems are all that a check found, in the file's order.
type Problems []Problem

// Error implements error: one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Pos is where an element stands.
type Pos struct{ Line, Column int }

// maxClipped is how many bytes of a wrong value are repeated in a problem.
const maxClipped = 40

// clip shortens a value for a problem's text.
func clip(s string) string {
	if len(s) > maxClipped {
		return s[:maxClipped] + "..."
	}
	return s
}
