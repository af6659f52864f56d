package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/faultsearch"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
)

// faultSearch searches for the faults under which a subject serves worst.
type faultSearch struct {
	search        faultsearch.Search
	referenceName string
	outFile       string
}

func simulateFaultSearchCommand() *cobra.Command {
	s := faultSearch{search: faultsearch.Search{MaxFaults: 4, Rounds: 12, ListsPerRound: 24}}
	cmd := &cobra.Command{
		Use:   "fault-search [SCENARIO] [SUBJECT]",
		Short: "Search for the faults under which the router serves worst or violates a rule",
		Long: `Search for the list of faults under which a subject loses the most service. In each round, lists of
faults are drawn at random or made by changing the worst one so far, and run in simulated time with
the fleet and the clients of the scenario, but without its own faults. At the end, faults that are
not needed are removed from the worst list. A list under which a rule is violated counts as worse
than any loss of service.

SUBJECT is "routing" (the default), a settings file, or a baseline policy, as for compare. The loss
is the difference from full service or, with --against, from the service of another subject under
the same faults.

The scenario that is found can be run against real replicas: brackenbend scenario FILE. The exit
code is 4 if a rule was violated.`,
		Example: "  brackenbend simulate fault-search scenarios/crash.xml --against fewest -o worst.xml\n" +
			"  brackenbend simulate fault-search scenarios/crash.xml next.xml --rounds 40",
		Args: cobra.MaximumNArgs(2),
		RunE: s.run,
	}
	s.addFlags(cmd.Flags())
	return cmd
}

func (s *faultSearch) addFlags(f *pflag.FlagSet) {
	f.StringVar(&s.referenceName, "against", "",
		"subject whose service the loss is measured from: routing, a settings file, or a baseline policy; "+
			"without it, full service")
	f.StringVarP(&s.outFile, "out", "o", "", "write the scenario that is found to this `file`")
	f.IntVar(&s.search.MaxFaults, "troubles", s.search.MaxFaults, "maximum number of faults in a list")
	f.IntVar(&s.search.Rounds, "rounds", s.search.Rounds, "rounds of the search")
	f.IntVar(&s.search.ListsPerRound, "draws", s.search.ListsPerRound, "lists of faults in a round")
	f.Uint64Var(&s.search.Seed, "seed", 1, "seed of the search")
}

func (s *faultSearch) run(cmd *cobra.Command, args []string) error {
	if err := s.check(); err != nil {
		return err
	}
	sc, err := loadScenario(args[:min(len(args), 1)])
	if err != nil {
		return err
	}
	subject := routerSubject
	if len(args) == 2 {
		subject = args[1]
	}
	if err := s.prepare(sc, subject); err != nil {
		return err
	}
	result, err := faultsearch.Run(s.search)
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("found by a fault search: service of %s %.3f, reference %.3f; %d violations (simulated)",
		subject, result.SubjectService, result.ReferenceService, result.Violations)
	_, text, err := sc.WithFaults(result.Faults, summary)
	if err != nil {
		return err
	}
	p := printer{out: cmd.OutOrStdout()}
	p.printf("%s, %d lists run\n", summary, result.SimulatedLists)
	for i := range result.Faults {
		p.printf("  %s\n", result.Faults[i].XML())
	}
	if p.err != nil {
		return p.err
	}
	if s.outFile != "" {
		if err := os.WriteFile(s.outFile, text, 0o644); err != nil {
			return err
		}
	}
	if result.Violations > 0 {
		return exitError{fmt.Errorf("simulate fault-search: a rule was violated"), exitViolation}
	}
	return nil
}

func (s *faultSearch) check() error {
	inRange := func(v, low, high int) bool { return low <= v && v <= high }
	if !inRange(s.search.MaxFaults, 1, 20) || !inRange(s.search.Rounds, 1, 10000) ||
		!inRange(s.search.ListsPerRound, 4, 1000) {
		return usageErrorf("--troubles must be from 1 to 20, --rounds from 1 to 10000, --draws from 4 to 1000")
	}
	return nil
}

// prepare sets the scenario, the subject, the reference and the progress callback of the search.
func (s *faultSearch) prepare(sc *scenario.Scenario, subject string) error {
	parse := func(name string) (forecast.Subject, error) { return parseSubject(name, sc, nil, false) }
	targetSubject, err := parse(subject)
	if err != nil {
		return err
	}
	s.search.Scenario, s.search.SubjectOptions, s.search.Parallel = sc, targetSubject.Options, runtime.GOMAXPROCS(0)
	if s.referenceName != "" {
		reference, err := parse(s.referenceName)
		if err != nil {
			return err
		}
		s.search.ReferenceOptions = reference.Options
	}
	s.search.OnRound = func(round int, best faultsearch.Result) {
		p := printer{out: os.Stderr} // the search goes on even if its progress can't be written
		p.printf("round %d: worst list loses %.4f of the service, %d violations\n", round+1, best.Loss(), best.Violations)
	}
	return nil
}
