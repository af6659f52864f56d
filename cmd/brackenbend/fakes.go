package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// roleSwitchTime is how long a drained fake engine takes to switch its role.
const roleSwitchTime = time.Second

// fakeEngineRoles maps the values of the --role flag to roles.
var fakeEngineRoles = map[string]roles.Role{"reader": roles.Prefill, "writer": roles.Decode, "mixed": roles.Both}

// fakeEngineParams returns typical parameters of a fake engine. The role is a value of the --role flag.
func fakeEngineParams(role string) enginemodel.Params {
	return enginemodel.Params{
		CanPrefill:        true,
		CanDecode:         role != "reader",
		Slots:             64,
		MaxQueued:         32,
		MemoryTokens:      200000,
		PrefillRate:       15000,
		PrefillChunk:      512,
		StepTime:          20 * time.Millisecond,
		StepTimePerStream: 200 * time.Microsecond,
		FetchRate:         200000,
		CacheTokens:       100000,
		SlowStartFrom:     0.25,
		SlowStartFor:      10 * time.Second,
		OverloadFactor:    4,
		OverloadAfter:     2 * time.Second,
		StateTTL:          30 * time.Second,
	}
}

// waitForSignal waits for SIGINT or SIGTERM.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}

// fakeEngine runs one fake engine.
type fakeEngine struct {
	listen, role, name                   string
	plainVLLM, startCold, canChangeRoles bool
}

func engineCommand() *cobra.Command {
	var e fakeEngine
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a fake engine, for tests and trials",
		Long: `Run one fake engine until SIGINT or SIGTERM. It answers requests with made-up words, at the speed of
a simulated engine. POST /standin/faults with a JSON object sets its faults, in place of those that
were set before:

  fail_fast    fraction of requests that fail at once
  fail_class   class whose requests fail at once
  stall        true: requests are accepted and never answered
  slow         factor by which the engine is slower
  reset_mid    fraction of streams whose connection is reset after a few tokens
  reset_head   fraction of requests whose connection is reset once they are read
  reset_run    fraction of requests that take effect and are reset before the first token
  fail_run     fraction of requests that take effect and get an error
  stall_run    fraction of requests that take effect and are never answered
  frozen       true: load reports no longer change
  no_reports   true: no load reports are sent`,
		Example: `  brackenbend engine --listen 127.0.0.1:9001 --role reader
  curl -d '{"stall":true}' http://127.0.0.1:9001/standin/faults`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return e.run(cmd.OutOrStdout()) },
	}
	e.addFlags(cmd.Flags())
	return cmd
}

func (e *fakeEngine) addFlags(f *pflag.FlagSet) {
	f.StringVar(&e.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 = any free port")
	f.StringVar(&e.role, "role", "mixed", "role: reader (prefill), writer (decode) or mixed (both)")
	f.StringVar(&e.name, "name", "engine-1", "name of the engine")
	f.BoolVar(&e.plainVLLM, "plain", false, "support only vLLM's protocol, without the extensions")
	f.BoolVar(&e.startCold, "cold", false, "start cold: slower until the engine has warmed up")
	f.BoolVar(&e.canChangeRoles, "shifts", false, "accept commands to change role (POST "+planner.PathRole+")")
}

func (e *fakeEngine) run(out io.Writer) error {
	role, known := fakeEngineRoles[e.role]
	if !known {
		return usageErrorf("--role %q: must be reader, writer or mixed", e.role)
	}
	cfg := engine.Config{
		Name: e.name, Kind: e.role, Params: fakeEngineParams(e.role), PlainVLLM: e.plainVLLM, CanCancel: true,
	}
	if e.canChangeRoles {
		cfg.InitialState, cfg.SwitchTime = roles.EngineState{Role: role, Target: role}, roleSwitchTime
		cfg.Roles = map[roles.Role]enginemodel.Params{}
		for name, r := range fakeEngineRoles {
			cfg.Roles[r] = fakeEngineParams(name)
		}
	}
	server, err := engine.Start(cfg, e.listen, e.startCold)
	if err != nil {
		return err
	}
	defer server.Close()
	if _, err := fmt.Fprintf(out, "%s %s on %s\n", e.role, e.name, server.Info().Address); err != nil {
		return err
	}
	waitForSignal()
	return nil
}

// fakeAPIServer runs a fake API server.
type fakeAPIServer struct {
	listen, assignmentsFile string
	kindByRole              map[string]string // kinds whose engines may change role, by role
}

func apiServerCommand() *cobra.Command {
	var s fakeAPIServer
	cmd := &cobra.Command{
		Use:   "register NAME=KIND@ADDRESS...",
		Short: "Run a fake API server that lists engines, for tests and trials",
		Long: `Run a fake Kubernetes API server until SIGINT or SIGTERM. It lists the engines that are named in the
arguments, as discovery.k8s.io/v1 EndpointSlices, and answers list and watch requests for them.`,
		Example: `  brackenbend register --listen 127.0.0.1:7000 \
    reader-1=prefill@127.0.0.1:9001 writer-1=decode@127.0.0.1:9002
  curl http://127.0.0.1:7000/apis/discovery.k8s.io/v1/namespaces/default/endpointslices`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return s.run(cmd.OutOrStdout(), args) },
	}
	f := cmd.Flags()
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 = any free port")
	f.StringToStringVar(&s.kindByRole, "shift", nil,
		"kinds whose engines may change role, by role, such as reader=prefill,writer=decode,both=mixed")
	f.StringVar(&s.assignmentsFile, "book", "", "`file` that keeps the role assignments across restarts")
	return cmd
}

func (s *fakeAPIServer) run(out io.Writer, engines []string) error {
	server, err := apiserver.Start(s.listen, nil)
	if err != nil {
		return err
	}
	defer server.Close()
	kinds := map[roles.Role]string{}
	for name, kind := range s.kindByRole {
		role, err := roles.ParseRole(name)
		if err != nil {
			return exitError{fmt.Errorf("--shift: %w", err), exitUsage}
		}
		kinds[role] = kind
	}
	if err := server.PersistAssignments(s.assignmentsFile); err != nil {
		return exitError{fmt.Errorf("--book: %w", err), exitConfig}
	}
	for _, arg := range engines {
		entry, err := parseEngineEntry(arg)
		if err != nil {
			return err
		}
		for role, kind := range kinds {
			if kind == entry.Kind {
				server.ManageRole(entry.Name, role, kinds)
			}
		}
		server.Set(entry)
	}
	if _, err := fmt.Fprintln(out, "API server on", server.URL()); err != nil {
		return err
	}
	waitForSignal()
	return nil
}

// parseEngineEntry parses NAME=KIND@ADDRESS.
func parseEngineEntry(arg string) (apiserver.Entry, error) {
	name, kindAndAddress, hasKind := strings.Cut(arg, "=")
	kind, address, hasAddress := strings.Cut(kindAndAddress, "@")
	if !hasKind || !hasAddress || !isWord(name) || !isWord(kind) || !isWord(address) {
		return apiserver.Entry{}, usageErrorf("engine %q: must have the form NAME=KIND@ADDRESS", arg)
	}
	return apiserver.Entry{
		Name: name, Kind: kind, Zone: "zone-1", Cell: "cell-1", Address: address, UID: name + "-1", Ready: true,
	}, nil
}

// isWord reports whether s is not empty and contains no white space.
func isWord(s string) bool { return len(strings.Fields(s)) == 1 && strings.TrimSpace(s) == s }
