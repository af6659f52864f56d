package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/config"
	"brackenbend/internal/load"
)

const (
	// maxLoadRate is the highest rate that --rate accepts, in requests a second.
	maxLoadRate = 5000
	// progressSteps is the resolution of the progress bar. The bar is redrawn at most once in progressInterval.
	progressSteps    = 1000
	progressInterval = 100 * time.Millisecond
)

// loadRun sends the load of a scenario's clients to running replicas.
type loadRun struct {
	plan               load.Plan
	scenarioFile       string
	rate               float64 // requests a second; 0 = the scenario's
	htmlFile, jsonFile string
	quiet              bool
}

func loadCommand() *cobra.Command {
	run := loadRun{plan: load.Plan{Length: 30 * time.Second, MaxOpenSessions: 2000}}
	cmd := &cobra.Command{
		Use:   "load REPLICA...",
		Short: "Send load to running replicas and measure what clients see",
		Long: `Send the load of a scenario's clients to running replicas of the gateway, each given as host:port.
Each attempt goes to a replica that is picked at random. Clients retry as published SDKs do.

The load is open: a session begins at its time, however slow the answers are, and latencies count
from the time when a request should have been sent. The report shows for each class the service (the
share of the requests, by priority weight, that is served), the outcomes, and the times to the first
token, between tokens and to the end of the answer.

Only loopback addresses are accepted unless --anywhere is given.`,
		Example: "  brackenbend up &\n" +
			"  brackenbend load 127.0.0.1:8080 --model stand-in --rate 20 --for 20s --html load.html",
		Args: cobra.MinimumNArgs(1),
		RunE: run.run,
	}
	run.addFlags(cmd.Flags())
	return cmd
}

func (r *loadRun) addFlags(f *pflag.FlagSet) {
	f.StringVar(&r.scenarioFile, "clients", "", "scenario `file` with the clients; without it, the default scenario")
	f.StringVar(&r.plan.Model, "model", "day", "model that the requests name")
	f.Float64Var(&r.rate, "rate", 0, "requests a second; 0 = the rate of the scenario")
	f.DurationVar(&r.plan.Length, "for", r.plan.Length, "time during which sessions begin, from 1s to 1h")
	f.IntVar(
		&r.plan.MaxOpenSessions,
		"most",
		r.plan.MaxOpenSessions,
		"maximum number of open sessions, up to 20000; further sessions are not begun, and the report counts them",
	)
	f.BoolVar(&r.plan.AllowRemote, "anywhere", false, "also send to addresses other than loopback")
	f.StringVar(&r.htmlFile, "html", "", "write the report as an HTML page with plots to this `file`")
	f.StringVar(&r.jsonFile, "json", "", "write all results as JSON to this `file`")
	f.BoolVarP(&r.quiet, "quiet", "q", false, "show no progress bar")
}

func (r *loadRun) run(cmd *cobra.Command, args []string) error {
	if err := r.prepare(args); err != nil {
		return err
	}
	if !r.quiet {
		bar := newProgressBar()
		defer func() { _ = bar.Finish() }() // an error of the bar does not affect the report
		r.plan.Progress = func(fraction float64, openSessions int) {
			bar.Describe(fmt.Sprintf("%d open", openSessions))
			_ = bar.Set(int(fraction * progressSteps))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, r.plan)
	if errors.Is(err, load.ErrInvalidPlan) {
		return exitError{err, exitUsage}
	}
	if err != nil {
		return err
	}
	if err := report.WriteText(cmd.OutOrStdout()); err != nil {
		return err
	}
	if err := writeFile(r.htmlFile, func(f *os.File) error { return report.WriteHTML(f) }); err != nil {
		return err
	}
	return writeFile(r.jsonFile, func(f *os.File) error { return report.WriteJSON(f) })
}

// prepare adds the scenario and the replicas to the plan.
func (r *loadRun) prepare(replicas []string) error {
	var files []string
	if r.scenarioFile != "" {
		files = []string{r.scenarioFile}
	}
	sc, err := loadScenario(files)
	if err != nil {
		return err
	}
	if r.rate < 0 || r.rate > maxLoadRate {
		return usageErrorf("--rate must be from 0 to %d requests a second", maxLoadRate)
	}
	if r.rate > 0 {
		sc.Rate = config.Rate(r.rate)
	}
	r.plan.Scenario, r.plan.Replicas = sc, replicas
	return nil
}

func newProgressBar() *progressbar.ProgressBar {
	return progressbar.NewOptions(
		progressSteps,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription("sending"),
		progressbar.OptionThrottle(progressInterval),
		progressbar.OptionClearOnFinish(),
	)
}
