package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"brackenbend/internal/planner"
	"brackenbend/internal/telemetry"
	"brackenbend/roles"
)

// apiServerCallTimeout bounds one call of the planner, or of a command, to the API server.
const apiServerCallTimeout = 10 * time.Second

// plannerRun runs a planner of roles.
type plannerRun struct {
	url, logLevel, admin string
	replicas             []string
	interval             time.Duration
	config               roles.Config
}

func plannerCommand() *cobra.Command {
	var run plannerRun
	cmd := &cobra.Command{
		Use:   "planner --register URL",
		Short: "Share engines out to prefill and decode, as the work asks",
		Long: `Run a planner of engine roles until SIGTERM or SIGINT. It reads the assignments from the API server,
asks the engines how they stand once a second, writes changes into the assignments and tells them to
the engines. Several may run: a write from an old version is refused. With none running, roles stay
as they are. docs/roles.md has the law and what each figure means.`,
		Example: `  brackenbend planner --register http://127.0.0.1:9200 --min-stay 2m`,
		Args:    exactly(0),
		RunE:    func(*cobra.Command, []string) error { return run.run() },
	}
	run.addFlags(cmd.Flags())
	mustRequire(cmd.MarkFlagRequired("register"))
	return cmd
}

func (r *plannerRun) addFlags(f *pflag.FlagSet) {
	f.StringVar(&r.url, "register", "", "URL of the API server")
	f.StringSliceVar(&r.replicas, "front", nil, "admin address of a replica that is asked what it rejected; any number")
	f.StringVar(&r.admin, "admin", "", "address for health and metrics; none = not served")
	f.StringVar(&r.logLevel, "log-level", "info", "debug, info, warn or error")
	f.DurationVar(&r.interval, "every", time.Second, "time between two looks")
	f.DurationVar(&r.config.MinDwell, "min-stay", time.Minute, "no engine changes sooner after its last change")
	f.Float64Var(&r.config.MaxConcurrent, "at-once", 0.1, "part of the engines that may change at once; one at least")
	f.DurationVar(&r.config.ChangeTime, "change-time", 10*time.Second,
		"what a change takes by and large: drained, switched, half warm")
	f.DurationVar(&r.config.WarmUp, "warm", 3*time.Second, "of it, what comes after the engine says that it changed")
	f.DurationVar(&r.config.ChangeTimeout, "turn-time", 2*time.Minute, "a change that is not done by then is reverted")
	f.DurationVar(&r.config.StaleAfter, "stale-after", 5*time.Second, "older figures count as none")
}

func (r *plannerRun) run() error {
	if err := r.config.Validate(); err != nil {
		return exitError{err, exitUsage}
	}
	log, err := telemetry.NewLogger(os.Stderr, "json", r.logLevel, 100)
	if err != nil {
		return exitError{err, exitUsage}
	}
	metrics := planner.NewMetrics()
	if r.admin != "" {
		l, err := net.Listen("tcp", r.admin)
		if err != nil {
			return fmt.Errorf("--admin: %w", err)
		}
		defer func() { _ = l.Close() }() // it only served metrics
		go serveAdmin(l, metrics, log)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runner := &planner.Runner{
		APIServer: newPlannerClient(r.url), Settings: r.config, Replicas: r.replicas, Interval: r.interval, Log: log,
		Metrics: metrics,
	}
	return runner.Run(ctx)
}

// serveAdmin serves health and metrics until l is closed.
func serveAdmin(l net.Listener, metrics *planner.Metrics, log *zap.Logger) {
	ready := func() string { return "" }
	if err := telemetry.ServeAdmin(l, metrics.Registry, ready); !errors.Is(err, net.ErrClosed) {
		log.Error("admin ended", zap.Error(err))
	}
}

func newPlannerClient(url string) planner.Client {
	return planner.Client{URL: url, HTTP: &http.Client{Timeout: apiServerCallTimeout}}
}
