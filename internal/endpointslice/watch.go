package endpointslice

import (
	"brackenbend/internal/atomicfile"
	"brackenbend/routing"
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// Watcher follows the register. Its fields are set before Run.
type Watcher struct {
	URL       string // of the API server
	Namespace string
	Selector  string // label selector, may be empty
	KindLabel string
	CellLabel string
	TokenFile string // bearer token, may be empty
	CacheFile string // file of the last list, may be empty
	Client    *http.Client
	UserAgent string       // User-Agent
	OnUpdate  func(Update) // called from Run's goroutine only
	Log       func(msg string, err error)

	// BackOff bounds the pause after a failed call: it doubles from First to Most, drawn evenly from half of it
	// to the whole, so that fronts cut off together do not come back together.
	MinBackoff, MaxBackoff time.Duration
	// WatchTimeout ends a watch on which not even a bookmark came; the API sends one about every minute.
	WatchTimeout time.Duration

	table   table
	version string
	toDisk  chan []Endpoint // the newest list that is not on disk yet
}

const (
	maxEvent = 8 << 20 // bytes of one watch event
	maxList  = 64 << 20
	pageSize = 500
)

var errExpired = errors.New("register: the version asked for is no longer kept")

// Run follows the register until ctx ends. It begins with the list on disk, as Cached.
func (w *Watcher) Run(ctx context.Context) {
	w.table = table{
		kindLabel: w.KindLabel, cellLabel: w.CellLabel, slices: map[string]*EndpointSlice{},
		versions: map[string]string{}, engines: map[string]Endpoint{}, now: time.Now,
	}
	if list, err := ReadCache(w.CacheFile); err != nil {
		w.Log("the list on disk can't be used", err)
	} else if len(list) > 0 {
		for _, e := range list { // what started within the last run keeps its start
			w.table.engines[e.Name] = e
		}
		w.OnUpdate(Update{routing.ListCached, list})
	}
	w.toDisk = make(chan []Endpoint, 1)
	saved := make(chan struct{})
	go w.saver(saved)
	defer func() { close(w.toDisk); <-saved }()
	pause := w.MinBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(began) > w.MaxBackoff { // it worked for a while
			pause = w.MinBackoff
		}
		if err == nil {
			continue
		}
		if errors.Is(err, errExpired) {
			w.version = ""
			w.Log("listing anew", err)
		} else {
			w.Log("register lost, the last list stays", err)
			w.OnUpdate(Update{Scope: routing.ListFailed})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		}
		pause = min(2*pause, w.MaxBackoff)
	}
}

// follow lists if it must, then watches until the watch ends. nil: it ended in good order.
func (w *Watcher) follow(ctx context.Context) error {
	if w.version == "" {
		list, version, err := w.list(ctx)
		if err != nil {
			return err
		}
		w.version = version
		w.OnUpdate(Update{routing.ListFull, w.table.replace(list)})
		w.save()
	}
	return w.watch(ctx)
}

