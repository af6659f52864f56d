package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// endpointTable holds the engines that the endpoint list names. It is owned by the event loop.
type endpointTable struct {
	byName       map[string]*endpointEntry
	byID         map[routing.EndpointID]*endpointEntry
	localities   map[string]int // numbers of the zones and cells of known endpoints; a number is never reused
	nextLocality int
	changed      bool // an update was applied in this step
}

type endpointEntry struct {
	listedEndpoint endpointslice.Endpoint // as in the last update that lists it
	engine         *engine.Endpoint
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byName:     map[string]*endpointEntry{},
		byID:       map[routing.EndpointID]*endpointEntry{},
		localities: map[string]int{},
	}
}

// zoneKey and cellKey return the keys of endpointTable.localities; the prefixes keep zones and cells apart.
func zoneKey(zone string) string { return "zone " + zone }
func cellKey(cell string) string { return "cell " + cell }

// Metric label values.
var (
	roleNames  = [...]string{routing.RolePrefill: "reader", routing.RoleDecode: "writer", routing.RoleMixed: "mixed"}
	stateNames = [...]string{
		routing.EndpointGone: "gone", routing.EndpointReady: "ready", routing.EndpointDraining: "draining",
	}
	scopeNames = map[routing.ListScope]string{
		routing.ListChanges: "changes", routing.ListFull: "full", routing.ListCached: "cached",
		routing.ListFailed: "failed",
	}
)

// applyUpdate updates the table and returns the event for the router. Endpoints that drain or are gone are closed
// before the router processes the event, so that sends that it has already decided don't reach them.
func (l *eventLoop) applyUpdate(update *endpointslice.Update) routing.Event {
	l.gateway.metrics.EndpointUpdates.WithLabelValues(scopeNames[update.Scope]).Inc()
	event := routing.EndpointList{Scope: update.Scope}
	if update.Scope == routing.ListFailed {
		return event
	}
	if hook := l.gateway.hooks.EndpointUpdate; hook != nil {
		hook(update)
	}
	listedNames := map[string]bool{}
	for _, endpoint := range update.Endpoints {
		kind := slices.Index(l.gateway.Kinds, endpoint.Kind)
		if kind < 0 {
			l.gateway.log.Warn("ignoring an engine: its kind is not in the settings",
				zap.String("engine", endpoint.Name), zap.String("kind", endpoint.Kind))
			continue
		}
		listedNames[endpoint.Name] = true
		event.Endpoints = append(event.Endpoints, l.applyEndpoint(endpoint, kind))
	}
	if update.Scope != routing.ListChanges {
		l.table.closeUnlisted(listedNames)
	}
	l.table.changed = true
	l.hasEndpoints.Store(true)
	l.updateEngineMetrics()
	return event
}

// applyEndpoint updates the endpoint's entry and returns the endpoint as the router gets it.
func (l *eventLoop) applyEndpoint(endpoint endpointslice.Endpoint, kind int) routing.Endpoint {
	entry := l.table.upsert(endpoint, l.gateway.kinds[kind].Role)
	if hook := l.gateway.hooks.AfterOpenOrClose; hook != nil {
		hook(entry.engine)
	}
	startedAt := time.Duration(0)
	if !endpoint.Started.IsZero() {
		startedAt = max(epoch+endpoint.Started.Sub(l.start), 0)
	}
	return routing.Endpoint{
		ID: entry.engine.ID, Kind: kind,
		Zone:  l.table.localityNumber(zoneKey(endpoint.Zone)),
		Cell:  l.table.localityNumber(cellKey(endpoint.Cell)),
		State: endpoint.State, StartedAt: startedAt,
	}
}

// updateEngineMetrics sets the metric of engines by role and state.
func (l *eventLoop) updateEngineMetrics() {
	l.gateway.metrics.Engines.Reset()
	for _, entry := range l.table.byName {
		if entry.listedEndpoint.State != routing.EndpointGone {
			role, state := roleNames[entry.engine.Role], stateNames[entry.listedEndpoint.State]
			l.gateway.metrics.Engines.WithLabelValues(role, state).Inc()
		}
	}
}

// upsert creates or updates the entry of an endpoint, and opens or closes its engine.Endpoint. A different process
// under the same name gets a new engine.Endpoint, so that sends decided for the old process don't reach the new one.
func (t *endpointTable) upsert(endpoint endpointslice.Endpoint, role routing.Role) *endpointEntry {
	entry := t.byName[endpoint.Name]
	if entry == nil || entry.isReplacedBy(&endpoint, role) {
		id := t.unusedID(endpoint.Name)
		if entry != nil {
			id = entry.engine.ID
			entry.engine.Close()
		}
		entry = &endpointEntry{
			engine: &engine.Endpoint{ID: id, Name: endpoint.Name, Address: endpoint.Address, Role: role},
		}
		t.byName[endpoint.Name], t.byID[id] = entry, entry
	}
	if !endpoint.Started.Equal(entry.listedEndpoint.Started) {
		entry.engine.DiscardIdleConns()
	}
	entry.listedEndpoint = endpoint
	if endpoint.State == routing.EndpointReady {
		entry.engine.Open()
	} else {
		entry.engine.Close()
	}
	return entry
}

// isReplacedBy reports whether the endpoint is a different process than that of the entry.
func (e *endpointEntry) isReplacedBy(endpoint *endpointslice.Endpoint, role routing.Role) bool {
	return e.listedEndpoint.UID != endpoint.UID || e.listedEndpoint.Address != endpoint.Address || e.engine.Role != role
}

func (t *endpointTable) unusedID(name string) routing.EndpointID {
	return endpointslice.EndpointID(name, func(id routing.EndpointID) bool { return t.byID[id] != nil })
}

// closeUnlisted marks the endpoints that a full list doesn't name as gone, and closes them.
func (t *endpointTable) closeUnlisted(listedNames map[string]bool) {
	for name, entry := range t.byName {
		if !listedNames[name] && entry.listedEndpoint.State != routing.EndpointGone {
			entry.listedEndpoint.State = routing.EndpointGone
			entry.engine.Close()
		}
	}
}

// removeGone removes endpoints that are gone and have no open connection, and localities without endpoints, if an
// update was applied in this step. Pod names are not reused, so the table would grow without bound otherwise. Requests
// hold pointers to the engine.Endpoints that they still need.
func (t *endpointTable) removeGone() {
	if !t.changed {
		return
	}
	t.changed = false
	usedLocalities := map[string]bool{}
	for name, entry := range t.byName {
		if entry.listedEndpoint.State == routing.EndpointGone && entry.engine.Conns() == 0 {
			delete(t.byName, name)
			delete(t.byID, entry.engine.ID)
			continue
		}
		usedLocalities[zoneKey(entry.listedEndpoint.Zone)], usedLocalities[cellKey(entry.listedEndpoint.Cell)] = true, true
	}
	maps.DeleteFunc(t.localities, func(key string, _ int) bool { return !usedLocalities[key] })
}

// localityNumber returns the number of a zone or cell, and assigns one if it has none yet.
func (t *endpointTable) localityNumber(key string) int {
	number, known := t.localities[key]
	if !known {
		number = t.nextLocality
		t.nextLocality++
		t.localities[key] = number
	}
	return number
}
