package planner

import (
	"time"

	"brackenbend/roles"
)

const (
	// PathRole is the path at which engines report their status (GET) and accept commands (POST).
	PathRole = "/v1/brackenbend/role"
	// PathAssignments is the path of the assignment table at the API server (GET and PUT).
	PathAssignments = "/v1/brackenbend/roles"
	// PathMemory is the path of the planner memory at the API server (GET and PUT; 404 before the first PUT). A planner
	// that is restarted, or started elsewhere, continues from it. The last write wins, because planners also work without
	// it.
	PathMemory = "/v1/brackenbend/roles/memory"
)

// SavedMemory is a planner's memory as the API server stores it.
type SavedMemory struct {
	At     time.Time    `json:"at"`
	Memory roles.Memory `json:"memory"`
}

// StageLoad is roles.StageLoad as engines report it, in engine seconds, with the number of requests served.
type StageLoad struct {
	Done    float64 `json:"done"`
	Waiting float64 `json:"waiting"`
	Lost    float64 `json:"lost"`
	Count   float64 `json:"count"` // total of prompts prefilled or answers completed
}

// load returns the part that roles.Planner uses.
func (s StageLoad) load() roles.StageLoad {
	return roles.StageLoad{Done: s.Done, Waiting: s.Waiting, Lost: s.Lost}
}

// Status is an engine's response to a poll or a command.
type Status struct {
	roles.StatusReport

	Outstanding int       `json:"held"` // outstanding requests and read states
	Prefill     StageLoad `json:"read"`
	Decode      StageLoad `json:"write"`
}

// Listing is what the API server lists of an engine apart from its assignment.
type Listing struct {
	Address  string `json:"address"`
	Locality string `json:"place"` // zone and cell
	Up       bool   `json:"up"`
}

// View is the API server's response to a GET of PathAssignments: the assignment table and the engines' listings.
type View struct {
	Assignments roles.Assignments  `json:"book"`
	Listings    map[string]Listing `json:"listings"`
}
