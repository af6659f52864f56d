// Package golden compares what tests produce with files recorded under their testdata folder. It is used by tests only.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the recorded files of testdata anew")

// Updating tells that recorded files are to be written anew, as asked for by the flag -update.
func Updating() bool { return *update }

// Check reports an error unless got is the text of testdata/name, byte for byte. With -update it writes the file first.
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
		t.Errorf("%s differs from what was recorded\ngot:\n%s\nwant:\n%s", file, got, want)
	}
}
