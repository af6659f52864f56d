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

// endpointTable holds the engines of the endpoint list. It is owned by the event loop.
type endpointTable struct {
	byName       map[string]*endpointEntry
	byID         map[routing.EndpointID]*endpointEntry
	localities   map[string]int // numbers of the zones and cells of known endpoints; no number is used twice
	nextLocality int
	changed      bool // an update came in this step
}

type endpointEntry struct {
	listed endpointslice.Endpoint // as the last update has it
	engine *engine.Endpoint
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byName:     map[string]*endpointEntry{},
		byID:       map[routing.EndpointID]*endpointEntry{},
		localities: map[string]int{},
	}
}

// Keys of endpointTable.localities.
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

// applyUpdate updates the table and makes the router's event. Endpoints that drain or are gone are closed before the
// router hears of it, so that nothing that it decided a moment ago is sent to them.
func (l *eventLoop) applyUpdate(update *endpointslice.Update) routing.Event {
	l.gateway.metrics.EndpointUpdates.WithLabelValues(scopeNames[update.Scope]).Inc()
	event := routing.EndpointList{Scope: update.Scope}
	if update.Scope == routing.ListFailed {
		return event
	}
	if hook := l.gateway.hooks.EndpointUpdate; hook != nil {
		hook(update)
	}
	listed := map[string]bool{}
	for _, endpoint := range update.Endpoints {
		kind := slices.Index(l.gateway.Kinds, endpoint.Kind)
		if kind < 0 {
			l.gateway.log.Warn("engine of a kind that the settings don't name",
				zap.String("engine", endpoint.Name), zap.String("kind", endpoint.Kind))
			continue
		}
		listed[endpoint.Name] = true
		event.Endpoints = append(event.Endpoints, l.applyEndpoint(endpoint, kind))
	}
	if update.Scope != routing.ListChanges {
		l.table.closeUnlisted(listed)
	}
	l.table.changed = true
	l.hasEndpoints.Store(true)
	l.countEngines()
	return event
}

// applyEndpoint updates the endpoint's entry and makes the router's view of it.
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

func (l *eventLoop) countEngines() {
	l.gateway.metrics.Engines.Reset()
	for _, entry := range l.table.byName {
		if entry.listed.State != routing.EndpointGone {
			role, state := roleNames[entry.engine.Role], stateNames[entry.listed.State]
			l.gateway.metrics.Engines.WithLabelValues(role, state).Inc()
		}
	}
}

// upsert finds or makes the entry of an endpoint and opens or closes it. Another process under the same name gets an
// engine.Endpoint of its own: what was decided for the old process is not sent to the new one.
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
	if !endpoint.Started.Equal(entry.listed.Started) {
		entry.engine.DiscardIdleConns()
	}
	entry.listed = endpoint
	if endpoint.State == routing.EndpointReady {
		entry.engine.Open()
	} else {
		entry.engine.Close()
	}
	return entry
}

func (e *endpointEntry) isReplacedBy(endpoint *endpointslice.Endpoint, role routing.Role) bool {
	return e.listed.UID != endpoint.UID || e.listed.Address != endpoint.Address || e.engine.Role != role
}

func (t *endpointTable) unusedID(name string) routing.EndpointID {
	return endpointslice.EndpointID(name, func(id routing.EndpointID) bool { return t.byID[id] != nil })
}

// closeUnlisted closes the endpoints that a full list does not name.
func (t *endpointTable) closeUnlisted(listed map[string]bool) {
	for name, entry := range t.byName {
		if !listed[name] && entry.listed.State != routing.EndpointGone {
			entry.listed.State = routing.EndpointGone
			entry.engine.Close()
		}
	}
}

// removeGone drops endpoints that are gone and to which no connection is left, and localities without endpoints, if an
// update came in this step: names of pods are not used twice. Requests keep the engine.Endpoints that they need.
func (t *endpointTable) removeGone() {
	if !t.changed {
		return
	}
	t.changed = false
	used := map[string]bool{}
	for name, entry := range t.byName {
		if entry.listed.State == routing.EndpointGone && entry.engine.Conns() == 0 {
			delete(t.byName, name)
			delete(t.byID, entry.engine.ID)
			continue
		}
		used[zoneKey(entry.listed.Zone)], used[cellKey(entry.listed.Cell)] = true, true
	}
	maps.DeleteFunc(t.localities, func(key string, _ int) bool { return !used[key] })
}

// localityNumber returns the number of a zone or cell.
func (t *endpointTable) localityNumber(key string) int {
	number, known := t.localities[key]
	if !known {
		number = t.nextLocality
		t.nextLocality++
		t.localities[key] = number
	}
	return number
}
