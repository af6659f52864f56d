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

// eventuallyTimeout bounds the wait for a list; long, since the machine may be busy.
const eventuallyTimeout = 20 * time.Second

type endpoints map[string]endpointslice.Endpoint

// recorder keeps what a Watcher delivers.
type recorder struct {
	t         *testing.T
	mu        sync.Mutex
	scopes    []routing.ListScope
	endpoints endpoints
	stop      func()
}

// startWatcher runs a watcher until the test ends or stop is called.
func startWatcher(t *testing.T, url, cacheFile string) *recorder {
	t.Helper()
	r := &recorder{t: t, endpoints: endpoints{}}
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

func (r *recorder) update(u endpointslice.Update) {
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

// eventually waits until condition holds.
func (r *recorder) eventually(what string, condition func(endpoints, []routing.ListScope) bool) {
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
			r.t.Fatalf("not in %v: %s; %+v %v", eventuallyTimeout, what, r.endpoints, r.scopes)
		}
	}
}

// eventuallyState waits until the named endpoint has a state.
func (r *recorder) eventuallyState(what, name string, want routing.EndpointState) {
	r.t.Helper()
	r.eventually(what, func(m endpoints, _ []routing.ListScope) bool {
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
	s.Set(entry("a", "2")) // another process under the same address: it has just started
	r.eventually("restarted", func(m endpoints, _ []routing.ListScope) bool {
		e := m["a"]
		return e.State == routing.EndpointReady && e.UID == "2" && time.Since(e.Started) < 20*time.Second
	})
	s.Set(entry("b", "1"))
	s.Remove("a")
	r.eventuallyState("removed", "a", routing.EndpointGone)
	r.eventuallyState("added", "b", routing.EndpointReady)
}

// TestWatcherIgnoresStaleEventOfRemovedSlice: an old event of a removed slice comes after its removal.
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
	r.eventuallyState("what came after it", "marker", routing.EndpointReady)
	r.eventuallyState("it stays gone", "a", routing.EndpointGone)
}

func TestWatcherKeepsListAndResumesAfterOutage(t *testing.T) {
	s := startAPIServer(t)
	s.Set(entry("a", "1"))
	cacheFile := filepath.Join(t.TempDir(), "list.json")
	r := startWatcher(t, s.URL(), cacheFile)
	r.eventuallyState("listed", "a", routing.EndpointReady)
	s.SetUnreachable(true)
	r.eventually("the failure is delivered", func(_ endpoints, scopes []routing.ListScope) bool {
		return slices.Contains(scopes, routing.ListFailed)
	})
	r.eventuallyState("the list stays", "a", routing.EndpointReady)
	s.Set(entry("b", "1"))
	s.SetUnreachable(false)
	r.eventuallyState("changes during the outage", "b", routing.EndpointReady)
	r.mu.Lock()
	lists := 0
	for _, scope := range r.scopes {
		if scope == routing.ListFull {
			lists++
		}
	}
	r.mu.Unlock()
	if lists != 1 {
		t.Errorf("%d lists; the watch was to be resumed", lists)
	}
	s.SetUnreachable(true)
	s.Compact() // what it missed is forgotten: 410, and a new list
	s.SetUnreachable(false)
	r.eventually("listed again", func(_ endpoints, scopes []routing.ListScope) bool {
		return scopes[len(scopes)-1] == routing.ListFull && len(scopes) > 3
	})
	r.stop()
	if list, err := endpointslice.ReadCache(cacheFile); err != nil || len(list) != 2 {
		t.Fatalf("cached: %v %v", list, err)
	}
	s.SetUnreachable(true) // the next start has no API server
	restarted := startWatcher(t, s.URL(), cacheFile)
	restarted.eventually("the cached list", func(m endpoints, scopes []routing.ListScope) bool {
		return len(m) == 2 && scopes[0] == routing.ListCached
	})
}

func TestReadCacheRejectsTornFiles(t *testing.T) {
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
			t.Fatalf("cut after %d bytes: %v", n, list)
		}
	}
	if list, err := endpointslice.ReadCache(filepath.Join(t.TempDir(), "none")); err != nil || list != nil {
		t.Fatalf("no file: %v %v", list, err)
	}
}

func TestWatcherListsAllPages(t *testing.T) {
	s := startAPIServer(t)
	for i := range 1203 {
		name := "e" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		s.Set(entry(name, "1"))
	}
	r := startWatcher(t, s.URL(), "")
	r.eventually("all pages", func(m endpoints, _ []routing.ListScope) bool { return len(m) == 1203 })
}
