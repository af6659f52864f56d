package roles

import (
	"math"
	"time"
)

const (
	// changeCost is the work that one change is assumed to lose, as a share of the engine's work during the change.
	changeCost = 1.0
	// priorShare is the share of an expert's lookback for which the split that it starts with counts as the right one.
	priorShare = 0.1
	// historySpan is how much history is kept, in lookbacks: an older sample's weight is below exp(-3).
	historySpan = 3.0
	// historyBuckets is the number of samples that historySpan is divided into. It bounds an expert's memory and time.
	historyBuckets = 64
	// minSampleSeconds keeps a sample's length above zero, by which its work is divided.
	minSampleSeconds = 1e-3
)

// expert is one estimator of the wanted split: it looks back for a fixed time and wants the number of prefill engines
// that would have cost least over that time. It simulates changes of a fleet of its own, with the duration and bounds
// of real changes, so that the cost of a late change, or of changing at all, counts against it. On a mix that
// oscillates, the expert that looks back over several periods loses least; on one that shifts, the one with a short
// lookback.
type expert struct {
	lookback         time.Duration
	lossWindow       time.Duration // time constant with which old losses are forgotten
	history          []workSample  // newest last
	readers, writers int           // simulated engines at work
	pending          []simulatedChange
	started          bool
	loss             float64
}

// workSample is the work asked for during some time, in engine seconds.
type workSample struct {
	start           time.Duration
	prefill, decode float64
	seconds         float64
	weight          float64 // of the seconds; old samples count less
}

// simulatedChange is an engine of the simulated fleet that is changing role.
type simulatedChange struct {
	endsAt time.Duration
	target Role
}

// rebase applies what happened to the real fleet other than by the planner: engines lost, recovered or changed by
// somebody else.
func (x *expert) rebase(readers, writers int) {
	x.readers, x.writers = max(x.readers+readers, 0), max(x.writers+writers, 0)
}

// wantedReaders is the number of prefill engines, including those that are changing into one.
func (x *expert) wantedReaders() int {
	n := x.readers
	for _, change := range x.pending {
		if change.target == Prefill {
			n++
		}
	}
	return n
}

// step charges dt seconds of the present work to the simulated split, records the work, and starts simulated changes.
func (x *expert) step(f *fleet, now time.Duration, dt, changeSeconds float64, maxConcurrent int) {
	if !x.started {
		x.start(f, now)
	}
	x.finishChanges(now)
	half := float64(f.both) / 2
	x.loss *= math.Exp(-dt / x.lossWindow.Seconds())
	soft := softness(float64(f.size()))
	x.loss += dt * splitCost(f.prefillDemand, f.decodeDemand, float64(x.readers)+half, float64(x.writers)+half, soft)
	x.record(f, now, dt)
	x.startChanges(f, now, changeSeconds, maxConcurrent)
}

// start takes the real split as the prior, with work in proportion to it.
func (x *expert) start(f *fleet, now time.Duration) {
	x.readers, x.writers, x.pending, x.started = f.readers, f.writers, nil, true
	seconds := priorShare * x.lookback.Seconds()
	workPerEngine := (f.prefillDemand + f.decodeDemand) / float64(max(f.readers+f.writers, 1))
	x.history = []workSample{{
		start:   now,
		prefill: workPerEngine * float64(f.readers) * seconds,
		decode:  workPerEngine * float64(f.writers) * seconds,
		seconds: seconds,
	}}
}

// finishChanges ends the simulated changes that are due; they are in order of their ends.
func (x *expert) finishChanges(now time.Duration) {
	for len(x.pending) > 0 && x.pending[0].endsAt <= now {
		if x.pending[0].target == Prefill {
			x.readers++
		} else {
			x.writers++
		}
		x.pending = x.pending[1:]
	}
}

// startChanges begins simulated changes towards the best split, if they pay for themselves within the lookback.
func (x *expert) startChanges(f *fleet, now time.Duration, changeSeconds float64, maxConcurrent int) {
	half := float64(f.both) / 2
	total := x.readers + x.writers + len(x.pending)
	maxReaders := total - (f.readers + f.writers - f.maxReaders)
	have, want := x.wantedReaders(), x.bestReaders(f.minReaders, maxReaders, total, half)
	gain := x.meanCost(have, total, half) - x.meanCost(want, total, half)
	if gain*max(x.lookback.Seconds(), changeSeconds) < changeCost*changeSeconds {
		return
	}
	endsAt := now + time.Duration(changeSeconds*float64(time.Second))
	for have != want && len(x.pending) < maxConcurrent {
		target, from, step := Prefill, &x.writers, 1
		if want < have {
			target, from, step = Decode, &x.readers, -1
		}
		if *from == 0 {
			return
		}
		*from--
		x.pending = append(x.pending, simulatedChange{endsAt: endsAt, target: target})
		have += step
	}
}

// record adds the present work to the newest sample and updates the weights of all.
func (x *expert) record(f *fleet, now time.Duration, dt float64) {
	span := time.Duration(historySpan * float64(x.lookback))
	if n := len(x.history); n == 0 || now-x.history[n-1].start >= span/historyBuckets {
		x.history = append(x.history, workSample{start: now})
	}
	newest := &x.history[len(x.history)-1]
	dt = max(dt, minSampleSeconds)
	newest.prefill += f.prefillDemand * dt
	newest.decode += f.decodeDemand * dt
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

// meanCost is the weighted mean cost of a second of the history, had there been so many prefill engines of a total.
func (x *expert) meanCost(readers, total int, half float64) float64 {
	sum, weights, soft := 0.0, 0.0, softness(float64(total)+2*half)
	prefillEngines, decodeEngines := float64(readers)+half, float64(total-readers)+half
	for i := range x.history {
		s := &x.history[i]
		weights += s.weight
		sum += s.weight * splitCost(s.prefill/s.seconds, s.decode/s.seconds, prefillEngines, decodeEngines, soft)
	}
	return sum / weights
}

// bestReaders is the cheapest number of prefill engines from low to high, by bisection since the cost is convex.
func (x *expert) bestReaders(low, high, total int, half float64) int {
	for low < high {
		middle := (low + high) / 2
		if x.meanCost(middle, total, half) <= x.meanCost(middle+1, total, half) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
