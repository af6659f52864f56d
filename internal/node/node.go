package node

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/internal/gateway"
	"brackenbend/internal/gctuning"
	"brackenbend/internal/http1"
	"brackenbend/internal/node/discovery"
	"brackenbend/internal/node/protocol"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Node is a running front node.
type Node struct {
	front  *gateway.Gateway
	watch  *discovery.Watcher
	log    *zap.Logger
	file   string
	env    func(string) string
	addr   string
	failed chan error
	stop   func()
	once   sync.Once
}

// Start starts a front node by the configuration in file. It serves from the known list until discovery answers.
func Start(file string, env func(string) string, log *zap.Logger) (*Node, error) {
	c, err := Load(file, env)
	if err != nil {
		return nil, err
	}
	log = log.With(zap.String("node", c.Name))
	b := c.ResourceLimits()
	undo := b.apply()
	calm := func() {}
	if os.Getenv("GOGC") == "" { // whoever sets it means it
		calm = gctuning.SetHeapFloor(b.HeapFloor)
	}
	n := &Node{log: log, file: file, env: env, failed: make(chan error, 1)}
	clients := &protocol.Clients{Classes: c.Site.Routing.Classes, Tenants: c.Site.Tenants, NotReady: func() string { return n.front.NotReady() }}
	if n.front, err = gateway.New(options(c, b, clients), log, telemetry.NewMetrics()); err != nil {
		return nil, err
	}
	known := endpointslice.Update{}
	if c.CachedList != nil {
		if known, err = c.CachedList.Update(); err != nil {
			log.Warn("the known list can't be used; starting with none", zap.Error(err))
			known = endpointslice.Update{}
		}
	}
	known.Scope = routing.ListCached
	n.front.UpdateEndpoints(known) // also when it is empty: a node that is not ready gets no clients, and discovery may be down
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		n.front.Shutdown(context.Background())
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	n.watch = &discovery.Watcher{
		OnUpdate: func(u endpointslice.Update) { n.front.UpdateEndpoints(u) }, WatchTimeout: watchHold, ConnectTimeout: watchConnect, FirstByteTimeout: c.watchBegin(), ResponseTimeout: watchAnswer, MaxBackoff: watchPause,
		MaxListBytes: listMost, Seed: c.Seed, Log: func(msg string, err error) { log.Warn(msg, zap.Error(err)) },
	}
	n.watch.SetAddress(c.Discovery)
	go func() {
		defer close(watched)
		n.watch.Run(ctx)
	}()
	go func() {
		if err := n.front.Serve(l); err != nil {
			n.failed <- err
		}
	}()
	n.stop = func() {
		_, cut := c.drain()
		ctx, done := context.WithTimeout(context.Background(), cut)
		defer done()
		n.front.Shutdown(ctx)
		cancel()
		<-watched
		calm()
		undo()
	}
	log.Info("serving", zap.String("listen", n.addr), zap.String("discovery", c.Discovery), zap.Any("budget", b))
	return n, nil
}

// listMost bounds a list, in bytes.
const listMost = 8 << 20

func options(c *Config, b ResourceLimits, way gateway.ClientProtocol) gateway.Options {
	site := c.Site
	idle := site.ConnIdleTimeout
	if idle <= 0 {
		idle = idleTime
	}
	dial := site.DialTimeout
	if dial <= 0 {
		dial = dialTime
	}
	linger, _ := c.drain()
	return gateway.Options{
		Routing: site.Routing, Kinds: site.Kinds, Tenants: site.Tenants, Seed: c.Seed, Protocol: way, Limits: b.limits(), AnswerMargin: margin,
		FirstRequestTimeout: firstTime, MinIdleTime: idleLeast, AcceptWhileDraining: linger, CutBrokenStreams: true, RejectPipelining: true, SendRetryAfter: site.RetryAfter, FractionalRetryAfter: true,
		Engines: &engine.Client{
			Protocol: protocol.Engines{}, LoadReportHeader: protocol.HeaderLoadReport, StateByRequestID: true, RequireLastChunk: true, RunsWhenComplete: true, SettleDelay: settle,
			DialTimeout: dial, HeaderTimeout: headTime, MaxStreamBytes: bodyMost, MaxConnsPerEndpoint: b.MaxConnsPerEngine, MaxConns: b.MaxEngineConns, MaxIdlePerEndpoint: b.MaxConnsPerEngine,
			IdleTimeout: idle * 2 / 3, ReuseDelay: rest, StreamIdleTimeout: streamQuiet, MaxEventBytes: 64 << 10, MaxReplyBytes: bodyMost, Limits: http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100},
		},
	}
}

// drain is how long after SIGTERM requests are still taken in, and when what is open is cut short. Clients that ask for the
// rest of a stream need another front node for it that takes new connections; the platform turns to the next one once the
// longest deadline has passed, so they are sent off before. Since they come again, connections that clients keep using are
// served for most of that time: the other nodes may be restarting too. Elsewhere a stream has until shortly before SIGKILL,
// and nothing is taken in that would be cut then.
func (c *Config) drain() (linger, cut time.Duration) {
	longest := time.Duration(0)
	for _, k := range c.Site.Routing.Classes {
		longest = max(longest, k.Deadline)
	}
	longest = min(longest, killMost)
	kill := longest + killAfter
	linger, cut = min(lingerMost, kill/2), kill-cutBefore
	if c.Site.Routing.ResumeStreams {
		linger = max(linger, longest*2/3)
		cut = max(longest-cutBefore, linger)
	}
	return linger, cut
}

// Failed tells why the front node can't go on.
func (n *Node) Failed() <-chan error { return n.failed }

// Addr is where it listens.
func (n *Node) Addr() string { return n.addr }

// Reload reads the configuration anew. Discovery moves; all else needs a restart, and a bad file changes nothing.
func (n *Node) Reload() {
	c, err := Load(n.file, n.env)
	if err != nil {
		n.log.Error("configuration not taken", zap.Error(err))
		return
	}
	n.watch.SetAddress(c.Discovery)
	n.log.Info("configuration taken", zap.String("discovery", c.Discovery))
}

// Stop answers what is open and ends.
func (n *Node) Stop() {
	n.once.Do(n.stop)
	n.log.Info("ended")
	_ = n.log.Sync()
}
