package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"brackenbend/internal/node"
	"brackenbend/internal/telemetry"
)

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a gateway as a node of the platform",
		Long: `Run a gateway as a node of the platform. The environment variable LB_CONFIG names its configuration
file, which docs/node.md describes. On SIGTERM or SIGINT the node answers the requests that it has
accepted, then exits. On SIGHUP it reads the file again and follows the discovery agent at the
address in it.`,
		Example: "  LB_CONFIG=/run/balancer/config.json brackenbend node",
		Args:    exactArgs(0),
		RunE:    func(*cobra.Command, []string) error { return runNode() },
	}
}

func runNode() error {
	// Signals are caught before anything else, since SIGHUP ends a process that does not catch it.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file := os.Getenv("LB_CONFIG")
	if file == "" {
		return exitError{errors.New("node: the environment variable LB_CONFIG must name a configuration file"), exitUsage}
	}
	log, err := telemetry.NewLogger(os.Stderr, "json", "info", 100)
	if err != nil {
		return err
	}
	n, err := node.Start(file, os.Getenv, log)
	if errors.Is(err, node.ErrConfig) {
		return exitError{err, exitConfig}
	}
	if err != nil {
		return err
	}
	return handleSignals(n, signals, log)
}

// handleSignals returns once n has drained, after SIGTERM, SIGINT or a failure of n, whose error it returns. A draining
// node still sends attempts, so SIGHUP moves it to the new discovery address as well. A second SIGTERM or SIGINT is
// ignored.
func handleSignals(n *node.Node, signals <-chan os.Signal, log *zap.Logger) error {
	var failure error
	var drained chan struct{} // closed once n has drained; nil until the drain begins
	drain := func() {
		if drained != nil {
			return
		}
		drained = make(chan struct{})
		go func() {
			defer close(drained)
			n.Stop()
		}()
	}
	for {
		select {
		case failure = <-n.Failed():
			drain()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				n.Reload()
				continue
			}
			log.Info("draining", zap.String("signal", sig.String()))
			drain()
		case <-drained:
			return failure
		}
	}
}
