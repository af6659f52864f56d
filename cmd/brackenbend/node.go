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
		Short: "Run a node of the platform",
		Long: `Run a node by the configuration file that LB_CONFIG names (docs/node.md). SIGTERM lets it answer
what it holds and exit; SIGHUP reads the file again and moves to the discovery address in it.`,
		Example: "  LB_CONFIG=/run/balancer/config.json brackenbend node",
		Args:    exactly(0),
		RunE:    func(*cobra.Command, []string) error { return runNode() },
	}
}

func runNode() error {
	// Signals are caught first of all: SIGHUP would end the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file := os.Getenv("LB_CONFIG")
	if file == "" {
		return exitError{errors.New("node: LB_CONFIG names no configuration file"), exitUsage}
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

// handleSignals runs n until a signal ends it or it fails. SIGHUP is followed while it drains, too: what it still sends
// goes by the list of the new address. A second signal to end changes nothing.
func handleSignals(n *node.Node, signals <-chan os.Signal, log *zap.Logger) error {
	var failure error
	var drained chan struct{} // closed once n has drained; nil until it begins to
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
