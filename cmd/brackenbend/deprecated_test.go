package main

import (
	"slices"
	"strings"
	"testing"
)

func TestReplaceDeprecatedNamesAndWarnsOfEach(t *testing.T) {
	for _, c := range []struct {
		args, want string
		warnings   int
	}{
		{"", "", 0},
		{"serve -c day", "serve -c day", 0},
		{"day", "scenario", 1},
		{"day day.xml", "scenario day.xml", 1},
		{"lab", "simulate", 1},
		{"lab day lab", "simulate scenario lab", 2},
		{"lab hunt x", "simulate fault-search x", 2},
		{"simulate causes", "simulate ablation", 1},
		{"lab roles --seeds 1", "simulate roles --seeds 1", 1},
	} {
		var warnings strings.Builder
		args := strings.Fields(c.args)
		got := replaceDeprecated(args, &warnings)
		if !slices.Equal(got, strings.Fields(c.want)) || strings.Count(warnings.String(), "deprecated") != c.warnings {
			t.Errorf("%q: got %q, want %q; warnings %q, want %d", c.args, got, c.want, warnings.String(), c.warnings)
		}
		if !slices.Equal(args, strings.Fields(c.args)) {
			t.Errorf("%q: the arguments were changed", c.args)
		}
	}
}
