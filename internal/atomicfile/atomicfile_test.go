package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

func TestReplace(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for _, text := range []string{"one", "another, longer", ""} {
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != text {
			t.Errorf("%q %v, want %q", got, err, text)
		}
	}
	// a failure leaves what was there, and nothing beside it
	if err := os.Mkdir(filepath.Join(dir, "d"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "d", "x"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Replace(filepath.Join(dir, "d"), []byte("y")); err == nil {
		t.Error("a folder was replaced by a file")
	}
	if err := Replace(filepath.Join(dir, "none", "f"), nil); err == nil {
		t.Error("a file was written where there is no folder")
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 2 {
		t.Errorf("%v is left, %v", left, err)
	}
}
