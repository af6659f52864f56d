// Package atomicfile writes files so that a crash at any moment leaves the old content or the new one, never a part.
// It keeps no state.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Replace writes text to a temporary file beside path, syncs it and renames it over path. Temporary files that an
// earlier crash left behind are ignored.
func Replace(path string, text []byte) error {
	temp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	err = writeSynced(temp, text)
	if err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temp.Name()) // err is the one to report; what stays is ignored
	}
	return err
}

// writeSynced writes text to f, syncs it to the disk and closes f.
func writeSynced(f *os.File, text []byte) error {
	_, err := f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
