package main

import (
	"runtime"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/ablation"
)

// ablationSimulation measures how much of the service that is lost with many replicas is due to each cause.
type ablationSimulation struct {
	plan     ablation.Plan
	jsonFile string
}

func simulateAblationCommand() *cobra.Command {
	sim := ablationSimulation{plan: ablation.Plan{Runs: 6, Level: 0.95}}
	cmd := &cobra.Command{
		Use:   "ablation [FILE]",
		Short: "Measure what causes the loss of service with many replicas",
		Long: `Run a scenario with several numbers of replicas: as it is, with each oracle alone, with all oracles,
and with all but one. Each oracle removes one cause of lost service. Some give the replicas knowledge
that a replica can't have: the load of all replicas on the prefill or decode engines, which engines
are faulty, or how much the engines in slow start can take in total. Others switch off a function of
the replicas: load shedding, or time-outs at healthy engines.

In the table, "without X" is the change of service when cause X alone is removed, and "only X" the
change when X is the only cause that is left, each with its confidence interval.`,
		Example: "  brackenbend simulate ablation scenarios/simulation/size-74.xml --fronts 3,30,180",
		Args:    cobra.MaximumNArgs(1),
		RunE:    sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *ablationSimulation) addFlags(f *pflag.FlagSet) {
	f.IntSliceVar(&s.plan.Replicas, "fronts", []int{3, 30, 180}, "numbers of replicas to run with")
	f.IntVar(&s.plan.Runs, "runs", s.plan.Runs, "replications of each variant, each with different clients")
	f.Float64Var(&s.plan.Level, "level", s.plan.Level, "confidence level of the intervals, between 0 and 1")
	f.StringVar(&s.jsonFile, "json", "", "write all results as JSON to this `file`")
}

func (s *ablationSimulation) run(cmd *cobra.Command, args []string) error {
	sc, err := loadScenario(args)
	if err != nil {
		return err
	}
	for _, replicas := range s.plan.Replicas {
		if replicas < 1 || replicas > 10000 {
			return usageErrorf("--fronts must be from 1 to 10000 each")
		}
	}
	if s.plan.Runs < 3 || s.plan.Runs > 100 || !isFraction(s.plan.Level) {
		return usageErrorf("--runs must be from 3 to 100, --level between 0 and 1")
	}
	s.plan.Scenario, s.plan.Parallel = sc, runtime.GOMAXPROCS(0)
	results, err := ablation.Run(s.plan)
	if err != nil {
		return err
	}
	if err := saveJSON(s.jsonFile, results); err != nil {
		return err
	}
	return ablation.Write(cmd.OutOrStdout(), results)
}
