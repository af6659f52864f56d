package endpointslice

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"brackenbend/internal/atomicfile"
)

// cacheVersion is the version of the cache file format.
const cacheVersion = 1

type cacheFile struct {
	Version   int        `json:"version"`
	Endpoints []Endpoint `json:"engines"`
}

// ReadCache reads a list that WriteCache stored. It returns no endpoints if the path is empty or the file does not
// exist.
func ReadCache(path string) ([]Endpoint, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var cached cacheFile
	if err := json.Unmarshal(data, &cached); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if cached.Version != cacheVersion {
		return nil, fmt.Errorf("%s: unsupported version %d of the cache file", path, cached.Version)
	}
	return cached.Endpoints, nil
}

// WriteCache replaces the cache file atomically: after a crash, it holds either the old or the new list.
func WriteCache(path string, list []Endpoint) error {
	data, err := json.Marshal(cacheFile{cacheVersion, list})
	if err != nil {
		return err
	}
	return atomicfile.Replace(path, data)
}

// cacheWriter writes lists to the cache file in its own goroutine, so that a slow disk does not delay updates.
type cacheWriter struct {
	pending chan []Endpoint // holds the newest list that is not yet written
	done    chan struct{}   // closed when the goroutine has ended
}

// startCacheWriter starts a cacheWriter. A failed write is only logged: the list in memory stays valid, but the next
// start finds an outdated cache.
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

// write queues a list and replaces one that is still queued. It must not be called concurrently.
func (w *cacheWriter) write(list []Endpoint) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- list
}

// close writes the queued list, if any, and waits for the goroutine to end.
func (w *cacheWriter) close() {
	close(w.pending)
	<-w.done
}
