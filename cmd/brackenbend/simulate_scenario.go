package main

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
)

// maxPrintedViolations is the maximum number of violations that are printed for a rule.
const maxPrintedViolations = 10

// scenarioSimulation runs one scenario in simulated time.
type scenarioSimulation struct {
	seconds     float64
	seed        uint64
	clientsSeed int
	recordings  recordings
	jsonFile    string
	checkRules  bool
	shards      int
}

func simulateScenarioCommand() *cobra.Command {
	sim := scenarioSimulation{checkRules: true, shards: 1}
	cmd := &cobra.Command{
		Use:   "scenario [FILE]",
		Short: "Run a scenario in simulated time",
		Long: `Run a scenario file, or the default scenario, in simulated time. The replicas use the router of the
real gateway, the engines use the model behind the fake engines, and the clients are the same as in
"brackenbend scenario". The five rules of that command are checked, too. The same seeds give the same
result. The exit code is 4 if a rule was violated.`,
		Example: "  brackenbend simulate scenario\n" +
			"  brackenbend simulate scenario scenarios/mass-restart.xml --seed 7\n" +
			"  brackenbend simulate scenario big.xml --rules=false --shards 4",
		Args: cobra.MaximumNArgs(1),
		RunE: sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *scenarioSimulation) addFlags(f *pflag.FlagSet) {
	f.Float64Var(&s.seconds, "seconds", 0, "scale the scenario to this length in seconds; 0 = its own length")
	f.Uint64Var(&s.seed, "seed", 0, "seed of all random draws except those of the clients")
	s.recordings.addFlags(f)
	f.IntVar(&s.clientsSeed, "clients", 0, "seed of the clients; without it, that of the scenario")
	f.StringVar(&s.jsonFile, "json", "", "write a summary as JSON to this `file`")
	f.BoolVar(&s.checkRules, "rules", s.checkRules, "check the rules, which keeps all events in memory")
	f.IntVar(&s.shards, "shards", s.shards,
		"parts of the fleet that are simulated in parallel; does not change the result")
}

func (s *scenarioSimulation) run(cmd *cobra.Command, args []string) error {
	sc, err := loadScenario(args)
	if err != nil {
		return err
	}
	if err := scaleLength(sc, s.seconds); err != nil {
		return err
	}
	if cmd.Flags().Changed("clients") {
		sc.Seed = s.clientsSeed
	}
	traffic, err := s.recordings.load(sc)
	if err != nil {
		return err
	}
	if s.shards < 1 || s.shards > 64 {
		return usageErrorf("--shards must be from 1 to 64")
	}
	startedAt := time.Now()
	result, err := fleet.Run(sc, fleet.Options{
		Seed: s.seed, Audit: s.checkRules, Shards: s.shards, Traffic: traffic,
	})
	if err != nil {
		return err
	}
	elapsed := time.Since(startedAt)
	if err := saveJSON(s.jsonFile, forecast.Summarize(result)); err != nil {
		return err
	}
	if err := printResult(cmd.OutOrStdout(), sc, result); err != nil {
		return err
	}
	if err := printCost(cmd.ErrOrStderr(), result, elapsed); err != nil {
		return err
	}
	if n := countViolations(result.Rules); n > 0 {
		return exitError{fmt.Errorf("simulate scenario: %d violations", n), exitViolation}
	}
	return nil
}

func countViolations(rules []audit.RuleResult) (n int) {
	for _, rule := range rules {
		n += len(rule.Violations)
	}
	return n
}

// printResult prints the service by class and tenant, the outcomes of attempts, and the rules.
func printResult(out io.Writer, sc *scenario.Scenario, result *fleet.Result) error {
	p := printer{out: out}
	p.printf("simulated: service %.3f, worst 10 s %.3f, over %v\n\n",
		result.Score.Service(), result.Score.WorstService(10), sc.Length)
	if p.err == nil {
		p.err = printRows(out, result)
	}
	p.printf("\n%d prefills and %d decodes reached engines, %.0f tokens of read state transferred\n",
		result.Attempts["read"], result.Attempts["write"], result.TransferredTokens)
	for _, outcome := range slices.Sorted(maps.Keys(result.Outcomes)) {
		p.printf("  %d %s\n", result.Outcomes[outcome], outcome)
	}
	for i, rule := range result.Rules {
		p.printf("rule %d, %s: %d checks, %d breaches (%s)\n",
			i+1, rule.Rule, rule.Checks, len(rule.Violations), rule.WorstCase)
		for _, violation := range rule.Violations[:min(len(rule.Violations), maxPrintedViolations)] {
			p.printf("  %s\n", violation)
		}
	}
	return p.err
}

// printRows prints a line for each class and tenant.
func printRows(out io.Writer, result *fleet.Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	p := printer{out: w}
	p.printf("CLASS\tREQUESTS\tSERVICE\tSERVED\tLATE\tREFUSED\tFAILED\tBROKEN\tLEFT\tLOST\tTRIES\tFIRST P50\tP99\n")
	classes, tenants := result.Score.Rows()
	for _, c := range append(classes, tenants...) {
		p.printf("%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\n", c.Name, c.Requests, c.Service,
			c.Served, c.Late, c.Rejected, c.Failed, c.Broken, c.Disconnected, c.Lost, c.Attempts,
			c.FirstTokenP50, c.FirstTokenP99)
	}
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

// printCost prints the time and the memory that the simulation itself took.
func printCost(out io.Writer, result *fleet.Result, elapsed time.Duration) error {
	requests := 0
	classes, _ := result.Score.Rows()
	for _, c := range classes {
		requests += c.Requests
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p := printer{out: out}
	p.printf("%d events in %v: %.0f a second, %.0f us a request, %d MiB\n", result.Events, elapsed.Round(time.Millisecond),
		float64(result.Events)/elapsed.Seconds(), float64(elapsed.Microseconds())/float64(max(requests, 1)), memory.Sys>>20)
	return p.err
}
