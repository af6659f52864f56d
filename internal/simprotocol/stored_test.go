package simprotocol

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
	"brackenbend/routing"
)

// TestSettingsParsing: the keys of the settings text are a protocol's. What comes of recorded texts was recorded before
// the code was renamed and is not updated meanwhile.
func TestSettingsParsing(t *testing.T) {
	var got strings.Builder
	for _, name := range []string{"settings-full.json", "settings-case.json", "settings-short.json"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		site, err := ParseSite(text)
		fmt.Fprintf(&got, "%s: error %v\n%s", name, err, routingConfigText(site.Routing))
		fmt.Fprintf(&got, "  Kinds = %q\n  Tenants = %q\n", site.Kinds, site.Tenants)
		fmt.Fprintf(&got, "  Caps.ConnIdle = %v\n  Caps.DialTimeout = %v\n", site.ConnIdleTimeout, site.DialTimeout)
		fmt.Fprintf(&got, "  Caps.MaxOpen = %d\n  Caps.RetryAfter = %t\n", site.MaxOpenRequests, site.RetryAfter)
	}
	for _, text := range []string{
		`[`, `[]`, `{"Zone":"a"}`, `{"Balancers":1.5}`, `{"Caps":{"Cancel":1}}`, `{"Classes":[{"Promise":"1s"}]}`,
		`{"FamilyInfo":{"KindRole":["read","sing"]}}`, `{"Classes":[{"Repeat":"free"},{"Repeat":"often"}]}`,
		`{"Classes":[{"Repeat":"free","Group":"town"}]}`,
	} {
		_, err := ParseSite([]byte(text))
		// the middle of encoding/json's own text names Go types; what it says of the form stands at its begin and end
		fmt.Fprintf(&got, "%s\n  error %s\n", text, formOnly(err))
	}
	golden.Check(t, "settings.txt", got.String())
}

// formOnly leaves out the names of Go structs and fields that encoding/json puts into its texts.
func formOnly(err error) string {
	if err == nil {
		return "none"
	}
	s := err.Error()
	if a, b := strings.Index(s, "into Go struct field "), strings.Index(s, " of type "); a >= 0 && b > a {
		return s[:a] + "into ..." + s[b:]
	}
	if a := strings.Index(s, "into Go value of type "); a >= 0 {
		return s[:a] + "into ..."
	}
	return s
}

// routingConfigText writes the router's configuration, one line a key of the settings.
func routingConfigText(c routing.Config) string {
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
