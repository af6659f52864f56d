// Package endpointslice keeps the list of engines: it lists and watches discovery.k8s.io/v1 EndpointSlices over the
// Kubernetes API conventions, or takes a static list, and keeps the last list on disk for the next start. It
// knows nothing of health.
package endpointslice

import (
	"brackenbend/routing"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one engine of the list.
type Endpoint struct {
	Name    string                `json:"name"`
	Address string                `json:"address"` // host:port
	Kind    string                `json:"kind"`
	Zone    string                `json:"zone,omitempty"`
	Cell    string                `json:"cell,omitempty"`
	UID     string                `json:"uid,omitempty"` // changes when the process is another
	State   routing.EndpointState `json:"state"`
	Started time.Time             `json:"started,omitzero"` // zero = long ago
}

// Update is news of the list. In one of scope Changes an engine that left has the state Gone.
type Update struct {
	Scope     routing.ListScope
	Endpoints []Endpoint
}

// The part of discovery.k8s.io/v1 that is used.
type (
	meta struct {
		Name            string            `json:"name"`
		ResourceVersion string            `json:"resourceVersion"`
		Labels          map[string]string `json:"labels,omitempty"`
		Annotations     map[string]string `json:"annotations,omitempty"`
	}
	// EndpointSlice is a discovery.k8s.io/v1 EndpointSlice.
	EndpointSlice struct {
		Metadata    meta            `json:"metadata"`
		AddressType string          `json:"addressType"`
		Endpoints   []SliceEndpoint `json:"endpoints"`
		Ports       []Port          `json:"ports"`
	}
	// SliceEndpoint is one endpoint of a slice.
	SliceEndpoint struct {
		Addresses  []string   `json:"addresses"`
		Conditions Conditions `json:"conditions"`
		Zone       *string    `json:"zone,omitempty"`
		TargetRef  *struct {
			Name string `json:"name"`
			UID  string `json:"uid"`
		} `json:"targetRef,omitempty"`
	}
	// Conditions of an endpoint; nil means unknown, which the API says to read as ready and not terminating.
	Conditions struct {
		Ready       *bool `json:"ready,omitempty"`
		Serving     *bool `json:"serving,omitempty"`
		Terminating *bool `json:"terminating,omitempty"`
	}
	// Port of all endpoints of a slice.
	Port struct {
		Name *string `json:"name,omitempty"`
		Port *int32  `json:"port,omitempty"`
	}
)

// AnnotationStarted names an optional annotation of a slice: a JSON object from endpoint name to the RFC 3339
// time of its process' start. Without it an engine counts as just started when its uid is first seen ready
// after the first list.
const AnnotationStarted = "brackenbend.dev/started"

// table is what has been learnt of the slices.
type table struct {
	kindLabel, cellLabel string
	slices               map[string]*EndpointSlice
	versions             map[string]string // newest seen of each name, also of names deleted of late
	floor                string            // newest of the names that were deleted and then forgotten; "" = none
	engines              map[string]Endpoint
	complete             bool // the first list was taken
	now                  func() time.Time
}

// newer tells whether version b may follow a. Versions that are decimal numbers are compared as such, since the
// API guarantees their order; others are taken to be newer.
func newer(a, b string) bool {
	x, err1 := strconv.ParseUint(a, 10, 64)
	y, err2 := strconv.ParseUint(b, 10, 64)
	return err1 != nil || err2 != nil || y > x
}

// apply takes one watch event and returns what changed. Events older than what is known of their slice are
// passed over: a resumed watch may tell of a slice that was removed meanwhile.
func (t *table) apply(kind string, s *EndpointSlice) []Endpoint {
	m := &s.Metadata
	last, known := t.versions[m.Name]
	if !known {
		last = t.floor
	}
	if last != "" && !newer(last, m.ResourceVersion) {
		return nil
	}
	t.versions[m.Name] = m.ResourceVersion
	if kind == "DELETED" {
		delete(t.slices, m.Name)
	} else {
		t.slices[m.Name] = s
	}
	t.forget()
	return t.derive()
}

// keepDeleted is how many names of deleted slices are kept at least.
const keepDeleted = 1024

// forget drops the names of deleted slices once they are many. What comes late for one of them lies at or below
// the floor and is still passed over; a name that is used anew is above it, since versions only grow.
func (t *table) forget() {
	if len(t.versions) <= 2*len(t.slices)+keepDeleted {
		return
	}
	for name, v := range t.versions {
		if t.slices[name] != nil {
			continue
		}
		if t.floor == "" || newer(t.floor, v) {
			t.floor = v
		}
		delete(t.versions, name)
	}
}

// replace takes a whole list.
func (t *table) replace(list []*EndpointSlice) []Endpoint {
	t.slices, t.versions, t.floor = map[string]*EndpointSlice{}, map[string]string{}, ""
	for _, s := range list {
		t.slices[s.Metadata.Name] = s
		t.versions[s.Metadata.Name] = s.Metadata.ResourceVersion
	}
	t.derive()
	t.complete = true
	return slices.SortedFunc(maps.Values(t.engines), byName)
}

func byName(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) }

