package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

// List is a reply of the discovery agent: all engines, or those that changed since a revision.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one engine.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix time at which its process started; 0 = long ago
}

// phases maps the phase of a member to the state of its endpoint.
var phases = map[string]routing.EndpointState{
	"Ready":       routing.EndpointReady,
	"Terminating": routing.EndpointDraining,
	"Gone":        routing.EndpointGone,
}

// Limits on a list, far above the size of the platform's fleets. They bound memory and the length of log lines.
const (
	maxMembers     = 20000
	maxMemberBytes = 512 // of the id, host_port, locality and flavor of one member together
)

// Parse parses a list. The fields revision, complete and members are required.
func Parse(data []byte) (*List, error) {
	var list struct {
		Revision *int64    `json:"revision"`
		Complete *bool     `json:"complete"`
		Members  *[]Member `json:"members"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if list.Revision == nil || list.Complete == nil || list.Members == nil {
		return nil, errors.New("discovery: a list needs revision, complete and members")
	}
	return &List{*list.Revision, *list.Complete, *list.Members}, nil
}

// memberError describes why one member of a list is invalid.
type memberError struct {
	index int
	id    string // "" = missing, or too long for a message
	err   error
}

func (e *memberError) Error() string {
	if e.id == "" {
		return fmt.Sprintf("discovery: members[%d]: %v", e.index, e.err)
	}
	return fmt.Sprintf("discovery: members[%d] (%s): %v", e.index, e.id, e.err)
}

func (e *memberError) Unwrap() error { return e.err }

// Update converts the list. One invalid member makes the whole list invalid: if it were left out, its engine would
// count as removed, or a change would be lost.
func (l *List) Update() (endpointslice.Update, error) {
	update := endpointslice.Update{Scope: routing.ListChanges}
	if l.Complete {
		update.Scope = routing.ListFull
	}
	if len(l.Members) > maxMembers {
		return update, fmt.Errorf("discovery: list has %d members; at most %d are allowed", len(l.Members), maxMembers)
	}
	update.Endpoints = make([]endpointslice.Endpoint, 0, len(l.Members))
	for i := range l.Members {
		member := &l.Members[i]
		if err := member.checkNames(); err != nil {
			return update, &memberError{index: i, err: err}
		}
		endpoint, err := member.endpoint()
		if err != nil {
			return update, &memberError{index: i, id: member.ID, err: err}
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

func (m *Member) checkNames() error {
	if m.ID == "" || len(m.ID)+len(m.HostPort)+len(m.Locality)+len(m.Flavor) > maxMemberBytes {
		return fmt.Errorf("no id, or names of over %d bytes", maxMemberBytes)
	}
	return nil
}

// endpoint converts a member to an endpoint.
func (m *Member) endpoint() (endpointslice.Endpoint, error) {
	state, known := phases[m.Phase]
	if !known {
		return endpointslice.Endpoint{}, fmt.Errorf("unknown phase %q", m.Phase)
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil && state != routing.EndpointGone {
		return endpointslice.Endpoint{}, fmt.Errorf("host_port: %w", err)
	}
	if m.UpSince < 0 {
		return endpointslice.Endpoint{}, errors.New("negative up_since_ms")
	}
	endpoint := endpointslice.Endpoint{
		Name:    m.ID,
		Address: m.HostPort,
		Kind:    m.Flavor,
		Zone:    m.Locality,
		Cell:    strconv.FormatInt(m.Cell, 10),
		State:   state,
	}
	if m.UpSince > 0 {
		endpoint.Started = time.UnixMilli(m.UpSince)
	}
	return endpoint, nil
}
