package node

import (
	"brackenbend/routing"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConfigParsing: recorded documents, and what came of them before the renaming; not updated meanwhile.
func TestConfigParsing(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"LB_NAME": "env-name", "LB_LISTEN": "0.0.0.0:1", "LB_DISCOVERY": "[::1]:2"}[name]
	}
	var got strings.Builder
	for _, name := range []string{"config-full.json", "config-env.json", "config-case.json"} {
		c, err := Load(filepath.Join("testdata", name), env)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s\n  name = %q\n  listen = %q\n  discovery = %q\n  seed = %x\n  limits.cores = %v\n  limits.memory = %d bytes\n",
			name, c.Name, c.Listen, c.Discovery, c.Seed, c.Cores, c.Memory)
		fmt.Fprintf(&got, "  limits.sockets = %d\n", c.Sockets)
		if c.CachedList != nil {
			fmt.Fprintf(&got, "  known: revision=%d complete=%t\n", c.CachedList.Revision, c.CachedList.Complete)
			for _, m := range c.CachedList.Members {
				fmt.Fprintf(&got, "  known: id=%q host_port=%q locality=%q flavor=%q cell=%d phase=%q size=%v up_since_ms=%d\n",
					m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Phase, m.Size, m.UpSince)
			}
		}
		site := c.Site
		got.WriteString(configText(site.Routing))
		fmt.Fprintf(&got, "  Kinds = %q\n  Tenants = %q\n  Caps.ConnIdle = %v\n  Caps.DialTimeout = %v\n  Caps.MaxOpen = %d\n",
			site.Kinds, site.Tenants, site.ConnIdleTimeout, site.DialTimeout, site.MaxOpenRequests)
		fmt.Fprintf(&got, "  Caps.RetryAfter = %t\n", site.RetryAfter)
		b := c.ResourceLimits()
		fmt.Fprintf(&got, "  budget: clients %d engines %d one engine %d open %d bodies %d heap %d floor %d procs %d; watch begin %v\n",
			b.MaxClientConns, b.MaxEngineConns, b.MaxConnsPerEngine, b.MaxOpenRequests, b.MaxBufferedBodyBytes, b.SoftHeapLimit, b.HeapFloor, b.Procs, c.firstByteTimeout())
	}
	golden(t, "configs.txt", got.String())
}

// TestConfigErrors: the texts for documents that are refused.
func TestConfigErrors(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "config-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, k := range [][2]string{
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
		if !strings.Contains(string(text), k[0]) {
			t.Fatalf("the document lacks %s", k[0])
		}
		_, err := parse([]byte(strings.Replace(string(text), k[0], k[1], 1)), func(string) string { return "" })
		fmt.Fprintf(&got, "%s -> %s\n  %v\n", k[0], k[1], err)
	}
	_, err = parse([]byte(`{"settings":{}}`), func(string) string { return "" })
	if err == nil || !strings.Contains(err.Error(), ": missing port in address") { // of listen and discovery whichever comes first
		t.Errorf("neither listen nor discovery: %v", err)
	}
	_, err = Load(filepath.Join("testdata", "none.json"), func(string) string { return "" })
	fmt.Fprintf(&got, "no file\n  %v\n", err)
	golden(t, "errors.txt", got.String())
}

// configText writes what the decision module is told, one line a key, in an order of its own.
func configText(c routing.Config) string {
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
		line("class", i, "Name", k.Name, "Promise", k.LatencyObjective, "Deadline", k.Deadline, "Window", k.DedupWindow, "Importance", k.PriorityWeight,
			"LateWorth", k.LateWeight, "Repeat", int(k.Idempotency), "Group", int(k.DedupScope), "AimUsPer1000PromptTokens", k.LatencyObjectivePer1000,
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
