package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
	"brackenbend/routing"
)

// TestConfigParsing: recorded files, and what came of them before the code was renamed; not updated meanwhile.
func TestConfigParsing(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"LB_NAME": "env-name", "LB_LISTEN": "0.0.0.0:1", "LB_DISCOVERY": "[::1]:2"}[name]
	}
	var got strings.Builder
	for _, name := range []string{"config-full.json", "config-env.json", "config-case.json"} {
		config, err := Load(filepath.Join("testdata", name), env)
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(name + "\n")
		got.WriteString(nodeConfigText(config))
	}
	golden.Check(t, "configs.txt", got.String())
}

// nodeConfigText writes a node's configuration by the keys of the file.
func nodeConfigText(c *Config) string {
	var s strings.Builder
	fmt.Fprintf(&s, "  name = %q\n  listen = %q\n  discovery = %q\n  seed = %x\n", c.Name, c.Listen, c.Discovery, c.Seed)
	fmt.Fprintf(&s, "  limits.cores = %v\n  limits.memory = %d bytes\n", c.Cores, c.Memory)
	fmt.Fprintf(&s, "  limits.sockets = %d\n", c.Sockets)
	if c.CachedList != nil {
		fmt.Fprintf(&s, "  known: revision=%d complete=%t\n", c.CachedList.Revision, c.CachedList.Complete)
		for _, m := range c.CachedList.Members {
			fmt.Fprintf(&s, "  known: id=%q host_port=%q locality=%q flavor=%q cell=%d phase=%q size=%v up_since_ms=%d\n",
				m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Phase, m.Size, m.UpSince)
		}
	}
	site := &c.Site
	s.WriteString(routingConfigText(site.Routing))
	fmt.Fprintf(&s, "  Kinds = %q\n  Tenants = %q\n", site.Kinds, site.Tenants)
	fmt.Fprintf(&s, "  Caps.ConnIdle = %v\n  Caps.DialTimeout = %v\n", site.ConnIdleTimeout, site.DialTimeout)
	fmt.Fprintf(&s, "  Caps.MaxOpen = %d\n  Caps.RetryAfter = %t\n", site.MaxOpenRequests, site.RetryAfter)
	l := c.ResourceLimits()
	fmt.Fprintf(&s, "  budget: clients %d engines %d one engine %d open %d ",
		l.MaxClientConns, l.MaxEngineConns, l.MaxConnsPerEngine, l.MaxOpenRequests)
	fmt.Fprintf(&s, "bodies %d heap %d floor %d procs %d; watch begin %v\n",
		l.MaxBufferedBodyBytes, l.SoftHeapLimit, l.HeapFloor, l.Procs, c.firstByteTimeout())
	return s.String()
}

// TestConfigErrors: the texts for files that are rejected.
func TestConfigErrors(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "config-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, edit := range []struct{ old, replacement string }{
		{`"127.0.0.1:8080"`, `"here"`},
		{`"127.0.0.1:9090"`, `"there"`},
		{`"cores":0.5`, `"cores":-1`},
		{`"sockets":300`, `"sockets":47`},
		{`"memory_mb":96.5`, `"memory_mb":-1`},
		{`"ffeeddccbbaa9988"`, `"xyz"`},
		{`"ffeeddccbbaa9988"`, `"1ffeeddccbbaa9988"`},
		{`"revision":41,`, ``},
		{`"settings":`, `"other":`},
		{`"read"`, `"sing"`},
		{`"guarded"`, `"often"`},
		{`"Group":"cell"`, `"Group":"town"`},
		{`"Deadline":5000000`, `"Deadline":-1`},
		{`"Window":7`, `"Window":-7`},
		{`{"name"`, `"name"`},
		{`"Classes"`, `"NoClasses"`},
	} {
		if !strings.Contains(string(text), edit.old) {
			t.Fatalf("the file lacks %s", edit.old)
		}
		_, err := parse([]byte(strings.Replace(string(text), edit.old, edit.replacement, 1)), noEnv)
		fmt.Fprintf(&got, "%s -> %s\n  %v\n", edit.old, edit.replacement, err)
	}
	_, err = parse([]byte(`{"settings":{}}`), noEnv)
	if err == nil || err.Error() != "listen: missing port in address" {
		t.Errorf("neither listen nor discovery: %v", err)
	}
	_, err = Load(filepath.Join("testdata", "none.json"), noEnv)
	fmt.Fprintf(&got, "no file\n  %v\n", err)
	golden.Check(t, "errors.txt", got.String())
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
