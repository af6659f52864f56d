package enginemodel

import (
	"slices"
	"time"
)

// arrival is the work of a job that was submitted in slow start.
type arrival struct {
	at   time.Duration
	work float64 // in seconds of the engine at full capacity
}

// recentArrivals holds the arrivals within the last OverloadAfter.
type recentArrivals []arrival

// CapacityFraction returns the fraction of full capacity that the engine has now. It grows linearly during slow start.
func (e *Engine) CapacityFraction() float64 {
	age := e.now - e.slowStartedAt
	if e.params.SlowStartFor <= 0 || age >= e.params.SlowStartFor {
		return 1
	}
	return e.params.SlowStartFrom +
		(1-e.params.SlowStartFrom)*float64(age)/float64(e.params.SlowStartFor)
}

// Overloaded reports whether the engine has crashed because it was overloaded in slow start.
func (e *Engine) Overloaded() bool { return e.overloaded }

// canOverload reports whether the engine is in slow start and too much work would crash it.
func (e *Engine) canOverload() bool {
	return e.CapacityFraction() < 1 && e.params.OverloadFactor > 0 && e.params.OverloadAfter > 0
}

// overloadLimit returns the most work, without the heaviest job, that an engine in slow start withstands within
// OverloadAfter.
func (e *Engine) overloadLimit() float64 {
	return e.params.OverloadFactor * e.CapacityFraction() * e.params.OverloadAfter.Seconds()
}

// checkOverload records the work of a job submitted in slow start, and crashes the engine if that is too much.
func (e *Engine) checkOverload(job *Job) {
	if !e.canOverload() {
		e.arrivals = nil
		return
	}
	prefill, decode := e.estimateWork(job)
	e.arrivals = append(e.arrivals, arrival{e.now, prefill + decode})
	e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return e.now-a.at > e.params.OverloadAfter })
	totalWork, heaviestJob := 0.0, 0.0
	for _, a := range e.arrivals {
		totalWork += a.work
		heaviestJob = max(heaviestJob, a.work)
	}
	// A single job never overloads the engine, however heavy it is.
	if totalWork-heaviestJob > e.overloadLimit() {
		e.overloaded = true
		e.Reset()
	}
}

// NearOverload reports whether, with this job, the work submitted within OverloadAfter to an engine in slow start would
// exceed the given fraction of the overload limit. Unlike checkOverload it counts the heaviest job too.
func (e *Engine) NearOverload(job *Job, fraction float64) bool {
	if !e.canOverload() {
		return false
	}
	prefill, decode := e.estimateWork(job)
	totalWork := prefill + decode
	for _, a := range e.arrivals {
		if e.now-a.at <= e.params.OverloadAfter {
			totalWork += a.work
		}
	}
	return totalWork > fraction*e.params.OverloadFactor*e.CapacityFraction()*e.params.OverloadAfter.Seconds()
}
