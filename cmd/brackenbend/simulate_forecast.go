package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/baseline"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

func labForecastCommand() *cobra.Command {
	runs, real, fit := 20, false, false
	var model forecast.Model
	level := 0.95
	var jsonFile string
	cmd := &cobra.Command{
		Use:   "forecast DAY...",
		Short: "Say what days will come to on sockets, with error bars",
		Long: `Play each day many times in simulated time and give bars in which one run on sockets will lie. The bars hold the spread of
courses, and how far the emulator was off on days that were played for real (--floor, --part; --fit finds them). With --real
each day is played on sockets as well, one after the other, after all forecasts were made.`,
		Example: "  brackenbend lab forecast scenarios/stall.xml\n  brackenbend lab forecast --real --fit scenarios/crash.xml scenarios/slow.xml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if runs < 3 || runs > 1000 || !(level > 0 && level < 1) {
				return coded{fmt.Errorf("--runs: 3 to 1000; --level: between 0 and 1"), exitUsage}
			}
			var days []*scenario.Day
			var all []*forecast.Forecast
			for _, file := range args {
				d, err := loadDay([]string{file})
				if err != nil {
					return err
				}
				f, err := forecast.Predict(strings.TrimSuffix(filepath.Base(file), ".xml"), d, runs, runtime.GOMAXPROCS(0), level, model)
				if err != nil {
					return err
				}
				days, all = append(days, d), append(all, f)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-20s %9s %7s %15s %9s %8s %8s\n", "DAY", "SIMULATED", "SD", fmt.Sprintf("%.0f%% BARS", 100*level), "WORST10S", "BREACHES", "SOCKETS")
			var pairs []forecast.Pair
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			held := 0
			for i, f := range all {
				fmt.Fprintf(out, "%-20s %9.4f %7.4f %7.4f-%.4f %9.3f %8d", f.Day, f.Mean, f.SD, f.Low, f.High, f.Worst, f.Rules)
				if real {
					rep, err := onSockets(ctx, days[i])
					if err != nil {
						return err
					}
					pairs = append(pairs, forecast.Pair{Forecast: f, Real: rep.Service})
					mark := "missed"
					if f.Holds(rep.Service) {
						held++
						mark = "held"
					}
					fmt.Fprintf(out, " %8.4f %s, %d breaches", rep.Service, mark, rep.Breaches())
				}
				fmt.Fprintln(out)
			}
			if real {
				fmt.Fprintf(out, "%d of %d lie within their bars\n", held, len(all))
			}
			if fit {
				m := forecast.Fit(pairs)
				fmt.Fprintf(out, "fitted: --floor %.4f --part %.3f\n", m.Floor, m.Part)
			}
			return saveJSON(jsonFile, pairs)
		},
	}
	f := cmd.Flags()
	f.IntVar(&runs, "runs", runs, "simulated courses of each day")
	f.Float64Var(&level, "level", level, "probability with which a run on sockets lies within the bars")
	f.Float64Var(&model.Floor, "floor", 0.002, "standard deviation by which the emulator is off on any day")
	f.Float64Var(&model.Part, "part", 0.1, "and as a part of what the day loses")
	f.BoolVar(&real, "real", false, "play the days on sockets as well")
	f.BoolVar(&fit, "fit", false, "with --real: find --floor and --part from these days")
	f.StringVar(&jsonFile, "json", "", "write forecasts and real runs to this file")
	return cmd
}

