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
	// maxLoadRate is the most requests a second that may be sent.
	maxLoadRate = 5000
	// progressSteps is the resolution of the progress bar, drawn anew at most every progressInterval.
	progressSteps    = 1000
	progressInterval = 100 * time.Millisecond
)

// loadRun sends the clients of a scenario at running replicas.
type loadRun struct {
	plan               load.Plan
	clientsFile        string
	rate               float64 // requests a second; 0 = the scenario's
	htmlFile, jsonFile string
	quiet              bool
}

func loadCommand() *cobra.Command {
	run := loadRun{plan: load.Plan{Length: 30 * time.Second, MaxOpen: 2000}}
	cmd := &cobra.Command{
		Use:   "load REPLICA...",
		Short: "Send load at running replicas and measure what clients see",
		Long: `Send the clients of a scenario file at replicas that run (host:port, each try to one by lot):
sessions begin at their times however slow answers are, and times count from when a request should
have been sent. Clients retry as published SDKs do. Prints what each class saw: service, ends, times
to the first token, between tokens and to the end. Only loopback addresses are taken unless
--anywhere is given.`,
		Example: "  brackenbend up &\n" +
			"  brackenbend load 127.0.0.1:8080 --model stand-in --rate 20 --for 20s --html load.html",
		Args: cobra.MinimumNArgs(1),
		RunE: run.run,
	}
	run.addFlags(cmd.Flags())
	return cmd
}

func (r *loadRun) addFlags(f *pflag.FlagSet) {
	f.StringVar(&r.clientsFile, "clients", "", "scenario file whose clients are sent; none = the default scenario's")
	f.StringVar(&r.plan.Model, "model", "day", "model that is asked for")
	f.Float64Var(&r.rate, "rate", 0, "requests a second; 0 = the scenario's")
	f.DurationVar(&r.plan.Length, "for", r.plan.Length, "how long sessions begin, up to 1h")
	f.IntVar(
		&r.plan.MaxOpen,
		"most",
		r.plan.MaxOpen,
		"requests open at once; sessions past it do not begin and are counted",
	)
	f.BoolVar(&r.plan.AllowRemote, "anywhere", false, "send to addresses that are not loopback")
	f.StringVar(&r.htmlFile, "html", "", "write a page with plots")
	f.StringVar(&r.jsonFile, "json", "", "write all figures")
	f.BoolVarP(&r.quiet, "quiet", "q", false, "no progress bar")
}

func (r *loadRun) run(cmd *cobra.Command, args []string) error {
	if err := r.prepare(args); err != nil {
		return err
	}
	if !r.quiet {
		bar := newProgressBar()
		defer func() { _ = bar.Finish() }() // the bar is for a person at a terminal; the report does not need it
		r.plan.Progress = func(done float64, open int) {
			bar.Describe(fmt.Sprintf("%d open", open))
			_ = bar.Set(int(done * progressSteps))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, r.plan)
	if errors.Is(err, load.ErrPlan) {
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

// prepare completes the plan by the scenario and the replicas.
func (r *loadRun) prepare(replicas []string) error {
	var files []string
	if r.clientsFile != "" {
		files = []string{r.clientsFile}
	}
	clients, err := loadScenario(files)
	if err != nil {
		return err
	}
	if r.rate < 0 || r.rate > maxLoadRate {
		return usageErrorf("--rate: up to %d a second", maxLoadRate)
	}
	if r.rate > 0 {
		clients.Rate = config.Rate(r.rate)
	}
	r.plan.Scenario, r.plan.Replicas = clients, replicas
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
