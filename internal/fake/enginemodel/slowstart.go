package enginemodel

import (
	"slices"
	"time"
)

// arrival is work that an engine in slow start was sent.
type arrival struct {
	at   time.Duration
	work float64 // seconds of the engine at full capacity
}

// recentArrivals are the arrivals of the last OverloadAfter.
type recentArrivals []arrival

// Present is the fraction of its capacity that the engine has now.
func (e *Engine) Present() float64 {
	age := e.now - e.start
	if e.params.SlowStartFor <= 0 || age >= e.params.SlowStartFor {
		return 1
	}
	return e.params.SlowStartFrom +
		(1-e.params.SlowStartFrom)*float64(age)/float64(e.params.SlowStartFor)
}

// Down reports that the engine was overloaded and crashed.
func (e *Engine) Down() bool { return e.down }

// canOverload reports that the engine is in slow start and crashes when it is sent too much.
func (e *Engine) canOverload() bool {
	return e.Present() < 1 && e.params.OverloadFactor > 0 && e.params.OverloadAfter > 0
}

// overloadLimit is the work that an engine in slow start may be sent in OverloadAfter.
func (e *Engine) overloadLimit() float64 {
	return e.params.OverloadFactor * e.Present() * e.params.OverloadAfter.Seconds()
}

// checkOverload counts what an engine in slow start is sent, and crashes it when that is too much.
func (e *Engine) checkOverload(job *Job) {
	if !e.canOverload() {
		e.recent = nil
		return
	}
	prefill, decode := e.workOf(job)
	e.recent = append(e.recent, arrival{e.now, prefill + decode})
	e.recent = slices.DeleteFunc(e.recent, func(a arrival) bool { return e.now-a.at > e.params.OverloadAfter })
	sum, heaviest := 0.0, 0.0
	for _, a := range e.recent {
		sum += a.work
		heaviest = max(heaviest, a.work)
	}
	// One request alone overloads nothing, however heavy.
	if sum-heaviest > e.overloadLimit() {
		e.down = true
		e.Reset()
	}
}

// Near reports that with this job an engine in slow start would have been sent more than a fraction of what overloads
// it.
func (e *Engine) Near(job *Job, fraction float64) bool {
	if !e.canOverload() {
		return false
	}
	prefill, decode := e.workOf(job)
	sum := prefill + decode
	for _, a := range e.recent {
		if e.now-a.at <= e.params.OverloadAfter {
			sum += a.work
		}
	}
	return sum > fraction*e.params.OverloadFactor*e.Present()*e.params.OverloadAfter.Seconds()
}
