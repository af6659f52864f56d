package fleet

import (
	"cmp"

	"brackenbend/internal/audit"
	"brackenbend/routing"
)

// maxResetToken is the last token at which the fault reset-mid-stream resets a stream.
const maxResetToken = 5

// engineFault starts or ends a fault on an engine.
type engineFault struct {
	name     string
	active   bool
	fraction float64
	factor   float64
	class    string
}

// faultApplies draws whether a fault affects a request: with the fault's fraction as the probability, 1 by default.
func (e *engine) faultApplies(name string) bool {
	fault, ok := e.faults[name]
	return ok && e.rnd.Float64() < cmp.Or(fault.fraction, 1)
}

// failsOnArrival ends a job if a fault affects it or the engine's role can't serve it. It reports whether the job must
// not be submitted to the model; a stalled job stays open without an answer.
func (e *engine) failsOnArrival(j *job) bool {
	_, stalls := e.faults["stall"]
	classFault, failsClass := e.faults["fail-class"]
	decode := j.request.decode
	needsPrefill := !decode || j.FetchTokens == 0
	switch {
	case stalls:
	case failsClass && classFault.class == j.request.work.class, e.faultApplies("fail-fast"):
		e.endJobWithResult(j, routing.EngineError)
	case e.faultApplies("reset-after-request"):
		e.endJobWithResult(j, routing.ConnectionReset)
	case needsPrefill && !e.params.CanPrefill, decode && !e.params.CanDecode:
		stateMissing := decode && j.FetchTokens == 0 && e.params.CanDecode
		e.endJob(j, attemptResult{result: routing.Rejected, stateMissing: stateMissing})
	default:
		return false
	}
	return true
}

// afterEffectFaults are the faults that affect a request after it has taken effect. One random draw decides between
// them: their fractions select disjoint sets of requests, so at most one of them affects a request.
var afterEffectFaults = []string{"reset-after-effect", "fail-after-effect", "stall-after-effect"}

// failsAfterEffect reports whether one of the afterEffectFaults affects a job. The job ends with an error, or hangs.
func (e *engine) failsAfterEffect(j *job) bool {
	var draw float64
	for _, name := range afterEffectFaults {
		fault, ok := e.faults[name]
		if !ok {
			continue
		}
		if draw == 0 {
			draw = e.rnd.Float64()
		}
		if fraction := cmp.Or(fault.fraction, 1); draw >= fraction {
			draw -= fraction
			continue
		}
		switch name {
		case "reset-after-effect":
			e.endJobWithResult(j, routing.ConnectionReset)
			e.cancelLater(j)
		case "fail-after-effect":
			e.endJobWithResult(j, routing.EngineError)
			e.cancelLater(j)
		}
		return true
	}
	return false
}

func (e *engine) onFault(m engineFault) {
	if e.up {
		e.model.Advance(e.now())
	}
	switch m.name {
	case "crash":
		if m.active {
			e.crash()
		} else {
			e.restart()
		}
	case "forget":
		if m.active {
			e.model.ClearPrefixCache()
		}
	case "silent-restart":
		if m.active {
			e.dropAllWork()
		}
	case "liar":
		e.role.misreportsRole = m.active
	case "refuse-connects":
		e.refusesConnections = m.active
	default:
		if m.active {
			e.faults[m.name] = m
		} else {
			delete(e.faults, m.name)
		}
		if m.name == "slow" {
			e.model.SetSlowdown(e.slowFactor())
		}
	}
}

func (e *engine) crash() {
	if !e.up {
		return
	}
	e.record(e.now(), audit.Event{Kind: audit.EngineStopped, Engine: e.name})
	e.stop()
}

func (e *engine) restart() {
	if e.up {
		return
	}
	e.up = true
	// The crash ended all work, so a pending drain is complete.
	e.role.state, e.role.switching = e.role.state.FinishDraining(), false
	e.setRoleParams(e.role.state.Role)
	e.resetModel(e.now(), true)
	e.record(e.now(), audit.Event{Kind: audit.EngineStarted, Engine: e.name})
	e.send(e.fleet.apiServer.id, e.fleet.linkDelay(e.rnd), engineStarted{e.index, e.now()})
}
