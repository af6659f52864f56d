package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// writeFile creates a file and calls write to fill it. It does nothing if path is empty.
func writeFile(path string, write func(*os.File) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// saveJSON writes v to a file as JSON. It does nothing if path is empty.
func saveJSON(path string, v any) error {
	return writeFile(path, func(f *os.File) error {
		enc := json.NewEncoder(f)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	})
}

// removeTempDir removes a temporary directory. Errors are ignored: cleaning up is left to the system then.
func removeTempDir(dir string) { _ = os.RemoveAll(dir) }

// printer writes formatted text and keeps the first error. It writes nothing more after an error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}
