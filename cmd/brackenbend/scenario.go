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

// scenarioRun runs one scenario against real replicas and writes the files that its flags name.
type scenarioRun struct {
	seconds            float64 // length that the scenario is scaled to; 0 = its own
	jsonFile           string
	eventsFile         string
	keepDir            string
	plotsDir           string
	foreseenReportFile string
	quiet              bool
}

func scenarioCommand() *cobra.Command {
	var run scenarioRun
	cmd := &cobra.Command{
		Use:   "scenario [FILE]",
		Short: "Run a scenario of load and faults against real replicas and check five rules",
		Long: `Run a scenario file, or the default scenario. The clients, the API server and the engines are fakes in
this process. The replicas of the gateway are processes of their own, which the scenario may kill
and restart. All of them communicate over loopback sockets, and five rules are checked against the
events on the sockets:

  1. Each request gets one final answer in time, and no bytes after it.
  2. No request takes effect twice, and none that may have run is rejected.
  3. No new request reaches an engine that drains.
  4. No cold engine is overloaded.
  5. Each read state is fetched by a decode, or released, within its TTL.

The exit code is 4 if a rule was violated or never checked, or if the service was lower than the
scenario expects.`,
		Example: "  brackenbend scenario\n  brackenbend scenario --seconds 20 --json report.json\n" +
			"  brackenbend scenario scenarios/mass-restart.xml",
		Args: cobra.MaximumNArgs(1),
		RunE: run.run,
	}
	run.addFlags(cmd.Flags())
	return cmd
}

func (r *scenarioRun) addFlags(f *pflag.FlagSet) {
	f.Float64Var(&r.seconds, "seconds", 0, "scale the scenario to this length in seconds; 0 = its own length")
	f.StringVar(&r.jsonFile, "json", "", "write the report as JSON to this `file`")
	f.StringVar(&r.plotsDir, "plots", "", "write plots of the service, and of roles, over time as SVG to this `directory`")
	f.StringVar(
		&r.foreseenReportFile,
		"foresee",
		"",
		"report `file` (--json) of an earlier run with a planner: roles follow the cheapest schedule for the demand "+
			"in this report, in place of the planner's decisions",
	)
	f.StringVar(&r.eventsFile, "record", "", "write all events to this `file`, one JSON object a line")
	f.StringVar(&r.keepDir, "keep", "", "keep the settings, endpoint lists and logs of the replicas in this `directory`")
	f.BoolVarP(&r.quiet, "quiet", "q", false, "do not print events while the scenario runs")
}

func (r *scenarioRun) run(cmd *cobra.Command, args []string) error {
	sc, err := loadScenario(args)
	if err != nil {
		return err
	}
	if err := scaleLength(sc, r.seconds); err != nil {
		return err
	}
	options, err := r.options(cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	if r.keepDir == "" {
		defer removeTempDir(options.WorkDir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := scenariorun.Run(ctx, sc, options)
	if err != nil {
		return err
	}
	if err := errors.Join(report.WriteText(cmd.OutOrStdout()), r.writeFiles(report)); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return exitError{fmt.Errorf("scenario: %d violations", n), exitViolation}
	}
	return nil
}

// options returns the options of the run. It creates the working directory: a temporary one, unless --keep names one.
func (r *scenarioRun) options(progress io.Writer) (options scenariorun.Options, err error) {
	if options.Binary, err = os.Executable(); err != nil {
		return options, err
	}
	if r.foreseenReportFile != "" {
		if options.RecordedDemand, err = readForeseenDemand(r.foreseenReportFile); err != nil {
			return options, exitError{err, exitUsage}
		}
	}
	if !r.quiet {
		options.Log = progress
	}
	if r.keepDir == "" {
		options.WorkDir, err = os.MkdirTemp("", "brackenbend-scenario-")
		return options, err
	}
	options.WorkDir = r.keepDir
	return options, os.MkdirAll(options.WorkDir, 0o755)
}

// writeFiles writes the files that the flags name.
func (r *scenarioRun) writeFiles(report *scenariorun.Report) error {
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

// loadScenario loads the scenario file that args[0] names, or the default scenario if args is empty.
func loadScenario(args []string) (*scenario.Scenario, error) {
	if len(args) == 0 {
		return scenario.Default()
	}
	sc, err := scenario.Load(args[0])
	if err != nil {
		return nil, configError(err)
	}
	return sc, nil
}

// scaleLength scales a scenario to a length in seconds. It does nothing if seconds is 0 or negative.
func scaleLength(s *scenario.Scenario, seconds float64) error {
	if seconds <= 0 {
		return nil
	}
	if err := s.Scale(time.Duration(seconds * float64(time.Second))); err != nil {
		return exitError{err, exitUsage}
	}
	return nil
}

// readForeseenDemand reads the demand over time from the report of an earlier run.
func readForeseenDemand(path string) ([]scenariorun.RoleSample, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report scenariorun.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(report.RoleSamples) == 0 {
		return nil, fmt.Errorf("%s: the report has no roles; write it with --json in a run of a scenario that has a planner",
			path)
	}
	return report.RoleSamples, nil
}
