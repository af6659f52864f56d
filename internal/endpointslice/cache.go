package endpointslice

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"brackenbend/internal/atomicfile"
)

// cacheVersion is the version of the form of cache files.
const cacheVersion = 1

type cacheFile struct {
	Version   int        `json:"version"`
	Endpoints []Endpoint `json:"engines"`
}

// ReadCache reads a list that WriteCache stored. An empty path or a missing file gives none.
func ReadCache(path string) ([]Endpoint, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var cached cacheFile
	if err := json.Unmarshal(text, &cached); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if cached.Version != cacheVersion {
		return nil, fmt.Errorf("%s: version %d is unknown", path, cached.Version)
	}
	return cached.Endpoints, nil
}

// WriteCache stores a list atomically: a crash at any moment leaves the old or the new one.
func WriteCache(path string, list []Endpoint) error {
	text, err := json.Marshal(cacheFile{cacheVersion, list})
	if err != nil {
		return err
	}
	return atomicfile.Replace(path, text)
}

// cacheWriter writes lists to the cache file in a goroutine of its own, so that a slow disk delays no update.
type cacheWriter struct {
	pending chan []Endpoint // the newest list that is not written yet
	done    chan struct{}   // closed when the goroutine has ended
}

// startCacheWriter starts the goroutine. A failed write is logged and costs only the next start its list.
func startCacheWriter(path string, log func(msg string, err error)) *cacheWriter {
	w := &cacheWriter{pending: make(chan []Endpoint, 1), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for list := range w.pending {
			if err := WriteCache(path, list); err != nil {
				log("cannot write the endpoint list cache", err)
			}
		}
	}()
	return w
}

// write hands over a list; it replaces one that still waits. It must not be called concurrently.
func (w *cacheWriter) write(list []Endpoint) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- list
}

// close writes what waits and ends the goroutine.
func (w *cacheWriter) close() {
	close(w.pending)
	<-w.done
}
