package scenario

import (
	"encoding/xml"
	"fmt"
	"strings"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/roles"
)

// KindBoth is the kind of an engine that does both because nothing else is left.
const KindBoth = "both-for-need"

// EngineParams are an engine's of a kind.
func (d *Scenario) EngineParams(k *Kind) enginemodel.Params {
	s := d.Service
	return enginemodel.Params{
		CanPrefill: k.Role != "writer" || s.DecodeCanPrefill, CanDecode: k.Role != "reader", Slots: k.Slots, MaxQueued: k.Queue,
		Memory: float64(k.Memory), PrefillRate: max(float64(k.ReadRate), 1), Chunk: 512, Step: k.Step, StepStream: k.PerStream,
		FetchRate: max(float64(k.FetchRate), 1), CacheTokens: float64(k.Memory) / 2, SlowStartFrom: s.SlowStartFrom, SlowStartFor: s.SlowStartFor,
		OverloadFactor: s.OverloadFactor, OverloadAfter: s.OverloadAfter, StateTTL: 30 * time.Second,
	}
}

// Settings are those of the i-th front, read back from its file as the front itself would.
func (d *Scenario) Settings(i int) (*config.Settings, error) {
	return config.Parse("front.xml", []byte(d.ReplicaXML(i, fmt.Sprint("front-", i+1), "127.0.0.1:1", "", "http://127.0.0.1:1", "")))
}

func esc(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s))
	return b.String()
}

// ReplicaXML is the settings file of the i-th front.
func (d *Scenario) ReplicaXML(i int, name, listen, admin, register, cache string) string {
	var b strings.Builder
	s := d.Service
	fmt.Fprintf(&b, "<brackenbend>\n  <front name=%q listen=%q seed=\"%d\" drain=\"10s\" answer-margin=\"150ms\" admin=%q/>\n", name, listen, d.Seed*1000+i+1, admin)
	b.WriteString("  <limits open-requests=\"4096\" stall-time=\"5s\"/>\n  <log level=\"info\" lines-per-second=\"1000\"/>\n")
	fmt.Fprintf(&b, "  <service fronts=\"%d\" max-attempts=\"%d\" max-wait=\"1s\" release-within=%q drain-grace=%q cold-from=\"%v\" cold-for=%q overload-factor=\"%v\" tip-after=%q writers-read=\"%v\" cancel=\"%v\"",
		d.Replicas, s.MaxAttempts, s.StateTTL, s.DrainGrace, s.SlowStartFrom, s.SlowStartFor, s.OverloadFactor, s.OverloadAfter, s.DecodeCanPrefill, s.CanCancel)
	fmt.Fprintf(&b, " default-class=%q", esc(d.Classes[0].Name))
	if len(d.Tenants) > 0 {
		fmt.Fprintf(&b, " default-tenant=%q", esc(d.Tenants[0].Name))
	}
	b.WriteString("/>\n")
	for _, c := range d.Classes {
		fmt.Fprintf(&b, "  <class name=%q effect=%q aim=%q aim-per-1000-tokens=%q deadline=%q worth=\"%v\" late-worth=\"%v\"", esc(c.Name), c.Idempotency, c.LatencyObjective, c.LatencyObjectivePer1000, c.Deadline, c.PriorityWeight, c.LateWeight)
		if c.DedupWindow > 0 {
			fmt.Fprintf(&b, " window=%q", c.DedupWindow)
		}
		b.WriteString("/>\n")
		fmt.Fprintf(&b, "  <rule when=\"header\" name=\"X-Class\" equals=%q class=%q/>\n", esc(c.Name), esc(c.Name))
	}
	for _, t := range d.Tenants {
		fmt.Fprintf(&b, "  <tenant name=%q quota=\"%v/s\" share=\"%v\"/>\n  <rule when=\"header\" name=\"X-Tenant\" equals=%q tenant=%q/>\n", esc(t.Name), float64(t.Quota), t.Share, esc(t.Name), esc(t.Name))
	}
	for _, k := range d.Kinds {
		fmt.Fprintf(&b, "  <kind name=%q role=%q memory=\"%vtokens\"/>\n", esc(k.Name), k.Role, float64(k.Memory))
		if k.ChangesRole && k.Role == "writer" {
			fmt.Fprintf(&b, "  <kind name=%q role=\"mixed\" memory=\"%vtokens\"/>\n", KindBoth, float64(k.Memory))
		}
	}
	b.WriteString("  <model name=\"day\" bytes-per-token=\"4\" max-output=\"512tokens\"/>\n  <session from=\"header\" name=\"X-Session-Id\"/>\n  <prefix from=\"system-messages\"/>\n")
	fmt.Fprintf(&b, "  <engines dialect=%q dial-time=\"500ms\"/>\n", d.EngineProtocol)
	fmt.Fprintf(&b, "  <register url=%q namespace=\"default\" label-selector=\"app=engines\" cache=%q/>\n</brackenbend>\n", register, esc(cache))
	return b.String()
}

// ChangingRoles is what engines that change role are in each of them, and the kind that they are listed as; nil where none do.
func (d *Scenario) ChangingRoles() (params map[roles.Role]enginemodel.Params, kinds map[roles.Role]string) {
	for i := range d.Kinds {
		k := &d.Kinds[i]
		if !k.ChangesRole {
			continue
		}
		if kinds == nil {
			params, kinds = map[roles.Role]enginemodel.Params{}, map[roles.Role]string{roles.Both: KindBoth}
		}
		role, p := k.ServedRole(), d.EngineParams(k)
		if role == roles.Decode {
			p.CanPrefill = d.Service.DecodeCanPrefill
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

// ServedRole is the role that engines of the kind begin in.
func (k *Kind) ServedRole() roles.Role {
	switch k.Role {
	case "reader":
		return roles.Prefill
	case "writer":
		return roles.Decode
	}
	return roles.Both
}