// saveJSON writes v to a file, where one is named.
func saveJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	return writeFile(file, func(f *os.File) error { return writeJSON(f, v) })
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func onSockets(ctx context.Context, d *scenario.Day) (*scenariorun.Report, error) {
	dir, err := os.MkdirTemp("", "brackenbend-day-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return scenariorun.Run(ctx, d, scenariorun.Options{Binary: exe, Dir: dir})
}

// compareSide reads one of the two things to compare: the module as it is, a simple way of deciding, or a settings file.
func compareSide(what string, d *scenario.Day, recorded []scenario.Recorded, rules bool) (forecast.Side, error) {
	o := fleet.Options{Audit: rules, Traffic: recorded}
	switch {
	case what == "choice":
	case slices.Contains(baseline.Ways, baseline.Way(what)):
		o.Decider = func(s routing.Config, seed uint64) (fleet.Decider, error) {
			return baseline.New(baseline.Way(what), s, seed)
		}
	case executable(what) && recorded != nil:
		return forecast.Side{}, coded{fmt.Errorf("%s: another version can't be given recordings yet; compare it on a day", what), exitUsage}
	case executable(what):
		return forecast.Side{Name: filepath.Base(what), Day: d, Play: otherVersion(what, d, rules)}, nil
	default:
		set, err := config.Load(what)
		if err != nil {
			return forecast.Side{}, configError(err)
		}
		o.Settings = set
	}
	return forecast.Side{Name: what, Day: d, Make: func(seed uint64) fleet.Options {
		o := o
		o.Seed = seed
		return o
	}}, nil
}

// executable tells a program from a settings file.
func executable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// otherVersion plays courses with another version's program: its lab day, on a day file of its own.
func otherVersion(binary string, d *scenario.Day, rules bool) func(*scenario.Day, uint64) (*forecast.Summary, error) {
	return func(now *scenario.Day, seed uint64) (*forecast.Summary, error) {
		dir, err := os.MkdirTemp("", "brackenbend-compare-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		_, text, err := d.With(d.Happens, "")
		if err != nil {
			return nil, err
		}
		file, result := filepath.Join(dir, "day.xml"), filepath.Join(dir, "summary.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return nil, err
		}
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
		defer stop()
		out, err := exec.CommandContext(ctx, binary, "lab", "day", file, "--seed", fmt.Sprint(seed), "--clients", fmt.Sprint(now.Seed),
			fmt.Sprintf("--rules=%v", rules), "--json", result).CombinedOutput()
		if text, rerr := os.ReadFile(result); rerr == nil { // also where rules broke, which it tells by its exit code
			s := &forecast.Summary{}
			if err := json.Unmarshal(text, s); err != nil {
				return nil, fmt.Errorf("%s: %w", binary, err)
			}
			return s, nil
		}
		return nil, fmt.Errorf("%s lab day: %w: %.500s", binary, err, out)
	}
}

func compareCommand() *cobra.Command {
	var traffic, other, html, jsonFile string
	var rec recording
	r := forecast.Rules{Level: 0.95, Counts: 0.002, Batch: 8, Most: 64}
	rules := true
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two ways of running the fronts on the same traffic, in simulated time",
		Long: `Play a day many times, each time with other clients, the same on both sides, until the answer is clear: which of the two
serves better, that no difference counts, or that it can't be told. A and B are each "choice" (the module with the day's
settings), a settings file of fronts (classes, kinds and tenants named as the day's are), another version of this program
(its path), or, as a yardstick only, a simple way of deciding: random, fewest, two-choices. With --other the second plays another day file: other engines, other troubles.
Bars are of the mean difference over paired courses (studentised bootstrap), at --level over all looks together.`,
		Example: "  brackenbend compare choice random --traffic scenarios/burst.xml\n  brackenbend compare now.xml next.xml --traffic scenarios/mass-restart.xml --html report.html",
		Args:    exactly(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if r.Batch < 3 || r.Most < r.Batch || r.Most > 10000 || !(r.Level > 0 && r.Level < 1) || r.Counts < 0 {
				return coded{fmt.Errorf("--batch: 3 at least; --most: from --batch to 10000; --level: between 0 and 1; --counts: 0 or more"), exitUsage}
			}
			r.AtOnce = runtime.GOMAXPROCS(0)
			var sides [2]forecast.Side
			for i, what := range args {
				file := traffic
				if i == 1 && other != "" {
					file = other
				}
				var from []string
				if file != "" {
					from = []string{file}
				}
				d, err := loadDay(from)
				if err != nil {
					return err
				}
				recorded, err := rec.load(d)
				if err != nil {
					return err
				}
				if sides[i], err = compareSide(what, d, recorded, rules); err != nil {
					return err
				}
				if i == 1 && other != "" {
					sides[i].Name += " on " + filepath.Base(other)
				}
			}
			c, err := forecast.Compare(sides[0], sides[1], r)
			if err != nil {
				return err
			}
			if err := c.WriteText(cmd.OutOrStdout()); err != nil {
				return err
			}
			if html != "" {
				if err := writeFile(html, func(f *os.File) error { return c.WriteHTML(f) }); err != nil {
					return err
				}
			}
			return saveJSON(jsonFile, c)
		},
	}
	f := cmd.Flags()
	f.StringVar(&traffic, "traffic", "", "day file whose clients, engines and troubles both meet; none = the default bad day")
	rec.flags(f)
	f.StringVar(&other, "other", "", "day file that the second plays instead, with the same clients")
	f.StringVar(&html, "html", "", "write a page with plots")
	f.StringVar(&jsonFile, "json", "", "write all figures")
	f.Float64Var(&r.Level, "level", r.Level, "of the bars")
	f.Float64Var(&r.Counts, "counts", r.Counts, "a difference of service below it does not count")
	f.IntVar(&r.Batch, "batch", r.Batch, "courses between two looks")
	f.IntVar(&r.Most, "most", r.Most, "courses in all")
	f.BoolVar(&rules, "rules", rules, "judge the rules as well")
	return cmd
}
