package apiserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"brackenbend/internal/audit"
)

// errUnreachable is returned if the server has become unreachable since the request was received.
var errUnreachable = errors.New("unreachable")

// watcher sends events to the client of one watch.
type watcher struct {
	server      *Server
	replica     string
	encoder     *json.Encoder
	flusher     *http.ResponseController
	next        int // index of the next event
	lastVersion int // latest version sent
}

// watch sends the events after a resource version until the client or SetUnreachable ends the request.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, replica string) {
	fromVersion, err := strconv.Atoi(r.FormValue("resourceVersion"))
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	next, err := s.registerWatch(ctx, cancel, fromVersion)
	switch {
	case errors.Is(err, errUnreachable):
		writeUnavailable(w)
		return
	case errors.Is(err, errExpired):
		writeStatus(w, http.StatusGone, "Expired", "too old resource version")
		return
	}
	defer s.unregisterWatch(ctx)
	w.Header().Set("Content-Type", "application/json")
	stream := &watcher{
		server: s, replica: replica, encoder: json.NewEncoder(w), flusher: http.NewResponseController(w),
		next: next, lastVersion: fromVersion,
	}
	_ = stream.flusher.Flush() // sends the header; a client that has disconnected is detected at the next flush
	stream.run(ctx)
}

// registerWatch registers a watch, so that SetUnreachable can end it, and returns the index of its first event.
func (s *Server) registerWatch(ctx context.Context, cancel context.CancelFunc, fromVersion int) (next int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable { // since the request was received; SetUnreachable ends only registered watches
		return 0, errUnreachable
	}
	if fromVersion < s.log.oldestVersion {
		return 0, errExpired
	}
	s.watches[ctx] = cancel
	return s.log.indexAfter(fromVersion), nil
}

func (s *Server) unregisterWatch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, ctx)
}

func (w *watcher) run(ctx context.Context) {
	bookmarks := time.NewTicker(w.server.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		batch, err := w.nextBatch()
		if err != nil {
			_ = w.send(eventError, statusObject(http.StatusGone, "Expired", "too old resource version")) // the watch ends here
			return
		}
		if w.sendBatch(batch.events) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-batch.changeSignal:
		case <-batch.nextDue:
		case <-bookmarks.C:
			_ = w.send(eventBookmark, bookmarkObject(w.lastVersion)) // a client that has disconnected is detected at the flush
			if w.flusher.Flush() != nil {
				return
			}
		}
	}
}

// batch holds the events that are due and the channels to wait for before the next batch.
type batch struct {
	events       []event
	changeSignal <-chan struct{}  // closed when the log changes
	nextDue      <-chan time.Time // when the next delayed event is due; nil = there is none
}

// nextBatch returns the events that are due, or errExpired if events that were not sent yet have been dropped.
func (w *watcher) nextBatch() (batch, error) {
	s := w.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.lastVersion < s.log.oldestVersion {
		return batch{}, errExpired
	}
	b := batch{changeSignal: s.log.changeSignal}
	w.next = min(w.next, len(s.log.events))
	for ; w.next < len(s.log.events); w.next++ {
		e := s.log.events[w.next]
		if wait := s.eventDelay - time.Since(e.at); wait > 0 {
			b.nextDue = time.After(wait)
			break
		}
		b.events = append(b.events, e)
	}
	return b, nil
}

// sendBatch sends events and records what they notify the replica of.
func (w *watcher) sendBatch(events []event) error {
	if len(events) == 0 {
		return nil
	}
	ready, unusable := summarizeBatch(events)
	w.server.recordNotified(audit.NotifiedReady, w.replica, ready)
	for _, e := range events {
		if err := w.send(e.kind, w.server.sliceObject(e.entry, e.version)); err != nil {
			return err
		}
		w.lastVersion = max(w.lastVersion, e.version)
	}
	if err := w.flusher.Flush(); err != nil {
		return err
	}
	w.server.recordNotified(audit.NotifiedGone, w.replica, unusable)
	return nil
}

func (w *watcher) send(kind eventKind, object map[string]any) error {
	return w.encoder.Encode(map[string]any{"type": kind, "object": object})
}

// summarizeBatch returns the engines that are usable after some event of a batch, and those that are not usable after
// their last event in it.
func summarizeBatch(events []event) (ready, unusable []string) {
	usable := map[string]bool{}
	for _, e := range events {
		usable[e.entry.Name] = e.usable()
		if e.usable() {
			ready = append(ready, e.entry.Name)
		}
	}
	for name, ok := range usable {
		if !ok {
			unusable = append(unusable, name)
		}
	}
	return ready, unusable
}

func bookmarkObject(version int) map[string]any {
	return map[string]any{
		"kind": "EndpointSlice", "apiVersion": "discovery.k8s.io/v1",
		"metadata": map[string]any{"resourceVersion": strconv.Itoa(version)},
	}
}
