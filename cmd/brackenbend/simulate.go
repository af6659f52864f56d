package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/rolesim"
	"brackenbend/roles"
)

func simulateCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "simulate", Short: "Run experiments in simulated time"}
	cmd.AddCommand(
		simulateRolesCommand(),
		simulateScenarioCommand(),
		simulateForecastCommand(),
		simulateRecordCommand(),
		simulateFitCommand(),
		simulateFaultSearchCommand(),
		simulateAblationCommand(),
		simulateOverloadCommand(),
	)
	return cmd
}

// usageErrorf returns an error with the exit code of an invalid command line.
func usageErrorf(format string, args ...any) error {
	return exitError{fmt.Errorf(format, args...), exitUsage}
}

// isFraction reports whether v lies between 0 and 1, both excluded. It returns false for NaN.
func isFraction(v float64) bool { return v > 0 && v < 1 }

// rolesSimulation compares policies that assign engines to roles.
type rolesSimulation struct {
	engines, replications int
	config                roles.Config
	plotsDir              string
}

func simulateRolesCommand() *cobra.Command {
	sim := rolesSimulation{engines: 16, replications: 3}
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "Compare fixed roles, the role planner, and a planner that knows future demand",
		Long: `Compare four policies that assign engines to prefill and decode: the best fixed split (found by
search), an even fixed split, the role planner, and a planner that knows the demand beforehand. The
traffic is simulated request by request, the same for all policies: steady demand, demand that
shifts, oscillates or surges, and a mass restart of engines.`,
		Example: "  brackenbend simulate roles --engines 74 --plots plots",
		Args:    exactArgs(0),
		RunE:    sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *rolesSimulation) addFlags(f *pflag.FlagSet) {
	f.IntVar(&s.engines, "engines", s.engines, "number of engines in the fleet")
	f.IntVar(&s.replications, "seeds", s.replications, "replications of each scenario, each with different traffic")
	f.StringVar(&s.plotsDir, "plots", "", "write plots of roles and lost requests over time as SVG to this `directory`")
	f.DurationVar(&s.config.MinDwell, "min-stay", time.Minute, "minimum time between two role changes of an engine")
	f.Float64Var(&s.config.MaxConcurrent, "at-once", 0.1,
		"fraction of the engines that may change role at once; at least one may")
	f.DurationVar(&s.config.ChangeTime, "change-time", 10*time.Second,
		"typical time of a role change, from the start of the drain until the engine is half warm")
}

func (s *rolesSimulation) run(cmd *cobra.Command, _ []string) error {
	if s.engines < 2 || s.engines > 2000 || s.replications < 1 || s.replications > 100 {
		return exitError{errors.New("--engines must be from 2 to 2000, --seeds from 1 to 100"), exitUsage}
	}
	if err := s.config.Validate(); err != nil {
		return exitError{err, exitUsage}
	}
	rows := rolesim.Compare(rolesim.Scenarios(s.engines), s.replications, runtime.GOMAXPROCS(0), s.config)
	if err := rolesim.WriteTable(cmd.OutOrStdout(), rows); err != nil {
		return err
	}
	if s.plotsDir == "" {
		return nil
	}
	if err := os.MkdirAll(s.plotsDir, 0o755); err != nil {
		return err
	}
	return rolesim.Plot(s.plotsDir, rows)
}