func (w *Watcher) get(ctx context.Context, query url.Values) (*http.Response, error) {
	u := strings.TrimSuffix(w.URL, "/") + "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(w.Namespace) + "/endpointslices"
	if w.Selector != "" {
		query.Set("labelSelector", w.Selector)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "application/json")
	req.Header.Set("User-Agent", w.UserAgent)
	if w.TokenFile != "" {
		token, err := os.ReadFile(w.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("register: token-file: %w", err)
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	resp, err := w.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		return nil, errExpired
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
	return nil, fmt.Errorf("register: answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}

func (w *Watcher) list(ctx context.Context) ([]*EndpointSlice, string, error) {
	ctx, stop := context.WithTimeout(ctx, w.WatchTimeout)
	defer stop()
	var all []*EndpointSlice
	next := ""
	for {
		q := url.Values{"limit": {fmt.Sprint(pageSize)}}
		if next != "" {
			q.Set("continue", next)
		}
		resp, err := w.get(ctx, q)
		if err != nil {
			return nil, "", err
		}
		var page struct {
			Metadata struct {
				ResourceVersion string `json:"resourceVersion"`
				Continue        string `json:"continue"`
			} `json:"metadata"`
			Items []*EndpointSlice `json:"items"`
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&page)
		resp.Body.Close()
		if err != nil {
			return nil, "", fmt.Errorf("register: list: %w", err)
		}
		for _, s := range page.Items {
			if err := s.check(); err != nil {
				return nil, "", err
			}
			all = append(all, s)
		}
		if page.Metadata.Continue == "" {
			if page.Metadata.ResourceVersion == "" {
				return nil, "", errors.New("register: list without a resourceVersion")
			}
			return all, page.Metadata.ResourceVersion, nil
		}
		next = page.Metadata.Continue
	}
}

func (w *Watcher) watch(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silence := time.AfterFunc(w.WatchTimeout, func() { stop(errors.New("register: the watch fell silent")) })
	defer silence.Stop()
	resp, err := w.get(ctx, url.Values{"watch": {"1"}, "resourceVersion": {w.version}, "allowWatchBookmarks": {"true"}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		silence.Reset(w.WatchTimeout)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := w.event(lines.Bytes()); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return lines.Err() // nil: the server ended the watch, which it may at any time
}

func (w *Watcher) event(line []byte) error {
	var ev struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return fmt.Errorf("register: watch event: %w", err)
	}
	switch ev.Type {
	case "ERROR":
		var status struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		}
		if json.Unmarshal(ev.Object, &status) == nil && status.Code == http.StatusGone {
			return errExpired
		}
		return fmt.Errorf("register: watch: %d %s", status.Code, status.Message)
	case "ADDED", "MODIFIED", "DELETED", "BOOKMARK":
	default:
		return fmt.Errorf("register: watch event of unknown type %.40q", ev.Type)
	}
	var s EndpointSlice
	if err := json.Unmarshal(ev.Object, &s); err != nil {
		return fmt.Errorf("register: watch event: %w", err)
	}
	if s.Metadata.ResourceVersion == "" {
		return errors.New("register: watch event without a resourceVersion")
	}
	if newer(w.version, s.Metadata.ResourceVersion) {
		w.version = s.Metadata.ResourceVersion
	}
	if ev.Type == "BOOKMARK" {
		return nil
	}
	if err := s.check(); err != nil {
		return err
	}
	if changed := w.table.apply(ev.Type, &s); len(changed) > 0 {
		w.OnUpdate(Update{routing.ListChanges, changed})
		w.save()
	}
	return nil
}

// save hands the list to the saver; one that waits there is replaced, so a slow disk holds up no news.
func (w *Watcher) save() {
	if w.CacheFile == "" {
		return
	}
	list := make([]Endpoint, 0, len(w.table.engines))
	for _, e := range w.table.engines {
		if e.State != routing.EndpointGone {
			list = append(list, e)
		}
	}
	select {
	case <-w.toDisk:
	default:
	}
	w.toDisk <- list
}

// saver keeps lists on disk. A failure costs only the next start its list.
func (w *Watcher) saver(done chan<- struct{}) {
	defer close(done)
	for list := range w.toDisk {
		if err := WriteCache(w.CacheFile, list); err != nil {
			w.Log("the list can't be kept on disk", err)
		}
	}
}

type cacheFile struct {
	Version int        `json:"version"`
	Engines []Endpoint `json:"engines"`
}

// ReadCache reads a list that WriteCache kept; no path or no file gives none.
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
	var f cacheFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != 1 {
		return nil, fmt.Errorf("%s: version %d is unknown", path, f.Version)
	}
	return f.Engines, nil
}

// WriteCache keeps a list so that a crash at any moment leaves the old or the new one.
func WriteCache(path string, list []Endpoint) error {
	text, err := json.Marshal(cacheFile{1, list})
	if err != nil {
		return err
	}
	return atomicfile.Replace(path, text)
}
