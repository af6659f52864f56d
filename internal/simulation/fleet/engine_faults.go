package fleet

import (
	"cmp"

	"brackenbend/internal/audit"
	"brackenbend/routing"
)

// maxResetToken is the last token at which the fault reset-mid-stream resets a stream.
const maxResetToken = 5

// engineFault begins or ends a fault of an engine.
type engineFault struct {
	what   string
	on     bool
	part   float64
	factor float64
	class  string
}

// strikes draws whether a fault strikes a request.
func (e *engine) strikes(what string) bool {
	fault, ok := e.faults[what]
	return ok && e.rnd.Float64() < cmp.Or(fault.part, 1)
}

// failsOnArrival ends a job, or lets it hang, where a fault or the engine's role demands it.
func (e *engine) failsOnArrival(j *job) bool {
	_, stalls := e.faults["stall"]
	classFault, failsClass := e.faults["fail-class"]
	decode := j.request.decode
	needsPrefill := !decode || j.FetchTokens == 0
	switch {
	case stalls:
	case failsClass && classFault.class == j.request.work.class, e.strikes("fail-fast"):
		e.endWith(j, routing.EngineError)
	case e.strikes("reset-after-request"):
		e.endWith(j, routing.ConnectionReset)
	case needsPrefill && !e.params.CanPrefill, decode && !e.params.CanDecode:
		missing := decode && j.FetchTokens == 0 && e.params.CanDecode
		e.end(j, attemptResult{result: routing.Rejected, stateMissing: missing})
	default:
		return false
	}
	return true
}

// effectFaults are those that strike once a request took effect. Their parts are of the same requests: a request is
// struck by one of them at most.
var effectFaults = []string{"reset-after-effect", "fail-after-effect", "stall-after-effect"}

// failsAfterEffect ends a job, or lets it hang, where one of the effectFaults strikes it.
func (e *engine) failsAfterEffect(j *job) bool {
	var u float64
	for _, what := range effectFaults {
		fault, ok := e.faults[what]
		if !ok {
			continue
		}
		if u == 0 {
			u = e.rnd.Float64()
		}
		if part := cmp.Or(fault.part, 1); u >= part {
			u -= part
			continue
		}
		switch what {
		case "reset-after-effect":
			e.endWith(j, routing.ConnectionReset)
			e.cancelLater(j)
		case "fail-after-effect":
			e.endWith(j, routing.EngineError)
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
	switch m.what {
	case "crash":
		if m.on {
			e.crash()
		} else {
			e.restart()
		}
	case "forget":
		if m.on {
			e.model.ClearPrefixCache()
		}
	case "silent-restart":
		if m.on {
			e.lose()
		}
	case "liar":
		e.role.misreports = m.on
	case "refuse-connects":
		e.refuses = m.on
	default:
		if m.on {
			e.faults[m.what] = m
		} else {
			delete(e.faults, m.what)
		}
		if m.what == "slow" {
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
	e.role.state, e.role.switching = e.role.state.FinishDraining(), false // the crash emptied it
	e.useRole(e.role.state.Role)
	e.reset(e.now(), true)
	e.record(e.now(), audit.Event{Kind: audit.EngineStarted, Engine: e.name})
	e.send(e.fleet.apiServer.id, e.fleet.hop(e.rnd), engineStarted{e.index, e.now()})
}
