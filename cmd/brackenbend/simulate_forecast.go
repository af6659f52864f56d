package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
)

// forecastSimulation forecasts the service of scenarios and, with --real, runs them on sockets to check the forecasts.
type forecastSimulation struct {
	runs      int
	level     float64
	model     forecast.Model
	onSockets bool
	fitModel  bool
	jsonFile  string
}

func simulateForecastCommand() *cobra.Command {
	sim := forecastSimulation{runs: 20, level: 0.95}
	cmd := &cobra.Command{
		Use:   "forecast SCENARIO...",
		Short: "Forecast the service of scenarios on sockets, with prediction intervals",
		Long: `Run each scenario many times in simulated time and print the interval in which the service of one run
on sockets (brackenbend scenario) is expected to lie. The interval accounts for the spread between
replications and for the error of the simulation (--floor and --part), which --fit estimates.

With --real, each scenario is also run on sockets, one after the other, after all forecasts.`,
		Example: "  brackenbend simulate forecast scenarios/stall.xml\n" +
			"  brackenbend simulate forecast --real --fit scenarios/crash.xml scenarios/slow.xml",
		Args: cobra.MinimumNArgs(1),
		RunE: sim.run,
	}
	sim.addFlags(cmd.Flags())
	return cmd
}

func (s *forecastSimulation) addFlags(f *pflag.FlagSet) {
	f.IntVar(&s.runs, "runs", s.runs, "simulated replications of each scenario")
	f.Float64Var(&s.level, "level", s.level, "probability with which a run on sockets lies within the interval")
	f.Float64Var(&s.model.Floor, "floor", 0.002, "standard deviation of the simulation's error in any scenario")
	f.Float64Var(&s.model.LossFraction, "part", 0.1,
		"further standard deviation, as a fraction of the service that the scenario loses")
	f.BoolVar(&s.onSockets, "real", false, "also run the scenarios on sockets")
	f.BoolVar(&s.fitModel, "fit", false, "with --real: estimate --floor and --part from these scenarios")
	f.StringVar(&s.jsonFile, "json", "", "with --real: write the forecasts and the runs on sockets as JSON to this `file`")
}

func (s *forecastSimulation) run(cmd *cobra.Command, args []string) error {
	if s.runs < 3 || s.runs > 1000 || !isFraction(s.level) {
		return usageErrorf("--runs must be from 3 to 1000, --level between 0 and 1")
	}
	scenarios, forecasts, err := s.predict(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	p := &printer{out: cmd.OutOrStdout()}
	p.printf("%-20s %9s %7s %15s %9s %8s %8s\n", "SCENARIO", "SIMULATED", "SD", fmt.Sprintf("%.0f%% BARS", 100*s.level),
		"WORST10S", "BREACHES", "SOCKETS")
	var pairs []forecast.Pair
	inInterval := 0
	for i, f := range forecasts {
		p.printf("%-20s %9.4f %7.4f %7.4f-%.4f %9.3f %8d",
			f.Scenario, f.MeanService, f.SD, f.Low, f.High, f.WorstService, f.Violations)
		if s.onSockets {
			report, err := runOnSockets(ctx, scenarios[i])
			if err != nil {
				return err
			}
			pairs = append(pairs, forecast.Pair{Forecast: f, Real: report.Service})
			verdict := "missed"
			if f.Contains(report.Service) {
				inInterval++
				verdict = "held"
			}
			p.printf(" %8.4f %s, %d breaches", report.Service, verdict, report.Violations())
		}
		p.printf("\n")
	}
	if s.onSockets {
		p.printf("%d of %d lie within their intervals\n", inInterval, len(forecasts))
	}
	if s.fitModel {
		fitted := forecast.Fit(pairs)
		p.printf("fitted: --floor %.4f --part %.3f\n", fitted.Floor, fitted.LossFraction)
	}
	if p.err != nil {
		return p.err
	}
	return saveJSON(s.jsonFile, pairs)
}

// predict loads and forecasts all scenarios.
func (s *forecastSimulation) predict(files []string) (
	scenarios []*scenario.Scenario, forecasts []*forecast.Forecast, err error,
) {
	for _, file := range files {
		sc, err := loadScenario([]string{file})
		if err != nil {
			return nil, nil, err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".xml")
		f, err := forecast.Predict(name, sc, s.runs, runtime.GOMAXPROCS(0), s.level, s.model)
		if err != nil {
			return nil, nil, err
		}
		scenarios, forecasts = append(scenarios, sc), append(forecasts, f)
	}
	return scenarios, forecasts, nil
}

// runOnSockets runs a scenario against replicas that are processes of this program.
func runOnSockets(ctx context.Context, sc *scenario.Scenario) (*scenariorun.Report, error) {
	dir, err := os.MkdirTemp("", "brackenbend-scenario-")
	if err != nil {
		return nil, err
	}
	defer removeTempDir(dir)
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return scenariorun.Run(ctx, sc, scenariorun.Options{Binary: executable, WorkDir: dir})
}
