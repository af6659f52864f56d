package simprotocol

import (
	"brackenbend/routing"
	"encoding/json"
	"fmt"
	"time"
)

type bootClass struct {
	Name                      string
	Promise, Deadline, Window float64
	Importance, LateWorth     float64
	Repeat, Group             string
}

type boot struct {
	Balancers int
	Zone      int
	Discovery string
	Kinds     []string
	Classes   []bootClass
	Tenants   []struct {
		Name             string
		QuotaPerS, Share float64
	}
	FamilyInfo struct {
		Ahead, LocalRead, Resume           bool
		AimUsPer1000PromptTokens, TokenAim []float64
		KindRole                           []string
		KvTokens                           []float64
		Release                            float64
	}
	Caps struct {
		AttemptsCap, MaxOpen             int
		Cancel, SecondCopies, RetryAfter bool
		MaxRetryAfter                    float64
		ConnIdle, DialTimeout            float64
	}
	Invariants struct {
		AskWithin, Cold, ColdFrom, GraceToAnswer, OverloadFactor, StopSendingWithin, TipAfter float64
	}
	OverShareWorth float64
	WorthBy        string
	Report         struct{ Fields []string }
}

var (
	roles   = map[string]routing.Role{"read": routing.RolePrefill, "write": routing.RoleDecode, "both": routing.RoleMixed}
	effects = map[string]routing.Idempotency{"free": routing.Idempotent, "guarded": routing.IdempotentWithKey, "single_shot": routing.NotIdempotent}
	groups  = map[string]routing.DedupScope{
		"": routing.DedupAll, "all": routing.DedupAll, "zone": routing.DedupZone,
		"cell": routing.DedupCell,
	}
)

// Site is all of the settings that the program uses: what the module is told, and what a front node needs beside it.
type Site struct {
	Routing        routing.Config
	Kinds, Tenants []string
	ConnIdle, Dial time.Duration // an idle connection's life, and the wait for one to come up
	MaxOpen        int
	RetryAfter     bool // clients are told when to come back
}

// ParseSettings maps the settings text to the module's terms.
func ParseSettings(text []byte) (routing.Config, error) {
	s, err := ParseSite(text)
	return s.Routing, err
}

// ParseSite reads the settings text. Unknown keys are skipped; absent ones are zero, which routing.Settings documents.
func ParseSite(text []byte) (Site, error) {
	var b boot
	if err := json.Unmarshal(text, &b); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	s, err := b.choice()
	site := Site{
		Routing: s, Kinds: b.Kinds, ConnIdle: micro(b.Caps.ConnIdle), Dial: micro(b.Caps.DialTimeout), MaxOpen: b.Caps.MaxOpen,
		RetryAfter: b.Caps.RetryAfter,
	}
	for _, t := range b.Tenants {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site, err
}

func (b *boot) choice() (routing.Config, error) {
	f, inv := b.FamilyInfo, b.Invariants
	s := routing.Config{
		Replicas: b.Balancers, Zone: b.Zone, OverQuotaWeight: b.OverShareWorth, WeightByWork: b.WorthBy == "work",
		MaxAttempts: b.Caps.AttemptsCap, CanCancel: b.Caps.Cancel, Hedging: b.Caps.SecondCopies,
		MaxRetryAfter: micro(b.Caps.MaxRetryAfter), ReserveAhead: f.Ahead, DecodeCanPrefill: f.LocalRead, ResumeStreams: f.Resume,
		StateTTL: micro(f.Release), AnswerSlack: micro(inv.GraceToAnswer), DrainGrace: micro(inv.StopSendingWithin),
		SlowStartFrom: inv.ColdFrom, SlowStartFor: micro(inv.Cold), OverloadFactor: inv.OverloadFactor, OverloadAfter: micro(inv.TipAfter),
		PollEndpoints: b.Discovery == "ask", PollInterval: micro(inv.AskWithin), LoadReportFields: b.Report.Fields,
	}
	for _, t := range b.Tenants {
		s.Tenants = append(s.Tenants, routing.Tenant{QuotaPerS: t.QuotaPerS, Share: t.Share})
	}
	if err := addKinds(&s, b); err != nil {
		return s, err
	}
	return s, addClasses(&s, b)
}

func addKinds(s *routing.Config, b *boot) error {
	for i := range max(len(b.Kinds), len(b.FamilyInfo.KindRole)) {
		k := routing.Kind{Role: routing.RoleMixed}
		if i < len(b.FamilyInfo.KindRole) {
			role, ok := roles[b.FamilyInfo.KindRole[i]]
			if !ok {
				return fmt.Errorf("settings: FamilyInfo.KindRole[%d]: unknown role %q", i, b.FamilyInfo.KindRole[i])
			}
			k.Role = role
		}
		k.Memory = at(b.FamilyInfo.KvTokens, i)
		s.Kinds = append(s.Kinds, k)
	}
	return nil
}

func addClasses(s *routing.Config, b *boot) error {
	for i, c := range b.Classes {
		effect, ok := effects[c.Repeat]
		if !ok {
			return fmt.Errorf("settings: Classes[%d].Repeat: unknown %q", i, c.Repeat)
		}
		group, ok := groups[c.Group]
		if !ok {
			return fmt.Errorf("settings: Classes[%d].Group: unknown %q", i, c.Group)
		}
		s.Classes = append(s.Classes, routing.Class{
			Name: c.Name, LatencyObjective: micro(c.Promise), Deadline: micro(c.Deadline),
			LatencyObjectivePer1000: micro(at(b.FamilyInfo.AimUsPer1000PromptTokens, i)), TokenLatencyObjective: micro(at(b.FamilyInfo.TokenAim, i)),
			PriorityWeight: c.Importance, LateWeight: c.LateWorth, Idempotency: effect, DedupScope: group, DedupWindow: micro(c.Window),
		})
	}
	return nil
}

func at(v []float64, i int) float64 {
	if i < len(v) {
		return v[i]
	}
	return 0
}

// micro takes microseconds as the settings give them.
func micro(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }
