// Package scenario describes scripted runs: a fleet, its clients, and the faults that affect them. It reads and checks
// scenario files, derives the settings of the replicas from them, draws the clients' behavior at random and scores the
// outcome. It does not run scenarios: package scenariorun runs them on sockets and package fleet in simulated time,
// both with the same random draws.
//
// Scenario files have older names for some of the terms: <day> for a scenario, <happen> for a fault, front for a
// replica, reader and writer for the roles prefill and decode.
package scenario

import (
	"cmp"
	"embed"
	"fmt"
	"os"
	"time"

	"brackenbend/internal/config"
	"brackenbend/roles"
)

// Scenario is a scripted run.
type Scenario struct {
	config.Pos
	Length         time.Duration `cfg:"length,required"`
	Rate           config.Rate   `cfg:"rate,required"` // requests a second, of all turns; without retries
	Seed           int           `cfg:"seed"`
	Replicas       int           `cfg:"fronts,required"`
	EngineProtocol string        `cfg:"dialect,enum=vllm|extended"` // of the engines; "" = extended
	Service        *Service      `cfg:"service,required"`
	Planner        *Planner      `cfg:"planner"` // nil = engines keep their roles
	EngineKinds    []EngineKind  `cfg:"engines,required"`
	Classes        []Class       `cfg:"class,required"`
	Tenants        []Tenant      `cfg:"tenant"`
	Faults         []Fault       `cfg:"happen"`
	Expected       *Expected     `cfg:"expect"`

	text []byte // content of the file that it was parsed from
}

// Service holds the settings that replicas, engines, clients and the audit take from a scenario.
type Service struct {
	config.Pos
	MaxAttempts      int           `cfg:"max-attempts"`
	StateTTL         time.Duration `cfg:"release-within,required"`
	DrainGrace       time.Duration `cfg:"drain-grace,required"`
	SlowStartFrom    float64       `cfg:"cold-from"`
	SlowStartFor     time.Duration `cfg:"cold-for"`
	OverloadFactor   float64       `cfg:"overload-factor"`
	OverloadAfter    time.Duration `cfg:"tip-after"`
	DecodeCanPrefill bool          `cfg:"writers-read"`
	CanCancel        bool          `cfg:"cancel"`
	ClientRetries    int           `cfg:"client-retries"` // most retries of a request, without failed connects; 0 = none
}

// Planner holds the parameters of the planner, which assigns roles to the engines of kinds that change role.
type Planner struct {
	config.Pos
	Count         int           `cfg:"count"` // planners that run at the same time; 0 = 1
	Interval      time.Duration `cfg:"every"`
	MinDwell      time.Duration `cfg:"min-stay"`
	MaxConcurrent float64       `cfg:"at-once"`
	ChangeTime    time.Duration `cfg:"change-time"`
	WarmUp        time.Duration `cfg:"warm"`
	ChangeTimeout time.Duration `cfg:"turn-time"`
	SwitchTime    time.Duration `cfg:"switch"` // of an empty engine; 0 = 1 s
}

// Settings returns the planner's configuration.
func (p *Planner) Settings() roles.Config {
	return roles.Config{
		MinDwell: p.MinDwell, MaxConcurrent: p.MaxConcurrent, ChangeTime: p.ChangeTime, WarmUp: p.WarmUp,
		ChangeTimeout: p.ChangeTimeout,
	}
}

// EngineKind is a group of identical engines.
type EngineKind struct {
	config.Pos
	Name          string        `cfg:"kind,required"`
	ChangesRole   bool          `cfg:"shifts"` // engines may take the role of the other kind that changes role
	Role          string        `cfg:"role,required,enum=reader|writer|mixed"`
	Count         int           `cfg:"count,required"`
	Slots         int           `cfg:"slots,required"`
	Queue         int           `cfg:"queue,required"`
	Memory        config.Tokens `cfg:"memory,required"`
	ReadRate      config.Rate   `cfg:"read-rate"`       // prompt tokens a second
	Step          time.Duration `cfg:"step"`            // of a step that decodes, without StepPerStream and a prefill
	StepPerStream time.Duration `cfg:"step-per-stream"` // added for each stream that the step decodes
	FetchRate     config.Rate   `cfg:"fetch-rate"`      // tokens of read state a second
}

