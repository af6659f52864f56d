package rolesim

import (
	"math"

	"brackenbend/roles"
)

type engineState uint8

const (
	stateUp engineState = iota
	stateDraining
	stateSwitching
	stateDown
)

type engine struct {
	id            string
	role, target  roles.Role
	state         engineState
	startedAt     float64 // time at which it started in its current role, or after an outage; -inf = long ago
	roleChangedAt float64 // time at which a change of its role last ended or was reverted; -inf = never
	requestCount  int     // being processed
	incarnation   int     // raised by an outage, which loses the engine's requests
	poolPositions [2]int  // in the pools, by stage

	prefillTotal float64 // prefill work done until totalsAt, in engine seconds
	decodeTotal  float64 // the same for decode work
	totalsAt     float64 // time of the latest update of the totals
	reports      []roles.Report
}

// isPrefill reports whether the engine is up and prefills.
func (e *engine) isPrefill() bool { return e.state == stateUp && e.role == roles.Prefill }

// engineID returns an ID of three letters.
func engineID(i int) string {
	return string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
}

// capacity returns the fraction of its full capacity that an engine has now, which is below 1 during slow start.
func (x *sim) capacity(e *engine) float64 {
	age := (x.now - e.startedAt) / x.scenario.SlowStartFor.Seconds()
	if age >= 1 {
		return 1
	}
	from := x.scenario.SlowStartFrom
	return from + (1-from)*max(age, 0)
}

// updateTotals updates the work totals of an engine to now.
func (x *sim) updateTotals(e *engine) {
	elapsed := x.now - e.totalsAt
	e.totalsAt = x.now
	if e.state == stateSwitching || e.state == stateDown {
		return
	}
	if e.role == roles.Prefill {
		e.prefillTotal += elapsed * float64(e.requestCount)
	} else {
		e.decodeTotal += elapsed * float64(e.requestCount) / float64(x.scenario.Slots)
	}
}

// addRequests adds requests to an engine; delta may be negative.
func (x *sim) addRequests(e *engine, delta int) {
	x.updateTotals(e)
	x.removeFromPools(e)
	e.requestCount += delta
	x.addToPools(e)
}

// pool holds the engines of a stage that are up, by their number of requests, so that the one with the fewest is found
// without a search of the whole fleet.
type pool struct {
	byRequests [][]*engine
}

func (p *pool) add(e *engine, stage int) {
	for len(p.byRequests) <= e.requestCount {
		p.byRequests = append(p.byRequests, nil)
	}
	e.poolPositions[stage] = len(p.byRequests[e.requestCount])
	p.byRequests[e.requestCount] = append(p.byRequests[e.requestCount], e)
}

func (p *pool) remove(e *engine, stage int) {
	bucket := p.byRequests[e.requestCount]
	last := bucket[len(bucket)-1]
	bucket[e.poolPositions[stage]] = last
	last.poolPositions[stage] = e.poolPositions[stage]
	p.byRequests[e.requestCount] = bucket[:len(bucket)-1]
}

// addToPools adds an engine to the pools of its stages if it is up, and removeFromPools removes it from them. An engine
// must be removed before its state, role or number of requests changes, and added again afterwards.
func (x *sim) addToPools(e *engine) {
	if e.state != stateUp {
		return
	}
	for stage, serves := range [2]bool{e.role.Prefills(), e.role.Decodes()} {
		if serves {
			x.pools[stage].add(e, stage)
		}
	}
}

func (x *sim) removeFromPools(e *engine) {
	if e.state != stateUp {
		return
	}
	for stage, serves := range [2]bool{e.role.Prefills(), e.role.Decodes()} {
		if serves {
			x.pools[stage].remove(e, stage)
		}
	}
}

// pickPrefill returns an idle prefill engine; nil if there is none.
func (x *sim) pickPrefill() *engine {
	if idle := x.pools[stagePrefill].byRequests; len(idle) > 0 && len(idle[0]) > 0 {
		return idle[0][0]
	}
	return nil
}

// pickDecode returns the decode engine with the fewest requests among those with a free slot; nil if there is none.
// During slow start an engine has fewer slots.
func (x *sim) pickDecode() *engine {
	slots := x.scenario.Slots
	for requests, bucket := range x.pools[stageDecode].byRequests {
		if requests >= slots {
			return nil
		}
		for _, e := range bucket {
			if float64(requests) < math.Floor(float64(slots)*x.capacity(e)) {
				return e
			}
		}
	}
	return nil
}
