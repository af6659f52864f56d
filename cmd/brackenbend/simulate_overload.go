package main

import (
	"runtime"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/overload"
)

// maxOverloadLength bounds the simulated time before, during and after the overload together.
const maxOverloadLength = 10 * time.Minute

// overloadSimulation measures goodput against offered load, and the recovery from overload.
type overloadSimulation struct {
	plan         overload.Plan
	replicas     int
	disableLoops bool
	subjectName  string
	jsonFile     string
}

func simulateOverloadCommand() *cobra.Command {
	sim := overloadSimulation{
		plan:        overload.Plan{Runs: 3, Before: 8 * time.Second, Duration: 10 * time.Second, After: 15 * time.Second},
		subjectName: routerSubject,
	}
	cmd := &cobra.Command{
		Use:   "overload [FILE]",
		Short: "Measure goodput against offered load, and the recovery from overload",
		Long: `Run a scenario's fleet and clients at the base load, then at a multiple of the scenario's rate, then at
the base load again. The faults of the scenario happen at their times.

The table shows the priority weight that is served a second, before the overload, during it (without
its first fifth) and in its worst two seconds, and the time from its end until the service of three
seconds in a row reaches 95% of the service before it.

Feedback loops can prolong an overload: retries by clients, further attempts, load shedding, time-outs
at healthy engines, and crowded prefill engines. With --loops, the runs are repeated with each of
them disabled in turn.`,
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
	f.Float64SliceVar(&s.plan.Loads, "loads", []float64{0.5, 1, 2, 5, 10, 20},
		"offered loads during the overload, as multiples of the scenario's rate")
	f.Float64Var(&s.plan.BaseLoad, "base", 1, "load before and after the overload, as a multiple of the scenario's rate")
	f.IntVar(&s.replicas, "fronts", 0, "number of replicas; 0 = that of the scenario")
	f.DurationVar(&s.plan.Before, "before", s.plan.Before, "time at the base load before the overload, at least 3s")
	f.DurationVar(&s.plan.Duration, "for", s.plan.Duration, "time of the overload, at least 2s")
	f.DurationVar(&s.plan.After, "after", s.plan.After, "time at the base load after the overload, at least 5s")
	f.IntVar(&s.plan.Runs, "runs", s.plan.Runs, "replications of each load")
	f.BoolVar(&s.disableLoops, "loops", false, "also run with each feedback loop disabled in turn")
	f.StringVar(&s.subjectName, "way", s.subjectName,
		"subject to simulate: routing, a settings file, or a baseline policy (random, fewest or two-choices)")
	f.StringVar(&s.jsonFile, "json", "", "write all results as JSON to this `file`")
}

func (s *overloadSimulation) run(cmd *cobra.Command, args []string) error {
	sc, err := loadScenario(args)
	if err != nil {
		return err
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.replicas > 0 {
		sc.Replicas = s.replicas
	}
	subject, err := parseSubject(s.subjectName, sc, nil, false)
	if err != nil {
		return err
	}
	if subject.Options == nil {
		return usageErrorf("--way must be routing, random, fewest, two-choices or a settings file")
	}
	s.plan.Scenario, s.plan.Options, s.plan.Parallel = sc, subject.Options, runtime.GOMAXPROCS(0)
	if s.disableLoops {
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
			return usageErrorf("--loads must be above 0 and at most 100 each")
		}
	}
	baseInBounds := s.plan.BaseLoad > 0 && s.plan.BaseLoad <= 10
	if s.plan.Runs < 1 || s.plan.Runs > 100 || !baseInBounds || s.replicas < 0 || s.replicas > 10000 {
		return usageErrorf("--runs must be from 1 to 100, --base above 0 and at most 10, --fronts from 0 to 10000")
	}
	if s.plan.Before+s.plan.Duration+s.plan.After > maxOverloadLength {
		return usageErrorf("--before, --for and --after must be at most 10 minutes together")
	}
	return nil
}
