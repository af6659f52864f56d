package planner

import (
	"time"

	"brackenbend/roles"
)

const (
	// PathRole is where engines report their status (GET) and take commands (POST).
	PathRole = "/v1/brackenbend/role"
	// PathAssignments is where the API server keeps the assignment table (GET and PUT).
	PathAssignments = "/v1/brackenbend/roles"
	// PathMemory is where the API server keeps what planners have learned (GET and PUT; 404 before the first PUT), so
	// that a planner that is restarted, or started elsewhere, continues from there. Nothing depends on it: the last
	// write wins.
	PathMemory = "/v1/brackenbend/roles/memory"
)

// SavedMemory is a planner's memory as the API server keeps it.
type SavedMemory struct {
	At     time.Time    `json:"at"`
	Memory roles.Memory `json:"memory"`
}

// StageLoad is roles.Stage as engines report it: totals in seconds of the whole engine, and of requests.
type StageLoad struct {
	Done    float64 `json:"done"`
	Waiting float64 `json:"waiting"`
	Lost    float64 `json:"lost"`
	Count   float64 `json:"count"` // prompts prefilled, or answers completed
}

// load is the part that the planner decides by.
func (s StageLoad) load() roles.StageLoad {
	return roles.StageLoad{Done: s.Done, Waiting: s.Waiting, Lost: s.Lost}
}

// Status is an engine's answer to a poll.
type Status struct {
	roles.StatusReport

	Outstanding int       `json:"held"` // outstanding requests and read states
	Prefill     StageLoad `json:"read"`
	Decode      StageLoad `json:"write"`
}

// Listing is one engine as the API server lists it, beside its assignment.
type Listing struct {
	Address  string `json:"address"`
	Locality string `json:"place"` // its locality: zone and cell
	Up       bool   `json:"up"`
}

// View is what the API server returns: the assignment table, and where the engines are.
type View struct {
	Assignments roles.Assignments  `json:"book"`
	Listings    map[string]Listing `json:"listings"`
}
