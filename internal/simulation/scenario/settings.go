package scenario

import (
	"fmt"
	"strings"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/roles"
)

// KindBoth is the kind under which engines that change role are listed while they both prefill and decode, which is
// needed when no engine is left for one of the stages.
const KindBoth = "both-for-need"

// Parameters of engines and replicas that scenarios do not vary.
const (
	prefillChunkTokens  = 512 // most prompt tokens in one step of an engine
	engineStateTTL      = 30 * time.Second
	prefixCacheFraction = 0.5  // of an engine's memory
	minStageRate        = 1    // tokens a second, of a stage that the kind does not serve
	bytesPerToken       = 4    // also written to the settings of the replicas
	replicaSeedStride   = 1000 // keeps the replicas' seeds of scenarios with neighboring seeds distinct
)

// EngineParams returns the parameters of the engines of a kind.
func (s *Scenario) EngineParams(k *EngineKind) enginemodel.Params {
	service := s.Service
	return enginemodel.Params{
		CanPrefill:        k.Role != roleDecode || service.DecodeCanPrefill,
		CanDecode:         k.Role != rolePrefill,
		Slots:             k.Slots,
		MaxQueued:         k.Queue,
		MemoryTokens:      float64(k.Memory),
		PrefillRate:       max(float64(k.ReadRate), minStageRate),
		PrefillChunk:      prefillChunkTokens,
		StepTime:          k.Step,
		StepTimePerStream: k.StepPerStream,
		FetchRate:         max(float64(k.FetchRate), minStageRate),
		CacheTokens:       float64(k.Memory) * prefixCacheFraction,
		SlowStartFrom:     service.SlowStartFrom,
		SlowStartFor:      service.SlowStartFor,
		OverloadFactor:    service.OverloadFactor,
		OverloadAfter:     service.OverloadAfter,
		StateTTL:          engineStateTTL,
	}
}

// Settings returns the settings of the i-th replica, counted from 0, parsed as the replica parses its file.
func (s *Scenario) Settings(i int) (*config.Settings, error) {
	const unused = "127.0.0.1:1"
	text := s.ReplicaXML(i, fmt.Sprint("front-", i+1), unused, "", "http://"+unused, "")
	return config.Parse("front.xml", []byte(text))
}

// ReplicaXML returns the settings file of the i-th replica, counted from 0.
func (s *Scenario) ReplicaXML(i int, name, listen, admin, apiServerURL, cache string) string {
	var b strings.Builder
	b.WriteString("<brackenbend>\n")
	fmt.Fprintf(&b, "  <front name=%q listen=%q seed=\"%d\" drain=\"10s\" answer-margin=\"150ms\" admin=%q/>\n",
		name, listen, s.Seed*replicaSeedStride+i+1, admin)
	b.WriteString("  <limits open-requests=\"4096\" stall-time=\"5s\"/>\n")
	b.WriteString("  <log level=\"info\" lines-per-second=\"1000\"/>\n")
	s.writeService(&b)
	s.writeClasses(&b)
	s.writeTenants(&b)
	s.writeKinds(&b)
	fmt.Fprintf(&b, "  <model name=\"day\" bytes-per-token=\"%d\" max-output=\"512tokens\"/>\n", bytesPerToken)
	b.WriteString("  <session from=\"header\" name=\"X-Session-Id\"/>\n")
	b.WriteString("  <prefix from=\"system-messages\"/>\n")
	fmt.Fprintf(&b, "  <engines dialect=%q dial-time=\"500ms\"/>\n", s.EngineProtocol)
	fmt.Fprintf(&b, "  <register url=%q namespace=\"default\" label-selector=\"app=engines\" cache=%q/>\n",
		apiServerURL, escapeXML(cache))
	b.WriteString("</brackenbend>\n")
	return b.String()
}

