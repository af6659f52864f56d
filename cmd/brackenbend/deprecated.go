package main

import (
	"fmt"
	"io"
)

// deprecatedCommands are former names of commands. They still work, and say on standard error what to use instead.
var deprecatedCommands = map[string]string{
	"day": "scenario",
	"lab": "simulate",
}

// deprecatedSimulations are former names of sub-commands of simulate.
var deprecatedSimulations = map[string]string{
	"day":    "scenario",
	"hunt":   "fault-search",
	"causes": "ablation",
}

// replaceDeprecated returns args with former names of commands replaced by the present ones, and warns of each on out.
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

// replaceName returns the present name of a command.
func replaceName(name string, present map[string]string, out io.Writer) string {
	now, old := present[name]
	if !old {
		return name
	}
	// A warning that can't be written is no reason not to run the command.
	_, _ = fmt.Fprintf(out, "brackenbend: the command name %q is deprecated, use %q\n", name, now)
	return now
}
