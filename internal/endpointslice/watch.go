package endpointslice

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"brackenbend/routing"
)

// Watcher lists and watches EndpointSlices. Its exported fields must be set before Run is called.
type Watcher struct {
	URL       string // of the API server
	Namespace string
	Selector  string // label selector, may be empty
	KindLabel string
	CellLabel string
	TokenFile string // bearer token, may be empty
	CacheFile string // path of the cache file, may be empty
	Client    *http.Client
	UserAgent string
	OnUpdate  func(Update)                // called from Run's goroutine only
	Log       func(msg string, err error) // may be called concurrently

	// MinBackoff and MaxBackoff bound the backoff after a failed request, which doubles from one to the other. The delay
	// is drawn uniformly from the upper half of the backoff, so that replicas that lost the API server at the same time do
	// not reconnect at the same time.
	MinBackoff, MaxBackoff time.Duration
	// WatchTimeout is how long a watch may deliver neither an event nor a bookmark before it is ended, and how long all
	// pages of a list may take together. The API server sends a bookmark about every minute.
	WatchTimeout time.Duration

	store           *store
	resourceVersion string       // at which the next watch starts; "" = list first
	cache           *cacheWriter // nil = no caching
}

// errExpired means that the API server has discarded the history since the requested resource version, so that a new
// list is needed.
var errExpired = errors.New("endpointslice: requested resource version is too old")

// errWatchTimeout is the cause with which a watch is canceled after WatchTimeout.
var errWatchTimeout = errors.New("endpointslice: watch timed out: neither an event nor a bookmark arrived")

// Run lists and watches until ctx ends. It first delivers the cached list.
func (w *Watcher) Run(ctx context.Context) {
	w.store = newStore(w.KindLabel, w.CellLabel)
	w.loadCache()
	if w.CacheFile != "" {
		w.cache = startCacheWriter(w.CacheFile, w.Log)
		defer w.cache.close()
	}
	backoff := w.MinBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := w.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(start) > w.MaxBackoff { // requests succeeded for a while
			backoff = w.MinBackoff
		}
		if err == nil {
			continue
		}
		w.handleFailure(err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff/2+1)):
		}
		backoff = min(2*backoff, w.MaxBackoff)
	}
}

// loadCache delivers the cached list, if there is one.
func (w *Watcher) loadCache() {
	list, err := ReadCache(w.CacheFile)
	if err != nil {
		w.Log("cannot use the cached endpoint list", err)
		return
	}
	if len(list) == 0 {
		return
	}
	w.store.restore(list)
	w.OnUpdate(Update{routing.ListCached, list})
}

func (w *Watcher) handleFailure(err error) {
	if errors.Is(err, errExpired) {
		w.resourceVersion = ""
		w.Log("resource version expired, listing endpoints again", err)
		return
	}
	w.Log("endpoint watch failed, keeping the last list", err)
	w.OnUpdate(Update{Scope: routing.ListFailed})
}

// listAndWatch watches from the last resource version, after a new list if there is none. A nil error means that the
// server closed the watch without reporting an error.
func (w *Watcher) listAndWatch(ctx context.Context) error {
	if w.resourceVersion == "" {
		list, version, err := w.list(ctx)
		if err != nil {
			return err
		}
		w.resourceVersion = version
		w.OnUpdate(Update{routing.ListFull, w.store.replace(list)})
		w.saveCache()
	}
	return w.watch(ctx)
}

// applyEvent stores a watch event and delivers the changed endpoints.
func (w *Watcher) applyEvent(event *watchEvent) error {
	if isNewer(w.resourceVersion, event.slice.Metadata.ResourceVersion) {
		w.resourceVersion = event.slice.Metadata.ResourceVersion
	}
	if event.eventType == eventBookmark {
		return nil
	}
	if err := event.slice.validate(); err != nil {
		return err
	}
	changed := w.store.apply(event.eventType, event.slice)
	if len(changed) > 0 {
		w.OnUpdate(Update{routing.ListChanges, changed})
		w.saveCache()
	}
	return nil
}

func (w *Watcher) saveCache() {
	if w.cache != nil {
		w.cache.write(w.store.liveEndpoints())
	}
}
