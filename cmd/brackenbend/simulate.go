package main

import (
	"errors"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/simulation/rolesim"
	"brackenbend/roles"
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Comparisons in simulated time"}
	cmd.AddCommand(labRolesCommand(), labDayCommand(), labForecastCommand(), labRecordCommand(), labFitCommand(), labHuntCommand(), labCausesCommand(), labOverloadCommand())
	return cmd
}

func labRolesCommand() *cobra.Command {
	engines, seeds := 16, 3
	var set roles.Config
	var plots string
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "Compare fixed roles, the planner of roles, and one that sees the future",
		Long: `Play steady, shifting, swinging and broken traffic, request by request in simulated time, against the best fixed split
(found by search), an even one, the planner, and one that knows the work beforehand. All meet the same requests.`,
		Example: "  brackenbend lab roles --engines 74 --plots plots",
		Args:    exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if engines < 2 || engines > 2000 || seeds < 1 || seeds > 100 {
				return coded{errors.New("--engines: 2 to 2000, --seeds: 1 to 100"), exitUsage}
			}
			if err := set.Validate(); err != nil {
				return coded{err, exitUsage}
			}
			rows := rolesim.Compare(rolesim.Scenarios(engines), seeds, runtime.GOMAXPROCS(0), set)
			if err := rolesim.WriteTable(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			if plots == "" {
				return nil
			}
			if err := os.MkdirAll(plots, 0o755); err != nil {
				return err
			}
			return rolesim.Plot(plots, rows)
		},
	}
	f := cmd.Flags()
	f.IntVar(&engines, "engines", engines, "size of the fleet")
	f.IntVar(&seeds, "seeds", seeds, "courses of traffic for each scenario")
	f.StringVar(&plots, "plots", "", "folder for plots of readers and losses over time (SVG)")
	f.DurationVar(&set.MinDwell, "min-stay", time.Minute, "no engine changes sooner after its last change")
	f.Float64Var(&set.MaxConcurrent, "at-once", 0.1, "part of the engines that may be on their way at once; one at least")
	f.DurationVar(&set.ChangeTime, "change-time", 10*time.Second, "what a change takes by and large")
	return cmd
}