// Values of EngineKind.Role, besides "mixed".
const (
	rolePrefill = "reader"
	roleDecode  = "writer"
)

// Class is a class of requests.
type Class struct {
	config.Pos
	Name                    string        `cfg:"name,required"`
	Idempotency             string        `cfg:"effect,required,enum=safe|keyed|unsafe"`
	Share                   float64       `cfg:"share,required"`
	LatencyObjective        time.Duration `cfg:"aim,required"`
	LatencyObjectivePer1000 time.Duration `cfg:"aim-per-1000-tokens"`
	Deadline                time.Duration `cfg:"deadline,required"`
	DedupWindow             time.Duration `cfg:"window"`
	PriorityWeight          float64       `cfg:"worth"`
	LateWeight              float64       `cfg:"late-worth"`
	PromptTokens            config.Tokens `cfg:"prompt,required"`   // mean length of a turn
	PrefixTokens            config.Tokens `cfg:"beginning"`         // length of a shared prefix
	PrefixShare             float64       `cfg:"beginning-share"`   // of sessions that begin with a shared prefix
	AnswerTokens            config.Tokens `cfg:"answer,required"`   // mean length of an answer
	Turns                   float64       `cfg:"turns"`             // mean number of turns of a session
	NotStreamedFraction     float64       `cfg:"not-streamed-part"` // of sessions whose answers are not streamed
}

// Values of Class.Idempotency, besides "safe".
const (
	idempotentWithKey = "keyed"
	notIdempotent     = "unsafe"
)

// Tenant is a tenant, with its share of the sessions and its quota.
type Tenant struct {
	config.Pos
	Name  string      `cfg:"name,required"`
	Share float64     `cfg:"share,required"`
	Quota config.Rate `cfg:"quota"`
}

// Expected holds the lowest service that a run of the scenario may have. The rules of the audit must hold in any case.
type Expected struct {
	config.Pos
	Service float64 `cfg:"service"`
}

//go:embed bad.xml
var builtin embed.FS

// Default returns the default scenario, which is embedded in the program and has many faults.
func Default() (*Scenario, error) {
	text, err := builtin.ReadFile("bad.xml")
	if err != nil {
		return nil, err
	}
	return Parse("bad.xml", text)
}

// Load reads a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a scenario file. Its errors are of type config.Problems.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := config.Decode(file, text, "day", s, s.check); err != nil {
		return nil, err
	}
	s.text = text
	if s.EngineProtocol == "" {
		s.EngineProtocol = "extended"
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.PriorityWeight, c.Turns = cmp.Or(c.PriorityWeight, 1), cmp.Or(c.Turns, 1)
	}
	return s, nil
}

// Engines returns the number of engines of all kinds.
func (s *Scenario) Engines() (n int) {
	for _, k := range s.EngineKinds {
		n += k.Count
	}
	return n
}

// replicationSeedStride is the difference between the seeds of successive replications. It keeps the replications of
// scenarios with neighboring seeds distinct.
const replicationSeedStride = 1000

// Replication returns the scenario with the seed of its n-th replication, counted from 1. Variants of a fleet are
// compared on the same replications, and so with the same clients.
func (s *Scenario) Replication(n int) *Scenario {
	replication := *s
	replication.Seed += replicationSeedStride * n
	return &replication
}

// Scale sets the length of the scenario and scales the starts and durations of its faults in proportion.
func (s *Scenario) Scale(length time.Duration) error {
	if length < minLength || length > maxLength {
		return fmt.Errorf("%w: %v; the limits are 1s and 1h", ErrLength, length)
	}
	factor := float64(length) / float64(s.Length)
	s.Length = length
	for i := range s.Faults {
		fault := &s.Faults[i]
		fault.At = time.Duration(float64(fault.At) * factor)
		fault.Duration = time.Duration(float64(fault.Duration) * factor)
	}
	return nil
}
