// Package scenario describes scripted runs: the fleet, its clients, and the faults that strike them. It reads and
// checks scenario files, derives the settings of replicas from them, draws what clients do and scores the outcome. It
// runs nothing: package scenariorun plays scenarios on sockets, package fleet in simulated time, both with the same
// draws.
//
// In files a scenario is a <day>, a fault a <happen>, and a replica a front; these forms are kept.
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
	Rate           config.Rate   `cfg:"rate,required"` // first requests of sessions and further turns together, a second
	Seed           int           `cfg:"seed"`
	Replicas       int           `cfg:"fronts,required"`
	EngineProtocol string        `cfg:"dialect,enum=vllm|extended"` // of the engines; none = extended
	Service        *Service      `cfg:"service,required"`
	Planner        *Planner      `cfg:"planner"` // of engines that change role; none = roles stay
	Kinds          []Kind        `cfg:"engines,required"`
	Classes        []Class       `cfg:"class,required"`
	Tenants        []Tenant      `cfg:"tenant"`
	Faults         []Fault       `cfg:"happen"`
	Expected       *Expected     `cfg:"expect"`

	text []byte // the file it was parsed from
}

// Service holds the settings that replicas and the audit share.
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
	ClientRetries    int           `cfg:"client-retries"`
}

// Planner assigns roles to the engines of kinds that change role.
type Planner struct {
	config.Pos
	Count         int           `cfg:"count"` // planners at once; 0 = 1
	Interval      time.Duration `cfg:"every"`
	MinDwell      time.Duration `cfg:"min-stay"`
	MaxConcurrent float64       `cfg:"at-once"`
	ChangeTime    time.Duration `cfg:"change-time"`
	WarmUp        time.Duration `cfg:"warm"`
	ChangeTimeout time.Duration `cfg:"turn-time"`
	SwitchTime    time.Duration `cfg:"switch"` // of an empty engine; 0 = 1 s
}

// Settings returns the configuration of the planner itself.
func (p *Planner) Settings() roles.Config {
	return roles.Config{
		MinDwell: p.MinDwell, MaxConcurrent: p.MaxConcurrent, ChangeTime: p.ChangeTime, WarmUp: p.WarmUp,
		ChangeTimeout: p.ChangeTimeout,
	}
}

// Kind is a group of engines that are alike.
type Kind struct {
	config.Pos
	Name        string        `cfg:"kind,required"`
	ChangesRole bool          `cfg:"shifts"` // engines may take the role of the other kind that changes role
	Role        string        `cfg:"role,required,enum=reader|writer|mixed"`
	Count       int           `cfg:"count,required"`
	Slots       int           `cfg:"slots,required"`
	Queue       int           `cfg:"queue,required"`
	Memory      config.Tokens `cfg:"memory,required"`
	ReadRate    config.Rate   `cfg:"read-rate"` // prompt tokens
	Step        time.Duration `cfg:"step"`
	PerStream   time.Duration `cfg:"step-per-stream"`
	FetchRate   config.Rate   `cfg:"fetch-rate"` // state tokens
}

// The values of Kind.Role.
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
	PromptTokens            config.Tokens `cfg:"prompt,required"`   // of a turn, on average
	PrefixTokens            config.Tokens `cfg:"beginning"`         // of a shared prefix
	PrefixShare             float64       `cfg:"beginning-share"`   // part that begins with one of a few shared prefixes
	AnswerTokens            config.Tokens `cfg:"answer,required"`   // on average
	Turns                   float64       `cfg:"turns"`             // of a session, on average
	NotStreamedPart         float64       `cfg:"not-streamed-part"` // of clients that want the answer whole
}

// The values of Class.Idempotency.
const (
	idempotentWithKey = "keyed"
	notIdempotent     = "unsafe"
)

// Tenant is a customer.
type Tenant struct {
	config.Pos
	Name  string      `cfg:"name,required"`
	Share float64     `cfg:"share,required"`
	Quota config.Rate `cfg:"quota"`
}

// Expected bounds what a run must reach; the audited rules must always hold.
type Expected struct {
	config.Pos
	Service float64 `cfg:"service"`
}

//go:embed bad.xml
var builtin embed.FS

// Default returns the scenario with many faults that is embedded in the program.
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

// Parse parses the text of a scenario file; the error is config.Problems.
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

// Engines returns the number of engines.
func (s *Scenario) Engines() (n int) {
	for _, k := range s.Kinds {
		n += k.Count
	}
	return n
}

// replicationSeeds separates the seeds of replications, so that those of neighboring scenario seeds do not overlap.
const replicationSeeds = 1000

// Replication returns the scenario with the clients of its n-th replication, counted from 1. Variants of a fleet are
// compared on the same replications.
func (s *Scenario) Replication(n int) *Scenario {
	copied := *s
	copied.Seed += replicationSeeds * n
	return &copied
}

// Scale sets the length of the scenario, with the times of its faults in proportion.
func (s *Scenario) Scale(length time.Duration) error {
	if length < minLength || length > maxLength {
		return fmt.Errorf("%w: %v; 1s to 1h", ErrLength, length)
	}
	factor := float64(length) / float64(s.Length)
	s.Length = length
	for i := range s.Faults {
		fault := &s.Faults[i]
		fault.At = time.Duration(float64(fault.At) * factor)
		fault.For = time.Duration(float64(fault.For) * factor)
	}
	return nil
}
