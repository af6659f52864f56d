package main

import (
	"runtime"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/ablation"
)

// ablationSimulation measures each cause of what replicas lose by being many.
type ablationSimulation struct {
	plan     ablation.Plan
	jsonFile string
}

func simulateAblationCommand() *cobra.Command {
	sim := ablationSimulation{plan: ablation.Plan{Runs: 6, Level: 0.95}}
	cmd := &cobra.Command{
		Use:   "ablation [FILE]",
		Short: "Tell apart what replicas lose by being many",
		Long: `Play a scenario at several numbers of replicas: as it is, with each oracle alone, with all, and with
all but one. An oracle gives replicas one thing that they can't know: what all replicas have at
prefill or decode engines, which engines do harm, what engines in slow start can take together; or
takes one of their cares away: rejecting, and time-outs at engines that are sound. "without X" is
what is won by the oracle against X alone, "only X" what X costs where nothing else is in the way.`,
		Example: "  brackenbend simulate ablation scenarios/simulation/size-74.xml --fronts 3,30,180",
		Args:    cobra.MaximumNArgs(1),
		RunE:    sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *ablationSimulation) addFlags(f *pflag.FlagSet) {
	f.IntSliceVar(&s.plan.Replicas, "fronts", []int{3, 30, 180}, "numbers of replicas")
	f.IntVar(&s.plan.Runs, "runs", s.plan.Runs, "replications of each, with clients of their own")
	f.Float64Var(&s.plan.Level, "level", s.plan.Level, "of the bars")
	f.StringVar(&s.jsonFile, "json", "", "write all figures to this file")
}

func (s *ablationSimulation) run(cmd *cobra.Command, args []string) error {
	played, err := loadScenario(args)
	if err != nil {
		return err
	}
	for _, replicas := range s.plan.Replicas {
		if replicas < 1 || replicas > 10000 {
			return usageErrorf("--fronts: 1 to 10000 each")
		}
	}
	if s.plan.Runs < 3 || s.plan.Runs > 100 || !isFraction(s.plan.Level) {
		return usageErrorf("--runs: 3 to 100; --level: between 0 and 1")
	}
	s.plan.Scenario, s.plan.Parallel = played, runtime.GOMAXPROCS(0)
	sizes, err := ablation.Run(s.plan)
	if err != nil {
		return err
	}
	if err := saveJSON(s.jsonFile, sizes); err != nil {
		return err
	}
	return ablation.Write(cmd.OutOrStdout(), sizes)
}
