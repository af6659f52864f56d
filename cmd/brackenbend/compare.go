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
	// routerSubject names the router with the scenario's settings as what decides; the second is its former name.
	routerSubject       = "routing"
	formerRouterSubject = "choice"

	// otherVersionTimeout bounds one replication by another version of this program.
	otherVersionTimeout = 10 * time.Minute
)

// comparison compares two ways of running the replicas.
type comparison struct {
	trafficFile, otherFile string
	recordings             recordings
	rules                  forecast.StoppingRule
	checkRules             bool
	htmlFile, jsonFile     string
}

func compareCommand() *cobra.Command {
	c := comparison{
		rules:      forecast.StoppingRule{Level: 0.95, MinDifference: 0.002, BatchSize: 8, MaxReplications: 64},
		checkRules: true,
	}
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two ways of running the replicas on the same traffic, in simulated time",
		Long: `Play a scenario many times, each time with other clients, the same on both sides, until the answer
is clear: which of the two serves better, that no difference counts, or that it can't be told. A and
B are each "routing" (the router with the scenario's settings), a settings file of replicas
(classes, kinds and tenants named as the scenario's are), another version of this program (its
path), or, as a yardstick only, a simple way of deciding: random, fewest, two-choices. With --other
the second plays another scenario file: other engines, other faults. Bars are of the mean difference
over paired replications (studentised bootstrap), at --level over all looks together.`,
		Example: "  brackenbend compare routing random --traffic scenarios/burst.xml\n" +
			"  brackenbend compare now.xml next.xml --traffic scenarios/mass-restart.xml --html report.html",
		Args: exactly(2),
		RunE: c.run,
	}
	c.addFlags(cmd.Flags())
	return cmd
}

func (c *comparison) addFlags(f *pflag.FlagSet) {
	f.StringVar(&c.trafficFile, "traffic", "", "scenario file whose clients, engines and faults both meet; "+
		"none = the default scenario")
	c.recordings.addFlags(f)
	f.StringVar(&c.otherFile, "other", "", "scenario file that the second plays instead, with the same clients")
	f.StringVar(&c.htmlFile, "html", "", "write a page with plots")
	f.StringVar(&c.jsonFile, "json", "", "write all figures")
	f.Float64Var(&c.rules.Level, "level", c.rules.Level, "of the bars")
	f.Float64Var(
		&c.rules.MinDifference,
		"counts",
		c.rules.MinDifference,
		"a difference of service below it does not count",
	)
	f.IntVar(&c.rules.BatchSize, "batch", c.rules.BatchSize, "replications between two looks")
	f.IntVar(&c.rules.MaxReplications, "most", c.rules.MaxReplications, "replications in all")
	f.BoolVar(&c.checkRules, "rules", c.checkRules, "check the rules as well")
}

func (c *comparison) run(cmd *cobra.Command, args []string) error {
	rules := c.rules
	if rules.BatchSize < 3 || rules.MaxReplications < rules.BatchSize || rules.MaxReplications > 10000 ||
		!isFraction(rules.Level) ||
		rules.MinDifference < 0 {
		return usageErrorf("--batch: 3 at least; --most: from --batch to 10000; --level: between 0 and 1; " +
			"--counts: 0 or more")
	}
	rules.Parallel = runtime.GOMAXPROCS(0)
	first, err := c.side(args[0], c.trafficFile)
	if err != nil {
		return err
	}
	secondFile := c.trafficFile
	if c.otherFile != "" {
		secondFile = c.otherFile
	}
	second, err := c.side(args[1], secondFile)
	if err != nil {
		return err
	}
	if c.otherFile != "" {
		second.Name += " on " + filepath.Base(c.otherFile)
	}
	result, err := forecast.Compare(first, second, rules)
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

// side is one of the two things to compare, on the scenario in file or the default one.
func (c *comparison) side(subject, file string) (forecast.Subject, error) {
	var files []string
	if file != "" {
		files = []string{file}
	}
	played, err := loadScenario(files)
	if err != nil {
		return forecast.Subject{}, err
	}
	recorded, err := c.recordings.load(played)
	if err != nil {
		return forecast.Subject{}, err
	}
	return parseSubject(subject, played, recorded, c.checkRules)
}

// parseSubject reads what decides on a side: the router as it is, a simple way of deciding, another version of this
// program, or a settings file.
func parseSubject(subject string, played *scenario.Scenario, recorded []scenario.RecordedRequest, checkRules bool) (
	forecast.Subject, error,
) {
	options := fleet.Options{Audit: checkRules, Traffic: recorded}
	switch {
	case subject == routerSubject || subject == formerRouterSubject:
	case slices.Contains(baseline.Policies, baseline.Policy(subject)):
		options.Decider = func(s routing.Config, seed uint64) (fleet.Decider, error) {
			return baseline.New(baseline.Policy(subject), s, seed)
		}
	case isExecutable(subject) && recorded != nil:
		return forecast.Subject{}, usageErrorf(
			"%s: another version can't be given recordings yet; compare it on a scenario", subject)
	case isExecutable(subject):
		play := playOtherVersion(subject, played, checkRules)
		return forecast.Subject{Name: filepath.Base(subject), Scenario: played, Simulate: play}, nil
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
	return forecast.Subject{Name: subject, Scenario: played, Options: withSeed}, nil
}

// isExecutable reports whether path is a program, as opposed to a settings file.
func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// playOtherVersion plays replications with another version's program, on a scenario file of its own. It calls the
// program by its former command names, which every version understands.
func playOtherVersion(binary string, played *scenario.Scenario, checkRules bool) func(*scenario.Scenario, uint64) (
	*forecast.Summary, error,
) {
	return func(now *scenario.Scenario, seed uint64) (*forecast.Summary, error) {
		dir, err := os.MkdirTemp("", "brackenbend-compare-")
		if err != nil {
			return nil, err
		}
		defer removeTemporary(dir)
		_, text, err := played.WithFaults(played.Faults, "")
		if err != nil {
			return nil, err
		}
		file, summaryFile := filepath.Join(dir, "day.xml"), filepath.Join(dir, "summary.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return nil, err
		}
		ctx, stop := context.WithTimeout(context.Background(), otherVersionTimeout)
		defer stop()
		out, runErr := exec.CommandContext(ctx, binary, "lab", "day", file, "--seed", fmt.Sprint(seed),
			"--clients", fmt.Sprint(now.Seed), fmt.Sprintf("--rules=%v", checkRules), "--json", summaryFile).CombinedOutput()
		text, err = os.ReadFile(summaryFile) // it is also written where rules were violated; only the exit code shows that
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
