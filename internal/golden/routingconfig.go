package golden

import (
	"fmt"
	"strings"

	"brackenbend/routing"
)

// RoutingConfigText formats a router's configuration, one line per key. The keys are those of the simulator's settings
// (internal/simprotocol) rather than the names of Go fields, so that golden files stay the same when fields are
// renamed.
func RoutingConfigText(c routing.Config) string {
	var s strings.Builder
	line := func(key string, v ...any) { fmt.Fprintf(&s, "  %s = %s", key, fmt.Sprintln(v...)) }
	line("Balancers", c.Replicas)
	line("Zone", c.Zone)
	line("Discovery is ask", c.PollEndpoints)
	line("OverShareWorth", c.OverQuotaWeight)
	line("WorthBy is work", c.WeightByWork)
	line("Caps.AttemptsCap", c.MaxAttempts)
	line("Caps.Cancel", c.CanCancel)
	line("Caps.SecondCopies", c.Hedging)
	line("Caps.MaxRetryAfter", c.MaxRetryAfter)
	line("FamilyInfo.Ahead", c.ReserveAhead)
	line("FamilyInfo.LocalRead", c.DecodeCanPrefill)
	line("FamilyInfo.Resume", c.ResumeStreams)
	line("FamilyInfo.Release", c.StateTTL)
	line("Invariants.GraceToAnswer", c.AnswerSlack)
	line("Invariants.StopSendingWithin", c.DrainGrace)
	line("Invariants.ColdFrom", c.SlowStartFrom)
	line("Invariants.Cold", c.SlowStartFor)
	line("Invariants.OverloadFactor", c.OverloadFactor)
	line("Invariants.TipAfter", c.OverloadAfter)
	line("Invariants.AskWithin", c.PollInterval)
	for _, f := range c.LoadReportFields {
		line("Report.Fields", f)
	}
	for i, k := range c.Classes {
		line("class", i, "Name", k.Name, "Promise", k.LatencyObjective, "Deadline", k.Deadline, "Window", k.DedupWindow,
			"Importance", k.PriorityWeight, "LateWorth", k.LateWeight, "Repeat", int(k.Idempotency),
			"Group", int(k.DedupScope), "AimUsPer1000PromptTokens", k.LatencyObjectivePer1000,
			"TokenAim", k.TokenLatencyObjective)
	}
	for i, k := range c.Kinds {
		line("kind", i, "KindRole", int(k.Role), "KvTokens", k.Memory)
	}
	for i, k := range c.Tenants {
		line("tenant", i, "QuotaPerS", k.QuotaPerS, "Share", k.Share)
	}
	return s.String()
}
