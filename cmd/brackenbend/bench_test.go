package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The benchmarks compare the gateway with reference proxies, which use httputil.ReverseProxy and pick engines at
// random. Each runs in a process of its own, in front of the same engines, which answer at once.
// Run: go test ./cmd/brackenbend -run xxx -bench Against -benchtime 1x

// BenchmarkAgainstProxyLatency sends 150 requests a second, each to one of the four targets at random, and reports by
// how much each process delays the first token, compared with an engine alone. Tokens are 5 ms apart.
func BenchmarkAgainstProxyLatency(b *testing.B) {
	for range b.N {
		load := &latencyLoad{
			targets:     startTargets(b, 20, 5*time.Millisecond, nil),
			samples:     map[string][]time.Duration{},
			idleClients: map[string]chan *benchClient{},
		}
		load.run(b)
		for _, target := range processTargets {
			for _, quantile := range []struct {
				name  string
				value float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				added := load.quantile(target, quantile.value) - load.quantile(targetEngine, quantile.value)
				b.ReportMetric(added, target+"-added-"+quantile.name+"-us")
			}
		}
	}
}

// latencyLoad is an open load of requests with Poisson arrivals.
type latencyLoad struct {
	targets     *benchTargets
	idleClients map[string]chan *benchClient // clients whose connections are free, by target

	mu      sync.Mutex
	samples map[string][]time.Duration // times to the first token, by target
}

func (l *latencyLoad) run(b *testing.B) {
	b.Helper()
	const (
		perSecond = 150
		requests  = perSecond * 30 // 30 s
		warmUp    = 300            // first requests, which are not measured
	)
	for target := range l.targets.addresses {
		l.idleClients[target] = make(chan *benchClient, 200)
	}
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 1))
	targetNames := append([]string{targetEngine}, processTargets...)
	nextArrival := time.Now()
	for i := range requests {
		nextArrival = nextArrival.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(nextArrival))
		target := targetNames[random.IntN(len(targetNames))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.sendRequest(b, target, i > warmUp)
		}()
	}
	wg.Wait()
}

// sendRequest sends one request on an idle connection, or on a new one.
func (l *latencyLoad) sendRequest(b *testing.B, target string, measured bool) {
	b.Helper()
	var client *benchClient
	select {
	case client = <-l.idleClients[target]:
	default:
		client = &benchClient{}
	}
	timeToFirstToken, err := client.send(l.targets.addresses[target], true)
	if err != nil {
		reportFailure(b, target, err)
		return
	}
	l.idleClients[target] <- client
	if !measured {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[target] = append(l.samples[target], timeToFirstToken)
}

// quantile returns a quantile of the times to the first token at a target, in microseconds. It must be called after
// run.
func (l *latencyLoad) quantile(target string, quantile float64) float64 {
	samples := l.samples[target]
	slices.Sort(samples)
	return float64(samples[int(quantile*float64(len(samples)))].Microseconds())
}

// BenchmarkAgainstProxyThroughput runs a closed loop against each target in turn, a second at a time, and reports the
// requests that are served for each second of CPU time of the target's process.
func BenchmarkAgainstProxyThroughput(b *testing.B) {
	for _, tokens := range []int{1, 200} {
		b.Run(fmt.Sprintf("%d tokens", tokens), func(b *testing.B) {
			for range b.N {
				measureThroughput(b, tokens)
			}
		})
	}
}

func measureThroughput(b *testing.B, tokens int) {
	b.Helper()
	const rounds = 4
	targets := startTargets(b, tokens, 0, nil)
	cpuByTarget, servedByTarget := map[string]float64{}, map[string]float64{}
	for range rounds {
		for _, target := range processTargets {
			cpuBefore := cpuSeconds(b, targets.commands[target])
			servedByTarget[target] += float64(closedLoop(b, target, targets.addresses[target], time.Second))
			cpuByTarget[target] += cpuSeconds(b, targets.commands[target]) - cpuBefore
		}
	}
	gatewayRate := servedByTarget[targetGateway] / cpuByTarget[targetGateway]
	b.ReportMetric(gatewayRate, targetGateway+"-requests/cpu-s")
	b.ReportMetric(gatewayRate*float64(tokens), targetGateway+"-tokens/cpu-s")
	for _, target := range processTargets[1:] {
		proxyRate := servedByTarget[target] / cpuByTarget[target]
		b.ReportMetric(proxyRate, target+"-requests/cpu-s")
		b.ReportMetric(gatewayRate/proxyRate, "ratio-to-"+target)
	}
}

// closedLoop has 32 clients send requests for a time, each client one after another, and returns how many were served.
func closedLoop(b *testing.B, target, address string, duration time.Duration) int64 {
	b.Helper()
	const clients = 32
	var served atomic.Int64
	var wg sync.WaitGroup
	deadline := time.Now().Add(duration)
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &benchClient{}
			for time.Now().Before(deadline) {
				if _, err := client.send(address, true); err != nil {
					reportFailure(b, target, err)
					client = &benchClient{}
					continue
				}
				served.Add(1)
			}
			if client.conn != nil {
				client.conn.Close()
			}
		}()
	}
	wg.Wait()
	return served.Load()
}

// BenchmarkOpenStreams measures the memory of the gateway's process for each open stream.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 9000 // each takes two file descriptors in each process; the usual limit is 20,000
	for range b.N {
		endStreams := make(chan struct{})
		targets := startTargets(b, 1, 0, endStreams)
		gatewayCommand := targets.commands[targetGateway]
		residentBefore := residentKiB(b, gatewayCommand)
		var clients []*benchClient
		for range streams {
			client := &benchClient{}
			if _, err := client.send(targets.addresses[targetGateway], false); err != nil {
				b.Fatal(len(clients), err)
			}
			clients = append(clients, client)
		}
		b.ReportMetric((residentKiB(b, gatewayCommand)-residentBefore)/streams, "KiB/stream")
		close(endStreams)
		for _, client := range clients {
			client.conn.Close()
		}
	}
}
