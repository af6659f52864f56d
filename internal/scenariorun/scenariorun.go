// Package scenariorun plays scripted scenarios (internal/simulation/scenario) on sockets: an API server and engines
// (fakes in this process), replicas (processes of their own), clients, and faults. What passed on the sockets is
// recorded and checked by internal/audit; no replica is queried.
//
// Run owns all that it starts and has ended it when it returns. Goroutines: one that plays the faults and one for each
// fault that is undone later, one for each client session, one that waits for each replica's process, one that measures
// scheduling lag, and the planners. State that they share lies in engineFleet, replicaSet, clientConditions, planners
// and traffic, each with a mutex of its own.
package scenariorun

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/simulation/scenario"
)

// releaseMargin is what a run waits beyond the state TTL for the read states of the last requests: they are released by
// then, or violate the rule.
const releaseMargin = 300 * time.Millisecond

// Options say how a scenario is run.
type Options struct {
	Binary  string    // brackenbend itself, for the replicas
	Env     []string  // of the replicas, beside this process's environment
	WorkDir string    // for settings, cached lists and logs of the replicas
	Log     io.Writer // what happens, line by line; nil = nothing
	// Foreseen is the demand of an earlier run of the scenario: roles then follow the cheapest schedule for it, each
	// change begun as long ahead as it takes, in place of the planner's.
	Foreseen []RoleSample
}

// run is a scenario under way.
type run struct {
	scenario   *scenario.Scenario
	options    Options
	record     *audit.Record
	api        *apiserver.Server
	engines    *engineFleet
	replicas   *replicaSet
	planners   *planners // nil where roles stay
	conditions clientConditions
}

// Run plays a scenario and checks the rules.
func Run(ctx context.Context, played *scenario.Scenario, options Options) (*Report, error) {
	if err := played.CheckRunnable(); err != nil {
		return nil, err
	}
	r := &run{
		scenario:   played,
		options:    options,
		record:     audit.NewRecord(),
		conditions: clientConditions{current: scenario.NormalConditions()},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.replicas.awaitReady(ctx); err != nil {
		return nil, err
	}
	if r.planners != nil {
		r.planners.start()
		defer r.planners.stop()
	}
	lag := startLagMeter()
	clients := newTraffic(r)
	if err := r.playFaultsAndClients(ctx, clients); err != nil {
		lag.stop()
		return nil, err
	}
	time.Sleep(played.Service.StateTTL + releaseMargin)
	if r.planners != nil {
		r.planners.stop()
	}
	for _, replica := range r.replicas.members {
		r.replicas.stop(replica, syscall.SIGTERM)
	}
	return r.report(clients, lag.stop()), nil
}

// playFaultsAndClients plays both side by side, and waits for the end of both.
func (r *run) playFaultsAndClients(ctx context.Context, clients *traffic) error {
	began := time.Now()
	faultsOver := make(chan struct{})
	go func() {
		defer close(faultsOver)
		newFaultScript(r).play(ctx, began)
	}()
	clients.play(ctx, began)
	<-faultsOver
	return ctx.Err()
}

// start starts the API server, the engines and the replicas.
func (r *run) start() (err error) {
	if r.api, err = apiserver.Start("127.0.0.1:0", r.record); err != nil {
		return err
	}
	r.engines = newEngineFleet(r.api)
	r.replicas = newReplicaSet(r)
	changing := r.newChangingEngines()
	if err := r.startEngines(changing); err != nil {
		return err
	}
	if changing.kinds != nil && r.scenario.Planner != nil {
		r.planners = newPlanners(r)
	}
	for i := range r.scenario.Replicas {
		if err := r.startReplica(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) close() {
	if r.replicas != nil {
		r.replicas.close()
	}
	if r.engines != nil {
		r.engines.close()
	}
	if r.api != nil {
		r.api.Close()
	}
}

// logf writes a line of what happens.
func (r *run) logf(format string, args ...any) {
	if r.options.Log == nil {
		return
	}
	line := fmt.Sprintf("%7.2fs  "+format+"\n", append([]any{r.record.Now().Seconds()}, args...)...)
	_, _ = io.WriteString(r.options.Log, line) // progress for people; the run doesn't depend on it
}
