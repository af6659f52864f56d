// Package atomicfile writes files so that a crash at any moment leaves the old content or the new one, never a part.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Replace writes text aside, syncs it and renames it over path. What an earlier try left aside is not looked at.
func Replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
