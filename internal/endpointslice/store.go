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

// minDeletedVersions is how many versions of deleted slices are stored at least before they are pruned. Late events
// about deleted slices are recognized by them. That many take some tens of kilobytes, and pruning remains rare.
const minDeletedVersions = 1024

// startTimeTolerance is how much the annotated start time of one process may vary without indicating a restart.
const startTimeTolerance = time.Second

// store holds the slices as last listed or watched, and the endpoints derived from them.
type store struct {
	kindLabel, cellLabel string
	slices               map[string]*EndpointSlice
	versions             map[string]string // newest seen version by slice name, also of deleted slices
	maxPrunedVersion     string            // newest version that was pruned; "" = none
	endpoints            map[string]Endpoint
	listed               bool // whether a complete list was stored
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

// isNewer reports whether version b may be newer than version a. Decimal versions are compared as numbers, since the
// API guarantees their order. If either version is not decimal, b counts as newer.
func isNewer(a, b string) bool {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	return errX != nil || errY != nil || y > x
}

// apply stores one watch event and returns the endpoints that changed. It ignores events that are older than the stored
// version of their slice, since a resumed watch may report a slice that has been removed in the meantime.
func (s *store) apply(eventType string, slice *EndpointSlice) []Endpoint {
	meta := &slice.Metadata
	lastVersion, known := s.versions[meta.Name]
	if !known {
		lastVersion = s.maxPrunedVersion
	}
	if lastVersion != "" && !isNewer(lastVersion, meta.ResourceVersion) {
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

// pruneVersions removes the versions of deleted slices once there are many. A late event about such a slice has a
// version of at most maxPrunedVersion and is still ignored. If a slice of the same name is created again, its version
// is higher, since versions only grow.
func (s *store) pruneVersions() {
	if len(s.versions) <= 2*len(s.slices)+minDeletedVersions {
		return
	}
	for name, version := range s.versions {
		if s.slices[name] != nil {
			continue
		}
		if s.maxPrunedVersion == "" || isNewer(s.maxPrunedVersion, version) {
			s.maxPrunedVersion = version
		}
		delete(s.versions, name)
	}
}

// replace stores a complete list and returns all endpoints, sorted by name.
func (s *store) replace(list []*EndpointSlice) []Endpoint {
	s.slices, s.versions, s.maxPrunedVersion = map[string]*EndpointSlice{}, map[string]string{}, ""
	for _, slice := range list {
		s.slices[slice.Metadata.Name] = slice
		s.versions[slice.Metadata.Name] = slice.Metadata.ResourceVersion
	}
	s.rebuild()
	s.listed = true
	return slices.SortedFunc(maps.Values(s.endpoints), compareNames)
}

// restore loads the cached endpoints, so that the start times of processes that are still running are kept.
func (s *store) restore(list []Endpoint) {
	for _, endpoint := range list {
		s.endpoints[endpoint.Name] = endpoint
	}
}

// liveEndpoints returns the endpoints whose state is not EndpointGone, in no particular order.
func (s *store) liveEndpoints() []Endpoint {
	list := make([]Endpoint, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		if endpoint.State != routing.EndpointGone {
			list = append(list, endpoint)
		}
	}
	return list
}

func compareNames(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) }

// rebuild derives the endpoints from all slices and returns those that changed. A removed endpoint is returned with the
// state EndpointGone.
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
		// An endpoint may be listed in two slices while it moves between them. It is ready only if both say so.
		if other, ok := s.endpoints[endpoint.Name]; ok && other.State != routing.EndpointReady {
			endpoint.State = other.State
		}
		s.endpoints[endpoint.Name] = endpoint
	}
}

// startTime returns when the process of an endpoint started: the annotated time if there is one, else the time that is
// already known, else the present time if the endpoint becomes ready after the first list. Zero means long ago.
func (s *store) startTime(endpoint *Endpoint, annotated map[string]time.Time, previous map[string]Endpoint) time.Time {
	now := s.now()
	previousEndpoint, known := previous[endpoint.Name]
	sameProcess := known && previousEndpoint.UID == endpoint.UID
	if started, ok := annotated[endpoint.Name]; ok {
		if started.After(now) { // the clock of the annotation's author is ahead
			started = now
		}
		if sameProcess && !previousEndpoint.Started.IsZero() &&
			started.Sub(previousEndpoint.Started).Abs() < startTimeTolerance {
			return previousEndpoint.Started
		}
		return started
	}
	switch {
	case sameProcess && (previousEndpoint.State != routing.EndpointGone || endpoint.State == routing.EndpointGone):
		return previousEndpoint.Started
	case s.listed && endpoint.State != routing.EndpointGone:
		return now
	}
	return time.Time{}
}
