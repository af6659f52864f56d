package main

import (
	"runtime"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/overload"
)

// maxOverloadLength bounds the three parts of an overload simulation together.
const maxOverloadLength = 10 * time.Minute

// overloadSimulation measures goodput against offered load.
type overloadSimulation struct {
	plan     overload.Plan
	replicas int
	loops    bool
	subject  string
	jsonFile string
}

func simulateOverloadCommand() *cobra.Command {
	sim := overloadSimulation{
		plan:    overload.Plan{Runs: 3, Before: 8 * time.Second, For: 10 * time.Second, After: 15 * time.Second},
		subject: routerSubject,
	}
	cmd := &cobra.Command{
		Use:   "overload [FILE]",
		Short: "Goodput against offered load, and how long service takes to come back",
		Long: `Play a scenario's fleet and clients at its rate, then at so many times it, then at its rate again.
Tells the worth served a second before and during the overload (its first fifth left out), the worst
two seconds, and how long after its end three seconds in a row reach 95% of the service before. What
goes wrong in the scenario file goes wrong here too, at its times. --loops plays it again with each
loop that feeds a collapse cut: clients' retries, further attempts, rejecting, time-outs, crowded
prefill engines. --way plays a simple way of deciding as a yardstick.`,
		Example: "  brackenbend simulate overload scenarios/simulation/size-74.xml --fronts 180 --base 0.6 " +
			"--loads 1,2,5,10\n" +
			"  brackenbend simulate overload scenarios/simulation/size-74.xml --loads 5 --loops",
		Args: cobra.MaximumNArgs(1),
		RunE: sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *overloadSimulation) addFlags(f *pflag.FlagSet) {
	f.Float64SliceVar(&s.plan.Loads, "loads", []float64{0.5, 1, 2, 5, 10, 20}, "offered loads, times the scenario's rate")
	f.Float64Var(&s.plan.Base, "base", 1, "load before and after, times the scenario's rate")
	f.IntVar(&s.replicas, "fronts", 0, "number of replicas in place of the scenario's")
	f.DurationVar(&s.plan.Before, "before", s.plan.Before, "time at the scenario's rate")
	f.DurationVar(&s.plan.For, "for", s.plan.For, "time of overload")
	f.DurationVar(&s.plan.After, "after", s.plan.After, "time at the scenario's rate afterwards")
	f.IntVar(&s.plan.Runs, "runs", s.plan.Runs, "replications of each")
	f.BoolVar(&s.loops, "loops", false, "also with each loop cut")
	f.StringVar(&s.subject, "way", s.subject, "what decides")
	f.StringVar(&s.jsonFile, "json", "", "write all figures to this file")
}

func (s *overloadSimulation) run(cmd *cobra.Command, args []string) error {
	played, err := loadScenario(args)
	if err != nil {
		return err
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.replicas > 0 {
		played.Replicas = s.replicas
	}
	side, err := parseSubject(s.subject, played, nil, false)
	if err != nil {
		return err
	}
	if side.Options == nil {
		return usageErrorf("--way: routing, random, fewest, two-choices or a settings file")
	}
	s.plan.Scenario, s.plan.Options, s.plan.Parallel = played, side.Options, runtime.GOMAXPROCS(0)
	if s.loops {
		s.plan.FeedbackLoops = overload.FeedbackLoops
	}
	points, err := overload.Run(s.plan)
	if err != nil {
		return exitError{err, exitUsage}
	}
	if err := saveJSON(s.jsonFile, points); err != nil {
		return err
	}
	return overload.Write(cmd.OutOrStdout(), points)
}

func (s *overloadSimulation) check() error {
	for _, load := range s.plan.Loads {
		if !(load > 0 && load <= 100) {
			return usageErrorf("--loads: above 0, up to 100 each")
		}
	}
	baseInBounds := s.plan.Base > 0 && s.plan.Base <= 10
	if s.plan.Runs < 1 || s.plan.Runs > 100 || !baseInBounds || s.replicas < 0 || s.replicas > 10000 {
		return usageErrorf("--runs: 1 to 100; --base: above 0, up to 10; --fronts: up to 10000")
	}
	if s.plan.Before+s.plan.For+s.plan.After > maxOverloadLength {
		return usageErrorf("--before, --for and --after: 10 minutes at most together")
	}
	return nil
}
