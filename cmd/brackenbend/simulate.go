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
	cmd := &cobra.Command{Use: "simulate", Short: "Experiments in simulated time"}
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

// usageErrorf is an error of the command line.
func usageErrorf(format string, args ...any) error {
	return exitError{fmt.Errorf(format, args...), exitUsage}
}

// isFraction reports whether v lies between 0 and 1, both excluded; it is false for what is no number.
func isFraction(v float64) bool { return v > 0 && v < 1 }

// rolesSimulation compares ways of assigning roles.
type rolesSimulation struct {
	engines, seeds int
	config         roles.Config
	plotsDir       string
}

func simulateRolesCommand() *cobra.Command {
	sim := rolesSimulation{engines: 16, seeds: 3}
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "Compare fixed roles, the planner of roles, and one that sees the future",
		Long: `Play steady, shifting, swinging and broken traffic, request by request in simulated time, against
the best fixed split (found by search), an even one, the planner, and one that knows the work
beforehand. All meet the same requests.`,
		Example: "  brackenbend simulate roles --engines 74 --plots plots",
		Args:    exactly(0),
		RunE:    sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *rolesSimulation) addFlags(f *pflag.FlagSet) {
	f.IntVar(&s.engines, "engines", s.engines, "size of the fleet")
	f.IntVar(&s.seeds, "seeds", s.seeds, "replications of each scenario, with traffic of their own")
	f.StringVar(&s.plotsDir, "plots", "", "folder for plots of roles and losses over time (SVG)")
	f.DurationVar(&s.config.MinDwell, "min-stay", time.Minute, "no engine changes sooner after its last change")
	f.Float64Var(&s.config.MaxConcurrent, "at-once", 0.1, "part of the engines that may change at once; one at least")
	f.DurationVar(&s.config.ChangeTime, "change-time", 10*time.Second, "what a change takes by and large")
}

func (s *rolesSimulation) run(cmd *cobra.Command, _ []string) error {
	if s.engines < 2 || s.engines > 2000 || s.seeds < 1 || s.seeds > 100 {
		return exitError{errors.New("--engines: 2 to 2000, --seeds: 1 to 100"), exitUsage}
	}
	if err := s.config.Validate(); err != nil {
		return exitError{err, exitUsage}
	}
	rows := rolesim.Compare(rolesim.Scenarios(s.engines), s.seeds, runtime.GOMAXPROCS(0), s.config)
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
