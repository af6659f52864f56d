package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/baseline"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

const (
	// routerSubject is the argument for the router with the scenario's settings. formerRouterSubject is its former
	// value, which is still accepted.
	routerSubject       = "routing"
	formerRouterSubject = "choice"

	// otherVersionTimeout bounds one replication by another version of this program.
	otherVersionTimeout = 10 * time.Minute
)

// comparison compares two subjects, as the flags say.
type comparison struct {
	scenarioFile, otherScenarioFile string
	recordings                      recordings
	stoppingRule                    forecast.StoppingRule
	checkRules                      bool
	htmlFile, jsonFile              string
}

func compareCommand() *cobra.Command {
	c := comparison{
		stoppingRule: forecast.StoppingRule{Level: 0.95, MinDifference: 0.002, BatchSize: 8, MaxReplications: 64},
		checkRules:   true,
	}
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two routers, or two settings, on the same traffic in simulated time",
		Long: `Compare the service of A and B: the share of the requests, by priority weight, that is served. Both
run the same scenario in simulated time, in pairs of replications. Each pair has different clients,
the same for A and B. The command stops once one of the two serves better, once any difference is
too small to count, or, undecided, at the maximum number of replications.

A and B are each one of:
  routing                       the router, with the settings that the scenario gives
  path of a settings file       the router, with these settings; classes, kinds of engine and tenants
                                need the names that they have in the scenario, in the same order
  path of a program             another version of brackenbend
  random, fewest, two-choices   a simple routing policy, as a baseline

With --other, B runs another scenario (other engines, other faults) with the same clients. Both
scenarios must have the same length and the same number of classes.

The confidence interval of the mean difference is a studentised bootstrap over the pairs. Its level
holds for all interim analyses together.`,
		Example: "  brackenbend compare routing random --traffic scenarios/burst.xml\n" +
			"  brackenbend compare current.xml next.xml --traffic scenarios/mass-restart.xml --html report.html",
		Args: exactArgs(2),
		RunE: c.run,
	}
	c.addFlags(cmd.Flags())
	return cmd
}

func (c *comparison) addFlags(f *pflag.FlagSet) {
	f.StringVar(&c.scenarioFile, "traffic", "", "scenario `file` whose clients, engines and faults A and B run with; "+
		"without it, the default scenario")
	c.recordings.addFlags(f)
	f.StringVar(&c.otherScenarioFile, "other", "", "scenario `file` that B runs instead, with the same clients")
	f.StringVar(&c.htmlFile, "html", "", "write the result as an HTML page with plots to this `file`")
	f.StringVar(&c.jsonFile, "json", "", "write all results as JSON to this `file`")
	f.Float64Var(&c.stoppingRule.Level, "level", c.stoppingRule.Level, "confidence level, between 0 and 1")
	f.Float64Var(
		&c.stoppingRule.MinDifference,
		"counts",
		c.stoppingRule.MinDifference,
		"smallest difference of service that counts",
	)
	f.IntVar(&c.stoppingRule.BatchSize, "batch", c.stoppingRule.BatchSize,
		"pairs of replications between two interim analyses")
	f.IntVar(&c.stoppingRule.MaxReplications, "most", c.stoppingRule.MaxReplications,
		"maximum number of pairs of replications")
	f.BoolVar(&c.checkRules, "rules", c.checkRules, "also check the rules of \"brackenbend scenario\" in each replication")
}

func (c *comparison) run(cmd *cobra.Command, args []string) error {
	stoppingRule := c.stoppingRule
	if stoppingRule.BatchSize < 3 || stoppingRule.MaxReplications < stoppingRule.BatchSize ||
		stoppingRule.MaxReplications > 10000 ||
		!isFraction(stoppingRule.Level) ||
		stoppingRule.MinDifference < 0 {
		return usageErrorf("--batch must be at least 3, --most from --batch to 10000, --level between 0 and 1, " +
			"--counts at least 0")
	}
	stoppingRule.Parallel = runtime.GOMAXPROCS(0)
	firstSubject, err := c.newSubject(args[0], c.scenarioFile)
	if err != nil {
		return err
	}
	secondScenarioFile := c.scenarioFile
	if c.otherScenarioFile != "" {
		secondScenarioFile = c.otherScenarioFile
	}
	secondSubject, err := c.newSubject(args[1], secondScenarioFile)
	if err != nil {
		return err
	}
	if c.otherScenarioFile != "" {
		secondSubject.Name += " on " + filepath.Base(c.otherScenarioFile)
	}
	result, err := forecast.Compare(firstSubject, secondSubject, stoppingRule)
	if err != nil {
		return err
	}
	if err := result.WriteText(cmd.OutOrStdout()); err != nil {
		return err
	}
	if err := writeFile(c.htmlFile, func(f *os.File) error { return result.WriteHTML(f) }); err != nil {
		return err
	}
	return saveJSON(c.jsonFile, result)
}

