package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/internal/telemetry"
	"brackenbend/roles"
)

// engineParams are middling figures of one stand-in engine.
func engineParams(role string) enginemodel.Params {
	return enginemodel.Params{
		Reads: true, Writes: role != "reader", Slots: 64, Queue: 32, Memory: 200000, ReadRate: 15000, Chunk: 512,
		Step: 20 * time.Millisecond, StepStream: 200 * time.Microsecond, FetchRate: 200000, Kept: 100000, ColdFrom: 0.25,
		ColdFor: 10 * time.Second, Overload: 4, TipAfter: 2 * time.Second, StateLife: 30 * time.Second,
	}
}

// untilSignal waits for SIGINT or SIGTERM.
func untilSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
}

func engineCommand() *cobra.Command {
	var listen, role, name string
	var plain, cold, shifts bool
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in engine",
		Long: `Run one stand-in engine until SIGINT or SIGTERM. It answers with made-up words at the pace of its model. Faults are set
while it runs by POST /standin/faults with a JSON object: fail_fast, fail_class, stall, slow, reset_mid, reset_head, frozen,
no_reports.`,
		Example: `  brackenbend engine --listen 127.0.0.1:9001 --role reader
  curl -d '{"stall":true}' http://127.0.0.1:9001/standin/faults`,
		Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if role != "reader" && role != "writer" && role != "mixed" {
				return coded{fmt.Errorf("--role %q: reader, writer or mixed", role), exitUsage}
			}
			cfg := engine.Config{Name: name, Kind: role, Params: engineParams(role), Plain: plain, CancelStops: true}
			if shifts {
				r := map[string]roles.Role{"reader": roles.Prefill, "writer": roles.Decode, "mixed": roles.Both}[role]
				cfg.Seat, cfg.Switch = roles.EngineState{Role: r, Target: r}, time.Second
				cfg.Roles = map[roles.Role]enginemodel.Params{roles.Prefill: engineParams("reader"), roles.Decode: engineParams("writer"), roles.Both: engineParams("mixed")}
			}
			s, err := engine.Start(cfg, listen, cold)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s on %s\n", role, name, s.Info().Address)
			untilSignal()
			s.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "loopback address")
	f.StringVar(&role, "role", "mixed", "reader, writer or mixed")
	f.StringVar(&name, "name", "engine-1", "its name")
	f.BoolVar(&plain, "plain", false, "speak vLLM's convention only, not the extension")
	f.BoolVar(&cold, "cold", false, "start cold")
	f.BoolVar(&shifts, "shifts", false, "take orders to change role (POST "+planner.Path+")")
	return cmd
}

func registerCommand() *cobra.Command {
	var listen, book string
	var shift map[string]string
	cmd := &cobra.Command{
		Use:   "register NAME=KIND@ADDRESS...",
		Short: "Run a stand-in node register",
		Long:  "Serve a list of engines as discovery.k8s.io/v1 EndpointSlices, for list and watch, until SIGINT or SIGTERM.",
		Example: `  brackenbend register --listen 127.0.0.1:7000 reader-1=prefill@127.0.0.1:9001 writer-1=decode@127.0.0.1:9002
  curl http://127.0.0.1:7000/apis/discovery.k8s.io/v1/namespaces/default/endpointslices`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := apiserver.Start(listen, nil)
			if err != nil {
				return err
			}
			defer s.Close()
			kinds := map[roles.Role]string{}
			for name, kind := range shift {
				r, err := roles.ParseRole(name)
				if err != nil {
					return coded{fmt.Errorf("--shift: %w", err), exitUsage}
				}
				kinds[r] = kind
			}
			if err := s.PersistAssignments(book); err != nil {
				return coded{fmt.Errorf("--book: %w", err), exitConfig}
			}
			for _, a := range args {
				var name, kind, addr string
				if n, err := fmt.Sscanf(splitWords(a), "%s %s %s", &name, &kind, &addr); err != nil || n != 3 {
					return coded{fmt.Errorf("%q: write NAME=KIND@ADDRESS", a), exitUsage}
				}
				for r, k := range kinds {
					if k == kind {
						s.ManageRole(name, r, kinds)
					}
				}
				s.Set(apiserver.Entry{Name: name, Kind: kind, Zone: "zone-1", Cell: "cell-1", Address: addr, UID: name + "-1", Ready: true})
			}
			fmt.Fprintln(cmd.OutOrStdout(), "register on", s.URL())
			untilSignal()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "loopback address")
	f.StringToStringVar(&shift, "shift", nil, "kinds whose engines may change role, as reader=prefill,writer=decode,both=mixed")
	f.StringVar(&book, "book", "", "file that keeps the book of roles over restarts")
	return cmd
}

// splitWords puts spaces for the first = and the first @ behind it.
func splitWords(s string) string {
	b := []byte(s)
	want := byte('=')
	for i := range b {
		if b[i] == want {
			b[i] = ' '
			if want == '@' {
				break
			}
			want = '@'
		}
	}
	return string(b)
}

func upCommand() *cobra.Command {
	var listen, admin string
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Run a front with embedded stand-ins, for a first try",
		Example: `  brackenbend up
  curl -N http://127.0.0.1:8080/v1/chat/completions -d '{"model":"stand-in","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'`,
		Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return up(cmd, listen, admin) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "clients' address")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:8090", "health and metrics")
	return cmd
}

// up runs everything in this process.
func up(cmd *cobra.Command, listen, admin string) error {
	reg, err := apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer reg.Close()
	for i, role := range []string{"reader", "reader", "writer", "writer"} {
		s, err := engine.Start(engine.Config{
			Name: fmt.Sprintf("%s-%d", role, i%2+1), Kind: role, Zone: "zone-1", Cell: "cell-1",
			Params: engineParams(role), CancelStops: true,
		}, "127.0.0.1:0", false)
		if err != nil {
			return err
		}
		defer s.Close()
		in := s.Info()
		reg.Set(apiserver.Entry{Name: in.Name, Kind: in.Kind, Zone: in.Zone, Cell: in.Cell, Address: in.Address, UID: in.UID, Ready: true})
	}
	text := fmt.Sprintf(`<brackenbend>
  <front name="up" listen=%q admin=%q/>
  <log format="console"/>
  <service fronts="1" max-attempts="4" release-within="500ms" writers-read="true" cancel="true"/>
  <class name="any" effect="safe" aim="2s" deadline="30s" late-worth="0.5"/>
  <kind name="reader" role="reader" memory="200000tokens"/>
  <kind name="writer" role="writer" memory="200000tokens"/>
  <model name="stand-in" bytes-per-token="4" max-output="256tokens"/>
  <session from="first-message"/>
  <prefix from="system-messages"/>
  <engines dialect="extended"/>
  <register url=%q namespace="default"/>
</brackenbend>`, listen, admin, reg.URL())
	set, err := config.Parse(filepath.Join("embedded", "up.xml"), []byte(text))
	if err != nil {
		return configError(err)
	}
	log, err := telemetry.NewLogger(os.Stderr, set.Log.Format, set.Log.Level, set.Log.LinesPerSecond)
	if err != nil {
		return err
	}
	d, err := startFront(set, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "front on http://%s (model \"stand-in\"), metrics on http://%s/metrics; end with Ctrl-C\n", d.addr, admin)
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-d.failed:
	case <-c:
	}
	d.stop()
	return errors.Join(err)
}
