package simprotocol

import (
	"encoding/json"
	"fmt"
	"time"

	"brackenbend/routing"
)

// Site holds the settings that the program uses: the router's configuration, and what a node needs beside it.
type Site struct {
	Routing         routing.Config
	Kinds, Tenants  []string      // names, by the indices that Routing uses
	ConnIdleTimeout time.Duration // how long an idle connection to an engine is kept at most; 0 = not set
	DialTimeout     time.Duration // 0 = not set
	MaxOpenRequests int           // 0 = no bound
	RetryAfter      bool          // rejections tell the client when to retry
}

// ParseSettings parses the settings text and returns the router's configuration.
func ParseSettings(text []byte) (routing.Config, error) {
	site, err := ParseSite(text)
	return site.Routing, err
}

// ParseSite parses the settings text, which is JSON. Unknown keys are ignored. An absent key gives the zero value;
// routing.Config documents its meaning. There are two exceptions: a kind without a role is mixed, and a class without
// Repeat is an error.
func ParseSite(text []byte) (Site, error) {
	var file settingsFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	config, err := file.routingConfig()
	site := Site{
		Routing:         config,
		Kinds:           file.Kinds,
		ConnIdleTimeout: micros(file.Caps.ConnIdle),
		DialTimeout:     micros(file.Caps.DialTimeout),
		MaxOpenRequests: file.Caps.MaxOpen,
		RetryAfter:      file.Caps.RetryAfter,
	}
	for _, tenant := range file.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	return site, err
}

// settingsFile is the schema of the settings text; the names of its keys are the simulator's. Durations are in
// microseconds and have the type float64, so that a decoding error names a number type and no type of this program.
type settingsFile struct {
	Balancers      int                `json:"Balancers"`
	Zone           int                `json:"Zone"`
	Discovery      string             `json:"Discovery"`
	Kinds          []string           `json:"Kinds"`
	Classes        []classSettings    `json:"Classes"`
	Tenants        []tenantSettings   `json:"Tenants"`
	FamilyInfo     familySettings     `json:"FamilyInfo"`
	Caps           capabilitySettings `json:"Caps"`
	Invariants     invariantSettings  `json:"Invariants"`
	OverShareWorth float64            `json:"OverShareWorth"`
	WorthBy        string             `json:"WorthBy"`
	Report         reportSettings     `json:"Report"`
}

// classSettings is one request class.
type classSettings struct {
	Name       string  `json:"Name"`
	Promise    float64 `json:"Promise"`
	Deadline   float64 `json:"Deadline"`
	Window     float64 `json:"Window"`
	Importance float64 `json:"Importance"`
	LateWorth  float64 `json:"LateWorth"`
	Repeat     string  `json:"Repeat"`
	Group      string  `json:"Group"`
}

type tenantSettings struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
	Share     float64 `json:"Share"`
}

// familySettings describes the prefill and decode stages. Its lists are indexed by class or by kind of engine.
type familySettings struct {
	Ahead                    bool      `json:"Ahead"`
	LocalRead                bool      `json:"LocalRead"`
	Resume                   bool      `json:"Resume"`
	AimUsPer1000PromptTokens []float64 `json:"AimUsPer1000PromptTokens"` // by class
	TokenAim                 []float64 `json:"TokenAim"`                 // by class
	KindRole                 []string  `json:"KindRole"`                 // by kind
	KvTokens                 []float64 `json:"KvTokens"`                 // by kind
	Release                  float64   `json:"Release"`
}

// capabilitySettings says which actions the router may take, and holds limits on attempts, requests and connections.
type capabilitySettings struct {
	AttemptsCap   int     `json:"AttemptsCap"`
	MaxOpen       int     `json:"MaxOpen"`
	Cancel        bool    `json:"Cancel"`
	SecondCopies  bool    `json:"SecondCopies"`
	RetryAfter    bool    `json:"RetryAfter"`
	MaxRetryAfter float64 `json:"MaxRetryAfter"`
	ConnIdle      float64 `json:"ConnIdle"`
	DialTimeout   float64 `json:"DialTimeout"`
}

// invariantSettings holds the bounds of the invariants that the simulator checks.
type invariantSettings struct {
	AskWithin         float64 `json:"AskWithin"`
	Cold              float64 `json:"Cold"`
	ColdFrom          float64 `json:"ColdFrom"`
	GraceToAnswer     float64 `json:"GraceToAnswer"`
	OverloadFactor    float64 `json:"OverloadFactor"`
	StopSendingWithin float64 `json:"StopSendingWithin"`
	TipAfter          float64 `json:"TipAfter"`
}

