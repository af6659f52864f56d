package rolesim

import (
	"container/heap"
	"math"
)

type eventKind uint8

const (
	prefillEnds eventKind = iota
	decodeEnds
	roleSwitchEnds
	outageEnds
	outageBegins
)

type event struct {
	at          float64
	kind        eventKind
	engine      *engine
	incarnation int // of the engine when the event was scheduled; in a later one the event is obsolete
	request     request
	outage      int // index in Scenario.Outages, for outageBegins
}

// eventQueue implements heap.Interface; the earliest event is first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	*q = old[:last]
	return e
}

// schedule adds an event for the current incarnation of its engine.
func (x *sim) schedule(ev event) {
	ev.incarnation = ev.engine.incarnation
	heap.Push(&x.events, ev)
}

func (x *sim) handle(ev event) {
	if ev.kind == outageBegins {
		x.beginOutage(x.scenario.Outages[ev.outage])
		return
	}
	e := ev.engine
	if ev.incarnation != e.incarnation {
		if ev.kind == prefillEnds { // lost in an outage: it is repeated, unless it is too late
			x.prefills.push(ev.request)
			x.dispatch()
		}
		return
	}
	switch ev.kind {
	case prefillEnds:
		x.addRequests(e, -1)
		x.decodes.push(ev.request)
	case decodeEnds:
		x.addRequests(e, -1)
	case roleSwitchEnds:
		x.updateTotals(e)
		e.role, e.state, e.startedAt, e.roleChangedAt = e.target, stateUp, x.now, x.now
		x.addToPools(e)
	case outageEnds:
		x.updateTotals(e)
		e.state, e.startedAt = stateUp, x.now
		x.addToPools(e)
	case outageBegins: // handled above
	}
	x.switchIfDrained(e)
	x.dispatch()
}

// switchIfDrained begins the role switch of an engine that is draining and has no requests left.
func (x *sim) switchIfDrained(e *engine) {
	if e.state == stateDraining && e.requestCount == 0 {
		e.state = stateSwitching
		x.schedule(event{at: x.now + x.scenario.SwitchTime.Seconds(), kind: roleSwitchEnds, engine: e})
	}
}

func (x *sim) beginOutage(outage Outage) {
	var candidates []*engine
	for _, e := range x.engines {
		if e.state != stateDown && e.role == outage.Role {
			candidates = append(candidates, e)
		}
	}
	for _, e := range candidates[:int(math.Round(outage.Fraction*float64(len(candidates))))] {
		x.updateTotals(e)
		x.removeFromPools(e)
		e.incarnation++
		e.requestCount, e.state, e.target = 0, stateDown, e.role
		x.schedule(event{at: x.now + outage.Duration.Seconds(), kind: outageEnds, engine: e})
	}
}
