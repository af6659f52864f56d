// Package atomicfile replaces files atomically: after a crash, a file has its old or its new content, never a part of
// it.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Replace writes text to a temporary file in the directory of path, syncs it and renames it to path. It does not remove
// temporary files that an earlier crash left behind.
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
		_ = os.Remove(temp.Name()) // best effort: err is the error to return
	}
	return err
}

// writeSynced writes text to f, syncs f to disk and closes it.
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
