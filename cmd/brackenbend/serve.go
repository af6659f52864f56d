package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"brackenbend/internal/config"
	"brackenbend/internal/gateway"
	"brackenbend/internal/gctuning"
	"brackenbend/internal/telemetry"
)

// heapFloor is the heap size in bytes below which no garbage is collected (docs/gateway.md, Bounds).
const heapFloor = 64 << 20

func serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run a gateway",
		Long: `Run a gateway until SIGTERM or SIGINT, which lets it answer what it holds (within <front
drain="..."/>) and exit. SIGHUP reads the settings again and takes models, rules, sessions and
prefixes; a file with problems, or one that differs elsewhere, is reported and changes nothing.`,
		Example: "  brackenbend serve -c front.xml",
		Args:    exactly(0),
		RunE:    func(*cobra.Command, []string) error { return serve(file) },
	}
	cmd.Flags().StringVarP(&file, "config", "c", "", "settings file")
	mustRequire(cmd.MarkFlagRequired("config"))
	return cmd
}

// mustRequire panics where a command requires a flag that it does not define.
func mustRequire(err error) {
	if err != nil {
		panic(err)
	}
}

func serve(file string) error {
	settings, err := config.Load(file)
	if err != nil {
		return configError(err)
	}
	log, err := telemetry.NewLogger(os.Stderr, settings.Log.Format, settings.Log.Level, settings.Log.LinesPerSecond)
	if err != nil {
		return err
	}
	log = log.With(zap.String("front", settings.Replica.Name))
	if os.Getenv("GOGC") == "" { // whoever sets it means it
		defer gctuning.SetHeapFloor(heapFloor)()
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	running, err := startDaemon(settings, log)
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-running.failed:
			running.stop()
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(running.gateway, file, log)
				continue
			}
			log.Info("draining", zap.String("signal", sig.String()), zap.Duration("at most", settings.Replica.DrainTimeout))
			running.stop()
			log.Info("ended")
			_ = log.Sync() // standard error can't be synced on every system, and nothing is left to be done
			return nil
		}
	}
}

// reload gives the gateway what it can take of the settings as they are now.
func reload(g *gateway.Gateway, file string, log *zap.Logger) {
	settings, err := config.Load(file)
	if err == nil {
		err = g.Reload(settings)
	}
	if err != nil {
		log.Error("settings not taken", zap.String("file", file), zap.Error(err))
		return
	}
	log.Info("settings taken", zap.String("file", file))
}
