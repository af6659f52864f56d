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
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/gateway"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

// Time-outs and backoff of requests to the API server.
const (
	apiServerDialTimeout   = 5 * time.Second
	apiServerHeaderTimeout = 10 * time.Second
	apiServerMinBackoff    = 100 * time.Millisecond
	apiServerMaxBackoff    = 5 * time.Second
	// apiServerWatchTimeout is the time without a message after which a watch is ended. The API server sends a bookmark
	// about once a minute.
	apiServerWatchTimeout = 90 * time.Second
)

// daemon is a running gateway with its endpoint list and its admin listener.
type daemon struct {
	gateway        *gateway.Gateway
	clientAddress  string     // of the client listener
	listenerErrors chan error // receives the error of a listener that failed; buffered for both listeners
	stop           func()     // drains and shuts down; must be called only once
}

// startDaemon starts a gateway with its listeners, its metrics and its endpoint list.
func startDaemon(settings *config.Settings, log *zap.Logger) (*daemon, error) {
	metrics := telemetry.NewMetrics()
	g, err := gateway.NewFromSettings(settings, log, metrics)
	if err != nil {
		return nil, err
	}
	clientListener, err := net.Listen("tcp", settings.Replica.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &daemon{gateway: g, clientAddress: clientListener.Addr().String(), listenerErrors: make(chan error, 2)}
	adminListener, err := d.startAdmin(settings.Replica.Admin, metrics)
	if err != nil {
		return nil, errors.Join(err, clientListener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	watchEnded, err := followEndpoints(ctx, settings, g, log)
	if err != nil {
		cancel()
		return nil, errors.Join(err, clientListener.Close())
	}
	go func() {
		if err := g.Serve(clientListener); err != nil {
			d.listenerErrors <- err
		}
	}()
	log.Info("serving", zap.String("listen", d.clientAddress))
	d.stop = func() {
		ctx, cancelShutdown := context.WithTimeout(context.Background(), settings.Replica.DrainTimeout)
		defer cancelShutdown()
		g.Shutdown(ctx)
		cancel()
		<-watchEnded
		if adminListener != nil {
			_ = adminListener.Close() // the listener only served health and metrics
		}
	}
	return d, nil
}

// startAdmin serves health and metrics at address. It does nothing if address is empty.
func (d *daemon) startAdmin(address string, metrics *telemetry.Metrics) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	go func() {
		if err := metrics.Serve(l, d.gateway.NotReady); !errors.Is(err, net.ErrClosed) {
			d.listenerErrors <- err
		}
	}()
	return l, nil
}

// followEndpoints gives the gateway its endpoint list: once from the settings, or by watching the API server until ctx
// ends. The returned channel is closed after the last update.
func followEndpoints(
	ctx context.Context, settings *config.Settings, g *gateway.Gateway, log *zap.Logger,
) (<-chan struct{}, error) {
	watchEnded := make(chan struct{})
	if settings.APIServer == nil {
		g.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: staticEndpoints(settings)})
		close(watchEnded)
		return watchEnded, nil
	}
	watcher, err := newWatcher(settings, g, log)
	if err != nil {
		return nil, err
	}
	go func() {
		defer close(watchEnded)
		watcher.Run(ctx)
	}()
	return watchEnded, nil
}

// staticEndpoints returns the endpoints that the settings list.
func staticEndpoints(settings *config.Settings) []endpointslice.Endpoint {
	var list []endpointslice.Endpoint
	for _, s := range settings.StaticEndpoints {
		list = append(list, endpointslice.Endpoint{
			Name: s.Name, Address: s.Address, Kind: s.Kind, Zone: s.Zone, Cell: s.Cell, State: routing.EndpointReady,
		})
	}
	return list
}

func newWatcher(
	settings *config.Settings, g *gateway.Gateway, log *zap.Logger,
) (*endpointslice.Watcher, error) {
	apiServer := settings.APIServer
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: apiServerDialTimeout}).DialContext,
		ResponseHeaderTimeout: apiServerHeaderTimeout,
	}
	if apiServer.CAFile != "" {
		roots, err := loadCertificates(apiServer.CAFile)
		if err != nil {
			return nil, fmt.Errorf("register ca-file: %w", err)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return &endpointslice.Watcher{
		URL:          apiServer.URL,
		Namespace:    apiServer.Namespace,
		Selector:     apiServer.Selector,
		KindLabel:    apiServer.KindLabel,
		CellLabel:    apiServer.CellLabel,
		TokenFile:    apiServer.TokenFile,
		CacheFile:    apiServer.CacheFile,
		Client:       &http.Client{Transport: transport},
		UserAgent:    gateway.UserAgent(settings),
		OnUpdate:     g.UpdateEndpoints,
		MinBackoff:   apiServerMinBackoff,
		MaxBackoff:   apiServerMaxBackoff,
		WatchTimeout: apiServerWatchTimeout,
		Log:          func(msg string, err error) { log.Warn(msg, zap.Error(err)) },
	}, nil
}

// loadCertificates reads the certificates of a PEM file.
func loadCertificates(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no PEM certificate", file)
	}
	return pool, nil
}
