// Package scenariorun plays scripted scenarios (internal/simulation/scenario) on sockets: an API server and engines
// (fakes in this process), replicas (processes of their own), clients, and faults. The fakes and the clients record
// what passes on their sockets, and internal/audit checks the record; the replicas' own view is not used.
//
// Run ends all that it starts before it returns. It starts a goroutine that injects the faults, one for each fault that
// is undone later, for each engine that flaps and for each replica that a fault stops, one for each client session, one
// that waits for each replica's process, one that measures scheduling lag, and those of the planners. The state that
// they share is in engineFleet, replicaSet, clientConditions, planners and loadGenerator, each with its own mutex.
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

// releaseMargin is how much longer than the state TTL a run waits after its last request, so that the record shows
// whether the replicas released the last read states in time.
const releaseMargin = 300 * time.Millisecond

// Options say how a scenario is run.
type Options struct {
	Binary  string    // path of brackenbend, which the replicas run
	Env     []string  // of the replicas, in addition to this process's environment
	WorkDir string    // folder for the replicas' settings, cached endpoint lists and logs
	Log     io.Writer // receives a line for each fault, role change or problem; nil = no log
	// RecordedDemand is the demand that an earlier run of the scenario recorded. Where it is set, roles follow the
	// cheapest schedule for this demand in place of the planner's decisions. Each change of role begins before it is
	// needed, by the time that the scenario states for a change.
	RecordedDemand []RoleSample
}

// run is the state of a scenario while it is played.
type run struct {
	scenario   *scenario.Scenario
	options    Options
	record     *audit.Record
	api        *apiserver.Server
	engines    *engineFleet
	replicas   *replicaSet
	planners   *planners // nil where engines keep their roles
	conditions clientConditions
}

// Run plays a scenario and audits its record.
func Run(ctx context.Context, sc *scenario.Scenario, options Options) (*Report, error) {
	if err := sc.CheckRunnable(); err != nil {
		return nil, err
	}
	r := &run{
		scenario:   sc,
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
	clients := newLoadGenerator(r)
	if err := r.runFaultsAndClients(ctx, clients); err != nil {
		lag.stop()
		return nil, err
	}
	time.Sleep(sc.Service.StateTTL + releaseMargin)
	if r.planners != nil {
		r.planners.stop()
	}
	for _, replica := range r.replicas.members {
		r.replicas.stop(replica, syscall.SIGTERM)
	}
	return r.report(clients, lag.stop()), nil
}

// runFaultsAndClients injects the faults while the clients send requests, and waits until both have ended.
func (r *run) runFaultsAndClients(ctx context.Context, clients *loadGenerator) error {
	start := time.Now()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		newFaultInjector(r).injectAll(ctx, start)
	}()
	clients.generate(ctx, start)
	<-faultsDone
	return ctx.Err()
}

// start starts the API server, the engines and the replicas.
func (r *run) start() (err error) {
	if r.api, err = apiserver.Start("127.0.0.1:0", r.record); err != nil {
		return err
	}
	r.engines = newEngineFleet(r.api)
	r.replicas = newReplicaSet(r)
	roleChange := r.newRoleChangeConfig()
	if err := r.startEngines(roleChange); err != nil {
		return err
	}
	if roleChange.kinds != nil && r.scenario.Planner != nil {
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

// logf writes a line to Options.Log, with the time of the record.
func (r *run) logf(format string, args ...any) {
	if r.options.Log == nil {
		return
	}
	line := fmt.Sprintf("%7.2fs  "+format+"\n", append([]any{r.record.Now().Seconds()}, args...)...)
	_, _ = io.WriteString(r.options.Log, line) // a line that can't be written does not fail the run
}
