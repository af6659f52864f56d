package endpointslice

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"brackenbend/routing"
)

// Types of watch events.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

// minDeletedVersions is how many names of deleted slices are remembered at least, so that late events about them are
// recognized by name: some tens of kilobytes, and rare enough to be pruned.
const minDeletedVersions = 1024

// startTimeTolerance is by how much the annotated start time of one process may vary without counting as a restart.
const startTimeTolerance = time.Second

// store holds the slices as last listed and watched, and the endpoints derived from them.
type store struct {
	kindLabel, cellLabel string
	slices               map[string]*EndpointSlice
	versions             map[string]string // newest version seen of each name, also of names deleted of late
	deletedVersion       string            // newest version of the names that were deleted and then forgotten; "" = none
	endpoints            map[string]Endpoint
	listed               bool // the first list was stored
	now                  func() time.Time
}

func newStore(kindLabel, cellLabel string) *store {
	return &store{
		kindLabel: kindLabel,
		cellLabel: cellLabel,
		slices:    map[string]*EndpointSlice{},
		versions:  map[string]string{},
		endpoints: map[string]Endpoint{},
		now:       time.Now,
	}
}

// isNewer reports whether version b may follow version a. Versions that are decimal numbers are compared as such,
// since the API guarantees their order; others are taken to be newer.
func isNewer(a, b string) bool {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	return errX != nil || errY != nil || y > x
}

// apply stores one watch event and returns the endpoints that changed. Events older than what is stored of their slice
// are ignored: a resumed watch may report a slice that was removed meanwhile.
func (s *store) apply(eventType string, slice *EndpointSlice) []Endpoint {
	meta := &slice.Metadata
	last, known := s.versions[meta.Name]
	if !known {
		last = s.deletedVersion
	}
	if last != "" && !isNewer(last, meta.ResourceVersion) {
		return nil
	}
	s.versions[meta.Name] = meta.ResourceVersion
	if eventType == eventDeleted {
		delete(s.slices, meta.Name)
	} else {
		s.slices[meta.Name] = slice
	}
	s.pruneVersions()
	return s.rebuild()
}

// pruneVersions forgets the names of deleted slices once they are many. Late events about one of them lie at or below
// deletedVersion and are still ignored; a name that is used again lies above it, since versions only grow.
func (s *store) pruneVersions() {
	if len(s.versions) <= 2*len(s.slices)+minDeletedVersions {
		return
	}
	for name, version := range s.versions {
		if s.slices[name] != nil {
			continue
		}
		if s.deletedVersion == "" || isNewer(s.deletedVersion, version) {
			s.deletedVersion = version
		}
		delete(s.versions, name)
	}
}

// replace stores a complete list and returns all endpoints in the order of their names.
func (s *store) replace(list []*EndpointSlice) []Endpoint {
	s.slices, s.versions, s.deletedVersion = map[string]*EndpointSlice{}, map[string]string{}, ""
	for _, slice := range list {
		s.slices[slice.Metadata.Name] = slice
		s.versions[slice.Metadata.Name] = slice.Metadata.ResourceVersion
	}
	s.rebuild()
	s.listed = true
	return slices.SortedFunc(maps.Values(s.endpoints), compareNames)
}

// restore takes cached endpoints, so that a process that started before the last run ended keeps its start time.
func (s *store) restore(list []Endpoint) {
	for _, endpoint := range list {
		s.endpoints[endpoint.Name] = endpoint
	}
}

// live returns the endpoints that are not gone, in no order.
func (s *store) live() []Endpoint {
	list := make([]Endpoint, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		if endpoint.State != routing.EndpointGone {
			list = append(list, endpoint)
		}
	}
	return list
}

func compareNames(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) }

// rebuild derives the endpoints from all slices and returns those that differ from before, removed ones as gone.
func (s *store) rebuild() []Endpoint {
	previous := s.endpoints
	s.endpoints = map[string]Endpoint{}
	for _, name := range slices.Sorted(maps.Keys(s.slices)) {
		s.addSlice(s.slices[name], previous)
	}
	var changed []Endpoint
	for name, endpoint := range s.endpoints {
		if old, ok := previous[name]; !ok || old != endpoint {
			changed = append(changed, endpoint)
		}
	}
	for name, endpoint := range previous {
		if _, ok := s.endpoints[name]; !ok {
			endpoint.State = routing.EndpointGone
			changed = append(changed, endpoint)
		}
	}
	slices.SortFunc(changed, compareNames)
	return changed
}

func (s *store) addSlice(slice *EndpointSlice, previous map[string]Endpoint) {
	port, startTimes := slice.port(), slice.startTimes()
	for i := range slice.Endpoints {
		endpoint, ok := slice.endpoint(&slice.Endpoints[i], port)
		if !ok {
			continue
		}
		endpoint.Kind = slice.Metadata.Labels[s.kindLabel]
		endpoint.Cell = slice.Metadata.Labels[s.cellLabel]
		endpoint.Started = s.startTime(&endpoint, startTimes, previous)
		// An endpoint may stand in two slices while it moves between them: a drain in either of them counts.
		if other, ok := s.endpoints[endpoint.Name]; ok && other.State != routing.EndpointReady {
			endpoint.State = other.State
		}
		s.endpoints[endpoint.Name] = endpoint
	}
}

// startTime is when an endpoint's process started: as annotated, else as before, else now; zero = long ago.
func (s *store) startTime(endpoint *Endpoint, annotated map[string]time.Time, previous map[string]Endpoint) time.Time {
	now := s.now()
	old, known := previous[endpoint.Name]
	sameProcess := known && old.UID == endpoint.UID
	if started, ok := annotated[endpoint.Name]; ok {
		if started.After(now) { // the other clock is ahead
			started = now
		}
		if sameProcess && !old.Started.IsZero() && started.Sub(old.Started).Abs() < startTimeTolerance {
			return old.Started
		}
		return started
	}
	switch {
	case sameProcess && (old.State != routing.EndpointGone || endpoint.State == routing.EndpointGone):
		return old.Started
	case s.listed && endpoint.State != routing.EndpointGone:
		return now
	}
	return time.Time{}
}
