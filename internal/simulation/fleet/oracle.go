package fleet

import (
	"errors"
	"slices"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// Oracles give replicas knowledge that real replicas can't have. Each field adds one piece of knowledge, so that a
// comparison measures the cost of not having it. Oracles that pick an engine act after the router's decision: the
// router is unchanged and is not notified that the attempt went to another engine. Oracles read the state of other
// actors, so a run with oracles must have one shard.
type Oracles struct {
	// KnowPrefillLoad sends a prefill to the healthy, warm endpoint where it would finish first, given the work of all
	// replicas there.
	KnowPrefillLoad bool
	// KnowDecodeLoad sends a decode to the healthy, warm endpoint with the fewest streams, counting all replicas.
	KnowDecodeLoad bool
	// KnowHealth lists engines that a fault makes unhealthy as draining, as soon as the fault starts.
	KnowHealth bool
	// KnowSlowStart limits the work that all replicas together send to an engine in slow start to what the engine can
	// take. It replaces the slow start of each router.
	KnowSlowStart bool
	// NoLoadShedding gives late answers the full weight, so that routers reject no request on arrival and cancel none
	// that is late.
	NoLoadShedding bool
	// NoTimeouts lets an attempt at a healthy engine run until the request's deadline, without the router's timeout.
	NoTimeouts bool
}

func (o Oracles) enabled() bool { return o != Oracles{} }

// ErrOracleShards is returned if oracles are enabled in a run with several shards.
var ErrOracleShards = errors.New("fleet: oracles read the state of other actors; run the scenario with one shard")

func (o Oracles) validate(shards int) error {
	if o.enabled() && shards > 1 {
		return ErrOracleShards
	}
	return nil
}

// adaptConfig disables the router's functions that an oracle replaces.
func (o Oracles) adaptConfig(c *routing.Config) {
	if o.KnowSlowStart {
		c.SlowStartFor = 0
	}
	if o.NoLoadShedding {
		for i := range c.Classes {
			c.Classes[i].LateWeight = 1
		}
	}
}

// pendingWork is the work that oracles have recently sent to an engine and that may not have arrived. Oracles add it to
// the load of the engine, so that they don't all pick the same engine.
type pendingWork struct {
	seconds float64
	streams int
}

// sendArrived removes a request from an engine's pendingWork. It is scheduled twice the minimum link latency after the
// request is sent, whether or not the request has arrived by then.
type sendArrived struct{ seconds float64 }

func (p *pendingWork) add(seconds float64) {
	p.seconds += seconds
	p.streams++
}

func (p *pendingWork) remove(m sendArrived) {
	p.seconds -= m.seconds
	p.streams--
}

// oracleOverloadFraction limits what an oracle sends to an engine in slow start, as a fraction of the work that would
// overload the engine.
const oracleOverloadFraction = 0.5

// pickByOracle returns the engine with the lowest cost if an oracle applies to the request. Otherwise it returns the
// router's pick.
func (r *replica) pickByOracle(request *inflightRequest, routerPick int) int {
	role := r.fleet.config.Kinds[r.endpoints.entries[routerPick].kind].Role
	if !r.oracleApplies(request, routerPick, role) {
		return routerPick
	}
	j := oracleJob(request, role)
	bestEngine, lowestCost := routerPick, 0.0
	for i, entry := range r.endpoints.entries {
		if !r.oracleMayPick(i, entry, role, j) {
			continue
		}
		cost := r.fleet.engines[i].oracleCost(j, role)
		if lowestCost == 0 || cost < lowestCost || cost == lowestCost && i == routerPick {
			bestEngine, lowestCost = i, cost
		}
	}
	e := r.fleet.engines[bestEngine]
	seconds := e.model.PrefillBacklog(j) - e.model.PrefillBacklog(&enginemodel.Job{FetchTokens: 1, PrefillOnly: true})
	e.pendingOracleWork.add(seconds)
	e.schedule(2*r.fleet.options.LinkLatency, sendArrived{seconds})
	return bestEngine
}

// oracleApplies reports whether an oracle may replace the router's pick for a request.
func (r *replica) oracleApplies(request *inflightRequest, routerPick int, role routing.Role) bool {
	o, e := r.fleet.options.Oracles, r.fleet.engines[routerPick]
	if !o.enabled() { // with several shards, this goroutine must not read the engine's state
		return false
	}
	slowStart := e.model.CapacityFraction() < 1
	switch {
	case role == routing.RoleMixed, !e.healthy():
		return false
	case role == routing.RoleDecode && r.mayHaveEffect(request) && r.sentToDecode(request):
		return false
	case slowStart:
		return o.KnowSlowStart
	case role == routing.RolePrefill:
		return o.KnowPrefillLoad
	case role == routing.RoleDecode:
		return o.KnowDecodeLoad
	}
	return true
}

// oracleJob returns the job that a request's next attempt would be at an engine.
func oracleJob(request *inflightRequest, role routing.Role) *enginemodel.Job {
	work := &request.message.work
	j := &enginemodel.Job{
		PromptTokens: work.promptTokens, Prefix: work.prefix, PrefixTokens: work.prefixTokens, Session: work.session,
		OutputTokens: work.outputTokens, PrefillOnly: role == routing.RolePrefill,
	}
	if role == routing.RoleDecode && request.readState.engine >= 0 {
		j.FetchTokens = max(j.PromptTokens, 1)
	}
	return j
}

// oracleMayPick reports whether an oracle may send a job to an engine.
func (r *replica) oracleMayPick(engine int, entry endpoint, role routing.Role, j *enginemodel.Job) bool {
	if entry.state != routing.EndpointReady || r.fleet.config.Kinds[entry.kind].Role != role {
		return false
	}
	e := r.fleet.engines[engine]
	if !e.healthy() || e.model.CapacityFraction() < 1 && !r.fleet.options.Oracles.KnowSlowStart {
		return false
	}
	return !e.model.NearOverload(j, oracleOverloadFraction)
}

// oracleCost returns the cost by which an oracle compares engines: the time until a prefill would end, or the number of
// streams with a decode. Both are relative to the engine's present capacity.
func (e *engine) oracleCost(j *enginemodel.Job, role routing.Role) float64 {
	if role == routing.RolePrefill {
		return (e.model.PrefillBacklog(j) + e.pendingOracleWork.seconds) / e.model.CapacityFraction()
	}
	return float64(e.model.InFlight()+e.pendingOracleWork.streams+1) / e.model.CapacityFraction()
}

// healthy reports whether the engine is up, accepts work and is affected by no fault.
func (e *engine) healthy() bool {
	return e.up && !e.refusesConnections && len(e.faults) == 0 && !e.isDraining()
}

// sentToDecode reports whether an attempt of a request was sent to a decode endpoint.
func (r *replica) sentToDecode(request *inflightRequest) bool {
	return slices.ContainsFunc(request.attempts, func(a *attempt) bool {
		return r.fleet.config.Kinds[r.endpoints.entries[a.engine].kind].Role == routing.RoleDecode
	})
}

// marksUnhealthy reports whether the health oracle lists the engines that a fault affects as draining. At least half of
// the healthy engines of their kind must be left. Faults are ignored that the endpoint list shows anyway, such as a
// crash, and those after which an engine still serves requests, such as a cleared cache.
func (s *apiServer) marksUnhealthy(f *scenario.Fault, affected int) bool {
	if !s.fleet.options.Oracles.KnowHealth {
		return false
	}
	switch f.Type {
	case "drain", "remove", "crash", "forget", "silent-restart", "role-force":
		return false
	}
	healthyCount := 0
	for i, e := range s.fleet.engines {
		if entry := &s.engines[i]; (f.EngineKind == "" || e.kind.Name == f.EngineKind) && entry.up && !entry.unhealthy {
			healthyCount++
		}
	}
	return healthyCount >= 2*affected
}
