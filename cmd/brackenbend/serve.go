package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/gateway"
	"brackenbend/internal/gctuning"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

func serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run a front",
		Long: `Run a front until SIGTERM or SIGINT, which lets it answer what it holds (within <front drain="..."/>) and exit.
SIGHUP reads the settings again and takes models, rules, sessions and prefixes; a file with problems, or one that
differs elsewhere, is reported and changes nothing.`,
		Example: "  brackenbend serve -c front.xml",
		Args:    exactly(0),
		RunE:    func(*cobra.Command, []string) error { return serve(file) },
	}
	cmd.Flags().StringVarP(&file, "config", "c", "", "settings file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// heapFloor is what a front's heap may grow to between collections (docs/front.md, Bounds).
const heapFloor = 64 << 20

func serve(file string) error {
	set, err := config.Load(file)
	if err != nil {
		return configError(err)
	}
	log, err := telemetry.NewLogger(os.Stderr, set.Log.Format, set.Log.Level, set.Log.LinesPerSecond)
	if err != nil {
		return err
	}
	log = log.With(zap.String("front", set.Replica.Name))
	if os.Getenv("GOGC") == "" { // whoever sets it means it
		defer gctuning.SetHeapFloor(heapFloor)()
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := startFront(set, log)
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-d.failed:
			d.stop()
			return err
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				log.Info("draining", zap.String("signal", sig.String()), zap.Duration("at most", set.Replica.DrainTimeout))
				d.stop()
				log.Info("ended")
				_ = log.Sync()
				return nil
			}
			if err := reload(d.front, file); err != nil {
				log.Error("settings not taken", zap.String("file", file), zap.Error(err))
			} else {
				log.Info("settings taken", zap.String("file", file))
			}
		}
	}
}

func reload(f *gateway.Gateway, file string) error {
	set, err := config.Load(file)
	if err != nil {
		return err
	}
	return f.Reload(set)
}

// daemon is a running front with its list of engines and its admin listener.
type daemon struct {
	front  *gateway.Gateway
	addr   string
	failed chan error
	stop   func()
}

// startFront wires a front: listeners, the list of engines, metrics.
func startFront(set *config.Settings, log *zap.Logger) (*daemon, error) {
	m := telemetry.NewMetrics()
	f, err := gateway.NewFromSettings(set, log, m)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", set.Replica.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &daemon{front: f, addr: l.Addr().String(), failed: make(chan error, 2)}
	var admin net.Listener
	if set.Replica.Admin != "" {
		if admin, err = net.Listen("tcp", set.Replica.Admin); err != nil {
			l.Close()
			return nil, fmt.Errorf("admin: %w", err)
		}
		go func() {
			if err := m.Serve(admin, f.NotReady); !errors.Is(err, net.ErrClosed) {
				d.failed <- err
			}
		}()
	}
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	if err := follow(ctx, set, f, log, watched); err != nil {
		cancel()
		l.Close()
		return nil, err
	}
	go func() {
		if err := f.Serve(l); err != nil {
			d.failed <- err
		}
	}()
	log.Info("serving", zap.String("listen", d.addr))
	d.stop = func() {
		ctx, done := context.WithTimeout(context.Background(), set.Replica.DrainTimeout)
		defer done()
		f.Shutdown(ctx)
		cancel()
		<-watched
		if admin != nil {
			admin.Close()
		}
	}
	return d, nil
}

// follow gives the front its list: once from the settings, or by watching the register until ctx ends.
func follow(ctx context.Context, set *config.Settings, f *gateway.Gateway, log *zap.Logger, watched chan struct{}) error {
	if set.APIServer == nil {
		var list []endpointslice.Endpoint
		for _, s := range set.Servers {
			list = append(list, endpointslice.Endpoint{Name: s.Name, Address: s.Address, Kind: s.Kind, Zone: s.Zone, Cell: s.Cell, State: routing.EndpointReady})
		}
		f.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: list})
		close(watched)
		return nil
	}
	r := set.APIServer
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext, ResponseHeaderTimeout: 10 * time.Second}
	if r.CAFile != "" {
		pem, err := os.ReadFile(r.CAFile)
		if err != nil {
			return fmt.Errorf("register ca-file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("register ca-file: %s holds no certificate", r.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	w := &endpointslice.Watcher{
		URL: r.URL, Namespace: r.Namespace, Selector: r.Selector, KindLabel: r.KindLabel, CellLabel: r.CellLabel,
		TokenFile: r.TokenFile, CacheFile: r.CacheFile, Client: &http.Client{Transport: transport}, UserAgent: gateway.UserAgent(set), OnUpdate: f.UpdateEndpoints,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second, WatchTimeout: 90 * time.Second,
		Log: func(msg string, err error) { log.Warn(msg, zap.Error(err)) },
	}
	go func() {
		defer close(watched)
		w.Run(ctx)
	}()
	return nil
}
