package endpointslice_test

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	standin "brackenbend/internal/fake/apiserver"
)

// follower keeps what a Watcher delivers.
type follower struct {
	t       *testing.T
	mu      sync.Mutex
	scopes  []routing.ListScope
	engines map[string]endpointslice.Endpoint
	stop    func()
}

func follow(t *testing.T, url, cache string) *follower {
	t.Helper()
	f := &follower{t: t, engines: map[string]endpointslice.Endpoint{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := &endpointslice.Watcher{
		URL: url, Namespace: "default", Selector: "app=engines", KindLabel: "brackenbend.dev/kind", CellLabel: "brackenbend.dev/cell",
		CacheFile: cache, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, OnUpdate: f.take, Log: func(string, error) {},
		MinBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond, WatchTimeout: 20 * time.Second,
	}
	go func() { defer close(done); w.Run(ctx) }()
	f.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(f.stop)
	return f
}

func (f *follower) take(u endpointslice.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scopes = append(f.scopes, u.Scope)
	if u.Scope == routing.ListFull || u.Scope == routing.ListCached {
		f.engines = map[string]endpointslice.Endpoint{}
	}
	for _, e := range u.Endpoints {
		f.engines[e.Name] = e
	}
}

func (f *follower) eventually(what string, ok func(map[string]endpointslice.Endpoint, []routing.ListScope) bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		f.mu.Lock()
		good := ok(f.engines, f.scopes)
		f.mu.Unlock()
		if good {
			return
		}
		if time.Now().After(end) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.t.Fatalf("not in 20 s: %s; %+v %v", what, f.engines, f.scopes)
		}
	}
}

func start(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func entry(name, uid string) standin.Entry {
	return standin.Entry{Name: name, Kind: "k", Zone: "z", Cell: "c", Address: "127.0.0.1:9000", UID: uid, Ready: true}
}

func state(name string, want routing.EndpointState) func(map[string]endpointslice.Endpoint, []routing.ListScope) bool {
	return func(m map[string]endpointslice.Endpoint, _ []routing.ListScope) bool {
		e, ok := m[name]
		return ok && e.State == want
	}
}

func TestListWatchDrainRestartRemove(t *testing.T) {
	s := start(t)
	s.Set(entry("a", "1"))
	f := follow(t, s.URL(), "")
	f.eventually("listed", func(m map[string]endpointslice.Endpoint, _ []routing.ListScope) bool {
		e := m["a"]
		return e.State == routing.EndpointReady && e.Kind == "k" && e.Zone == "z" && e.Cell == "c" && e.Address == "127.0.0.1:9000" && e.Started.IsZero()
	})
	e := entry("a", "1")
	e.Draining = true
	s.Set(e)
	f.eventually("draining", state("a", routing.EndpointDraining))
	s.Set(entry("a", "2")) // another process under the same address: it has just started
	f.eventually("restarted", func(m map[string]endpointslice.Endpoint, _ []routing.ListScope) bool {
		e := m["a"]
		return e.State == routing.EndpointReady && e.UID == "2" && time.Since(e.Started) < 20*time.Second
	})
	s.Set(entry("b", "1"))
	s.Remove("a")
	f.eventually("removed", state("a", routing.EndpointGone))
	f.eventually("added", state("b", routing.EndpointReady))
}

// TestStaleSliceOfARemovedEngine: an old event of a removed slice comes after its removal.
func TestStaleSliceOfARemovedEngine(t *testing.T) {
	s := start(t)
	f := follow(t, s.URL(), "")
	f.eventually("first list", func(_ map[string]endpointslice.Endpoint, sc []routing.ListScope) bool { return len(sc) > 0 })
	s.Set(entry("a", "1"))
	f.eventually("added", state("a", routing.EndpointReady))
	s.Remove("a")
	f.eventually("removed", state("a", routing.EndpointGone))
	s.Stale("a")
	s.Set(entry("marker", "1"))
	f.eventually("what came after it", state("marker", routing.EndpointReady))
	f.eventually("it stays gone", state("a", routing.EndpointGone))
}

func TestLostRegisterKeepsTheListAndResumes(t *testing.T) {
	s := start(t)
	s.Set(entry("a", "1"))
	cache := filepath.Join(t.TempDir(), "list.json")
	f := follow(t, s.URL(), cache)
	f.eventually("listed", state("a", routing.EndpointReady))
	s.Cut(true)
	f.eventually("told that it is lost", func(_ map[string]endpointslice.Endpoint, sc []routing.ListScope) bool {
		return slices.Contains(sc, routing.ListFailed)
	})
	f.eventually("the list stays", state("a", routing.EndpointReady))
	s.Set(entry("b", "1"))
	s.Cut(false)
	f.eventually("news of the time between", state("b", routing.EndpointReady))
	f.mu.Lock()
	if n := len(slices.DeleteFunc(slices.Clone(f.scopes), func(s routing.ListScope) bool { return s != routing.ListFull })); n != 1 {
		t.Errorf("%d lists; the watch was to be resumed", n)
	}
	f.mu.Unlock()
	s.Cut(true)
	s.Compact() // what it missed is forgotten: 410, and a new list
	s.Cut(false)
	f.eventually("listed anew", func(_ map[string]endpointslice.Endpoint, sc []routing.ListScope) bool {
		return sc[len(sc)-1] == routing.ListFull && len(sc) > 3
	})
	f.stop()
	if list, err := endpointslice.ReadCache(cache); err != nil || len(list) != 2 {
		t.Fatalf("on disk: %v %v", list, err)
	}
	s.Cut(true) // the next start has no register
	g := follow(t, s.URL(), cache)
	g.eventually("the list on disk", func(m map[string]endpointslice.Endpoint, sc []routing.ListScope) bool {
		return len(m) == 2 && sc[0] == routing.ListCached
	})
}

func TestTornCacheIsPassedOver(t *testing.T) {
	cache := filepath.Join(t.TempDir(), "list.json")
	if err := endpointslice.WriteCache(cache, []endpointslice.Endpoint{{Name: "a", Address: "127.0.0.1:1", Kind: "k", State: routing.EndpointReady}}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(cache)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		if err := os.WriteFile(cache, text[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if list, err := endpointslice.ReadCache(cache); err == nil {
			t.Fatalf("cut after %d bytes: %v", n, list)
		}
	}
	if list, err := endpointslice.ReadCache(filepath.Join(t.TempDir(), "none")); err != nil || list != nil {
		t.Fatalf("no file: %v %v", list, err)
	}
}

func TestManyPages(t *testing.T) {
	s := start(t)
	for i := range 1203 {
		e := entry("e"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), "1")
		s.Set(e)
	}
	f := follow(t, s.URL(), "")
	f.eventually("all pages", func(m map[string]endpointslice.Endpoint, _ []routing.ListScope) bool { return len(m) == 1203 })
}
