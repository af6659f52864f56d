// Package endpointslice keeps the list of engines: it lists and watches discovery.k8s.io/v1 EndpointSlices by the
// Kubernetes API conventions and caches the last list on disk for the next start. It knows nothing of the engines'
// health.
//
// All state is owned by the goroutine that calls Watcher.Run, which also calls OnUpdate. Run starts one more goroutine,
// which writes the cache file, and waits for its end.
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
	UID     string                `json:"uid,omitempty"` // changes when the process is another
	State   routing.EndpointState `json:"state"`
	Started time.Time             `json:"started,omitzero"` // zero = long ago
}

// Update is a list or a change of it. In an update of scope ListChanges a removed engine has the state EndpointGone.
type Update struct {
	Scope     routing.ListScope
	Endpoints []Endpoint
}

// EndpointID derives the id of an endpoint from its name. All replicas derive the same id, since prefixes are hashed
// with it; they may differ only where two names of one list collide (about 1 in 16,000 lists of 740). inUse reports
// whether an id is taken by another name.
func EndpointID(name string, inUse func(routing.EndpointID) bool) routing.EndpointID {
	for i := 0; ; i++ {
		id := routing.EndpointID(xxhash.Sum64String(name + "#" + strconv.Itoa(i)))
		if id != 0 && !inUse(id) {
			return id
		}
	}
}
