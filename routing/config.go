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
	RoleMixed               // does both stages
)

// Idempotency says how the requests of a class may be repeated.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are dropped inside the dedup scope during the dedup window
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
	Name                    string        // only for logs
	LatencyObjective        time.Duration // target time to the first token ...
	LatencyObjectivePer1000 time.Duration // ... plus this time for each 1,000 prompt tokens
	LateWeight              float64       // value of a late answer, as a fraction of one in time
	PriorityWeight          float64       // value of a request, or of a unit of its work; 0 = 1
	Idempotency             Idempotency
	DedupScope              DedupScope    // for IdempotentWithKey
	DedupWindow             time.Duration // for IdempotentWithKey: how long repeats are dropped

	// Carried for callers; the router does not use them.

	TokenLatencyObjective time.Duration // target time between tokens
	Deadline              time.Duration // total time a client waits; Request.Deadline is used
}

// Kind describes one kind of endpoint.
type Kind struct {
	Role   Role
	Memory float64 // KV cache memory, in tokens; 0 = unknown
}

// Tenant is one customer and its quota.
type Tenant struct {
	QuotaPerS float64 // requests per second over all replicas; 0 = no limit
	Share     float64 // Carried for callers; the router does not use it.
}

// Config holds the settings of a Router. For a zero value, the documented default is used.
type Config struct {
	Replicas         int // number of replicas of the gateway; 0 = 1
	Classes          []Class
	Kinds            []Kind
	Tenants          []Tenant      // may be empty
	OverQuotaWeight  float64       // value of a request beyond its tenant's quota, as a fraction of others
	WeightByWork     bool          // PriorityWeight is per unit of work; else per request
	MaxAttempts      int           // attempts for one request, prefills included; 0 = 2
	CanCancel        bool          // attempts in flight may be canceled
	MaxRetryAfter    time.Duration // longest Retry-After that clients honor; 0 = 1 s
	DecodeCanPrefill bool          // decode endpoints compute a missing read state themselves
	StateTTL         time.Duration // time within which a read state must be fetched or released; 0 = 300 ms
	SlowStartFrom    float64       // fraction of its capacity that an endpoint has when it starts; 0 = 0.25
	SlowStartFor     time.Duration // time from its start until an endpoint is warm; 0 = no slow start
	OverloadFactor   float64       // an endpoint in slow start fails if sent more than this multiple ...
	OverloadAfter    time.Duration // ... of its current capacity for this long
	PollEndpoints    bool          // the endpoint list has to be fetched by FetchEndpoints
	PollInterval     time.Duration // longest time between two fetches

	// Carried for callers; the router does not use them.

	Zone             int           // the zone of this replica
	Hedging          bool          // hedged requests are allowed; the router never sends any
	ReserveAhead     bool          // decode endpoints can be reserved; the router never does
	ResumeStreams    bool          // clients resume broken streams; those are requests like any other
	AnswerSlack      time.Duration // time after the deadline in which a final answer still counts
	DrainGrace       time.Duration // time in which sends to a draining endpoint must stop; they stop at once
	LoadReportFields []string      // names of the figures in Outcome.LoadReport
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field   string // its name in settings files
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
	for _, duration := range c.durations() {
		if duration.value < 0 {
			return &ConfigError{duration.field, "negative time"}
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

// configDuration is a duration of a Config with its name in settings files.
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
