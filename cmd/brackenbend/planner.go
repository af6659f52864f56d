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

// apiServerCallTimeout bounds one call to the API server, by the planner or by a roles command.
const apiServerCallTimeout = 10 * time.Second

// plannerRun runs a planner of engine roles.
type plannerRun struct {
	apiServerURL, logLevel, adminAddress string
	replicas                             []string
	interval                             time.Duration
	config                               roles.Config
}

func plannerCommand() *cobra.Command {
	var run plannerRun
	cmd := &cobra.Command{
		Use:   "planner --register URL",
		Short: "Assign engines to prefill and decode according to demand",
		Long: `Run a planner of engine roles until SIGTERM or SIGINT. In each round it reads the role assignments from
the API server, polls the engines for their status, decides on role changes, writes them to the
assignments, and commands the engines to change role.

Several planners may run at once: the API server refuses a write that is based on an outdated
version of the assignments. While no planner runs, roles stay as they are. docs/roles.md describes
how the planner decides, and its metrics.`,
		Example: `  brackenbend planner --register http://127.0.0.1:9200 --min-stay 2m`,
		Args:    exactArgs(0),
		RunE:    func(*cobra.Command, []string) error { return run.run() },
	}
	run.addFlags(cmd.Flags())
	mustRequire(cmd.MarkFlagRequired("register"))
	return cmd
}

func (r *plannerRun) addFlags(f *pflag.FlagSet) {
	f.StringVar(&r.apiServerURL, "register", "", "URL of the API server")
	f.StringSliceVar(&r.replicas, "front", nil,
		"admin address of a replica, which is polled for the requests that it rejected; repeatable")
	f.StringVar(&r.adminAddress, "admin", "", "address for health and metrics; without it, they are not served")
	f.StringVar(&r.logLevel, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	f.DurationVar(&r.interval, "every", time.Second, "interval between planning rounds")
	f.DurationVar(&r.config.MinDwell, "min-stay", time.Minute, "minimum time between two role changes of an engine")
	f.Float64Var(&r.config.MaxConcurrent, "at-once", 0.1,
		"fraction of the engines that may change role at once; at least one may")
	f.DurationVar(&r.config.ChangeTime, "change-time", 10*time.Second,
		"typical time of a role change, from the start of the drain until the engine is half warm")
	f.DurationVar(&r.config.WarmUp, "warm", 3*time.Second,
		"part of --change-time that follows the engine's report that it has changed")
	f.DurationVar(&r.config.ChangeTimeout, "turn-time", 2*time.Minute,
		"time after which an unfinished role change is reverted")
	f.DurationVar(&r.config.StaleAfter, "stale-after", 5*time.Second, "age above which a load report is ignored")
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
	if r.adminAddress != "" {
		l, err := net.Listen("tcp", r.adminAddress)
		if err != nil {
			return fmt.Errorf("--admin: %w", err)
		}
		defer func() { _ = l.Close() }() // the listener only served health and metrics
		go serveAdmin(l, metrics, log)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runner := &planner.Runner{
		APIServer: newPlannerClient(r.apiServerURL), Settings: r.config, Replicas: r.replicas, Interval: r.interval, Log: log,
		Metrics: metrics,
	}
	return runner.Run(ctx)
}

// serveAdmin serves health and metrics until l is closed.
func serveAdmin(l net.Listener, metrics *planner.Metrics, log *zap.Logger) {
	ready := func() string { return "" }
	if err := telemetry.ServeAdmin(l, metrics.Registry, ready); !errors.Is(err, net.ErrClosed) {
		log.Error("health and metrics listener failed", zap.Error(err))
	}
}

func newPlannerClient(url string) planner.Client {
	return planner.Client{URL: url, HTTP: &http.Client{Timeout: apiServerCallTimeout}}
}
