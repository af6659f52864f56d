package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one entry of discovery's list.
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

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a sound discovery agent: it answers a call for the list at once, and a watch once something newer than
// its revision exists or its wait is over.
type discovery struct {
	address string
	record  *record

	mu      sync.Mutex
	list    list
	changed map[string]int // revision of the last change, by id
	news    chan struct{}  // closed at the next change
	server  *http.Server
	delay   time.Duration // added before each answer
}

// slow adds a time before each answer from now on.
func (d *discovery) slow(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func startDiscovery(r *record, revision int, members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		address: l.Addr().String(), record: r, list: list{revision, true, append([]member(nil), members...)},
		changed: map[string]int{}, news: make(chan struct{}),
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l) //nolint:errcheck // it ends with the process
	return d, nil
}

// current returns the whole list.
func (d *discovery) current() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.list.Revision, true, append([]member(nil), d.list.Members...)}
}

// change replaces or adds a member and tells all watches. It returns the time from which it counts.
func (d *discovery) change(m member) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Revision++
	d.changed[m.ID] = d.list.Revision
	found := false
	for i := range d.list.Members {
		if d.list.Members[i].ID == m.ID {
			d.list.Members[i], found = m, true
		}
	}
	if !found {
		d.list.Members = append(d.list.Members, m)
	}
	d.record.printf("discovery %s: revision %d: %s %s, up_since_ms %d", d.address, d.list.Revision, m.ID, m.Phase, m.UpSince)
	close(d.news)
	d.news = make(chan struct{})
	return time.Now()
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	asked := time.Now()
	from, hold := r.URL.Query().Get("from"), r.URL.Query().Get("hold_ms")
	answer := d.current()
	if from != "" {
		since, _ := strconv.Atoi(from)
		ms, _ := strconv.Atoi(hold)
		d.mu.Lock()
		news, newer := d.news, d.list.Revision > since
		d.mu.Unlock()
		if !newer {
			select {
			case <-news:
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		answer = d.changesSince(since)
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if !wait(r, delay) {
		d.record.printf("discovery %s: %s asked %.0f ms ago was given up by the node", d.address, r.URL,
			time.Since(asked).Seconds()*1000)
		return
	}
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.Write(text) //nolint:errcheck // the node may be gone
	d.record.printf("discovery %s: %s answered: revision %d, %d members, after %.0f ms", d.address, r.URL, answer.Revision,
		len(answer.Members), time.Since(asked).Seconds()*1000)
}

func (d *discovery) changesSince(revision int) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := list{Revision: d.list.Revision, Members: []member{}}
	for _, m := range d.list.Members {
		if d.changed[m.ID] > revision {
			changes.Members = append(changes.Members, m)
		}
	}
	return changes
}
