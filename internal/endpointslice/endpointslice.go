// Package endpointslice maintains the list of engines. It lists and watches discovery.k8s.io/v1 EndpointSlices as the
// Kubernetes API conventions describe, and caches the last list on disk for the next start. It does not track the
// health of engines.
//
// All state is owned by the goroutine that calls Watcher.Run, which also calls OnUpdate. Run starts one more goroutine,
// which writes the cache file, and waits for it to end.
package endpointslice

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/routing"
)

// Endpoint is one engine of the list. Its JSON form is stored in the cache file.
type Endpoint struct {
	Name    string                `json:"name"`
	Address string                `json:"address"` // host:port
	Kind    string                `json:"kind"`
	Zone    string                `json:"zone,omitempty"`
	Cell    string                `json:"cell,omitempty"`
	UID     string                `json:"uid,omitempty"` // differs for each process of the engine
	State   routing.EndpointState `json:"state"`
	Started time.Time             `json:"started,omitzero"` // start of the process; zero = long ago
}

// Update is a complete list or a set of changes. With scope ListChanges, a removed engine has the state EndpointGone.
type Update struct {
	Scope     routing.ListScope
	Endpoints []Endpoint
}

// EndpointID derives the id of an endpoint from its name. All replicas must derive the same id, because it is an input
// to the hash that assigns prefixes to endpoints. They can differ only where two names of one list collide, which
// happens in about 1 of 16,000 lists of 740 names. inUse reports whether an id belongs to another name.
func EndpointID(name string, inUse func(routing.EndpointID) bool) routing.EndpointID {
	for i := 0; ; i++ {
		id := routing.EndpointID(xxhash.Sum64String(name + "#" + strconv.Itoa(i)))
		if id != 0 && !inUse(id) {
			return id
		}
	}
}
