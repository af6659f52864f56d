// Package node implements a replica on the platform: its configuration, its resource limits, and its life cycle from
// start to SIGTERM. Package protocol parses and writes the platform's messages, and package discovery watches the
// platform's list of engines. Package gateway handles requests, and package routing makes the routing decisions.
//
// A Node owns the process-wide limits of the runtime from Start to Stop, and two goroutines: one watches discovery, the
// other accepts clients. Both end with Stop.
package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/gateway"
	"brackenbend/internal/node/discovery"
	"brackenbend/internal/node/protocol"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

// Node is a running replica.
type Node struct {
	configFile string
	env        func(string) string
	log        *zap.Logger

	gateway      *gateway.Gateway
	watcher      *discovery.Watcher
	address      string // listen address
	drainTimeout time.Duration
	serveErr     chan error

	stopOnce       sync.Once
	stopWatcher    context.CancelFunc
	watcherGroup   sync.WaitGroup
	restoreRuntime func()
}

// Start starts a node with the configuration in file. The node uses the cached endpoint list until the discovery agent
// answers.
func Start(file string, env func(string) string, log *zap.Logger) (*Node, error) {
	config, err := Load(file, env)
	if err != nil {
		return nil, err
	}
	log = log.With(zap.String("node", config.Name))
	limits := config.ResourceLimits()
	n := &Node{
		configFile:     file,
		env:            env,
		log:            log,
		drainTimeout:   config.drainTimeout(),
		serveErr:       make(chan error, 1),
		restoreRuntime: limits.apply(),
	}
	if err := n.createGateway(config, limits); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		n.gateway.Shutdown(context.Background())
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.address = listener.Addr().String()
	n.startWatcher(config)
	go func() { // ends when the gateway is shut down
		if err := n.gateway.Serve(listener); err != nil {
			n.serveErr <- err
		}
	}()
	log.Info("serving",
		zap.String("listen", n.address), zap.String("discovery", config.Discovery), zap.Any("limits", limits))
	return n, nil
}

// createGateway creates the gateway and gives it the cached list, even an empty one. Without any list, the node would
// not be ready and would get no clients for as long as the discovery agent is down.
func (n *Node) createGateway(config *Config, limits ResourceLimits) error {
	clientProtocol := &protocol.ClientProtocol{
		Classes:        config.Site.Routing.Classes,
		Tenants:        config.Site.Tenants,
		NotReadyReason: func() string { return n.gateway.NotReady() },
	}
	var err error
	n.gateway, err = gateway.New(config.gatewayOptions(limits, clientProtocol), n.log, telemetry.NewMetrics())
	if err != nil {
		return err
	}
	n.gateway.UpdateEndpoints(n.cachedUpdate(config.CachedList))
	return nil
}

// cachedUpdate converts the cached list. A missing or invalid list counts as empty.
func (n *Node) cachedUpdate(list *discovery.List) endpointslice.Update {
	empty := endpointslice.Update{Scope: routing.ListCached}
	if list == nil {
		return empty
	}
	update, err := list.Update()
	if err != nil {
		n.log.Warn("cannot use the cached endpoint list, starting without", zap.Error(err))
		return empty
	}
	update.Scope = routing.ListCached
	return update
}

func (n *Node) startWatcher(config *Config) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopWatcher = cancel
	n.watcher = config.newWatcher(n.gateway.UpdateEndpoints, n.log)
	n.watcherGroup.Go(func() { n.watcher.Run(ctx) })
}

// Failed returns a channel that receives an error if the node can no longer accept clients.
func (n *Node) Failed() <-chan error { return n.serveErr }

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.address }

// Reload reads the configuration file again and applies the address of the discovery agent. All other changes need a
// restart. An invalid file changes nothing.
func (n *Node) Reload() {
	config, err := Load(n.configFile, n.env)
	if err != nil {
		n.log.Error("configuration rejected", zap.Error(err))
		return
	}
	n.watcher.SetAddress(config.Discovery)
	n.log.Info("configuration reloaded", zap.String("discovery", config.Discovery))
}

// Stop drains the node and shuts it down: requests that have no answer within the drain timeout are ended. Streams are
// ended then only if clients resume broken streams, else Stop waits for them. Further calls wait for the first to
// return.
func (n *Node) Stop() {
	n.stopOnce.Do(n.shutdown)
	n.log.Info("node stopped")
	_ = n.log.Sync() // fails on terminals, which need no sync
}

func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), n.drainTimeout)
	defer cancel()
	n.gateway.Shutdown(ctx)
	n.stopWatcher()
	n.watcherGroup.Wait()
	n.restoreRuntime()
}
