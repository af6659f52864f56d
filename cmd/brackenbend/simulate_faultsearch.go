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

// faultSearch looks for the faults under which a subject does worst.
type faultSearch struct {
	search  faultsearch.Search
	against string
	outFile string
}

func simulateFaultSearchCommand() *cobra.Command {
	s := faultSearch{search: faultsearch.Search{MaxFaults: 4, Rounds: 12, Draws: 24}}
	cmd := &cobra.Command{
		Use:   "fault-search [SCENARIO] [SUBJECT]",
		Short: "Look for the faults under which a setting does worst, or violates a rule",
		Long: `Draw and change lists of faults for a scenario's fleet and clients (its own faults are put aside),
play them in simulated time, keep the worst, and cut it down to what is needed. A violated rule
counts before any loss. SUBJECT is "routing", a settings file, or a baseline, as for compare; with
--against another of them the loss is counted from what that reaches. What is found is written as a
scenario file, which real replicas can play (brackenbend scenario FILE). The exit code is 4 when a
rule was violated.`,
		Example: "  brackenbend simulate fault-search scenarios/crash.xml --against fewest -o worst.xml\n" +
			"  brackenbend simulate fault-search scenarios/crash.xml next.xml --rounds 40",
		Args: cobra.MaximumNArgs(2),
		RunE: s.run,
	}
	s.addFlags(cmd.Flags())
	return cmd
}

func (s *faultSearch) addFlags(f *pflag.FlagSet) {
	f.StringVar(&s.against, "against", "", "what the loss is counted from: routing, a settings file, or a baseline; "+
		"none = full service")
	f.StringVarP(&s.outFile, "out", "o", "", "scenario file to write")
	f.IntVar(&s.search.MaxFaults, "troubles", s.search.MaxFaults, "faults at most, at once or one after the other")
	f.IntVar(&s.search.Rounds, "rounds", s.search.Rounds, "of changing the worst")
	f.IntVar(&s.search.Draws, "draws", s.search.Draws, "lists a round")
	f.Uint64Var(&s.search.Seed, "seed", 1, "of the search")
}

func (s *faultSearch) run(cmd *cobra.Command, args []string) error {
	if err := s.check(); err != nil {
		return err
	}
	played, err := loadScenario(args[:min(len(args), 1)])
	if err != nil {
		return err
	}
	subject := routerSubject
	if len(args) == 2 {
		subject = args[1]
	}
	if err := s.prepare(played, subject); err != nil {
		return err
	}
	found, err := faultsearch.Run(s.search)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("found by a fault search: %s %.3f, against %.3f; %d breaches (simulated)", subject, found.Subject,
		found.Reference, found.Violations)
	_, text, err := played.WithFaults(found.Faults, note)
	if err != nil {
		return err
	}
	p := printer{out: cmd.OutOrStdout()}
	p.printf("%s, %d lists played\n", note, found.Simulated)
	for i := range found.Faults {
		p.printf("  %s\n", found.Faults[i].XML())
	}
	if p.err != nil {
		return p.err
	}
	if s.outFile != "" {
		if err := os.WriteFile(s.outFile, text, 0o644); err != nil {
			return err
		}
	}
	if found.Violations > 0 {
		return exitError{fmt.Errorf("simulate fault-search: a rule was violated"), exitViolation}
	}
	return nil
}

func (s *faultSearch) check() error {
	within := func(v, least, most int) bool { return least <= v && v <= most }
	if !within(s.search.MaxFaults, 1, 20) || !within(s.search.Rounds, 1, 10000) || !within(s.search.Draws, 4, 1000) {
		return usageErrorf("--troubles: 1 to 20; --rounds: 1 to 10000; --draws: 4 to 1000")
	}
	return nil
}

// prepare gives the search its scenario, what it is to be tried on and what the loss is counted from.
func (s *faultSearch) prepare(played *scenario.Scenario, subject string) error {
	side := func(name string) (forecast.Subject, error) { return parseSubject(name, played, nil, false) }
	tried, err := side(subject)
	if err != nil {
		return err
	}
	s.search.Scenario, s.search.Subject, s.search.Parallel = played, tried.Options, runtime.GOMAXPROCS(0)
	if s.against != "" {
		yardstick, err := side(s.against)
		if err != nil {
			return err
		}
		s.search.Reference = yardstick.Options
	}
	s.search.OnRound = func(round int, best faultsearch.Result) {
		p := printer{out: os.Stderr} // progress: that it can't be written does not end the search
		p.printf("round %d: lost %.4f, %d breaches\n", round+1, best.Loss(), best.Violations)
	}
	return nil
}
