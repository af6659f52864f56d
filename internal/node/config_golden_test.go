package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
)

// TestConfigParsing compares the parsed form of recorded configuration files with a golden file. Refactoring must not
// change it.
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

// nodeConfigText formats a node's configuration under the keys of the file.
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
	s.WriteString(golden.RoutingConfigText(site.Routing))
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

// TestConfigErrors compares the errors for invalid configuration files with a golden file.
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
			t.Fatalf("config-full.json lacks %s", edit.old)
		}
		_, err := parse([]byte(strings.Replace(string(text), edit.old, edit.replacement, 1)), noEnv)
		fmt.Fprintf(&got, "%s -> %s\n  %v\n", edit.old, edit.replacement, err)
	}
	_, err = parse([]byte(`{"settings":{}}`), noEnv)
	if err == nil || err.Error() != "listen: missing port in address" {
		t.Errorf("file without listen and discovery: error %v", err)
	}
	_, err = Load(filepath.Join("testdata", "none.json"), noEnv)
	fmt.Fprintf(&got, "no file\n  %v\n", err)
	golden.Check(t, "errors.txt", got.String())
}
