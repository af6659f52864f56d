package fleet

import (
	"errors"
	"slices"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// Oracles give replicas knowledge that no replica can have, each of them one thing, so that the cost of not having it
// can be measured. They act between the router's decision and its execution: the router itself is unchanged, and does
// not learn that another engine was taken. They read the state of other actors, so a run with one has one shard.
type Oracles struct {
	// KnowPrefillLoad sends a prefill to the healthy, warm endpoint where it would end first, whatever other replicas
	// have there.
	KnowPrefillLoad bool
	// KnowDecodeLoad sends a decode to the healthy, warm endpoint with the fewest streams of all replicas.
	KnowDecodeLoad bool
	// KnowHealth notifies replicas at once of engines that do harm.
	KnowHealth bool
	// KnowSlowStart lets replicas know together what an engine in slow start can take, in place of their own slow start.
	KnowSlowStart bool
	// NoLoadShedding rejects nothing on arrival, and cancels nothing that is late.
	NoLoadShedding bool
	// NoTimeouts gives an attempt at a healthy engine all the time that its client waits.
	NoTimeouts bool
}

func (o Oracles) any() bool { return o != Oracles{} }

// ErrOracleShards is returned for a run with oracles on several shards.
var ErrOracleShards = errors.New("fleet: oracles read the state of other actors; play the scenario on one shard")

func (o Oracles) check(shards int) error {
	if o.any() && shards > 1 {
		return ErrOracleShards
	}
	return nil
}

// adapt changes the router's configuration where an oracle replaces one of its functions.
func (o Oracles) adapt(c *routing.Config) {
	if o.KnowSlowStart {
		c.SlowStartFor = 0
	}
	if o.NoLoadShedding {
		for i := range c.Classes {
			c.Classes[i].LateWeight = 1
		}
	}
}

// pendingWork is work that replicas have sent by an oracle and that has not arrived.
type pendingWork struct {
	seconds float64
	streams int
}

// sendArrived is when a request that an oracle sent to an engine has surely arrived.
type sendArrived struct{ seconds float64 }

func (p *pendingWork) add(seconds float64) {
	p.seconds += seconds
	p.streams++
}

func (p *pendingWork) remove(m sendArrived) {
	p.seconds -= m.seconds
	p.streams--
}

// oracleOverload is the part of what overloads an engine in slow start that an oracle lets it have.
const oracleOverload = 0.5

// pickByOracle returns the engine that an oracle picks in place of the router's; picked where none knows better.
func (r *replica) pickByOracle(request *inflightRequest, picked int) int {
	role := r.fleet.config.Kinds[r.endpoints.known[picked].kind].Role
	if !r.hasOracle(request, picked, role) {
		return picked
	}
	j := oracleJob(request, role)
	best, least := picked, 0.0
	for i, listed := range r.endpoints.known {
		if !r.mayPick(i, listed, role, j) {
			continue
		}
		cost := r.fleet.engines[i].oracleCost(j, role)
		if least == 0 || cost < least || cost == least && i == picked {
			best, least = i, cost
		}
	}
	e := r.fleet.engines[best]
	seconds := e.model.PrefillBacklog(j) - e.model.PrefillBacklog(&enginemodel.Job{FetchTokens: 1, PrefillOnly: true})
	e.pending.add(seconds)
	e.schedule(2*r.fleet.options.Link, sendArrived{seconds})
	return best
}

// hasOracle reports whether an oracle concerns a request that the router sends to an engine.
func (r *replica) hasOracle(request *inflightRequest, picked int, role routing.Role) bool {
	o, e := r.fleet.options.Oracles, r.fleet.engines[picked]
	if !o.any() { // several shards are allowed: the engine's state must not be read from here
		return false
	}
	slowStart := e.model.CapacityFraction() < 1
	switch {
	case role == routing.RoleMixed, !e.healthy():
		return false
	case role == routing.RoleDecode && r.mayHaveEffect(request) && r.wasDecoded(request):
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

// oracleJob returns the work of a request's next attempt.
func oracleJob(request *inflightRequest, role routing.Role) *enginemodel.Job {
	work := &request.message.work
	j := &enginemodel.Job{
		PromptTokens: work.prompt, Prefix: work.prefix, PrefixTokens: work.prefixLen, Session: work.session,
		OutputTokens: work.out, PrefillOnly: role == routing.RolePrefill,
	}
	if role == routing.RoleDecode && request.state.engine >= 0 {
		j.FetchTokens = max(j.PromptTokens, 1)
	}
	return j
}

// mayPick reports whether an oracle may send a job to an engine.
func (r *replica) mayPick(engine int, listed endpoint, role routing.Role, j *enginemodel.Job) bool {
	if listed.state != routing.EndpointReady || r.fleet.config.Kinds[listed.kind].Role != role {
		return false
	}
	e := r.fleet.engines[engine]
	if !e.healthy() || e.model.CapacityFraction() < 1 && !r.fleet.options.Oracles.KnowSlowStart {
		return false
	}
	return !e.model.NearOverload(j, oracleOverload)
}

// oracleCost returns what an oracle compares engines by: the time until a prefill ends, or the streams beside a decode.
func (e *engine) oracleCost(j *enginemodel.Job, role routing.Role) float64 {
	if role == routing.RolePrefill {
		return (e.model.PrefillBacklog(j) + e.pending.seconds) / e.model.CapacityFraction()
	}
	return float64(e.model.InFlight()+e.pending.streams+1) / e.model.CapacityFraction()
}

// healthy reports whether nothing is wrong with the engine.
func (e *engine) healthy() bool { return e.up && !e.refuses && len(e.faults) == 0 && !e.isDraining() }

// wasDecoded reports whether an attempt of a request went to a decode endpoint.
func (r *replica) wasDecoded(request *inflightRequest) bool {
	return slices.ContainsFunc(request.attempts, func(a *attempt) bool {
		return r.fleet.config.Kinds[r.endpoints.known[a.engine].kind].Role == routing.RoleDecode
	})
}

// notifiesHarm reports whether the health oracle takes the engines of a fault off the list: where they do harm, and
// enough others of their kind are left.
func (s *apiServer) notifiesHarm(f *scenario.Fault, struck int) bool {
	if !s.fleet.options.Oracles.KnowHealth {
		return false
	}
	switch f.What {
	case "drain", "remove", "crash", "forget", "silent-restart", "role-force":
		return false
	}
	left := 0
	for i, e := range s.fleet.engines {
		if listed := &s.engines[i]; (f.Kind == "" || e.kind.Name == f.Kind) && listed.up && !listed.harmful {
			left++
		}
	}
	return left >= 2*struck
}