// derive makes the engines of all slices and returns those that differ from before, the lost ones as Gone.
func (t *table) derive() []Endpoint {
	was := t.engines
	t.engines = map[string]Endpoint{}
	for _, name := range slices.Sorted(maps.Keys(t.slices)) {
		t.fromSlice(t.slices[name], was)
	}
	var changed []Endpoint
	for name, e := range t.engines {
		if old, ok := was[name]; !ok || old != e {
			changed = append(changed, e)
		}
	}
	for name, e := range was {
		if _, ok := t.engines[name]; !ok {
			e.State = routing.EndpointGone
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, byName)
	return changed
}

func (t *table) fromSlice(s *EndpointSlice, was map[string]Endpoint) {
	port := 0
	for _, p := range s.Ports {
		if p.Port != nil && (port == 0 || p.Name != nil && *p.Name == "http") {
			port = int(*p.Port)
		}
	}
	started := map[string]time.Time{}
	if a := s.Metadata.Annotations[AnnotationStarted]; a != "" {
		_ = json.Unmarshal([]byte(a), &started) // malformed: as if absent
	}
	for _, p := range s.Endpoints {
		if len(p.Addresses) == 0 || port <= 0 || port > 65535 {
			continue
		}
		if _, err := netip.ParseAddr(p.Addresses[0]); err != nil {
			continue
		}
		e := Endpoint{
			Address: net.JoinHostPort(p.Addresses[0], strconv.Itoa(port)), Kind: s.Metadata.Labels[t.kindLabel],
			Cell: s.Metadata.Labels[t.cellLabel], State: routing.EndpointReady,
		}
		e.Name = e.Address
		if p.TargetRef != nil && p.TargetRef.Name != "" {
			e.Name, e.UID = p.TargetRef.Name, p.TargetRef.UID
		}
		if p.Zone != nil {
			e.Zone = *p.Zone
		}
		switch c := p.Conditions; {
		case c.Terminating != nil && *c.Terminating:
			e.State = routing.EndpointDraining
		case c.Ready != nil && !*c.Ready:
			e.State = routing.EndpointGone
		}
		t.start(&e, started, was)
		// an endpoint may stand in two slices while it moves between them: a drain told by either counts
		if other, ok := t.engines[e.Name]; ok && other.State != routing.EndpointReady {
			e.State = other.State
		}
		t.engines[e.Name] = e
	}
}

func (t *table) start(e *Endpoint, told map[string]time.Time, was map[string]Endpoint) {
	now := t.now()
	if at, ok := told[e.Name]; ok {
		if at.After(now) { // the other clock is ahead
			at = now
		}
		e.Started = at
		if old, ok := was[e.Name]; ok && old.UID == e.UID && !old.Started.IsZero() && at.Sub(old.Started).Abs() < time.Second {
			e.Started = old.Started
		}
		return
	}
	old, known := was[e.Name]
	switch {
	case known && old.UID == e.UID && (old.State != routing.EndpointGone || e.State == routing.EndpointGone):
		e.Started = old.Started
	case t.complete && e.State != routing.EndpointGone:
		e.Started = now
	}
}

// check refuses what no list can be made of.
func (s *EndpointSlice) check() error {
	if s.Metadata.Name == "" || s.Metadata.ResourceVersion == "" {
		return fmt.Errorf("register: a slice without name or resourceVersion")
	}
	return nil
}

// EndpointID gives the same id to the same name in every front, since prefixes are hashed with it; only where two names of
// one list collide (about 1 in 16,000 lists of 740) may fronts differ. taken tells which ids are in use.
func EndpointID(name string, taken func(routing.EndpointID) bool) routing.EndpointID {
	for i := 0; ; i++ {
		id := routing.EndpointID(xxhash.Sum64String(name + "#" + strconv.Itoa(i)))
		if id != 0 && !taken(id) {
			return id
		}
	}
}
