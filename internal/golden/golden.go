// Package golden compares the output of tests with golden files in their testdata folders. Only tests use it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files in testdata")

// Updating reports whether the flag -update is set, with which tests write golden files before they compare them.
func Updating() bool { return *update }

// Check fails the test unless got equals the content of testdata/name byte for byte. With -update it first writes got
// to the file.
func Check(t testing.TB, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from golden file %s\ngot:\n%s\nwant:\n%s", file, got, want)
	}
}
