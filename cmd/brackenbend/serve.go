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

// heapFloor is the heap size in bytes below which the garbage collector does not run (docs/gateway.md, Bounds).
const heapFloor = 64 << 20

func serveCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run a gateway with a settings file",
		Long: `Run a gateway until SIGTERM or SIGINT. It then answers the requests that it has accepted, within the
time of <front drain="..."/>, and exits.

SIGHUP reloads the models, rules, sessions and prefixes from the settings file. If the file is
invalid, or differs in another element, the error is logged and nothing changes.`,
		Example: "  brackenbend serve -c front.xml",
		Args:    exactArgs(0),
		RunE:    func(*cobra.Command, []string) error { return serve(settingsFile) },
	}
	cmd.Flags().StringVarP(&settingsFile, "config", "c", "", "settings `file`")
	mustRequire(cmd.MarkFlagRequired("config"))
	return cmd
}

// mustRequire panics if a flag could not be marked as required, because the command does not define it.
func mustRequire(err error) {
	if err != nil {
		panic(err)
	}
}

func serve(settingsFile string) error {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return configError(err)
	}
	log, err := telemetry.NewLogger(os.Stderr, settings.Log.Format, settings.Log.Level, settings.Log.LinesPerSecond)
	if err != nil {
		return err
	}
	log = log.With(zap.String("front", settings.Replica.Name))
	if os.Getenv("GOGC") == "" { // an operator's setting takes precedence
		defer gctuning.SetHeapFloor(heapFloor)()
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	gatewayDaemon, err := startDaemon(settings, log)
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-gatewayDaemon.listenerErrors:
			gatewayDaemon.stop()
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reloadSettings(gatewayDaemon.gateway, settingsFile, log)
				continue
			}
			log.Info("draining", zap.String("signal", sig.String()), zap.Duration("at most", settings.Replica.DrainTimeout))
			gatewayDaemon.stop()
			log.Info("gateway stopped")
			_ = log.Sync() // standard error can't be synced on every system
			return nil
		}
	}
}

// reloadSettings reads the settings file again and gives the gateway what it can change while it runs.
func reloadSettings(g *gateway.Gateway, file string, log *zap.Logger) {
	settings, err := config.Load(file)
	if err == nil {
		err = g.Reload(settings)
	}
	if err != nil {
		log.Error("settings not reloaded", zap.String("file", file), zap.Error(err))
		return
	}
	log.Info("settings reloaded", zap.String("file", file))
}
