package rolesim

import (
	"container/heap"
	"math"
)

type eventKind uint8

const (
	prefillDone eventKind = iota
	decodeDone
	roleSwitched
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
		if ev.kind == prefillDone { // lost in an outage: it is repeated, unless it is too late
			x.prefills.push(ev.request)
			x.dispatch()
		}
		return
	}
	switch ev.kind {
	case prefillDone:
		x.addRequests(e, -1)
		x.decodes.push(ev.request)
	case decodeDone:
		x.addRequests(e, -1)
	case roleSwitched:
		x.updateTotals(e)
		e.role, e.state, e.start, e.changed = e.target, up, x.now, x.now
		x.addToPools(e)
	case outageEnds:
		x.updateTotals(e)
		e.state, e.start = up, x.now
		x.addToPools(e)
	case outageBegins: // handled above
	}
	x.switchIfDrained(e)
	x.dispatch()
}

// switchIfDrained begins the role switch of an engine that is draining and has no requests left.
func (x *sim) switchIfDrained(e *engine) {
	if e.state == draining && e.requests == 0 {
		e.state = switching
		x.schedule(event{at: x.now + x.scenario.SwitchTime.Seconds(), kind: roleSwitched, engine: e})
	}
}

func (x *sim) beginOutage(outage Outage) {
	var candidates []*engine
	for _, e := range x.engines {
		if e.state != down && e.role == outage.Role {
			candidates = append(candidates, e)
		}
	}
	for _, e := range candidates[:int(math.Round(outage.Fraction*float64(len(candidates))))] {
		x.updateTotals(e)
		x.removeFromPools(e)
		e.incarnation++
		e.requests, e.state, e.target = 0, down, e.role
		x.schedule(event{at: x.now + outage.For.Seconds(), kind: outageEnds, engine: e})
	}
}
