package endpointslice_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/fake/apiserver"
	"brackenbend/routing"
)

// eventuallyTimeout bounds the wait for an update. It is long because the machine may be busy.
const eventuallyTimeout = 20 * time.Second

type endpoints map[string]endpointslice.Endpoint

// updateRecorder records the updates of a Watcher.
type updateRecorder struct {
	t         *testing.T
	mu        sync.Mutex
	scopes    []routing.ListScope
	endpoints endpoints
	stop      func()
}

// startWatcher runs a watcher until the test ends or the recorder's stop is called.
func startWatcher(t *testing.T, url, cacheFile string) *updateRecorder {
	t.Helper()
	r := &updateRecorder{t: t, endpoints: endpoints{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := &endpointslice.Watcher{
		URL:          url,
		Namespace:    "default",
		Selector:     "app=engines",
		KindLabel:    "brackenbend.dev/kind",
		CellLabel:    "brackenbend.dev/cell",
		CacheFile:    cacheFile,
		Client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		OnUpdate:     r.update,
		Log:          func(string, error) {},
		MinBackoff:   5 * time.Millisecond,
		MaxBackoff:   50 * time.Millisecond,
		WatchTimeout: 20 * time.Second,
	}
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	r.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(r.stop)
	return r
}

func (r *updateRecorder) update(u endpointslice.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scopes = append(r.scopes, u.Scope)
	if u.Scope == routing.ListFull || u.Scope == routing.ListCached {
		r.endpoints = endpoints{}
	}
	for _, e := range u.Endpoints {
		r.endpoints[e.Name] = e
	}
}

// eventually waits until condition holds for the endpoints and the scopes of the updates so far.
func (r *updateRecorder) eventually(description string, condition func(endpoints, []routing.ListScope) bool) {
	r.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(2 * time.Millisecond) {
		r.mu.Lock()
		holds := condition(r.endpoints, r.scopes)
		r.mu.Unlock()
		if holds {
			return
		}
		if time.Now().After(end) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.t.Fatalf("not within %v: %s; endpoints %+v, scopes %v", eventuallyTimeout, description, r.endpoints, r.scopes)
		}
	}
}

// eventuallyState waits until the named endpoint has the wanted state.
func (r *updateRecorder) eventuallyState(description, name string, want routing.EndpointState) {
	r.t.Helper()
	r.eventually(description, func(m endpoints, _ []routing.ListScope) bool {
		e, ok := m[name]
		return ok && e.State == want
	})
}

func startAPIServer(t *testing.T) *apiserver.Server {
	t.Helper()
	s, err := apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func entry(name, uid string) apiserver.Entry {
	return apiserver.Entry{Name: name, Kind: "k", Zone: "z", Cell: "c", Address: "127.0.0.1:9000", UID: uid, Ready: true}
}

func TestWatcherDeliversDrainRestartAndRemoval(t *testing.T) {
	s := startAPIServer(t)
	s.Set(entry("a", "1"))
	r := startWatcher(t, s.URL(), "")
	r.eventually("listed", func(m endpoints, _ []routing.ListScope) bool {
		e := m["a"]
		return e.State == routing.EndpointReady && e.Kind == "k" && e.Zone == "z" && e.Cell == "c" &&
			e.Address == "127.0.0.1:9000" && e.Started.IsZero()
	})
	draining := entry("a", "1")
	draining.Draining = true
	s.Set(draining)
	r.eventuallyState("draining", "a", routing.EndpointDraining)
	s.Set(entry("a", "2")) // another process at the same address, which has just started
	r.eventually("restarted", func(m endpoints, _ []routing.ListScope) bool {
		e := m["a"]
		return e.State == routing.EndpointReady && e.UID == "2" && time.Since(e.Started) < 20*time.Second
	})
	s.Set(entry("b", "1"))
	s.Remove("a")
	r.eventuallyState("removed", "a", routing.EndpointGone)
	r.eventuallyState("added", "b", routing.EndpointReady)
}

// TestWatcherIgnoresStaleEventOfRemovedSlice checks that an old event about a slice that arrives after the removal of
// the slice does not add it again.
func TestWatcherIgnoresStaleEventOfRemovedSlice(t *testing.T) {
	s := startAPIServer(t)
	r := startWatcher(t, s.URL(), "")
	r.eventually("first list", func(_ endpoints, scopes []routing.ListScope) bool { return len(scopes) > 0 })
	s.Set(entry("a", "1"))
	r.eventuallyState("added", "a", routing.EndpointReady)
	s.Remove("a")
	r.eventuallyState("removed", "a", routing.EndpointGone)
	s.SendStaleEvent("a")
	s.Set(entry("marker", "1"))
	r.eventuallyState("event after the stale one applied", "marker", routing.EndpointReady)
	r.eventuallyState("still removed", "a", routing.EndpointGone)
}

func TestWatcherKeepsListAndResumesAfterOutage(t *testing.T) {
	s := startAPIServer(t)
	s.Set(entry("a", "1"))
	cacheFile := filepath.Join(t.TempDir(), "list.json")
	r := startWatcher(t, s.URL(), cacheFile)
	r.eventuallyState("listed", "a", routing.EndpointReady)
	s.SetUnreachable(true)
	r.eventually("failure delivered", func(_ endpoints, scopes []routing.ListScope) bool {
		return slices.Contains(scopes, routing.ListFailed)
	})
	r.eventuallyState("list kept during the outage", "a", routing.EndpointReady)
	s.Set(entry("b", "1"))
	s.SetUnreachable(false)
	r.eventuallyState("change during the outage applied", "b", routing.EndpointReady)
	r.mu.Lock()
	lists := 0
	for _, scope := range r.scopes {
		if scope == routing.ListFull {
			lists++
		}
	}
	r.mu.Unlock()
	if lists != 1 {
		t.Errorf("%d complete lists, want 1: the watch must be resumed", lists)
	}
	s.SetUnreachable(true)
	s.Compact() // discards the history that the watch needs: status 410, then a new list
	s.SetUnreachable(false)
	r.eventually("listed again", func(_ endpoints, scopes []routing.ListScope) bool {
		return scopes[len(scopes)-1] == routing.ListFull && len(scopes) > 3
	})
	r.stop()
	if list, err := endpointslice.ReadCache(cacheFile); err != nil || len(list) != 2 {
		t.Fatalf("cached list %v, error %v", list, err)
	}
	s.SetUnreachable(true) // the API server is down at the next start
	restarted := startWatcher(t, s.URL(), cacheFile)
	restarted.eventually("cached list delivered", func(m endpoints, scopes []routing.ListScope) bool {
		return len(m) == 2 && scopes[0] == routing.ListCached
	})
}

func TestReadCacheRejectsTruncatedFiles(t *testing.T) {
	cacheFile := filepath.Join(t.TempDir(), "list.json")
	list := []endpointslice.Endpoint{{Name: "a", Address: "127.0.0.1:1", Kind: "k", State: routing.EndpointReady}}
	if err := endpointslice.WriteCache(cacheFile, list); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(cacheFile)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		if err := os.WriteFile(cacheFile, text[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if list, err := endpointslice.ReadCache(cacheFile); err == nil {
			t.Fatalf("a file truncated to %d bytes was read as %v", n, list)
		}
	}
	if list, err := endpointslice.ReadCache(filepath.Join(t.TempDir(), "none")); err != nil || list != nil {
		t.Fatalf("missing file: list %v, error %v", list, err)
	}
}

func TestWatcherListsAllPages(t *testing.T) {
	s := startAPIServer(t)
	for i := range 1203 {
		name := "e" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		s.Set(entry(name, "1"))
	}
	r := startWatcher(t, s.URL(), "")
	r.eventually("all pages listed", func(m endpoints, _ []routing.ListScope) bool { return len(m) == 1203 })
}
