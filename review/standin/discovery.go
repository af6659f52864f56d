package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one engine in the form of the protocol page.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type discoveryList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the discovery agent: whole list and watches. Each answer begins after the delay set last.
type discovery struct {
	rec      *record
	listener net.Listener

	mu       sync.Mutex
	revision int
	members  map[string]member
	changed  map[string]int // revision of each member's last change
	wake     chan struct{}  // closed at each change
	delay    time.Duration
	answers  int
}

func startDiscovery(rec *record) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		rec: rec, listener: listener, revision: 40, members: map[string]member{}, changed: map[string]int{},
		wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// set adds or changes a member; a Gone one is removed from the whole list.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[m.ID], d.changed[m.ID] = m, d.revision
	close(d.wake)
	d.wake = make(chan struct{})
	d.rec.add("discovery: revision %d: %s is %s", d.revision, m.ID, m.Phase)
}

func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.rec.add("discovery: answers %v late from now on", delay)
}

// list returns the whole list (from < 0) or the changes since a revision.
func (d *discovery) list(from int) discoveryList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := discoveryList{Revision: d.revision, Complete: from < 0, Members: []member{}}
	for id, m := range d.members {
		if from < 0 && m.Phase != "Gone" || from >= 0 && d.changed[id] > from {
			list.Members = append(list.Members, m)
		}
	}
	return list
}

func (d *discovery) serve(w http.ResponseWriter, req *http.Request) {
	from := -1
	kind := "whole list"
	if text := req.URL.Query().Get("from"); text != "" {
		from, _ = strconv.Atoi(text)
		kind = "watch from " + text
		hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
		d.hold(req.Context(), from, time.Duration(hold)*time.Millisecond)
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if !pause(req.Context(), delay) {
		d.rec.add("discovery: %s: caller closed before the answer", kind)
		return
	}
	list := d.list(from)
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(text)
	d.rec.add("discovery: %s: answered revision %d with %d members, error %v", kind, list.Revision, len(list.Members), err)
}

// hold waits until something newer than a revision exists or the time is over.
func (d *discovery) hold(ctx context.Context, from int, hold time.Duration) {
	timer := time.After(hold)
	for {
		d.mu.Lock()
		newer, wake := d.revision > from, d.wake
		d.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-wake:
		case <-timer:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pause waits; it returns false if ctx ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
