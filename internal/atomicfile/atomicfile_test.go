package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

func TestReplaceWritesContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	for _, text := range []string{"one", "another, longer", ""} {
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != text {
			t.Errorf("%q %v, want %q", got, err, text)
		}
	}
}

func TestReplaceThatFailsLeavesDirectoryUnchanged(t *testing.T) {
	dir := t.TempDir()
	if err := Replace(filepath.Join(dir, "f"), []byte("x")); err != nil {
		t.Fatal(err)
	}
	subdirectory := filepath.Join(dir, "d")
	if err := os.Mkdir(subdirectory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(subdirectory, "x"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Replace(subdirectory, []byte("y")); err == nil {
		t.Error("a directory was replaced by a file")
	}
	if err := Replace(filepath.Join(dir, "none", "f"), nil); err == nil {
		t.Error("a file was written in a directory that does not exist")
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 2 {
		t.Errorf("directory has entries %v, %v; want only f and d", entries, err)
	}
}