func (s *Scenario) writeService(b *strings.Builder) {
	service := s.Service
	fmt.Fprintf(b, "  <service fronts=\"%d\" max-attempts=\"%d\" max-wait=\"1s\"", s.Replicas, service.MaxAttempts)
	fmt.Fprintf(b, " release-within=%q drain-grace=%q", service.StateTTL, service.DrainGrace)
	fmt.Fprintf(b, " cold-from=\"%v\" cold-for=%q", service.SlowStartFrom, service.SlowStartFor)
	fmt.Fprintf(b, " overload-factor=\"%v\" tip-after=%q", service.OverloadFactor, service.OverloadAfter)
	fmt.Fprintf(b, " writers-read=\"%v\" cancel=\"%v\"", service.DecodeCanPrefill, service.CanCancel)
	fmt.Fprintf(b, " default-class=%q", escapeXML(s.Classes[0].Name))
	if len(s.Tenants) > 0 {
		fmt.Fprintf(b, " default-tenant=%q", escapeXML(s.Tenants[0].Name))
	}
	b.WriteString("/>\n")
}

func (s *Scenario) writeClasses(b *strings.Builder) {
	for _, c := range s.Classes {
		name := escapeXML(c.Name)
		fmt.Fprintf(b, "  <class name=%q effect=%q aim=%q aim-per-1000-tokens=%q",
			name, c.Idempotency, c.LatencyObjective, c.LatencyObjectivePer1000)
		fmt.Fprintf(b, " deadline=%q worth=\"%v\" late-worth=\"%v\"", c.Deadline, c.PriorityWeight, c.LateWeight)
		if c.DedupWindow > 0 {
			fmt.Fprintf(b, " window=%q", c.DedupWindow)
		}
		b.WriteString("/>\n")
		fmt.Fprintf(b, "  <rule when=\"header\" name=\"X-Class\" equals=%q class=%q/>\n", name, name)
	}
}

func (s *Scenario) writeTenants(b *strings.Builder) {
	for _, t := range s.Tenants {
		name := escapeXML(t.Name)
		fmt.Fprintf(b, "  <tenant name=%q quota=\"%v/s\" share=\"%v\"/>\n", name, float64(t.Quota), t.Share)
		fmt.Fprintf(b, "  <rule when=\"header\" name=\"X-Tenant\" equals=%q tenant=%q/>\n", name, name)
	}
}

func (s *Scenario) writeKinds(b *strings.Builder) {
	for _, k := range s.EngineKinds {
		fmt.Fprintf(b, "  <kind name=%q role=%q memory=\"%vtokens\"/>\n", escapeXML(k.Name), k.Role, float64(k.Memory))
		if k.ChangesRole && k.Role == roleDecode {
			fmt.Fprintf(b, "  <kind name=%q role=\"mixed\" memory=\"%vtokens\"/>\n", KindBoth, float64(k.Memory))
		}
	}
}

// RoleChangeParams returns, by role, the parameters of the engines that change role and the kind under which they are
// listed; nil if no engine changes role.
func (s *Scenario) RoleChangeParams() (params map[roles.Role]enginemodel.Params, kinds map[roles.Role]string) {
	for i := range s.EngineKinds {
		k := &s.EngineKinds[i]
		if !k.ChangesRole {
			continue
		}
		if kinds == nil {
			params, kinds = map[roles.Role]enginemodel.Params{}, map[roles.Role]string{roles.Both: KindBoth}
		}
		role, p := k.InitialRole(), s.EngineParams(k)
		if role == roles.Decode {
			p.CanPrefill = s.Service.DecodeCanPrefill
		}
		params[role], kinds[role] = p, k.Name
	}
	if kinds != nil {
		both := params[roles.Decode]
		both.CanPrefill, both.PrefillRate = true, params[roles.Prefill].PrefillRate
		params[roles.Both] = both
	}
	return params, kinds
}

// InitialRole returns the role in which engines of the kind start.
func (k *EngineKind) InitialRole() roles.Role {
	switch k.Role {
	case rolePrefill:
		return roles.Prefill
	case roleDecode:
		return roles.Decode
	}
	return roles.Both
}