type reportSettings struct {
	Fields []string `json:"Fields"`
}

// Values of settings, in the simulator's terms.
const (
	discoveryPoll = "ask"  // of Discovery
	worthByWork   = "work" // of WorthBy
)

var (
	roles = map[string]routing.Role{
		"read":  routing.RolePrefill,
		"write": routing.RoleDecode,
		"both":  routing.RoleMixed,
	}
	idempotencies = map[string]routing.Idempotency{
		"free":        routing.Idempotent,
		"guarded":     routing.IdempotentWithKey,
		"single_shot": routing.NotIdempotent,
	}
	dedupScopes = map[string]routing.DedupScope{
		"":     routing.DedupAll,
		"all":  routing.DedupAll,
		"zone": routing.DedupZone,
		"cell": routing.DedupCell,
	}
)

// routingConfig converts the settings to the router's configuration. With an error it returns the part that was
// converted before it.
func (file *settingsFile) routingConfig() (routing.Config, error) {
	caps, family, invariants := &file.Caps, &file.FamilyInfo, &file.Invariants
	config := routing.Config{
		Replicas:         file.Balancers,
		Zone:             file.Zone,
		OverQuotaWeight:  file.OverShareWorth,
		WeightByWork:     file.WorthBy == worthByWork,
		PollEndpoints:    file.Discovery == discoveryPoll,
		LoadReportFields: file.Report.Fields,

		MaxAttempts:   caps.AttemptsCap,
		CanCancel:     caps.Cancel,
		Hedging:       caps.SecondCopies,
		MaxRetryAfter: micros(caps.MaxRetryAfter),

		ReserveAhead:     family.Ahead,
		DecodeCanPrefill: family.LocalRead,
		ResumeStreams:    family.Resume,
		StateTTL:         micros(family.Release),

		AnswerSlack:    micros(invariants.GraceToAnswer),
		DrainGrace:     micros(invariants.StopSendingWithin),
		SlowStartFrom:  invariants.ColdFrom,
		SlowStartFor:   micros(invariants.Cold),
		OverloadFactor: invariants.OverloadFactor,
		OverloadAfter:  micros(invariants.TipAfter),
		PollInterval:   micros(invariants.AskWithin),
	}
	for _, tenant := range file.Tenants {
		config.Tenants = append(config.Tenants, routing.Tenant{QuotaPerS: tenant.QuotaPerS, Share: tenant.Share})
	}
	var err error
	if config.Kinds, err = file.routingKinds(); err != nil {
		return config, err
	}
	config.Classes, err = file.routingClasses()
	return config, err
}

func (file *settingsFile) routingKinds() ([]routing.Kind, error) {
	var kinds []routing.Kind
	family := &file.FamilyInfo
	for i := range max(len(file.Kinds), len(family.KindRole)) {
		kind := routing.Kind{Role: routing.RoleMixed, Memory: valueAt(family.KvTokens, i)}
		if i < len(family.KindRole) {
			role, known := roles[family.KindRole[i]]
			if !known {
				return kinds, fmt.Errorf("settings: FamilyInfo.KindRole[%d]: unknown role %q", i, family.KindRole[i])
			}
			kind.Role = role
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

func (file *settingsFile) routingClasses() ([]routing.Class, error) {
	var classes []routing.Class
	for i, class := range file.Classes {
		idempotency, known := idempotencies[class.Repeat]
		if !known {
			return classes, fmt.Errorf("settings: Classes[%d].Repeat: unknown %q", i, class.Repeat)
		}
		dedupScope, known := dedupScopes[class.Group]
		if !known {
			return classes, fmt.Errorf("settings: Classes[%d].Group: unknown %q", i, class.Group)
		}
		classes = append(classes, routing.Class{
			Name:                    class.Name,
			LatencyObjective:        micros(class.Promise),
			LatencyObjectivePer1000: micros(valueAt(file.FamilyInfo.AimUsPer1000PromptTokens, i)),
			TokenLatencyObjective:   micros(valueAt(file.FamilyInfo.TokenAim, i)),
			Deadline:                micros(class.Deadline),
			PriorityWeight:          class.Importance,
			LateWeight:              class.LateWorth,
			Idempotency:             idempotency,
			DedupScope:              dedupScope,
			DedupWindow:             micros(class.Window),
		})
	}
	return classes, nil
}

// valueAt returns values[i], or zero where the list is shorter.
func valueAt(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 0
}

// micros converts a duration of the settings, which is in microseconds.
func micros(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }
