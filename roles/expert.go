package roles

import (
	"math"
	"time"
)

const (
	// changeCost is the work that one change is assumed to lose, as a fraction of what the engine could do meanwhile.
	changeCost = 1.0
	// priorFraction is the length of an expert's prior, as a fraction of its lookback. The prior is the first sample of
	// its history, in which the work is in proportion to the initial split.
	priorFraction = 0.1
	// historySpan is how much history is kept, in lookbacks. The weight of an older sample would be below exp(-3).
	historySpan = 3.0
	// historyBuckets is the number of samples in historySpan. It bounds the memory and the time that an expert takes.
	historyBuckets = 64
	// minSampleSeconds keeps the length of a sample above zero, because its work is divided by it.
	minSampleSeconds = 1e-3
)

// expert is one estimator of the best split: it prefers the number of prefill engines that would have cost least over
// its lookback, a fixed time. It applies its choice to a simulated fleet, with the duration and bounds of real changes,
// so that its loss includes the cost of changing late and of changing at all. If the mix oscillates, an expert whose
// lookback covers several periods loses least; if the mix shifts, one with a short lookback does.
type expert struct {
	lookback                      time.Duration
	lossWindow                    time.Duration // time constant with which losses decay
	history                       []workSample  // newest last
	prefillEngines, decodeEngines int           // simulated engines that are not changing
	pending                       []simulatedChange
	started                       bool
	loss                          float64
}

// workSample is the work demanded during an interval, in engine seconds.
type workSample struct {
	start           time.Duration
	prefill, decode float64
	seconds         float64
	weight          float64 // seconds, discounted by age
}

// simulatedChange is a pending change of an engine in an expert's simulated fleet.
type simulatedChange struct {
	endsAt time.Duration
	target Role
}

// applyExternalChanges applies changes of the real split that the planner did not make: engines that failed, recovered
// or were changed by an operator or another planner.
func (x *expert) applyExternalChanges(prefillDelta, decodeDelta int) {
	x.prefillEngines, x.decodeEngines = max(x.prefillEngines+prefillDelta, 0), max(x.decodeEngines+decodeDelta, 0)
}

// wantedPrefillEngines returns the number of simulated prefill engines, including those that are changing to prefill.
func (x *expert) wantedPrefillEngines() int {
	n := x.prefillEngines
	for _, change := range x.pending {
		if change.target == Prefill {
			n++
		}
	}
	return n
}

// step finishes the simulated changes that are due, adds the cost of dt seconds of the present demand to the expert's
// loss, records the demand and starts simulated changes.
func (x *expert) step(f *fleet, now time.Duration, dt, changeSeconds float64, maxConcurrent int) {
	if !x.started {
		x.start(f, now)
	}
	x.finishChanges(now)
	bothHalf := float64(float64(f.both) / 2)
	x.loss = float64(x.loss * math.Exp(-dt/x.lossWindow.Seconds()))
	width := softMaximumWidth(float64(f.size()))
	x.loss += float64(dt * splitCost(f.prefillDemand, f.decodeDemand,
		float64(x.prefillEngines)+bothHalf, float64(x.decodeEngines)+bothHalf, width))
	x.record(f, now, dt)
	x.startChanges(f, now, changeSeconds, maxConcurrent)
}

// start copies the real split and adds the prior to the history.
func (x *expert) start(f *fleet, now time.Duration) {
	x.prefillEngines, x.decodeEngines, x.pending, x.started = f.prefillEngines, f.decodeEngines, nil, true
	seconds := priorFraction * x.lookback.Seconds()
	workPerEngine := (f.prefillDemand + f.decodeDemand) / float64(max(f.prefillEngines+f.decodeEngines, 1))
	x.history = []workSample{{
		start:   now,
		prefill: workPerEngine * float64(f.prefillEngines) * seconds,
		decode:  workPerEngine * float64(f.decodeEngines) * seconds,
		seconds: seconds,
	}}
}

// finishChanges completes the simulated changes that are due, in the order in which they were started.
func (x *expert) finishChanges(now time.Duration) {
	for len(x.pending) > 0 && x.pending[0].endsAt <= now {
		if x.pending[0].target == Prefill {
			x.prefillEngines++
		} else {
			x.decodeEngines++
		}
		x.pending = x.pending[1:]
	}
}

// startChanges starts simulated changes towards the best split if the expected gain is at least the cost of one change.
// The gain is counted over the lookback, or over the duration of a change if that is longer.
func (x *expert) startChanges(f *fleet, now time.Duration, changeSeconds float64, maxConcurrent int) {
	bothHalf := float64(f.both) / 2
	total := x.prefillEngines + x.decodeEngines + len(x.pending)
	maxPrefillEngines := total - (f.prefillEngines + f.decodeEngines - f.maxPrefillEngines)
	current, wanted := x.wantedPrefillEngines(),
		x.bestPrefillEngines(f.minPrefillEngines, maxPrefillEngines, total, bothHalf)
	gain := x.meanCost(current, total, bothHalf) - x.meanCost(wanted, total, bothHalf)
	if gain*max(x.lookback.Seconds(), changeSeconds) < changeCost*changeSeconds {
		return
	}
	endsAt := now + time.Duration(changeSeconds*float64(time.Second))
	for current != wanted && len(x.pending) < maxConcurrent {
		target, source, delta := Prefill, &x.decodeEngines, 1
		if wanted < current {
			target, source, delta = Decode, &x.prefillEngines, -1
		}
		if *source == 0 {
			return
		}
		*source--
		x.pending = append(x.pending, simulatedChange{endsAt: endsAt, target: target})
		current += delta
	}
}

// record adds the present demand to the newest sample, drops expired samples and updates all weights.
func (x *expert) record(f *fleet, now time.Duration, dt float64) {
	span := time.Duration(historySpan * float64(x.lookback))
	if n := len(x.history); n == 0 || now-x.history[n-1].start >= span/historyBuckets {
		x.history = append(x.history, workSample{start: now})
	}
	newest := &x.history[len(x.history)-1]
	dt = max(dt, minSampleSeconds)
	newest.prefill += float64(f.prefillDemand * dt)
	newest.decode += float64(f.decodeDemand * dt)
	newest.seconds += dt
	expired := 0
	for expired < len(x.history)-1 && now-x.history[expired].start > span {
		expired++
	}
	x.history = x.history[expired:]
	for i := range x.history {
		sample := &x.history[i]
		age := (newest.start - sample.start).Seconds()
		sample.weight = sample.seconds * math.Exp(-age/x.lookback.Seconds())
	}
}

// meanCost returns the weighted mean cost over the history of a split with the given number of prefill engines out of
// total. bothHalf, half of the engines that do both stages, is added to each stage.
func (x *expert) meanCost(prefillEngines, total int, bothHalf float64) float64 {
	sum, weights, width := 0.0, 0.0, softMaximumWidth(float64(total)+2*bothHalf)
	prefillCapacity, decodeCapacity := float64(prefillEngines)+bothHalf, float64(total-prefillEngines)+bothHalf
	for i := range x.history {
		s := &x.history[i]
		weights += s.weight
		cost := splitCost(s.prefill/s.seconds, s.decode/s.seconds, prefillCapacity, decodeCapacity, width)
		sum += float64(s.weight * cost)
	}
	return sum / weights
}

// bestPrefillEngines returns the number of prefill engines from low to high that costs least. Bisection finds it
// because the cost is convex.
func (x *expert) bestPrefillEngines(low, high, total int, bothHalf float64) int {
	for low < high {
		middle := (low + high) / 2
		if x.meanCost(middle, total, bothHalf) <= x.meanCost(middle+1, total, bothHalf) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