// newSubject returns one of the two subjects, with the scenario in file, or the default scenario if file is empty.
func (c *comparison) newSubject(subject, scenarioFile string) (forecast.Subject, error) {
	var files []string
	if scenarioFile != "" {
		files = []string{scenarioFile}
	}
	sc, err := loadScenario(files)
	if err != nil {
		return forecast.Subject{}, err
	}
	recordedRequests, err := c.recordings.load(sc)
	if err != nil {
		return forecast.Subject{}, err
	}
	return parseSubject(subject, sc, recordedRequests, c.checkRules)
}

// parseSubject returns the subject that an argument names: the router with the scenario's settings, a baseline policy,
// another version of this program, or the router with a settings file.
func parseSubject(subject string, sc *scenario.Scenario, recordedRequests []scenario.RecordedRequest, checkRules bool) (
	forecast.Subject, error,
) {
	options := fleet.Options{Audit: checkRules, Traffic: recordedRequests}
	switch {
	case subject == routerSubject || subject == formerRouterSubject:
	case slices.Contains(baseline.Policies, baseline.Policy(subject)):
		options.Decider = func(s routing.Config, seed uint64) (fleet.Decider, error) {
			return baseline.New(baseline.Policy(subject), s, seed)
		}
	case isExecutable(subject) && recordedRequests != nil:
		return forecast.Subject{}, usageErrorf(
			"%s: another version of the program can't run recordings; compare it without --trace", subject)
	case isExecutable(subject):
		simulate := runOtherVersion(subject, sc, checkRules)
		return forecast.Subject{Name: filepath.Base(subject), Scenario: sc, Simulate: simulate}, nil
	default:
		settings, err := config.Load(subject)
		if err != nil {
			return forecast.Subject{}, configError(err)
		}
		options.Settings = settings
	}
	withSeed := func(seed uint64) fleet.Options {
		options := options
		options.Seed = seed
		return options
	}
	return forecast.Subject{Name: subject, Scenario: sc, Options: withSeed}, nil
}

// isExecutable reports whether path is a program rather than a settings file.
func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// runOtherVersion returns a function that runs a replication with the program of another version, which gets the
// scenario as a file. It calls the program with former command names, which every version accepts.
func runOtherVersion(binary string, sc *scenario.Scenario, checkRules bool) func(*scenario.Scenario, uint64) (
	*forecast.Summary, error,
) {
	return func(replication *scenario.Scenario, seed uint64) (*forecast.Summary, error) {
		dir, err := os.MkdirTemp("", "brackenbend-compare-")
		if err != nil {
			return nil, err
		}
		defer removeTempDir(dir)
		_, text, err := sc.WithFaults(sc.Faults, "")
		if err != nil {
			return nil, err
		}
		scenarioFile, summaryFile := filepath.Join(dir, "day.xml"), filepath.Join(dir, "summary.json")
		if err := os.WriteFile(scenarioFile, text, 0o600); err != nil {
			return nil, err
		}
		ctx, stop := context.WithTimeout(context.Background(), otherVersionTimeout)
		defer stop()
		out, runErr := exec.CommandContext(ctx, binary, "lab", "day", scenarioFile, "--seed", fmt.Sprint(seed),
			"--clients", fmt.Sprint(replication.Seed), fmt.Sprintf("--rules=%v", checkRules),
			"--json", summaryFile).CombinedOutput()
		text, err = os.ReadFile(summaryFile) // also written if a rule was violated and the program failed
		if err != nil {
			return nil, fmt.Errorf("%s lab day: %w: %.500s", binary, runErr, out)
		}
		summary := &forecast.Summary{}
		if err := json.Unmarshal(text, summary); err != nil {
			return nil, fmt.Errorf("%s: %w", binary, err)
		}
		return summary, nil
	}
}
