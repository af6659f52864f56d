package main

import (
	"fmt"
	"io"
)

// deprecatedCommands maps former names of commands to current ones. Former names still work, with a warning on
// standard error.
var deprecatedCommands = map[string]string{
	"day": "scenario",
	"lab": "simulate",
}

// deprecatedSimulations maps former names of sub-commands of simulate to current ones.
var deprecatedSimulations = map[string]string{
	"day":    "scenario",
	"hunt":   "fault-search",
	"causes": "ablation",
}

// replaceDeprecated returns args with former names of commands replaced by current ones. It writes a warning for each
// to out.
func replaceDeprecated(args []string, out io.Writer) []string {
	args = append([]string(nil), args...)
	if len(args) > 0 {
		args[0] = replaceName(args[0], deprecatedCommands, out)
	}
	if len(args) > 1 && args[0] == "simulate" {
		args[1] = replaceName(args[1], deprecatedSimulations, out)
	}
	return args
}

// replaceName returns the current name of a command, and writes a warning to out if name is a former one.
func replaceName(name string, current map[string]string, out io.Writer) string {
	newName, deprecated := current[name]
	if !deprecated {
		return name
	}
	// The command runs even if the warning can't be written.
	_, _ = fmt.Fprintf(out, "brackenbend: the command name %q is deprecated, use %q\n", name, newName)
	return newName
}
