package config

import (
	"slices"
	"strings"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// Constants by the values of enumerated attributes in a settings file.
var (
	idempotenciesByName = map[string]routing.Idempotency{
		"safe":   routing.Idempotent,
		"keyed":  routing.IdempotentWithKey,
		"unsafe": routing.NotIdempotent,
	}
	dedupScopesByName = map[string]routing.DedupScope{
		"":     routing.DedupAll,
		"all":  routing.DedupAll,
		"zone": routing.DedupZone,
		"cell": routing.DedupCell,
	}
	rolesByName = map[string]routing.Role{
		"reader": routing.RolePrefill,
		"writer": routing.RoleDecode,
		"mixed":  routing.RoleMixed,
	}
	sourcesByName = map[string]api.Source{
		"path": api.FromPath, "model": api.FromModel, "header": api.FromHeader,
		"api-key-sha256": api.FromAPIKey, "user": api.FromUser, "system-messages": api.FromSystemMessages,
		"first-message": api.FromFirstMessage, "opening": api.FromPromptPrefix,
	}
)

// RoutingConfig converts the settings to the router's configuration.
func (s *Settings) RoutingConfig() routing.Config {
	service := s.Service
	c := routing.Config{
		Replicas:         service.Replicas,
		MaxAttempts:      service.MaxAttempts,
		MaxRetryAfter:    service.MaxRetryAfter,
		StateTTL:         service.StateTTL,
		DrainGrace:       service.DrainGrace,
		SlowStartFrom:    service.SlowStartFrom,
		SlowStartFor:     service.SlowStartFor,
		OverloadFactor:   service.OverloadFactor,
		OverloadAfter:    service.OverloadAfter,
		DecodeCanPrefill: service.DecodeCanPrefill,
		CanCancel:        service.CanCancel,
		OverQuotaWeight:  service.OverQuotaWeight,
		WeightByWork:     service.WeightBy == "work",
	}
	if s.Engines != nil {
		c.LoadReportFields = strings.Fields(s.Engines.LoadReportFields)
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, routing.Class{
			Name:                    k.Name,
			LatencyObjective:        k.LatencyObjective,
			LatencyObjectivePer1000: k.LatencyObjectivePer1000,
			TokenLatencyObjective:   k.TokenLatencyObjective,
			Deadline:                k.Deadline,
			PriorityWeight:          k.PriorityWeight,
			LateWeight:              k.LateWeight,
			Idempotency:             idempotenciesByName[k.Idempotency],
			DedupScope:              dedupScopesByName[k.DedupScope],
			DedupWindow:             k.DedupWindow,
		})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, routing.Tenant{QuotaPerS: float64(t.Quota), Share: t.Share})
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, routing.Kind{Role: rolesByName[k.Role], Memory: float64(k.Memory)})
	}
	return c
}

// Classifier converts the settings to the classifier of requests, which determines their class, tenant, session, prefix
// and lengths.
func (s *Settings) Classifier() *api.Classifier {
	c := &api.Classifier{
		DefaultClass:  s.classIndex(s.Service.DefaultClass),
		DefaultTenant: s.tenantIndex(s.Service.DefaultTenant),
	}
	if len(s.Classes) == 1 {
		c.DefaultClass = 0
	}
	if len(s.Tenants) < 2 {
		c.DefaultTenant = 0
	}
	for _, r := range s.Rules {
		m := api.Match{Source: sourcesByName[r.Source], HeaderName: r.HeaderName, Equals: r.Equals, Prefix: r.Prefix}
		if r.Class != "" {
			c.ClassRules = append(c.ClassRules, api.Rule{Match: m, Index: s.classIndex(r.Class)})
		}
		if r.Tenant != "" {
			c.TenantRules = append(c.TenantRules, api.Rule{Match: m, Index: s.tenantIndex(r.Tenant)})
		}
	}
	c.SessionKeys, c.PrefixKeys = affinityKeys(s.SessionKeys), affinityKeys(s.PrefixKeys)
	for _, m := range s.Models {
		c.Models = append(c.Models, api.Model{
			Name: m.Name, BytesPerToken: m.BytesPerToken, MaxOutputTokens: int(m.MaxOutputTokens),
		})
	}
	return c
}

func affinityKeys(keys []AffinityKey) (out []api.AffinityKey) {
	for _, k := range keys {
		out = append(out, api.AffinityKey{
			Source: sourcesByName[k.Source], HeaderName: k.HeaderName, PrefixBytes: int(k.PrefixBytes),
		})
	}
	return out
}

func (s *Settings) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

func (s *Settings) tenantIndex(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// KindIndex returns the index of the kind with the given name, or -1.
func (s *Settings) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}
