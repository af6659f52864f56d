package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/scenario"
)

// scenarioRun plays one scenario against real replicas and writes what was asked for.
type scenarioRun struct {
	seconds     float64 // the scenario's length; 0 = as its file says
	jsonFile    string
	eventsFile  string
	keepDir     string
	plotsDir    string
	foreseeFile string
	quiet       bool
}

func scenarioCommand() *cobra.Command {
	var run scenarioRun
	cmd := &cobra.Command{
		Use:   "scenario [FILE]",
		Short: "Play a scripted bad day against real replicas and audit the five rules",
		Long: `Play a scenario: the API server and the engines are fakes in this process, replicas are processes of
their own that are killed and restarted, clients speak over sockets. The rules are checked against
what passed on the sockets. Without FILE it is the default scenario. The exit code is 4 when a rule
is violated, or never checked.`,
		Example: "  brackenbend scenario\n  brackenbend scenario --seconds 20 --json report.json\n" +
			"  brackenbend scenario scenarios/mass-restart.xml",
		Args: cobra.MaximumNArgs(1),
		RunE: run.run,
	}
	run.addFlags(cmd.Flags())
	return cmd
}

func (r *scenarioRun) addFlags(f *pflag.FlagSet) {
	f.Float64Var(&r.seconds, "seconds", 0, "scale the scenario to last so long")
	f.StringVar(&r.jsonFile, "json", "", "write the report to this file as JSON")
	f.StringVar(&r.plotsDir, "plots", "", "folder for plots of service, and of roles, over time (SVG)")
	f.StringVar(
		&r.foreseeFile,
		"foresee",
		"",
		"report of an earlier run of a scenario whose engines change role (--json): "+
			"roles follow the cheapest changes for the work seen then",
	)
	f.StringVar(&r.eventsFile, "record", "", "write what passed on the sockets to this file, a JSON line an event")
	f.StringVar(&r.keepDir, "keep", "", "folder that keeps the replicas' settings, lists and logs")
	f.BoolVarP(&r.quiet, "quiet", "q", false, "do not print what happens while it happens")
}

func (r *scenarioRun) run(cmd *cobra.Command, args []string) error {
	played, err := loadScenario(args)
	if err != nil {
		return err
	}
	if err := scale(played, r.seconds); err != nil {
		return err
	}
	options, err := r.options(cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	if r.keepDir == "" {
		defer removeTemporary(options.WorkDir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := scenariorun.Run(ctx, played, options)
	if err != nil {
		return err
	}
	if err := errors.Join(report.WriteText(cmd.OutOrStdout()), r.save(report)); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return exitError{fmt.Errorf("scenario: %d violations", n), exitViolation}
	}
	return nil
}

// options are those of the run; its folder is made, a temporary one where none is to be kept.
func (r *scenarioRun) options(progress io.Writer) (o scenariorun.Options, err error) {
	if o.Binary, err = os.Executable(); err != nil {
		return o, err
	}
	if r.foreseeFile != "" {
		if o.Foreseen, err = readForeseen(r.foreseeFile); err != nil {
			return o, exitError{err, exitUsage}
		}
	}
	if !r.quiet {
		o.Log = progress
	}
	if r.keepDir == "" {
		o.WorkDir, err = os.MkdirTemp("", "brackenbend-scenario-")
		return o, err
	}
	o.WorkDir = r.keepDir
	return o, os.MkdirAll(o.WorkDir, 0o755)
}

// save writes the files that were asked for.
func (r *scenarioRun) save(report *scenariorun.Report) error {
	if r.plotsDir != "" {
		if err := os.MkdirAll(r.plotsDir, 0o755); err != nil {
			return err
		}
		if err := report.Plot(r.plotsDir); err != nil {
			return err
		}
	}
	if err := writeFile(r.jsonFile, func(f *os.File) error { return report.WriteJSON(f) }); err != nil {
		return err
	}
	return writeFile(r.eventsFile, func(f *os.File) error {
		enc := json.NewEncoder(f)
		for _, e := range report.Events {
			if err := enc.Encode(e); err != nil {
				return err
			}
		}
		return nil
	})
}

// loadScenario reads the scenario file named first in args, or the default scenario where there is none.
func loadScenario(args []string) (*scenario.Scenario, error) {
	if len(args) == 0 {
		return scenario.Default()
	}
	loaded, err := scenario.Load(args[0])
	if err != nil {
		return nil, configError(err)
	}
	return loaded, nil
}

// scale makes a scenario last so long; 0 leaves it as it is.
func scale(s *scenario.Scenario, seconds float64) error {
	if seconds <= 0 {
		return nil
	}
	if err := s.Scale(time.Duration(seconds * float64(time.Second))); err != nil {
		return exitError{err, exitUsage}
	}
	return nil
}

// readForeseen reads the work over time from the report of a scenario.
func readForeseen(path string) ([]scenariorun.RoleSample, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report scenariorun.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(report.Roles) == 0 {
		return nil, fmt.Errorf("%s: its engines do not change role; make it with a scenario that has a planner, and --json",
			path)
	}
	return report.Roles, nil
}
