package endpointslice

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"brackenbend/routing"
)

// Watcher lists and watches EndpointSlices. Its exported fields are set before Run.
type Watcher struct {
	URL       string // of the API server
	Namespace string
	Selector  string // label selector, may be empty
	KindLabel string
	CellLabel string
	TokenFile string // bearer token, may be empty
	CacheFile string // file of the last list, may be empty
	Client    *http.Client
	UserAgent string
	OnUpdate  func(Update) // called from Run's goroutine only
	Log       func(msg string, err error)

	// MinBackoff and MaxBackoff bound the pause after a failed call. It doubles from the one to the other and is drawn
	// evenly from its upper half, so that replicas cut off together do not come back together.
	MinBackoff, MaxBackoff time.Duration
	// WatchTimeout ends a watch on which not even a bookmark came; the API sends one about every minute.
	WatchTimeout time.Duration

	store           *store
	resourceVersion string       // from which the next watch goes on; "" = list first
	cache           *cacheWriter // nil = the list is not cached
}

// errExpired means that the API server no longer keeps the history since our resource version: list anew.
var errExpired = errors.New("endpointslice: the version asked for is no longer kept")

// errWatchSilent ends a watch after WatchTimeout.
var errWatchSilent = errors.New("endpointslice: the watch fell silent")

// Run lists and watches until ctx ends. It begins with the cached list.
func (w *Watcher) Run(ctx context.Context) {
	w.store = newStore(w.KindLabel, w.CellLabel)
	w.loadCache()
	if w.CacheFile != "" {
		w.cache = startCacheWriter(w.CacheFile, w.Log)
		defer w.cache.close()
	}
	backoff := w.MinBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := w.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(began) > w.MaxBackoff { // it worked for a while
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

// loadCache delivers the cached list.
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

// listAndWatch lists if there is no version to go on from, then watches. nil: the server ended the watch in good order.
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

// applyEvent stores a watch event and delivers what changed.
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
		w.cache.write(w.store.live())
	}
}
