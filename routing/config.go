package routing

import (
	"fmt"
	"time"
)

// Role is what an endpoint can do.
type Role uint8

// The roles of an endpoint.
const (
	RolePrefill Role = iota // computes the KV cache state of prompts
	RoleDecode              // generates the output from such a state
	RoleMixed               // both stages
)

// Idempotency says how the requests of a class may be repeated.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are dropped inside a dedup scope, for the dedup window
	NotIdempotent                        // must never run twice
)

// DedupScope is the set of endpoints that drops repeats of a request that is idempotent with a key.
type DedupScope uint8

// The dedup scopes.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string        // for logs only
	LatencyObjective        time.Duration // the first token is wanted within this time ...
	LatencyObjectivePer1000 time.Duration // ... plus this for each 1,000 prompt tokens
	LateWeight              float64       // value of an answer past its objective, as a part of the usual
	PriorityWeight          float64       // value of a request, or of a unit of its work; 0 = 1
	Idempotency             Idempotency
	DedupScope              DedupScope    // for IdempotentWithKey
	DedupWindow             time.Duration // for IdempotentWithKey: how long repeats are dropped

	// Carried for callers; the router does not use them.

	TokenLatencyObjective time.Duration // wanted time between tokens
	Deadline              time.Duration // how long a client waits in all; Request.Deadline is what counts
}

// Kind describes one kind of endpoint.
type Kind struct {
	Role   Role
	Memory float64 // tokens; 0 = unknown
}

// Tenant is one customer and its quota.
type Tenant struct {
	QuotaPerS float64 // requests a second over all replicas; 0 = no limit
	Share     float64 // Carried for callers; the router does not use it.
}

// Config holds the settings of a Router. A zero value means the documented default.
type Config struct {
	Replicas         int // equal replicas of the gateway; 0 = 1
	Classes          []Class
	Kinds            []Kind
	Tenants          []Tenant      // may be empty
	OverQuotaWeight  float64       // value of a request beyond its tenant's quota, as a part of the usual
	WeightByWork     bool          // PriorityWeight is of each unit of work, else of a request
	MaxAttempts      int           // for one request; 0 = 2
	CanCancel        bool          // attempts in flight may be canceled
	MaxRetryAfter    time.Duration // the longest advised wait that clients follow; 0 = 1 s
	DecodeCanPrefill bool          // a decode endpoint computes a missing read state by itself
	StateTTL         time.Duration // a read state must be fetched or released within; 0 = 300 ms
	SlowStartFrom    float64       // part of its capacity at which an endpoint starts; 0 = 0.25
	SlowStartFor     time.Duration // warm after this; 0 = no slow start
	OverloadFactor   float64       // sent more than so many times its present capacity ...
	OverloadAfter    time.Duration // ... for so long, an endpoint in slow start fails
	PollEndpoints    bool          // the endpoint list must be fetched (FetchEndpoints)
	PollInterval     time.Duration // it is fetched at least this often

	// Carried for callers; the router does not use them.

	Zone             int           // the zone of this replica
	Hedging          bool          // two attempts of a request may be in flight; it never does it
	ReserveAhead     bool          // decode endpoints can be reserved; it picks them after the prefill
	ResumeStreams    bool          // broken streams come again; they are requests like any other
	AnswerSlack      time.Duration // time past the deadline in which a final answer still counts
	DrainGrace       time.Duration // sends to a draining endpoint must stop within; they stop at once
	LoadReportFields []string      // names of the figures in Outcome.LoadReport
}

// ConfigError is a field of a Config that a Router can't work with.
type ConfigError struct {
	Field   string // by the name that it has in settings files
	Problem string
}

func (e *ConfigError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

// Validate reports the first invalid field as a *ConfigError.
func (c Config) Validate() error {
	if len(c.Classes) == 0 {
		return &ConfigError{"Classes", "none given"}
	}
	if len(c.Kinds) == 0 {
		return &ConfigError{"Kinds", "none given"}
	}
	for i, class := range c.Classes {
		if err := class.validate(i); err != nil {
			return err
		}
	}
	for i, kind := range c.Kinds {
		if kind.Role > RoleMixed {
			return &ConfigError{fmt.Sprintf("Kinds[%d].Role", i), fmt.Sprintf("unknown role %d", kind.Role)}
		}
		if kind.Memory < 0 {
			return &ConfigError{fmt.Sprintf("Kinds[%d].Memory", i), "negative"}
		}
	}
	for _, span := range c.durations() {
		if span.value < 0 {
			return &ConfigError{span.field, "negative time"}
		}
	}
	if c.Replicas < 0 || c.MaxAttempts < 0 {
		return &ConfigError{"Fronts, MaxAttempts", "negative count"}
	}
	return nil
}

// validate checks the class at an index of Config.Classes.
func (c Class) validate(index int) error {
	if c.LatencyObjective < 0 || c.LatencyObjectivePer1000 < 0 || c.TokenLatencyObjective < 0 ||
		c.Deadline < 0 || c.DedupWindow < 0 {
		return &ConfigError{fmt.Sprintf("Classes[%d] (%s)", index, c.Name), "negative time"}
	}
	if c.Idempotency > NotIdempotent {
		return &ConfigError{
			fmt.Sprintf("Classes[%d].Effect", index), fmt.Sprintf("unknown effect %d", c.Idempotency),
		}
	}
	if c.DedupScope > DedupCell {
		return &ConfigError{
			fmt.Sprintf("Classes[%d].Group", index), fmt.Sprintf("unknown group %d", c.DedupScope),
		}
	}
	return nil
}

// configDuration is a duration of a Config by the name that it has in settings files.
type configDuration struct {
	field string
	value time.Duration
}

func (c Config) durations() []configDuration {
	return []configDuration{
		{"MaxWait", c.MaxRetryAfter},
		{"ReleaseWithin", c.StateTTL},
		{"TipAfter", c.OverloadAfter},
		{"ColdFor", c.SlowStartFor},
		{"DrainGrace", c.DrainGrace},
		{"AnswerSlack", c.AnswerSlack},
		{"AskWithin", c.PollInterval},
	}
}
