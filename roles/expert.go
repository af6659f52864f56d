package roles

import (
	"math"
	"time"
)

// expert is one way of following the work: it looks back so long and wants the number of readers that would have cost
// least over that time. It moves engines of its own in thought, with the time and the bounds that real changes have, so
// that what it loses by coming late, or by moving at all, is counted against it. On a mix that swings, the expert that
// looks back over several swings loses least; on one that shifts, the one that follows.
type expert struct {
	memory           time.Duration // how long it looks back
	losses           time.Duration // how long its losses count
	past             []work        // newest last
	readers, writers int           // at work, in thought
	coming           []comes
	started          bool
	loss             float64
}

// work is what was asked for during some time, in engines times seconds.
type work struct {
	at               time.Duration // its beginning
	reading, writing float64
	seconds          float64
	weight           float64 // of its seconds; older ones count less
}

// comes is an engine on its way, in thought.
type comes struct {
	at time.Duration
	to Role
}

// rebase takes what happened to the real fleet without the planner: engines lost, back, or moved by others.
func (x *expert) rebase(readers, writers int) {
	x.readers, x.writers = max(x.readers+readers, 0), max(x.writers+writers, 0)
}

// wanted is the number of readers, those on their way included.
func (x *expert) wanted() int {
	n := x.readers
	for _, c := range x.coming {
		if c.to == Prefill {
			n++
		}
	}
	return n
}

// step counts dt seconds of the present work against where the expert stands, remembers it, and moves.
func (x *expert) step(f *fleet, now time.Duration, dt, takes float64, atOnce int) {
	if !x.started {
		x.readers, x.writers, x.coming, x.started = f.readers, f.writers, nil, true
		seconds, per := priorPart*x.memory.Seconds(), (f.reading+f.writing)/float64(max(f.readers+f.writers, 1))
		x.past = []work{{at: now, reading: per * float64(f.readers) * seconds, writing: per * float64(f.writers) * seconds, seconds: seconds}}
	}
	for len(x.coming) > 0 && x.coming[0].at <= now {
		if x.coming[0].to == Prefill {
			x.readers++
		} else {
			x.writers++
		}
		x.coming = x.coming[1:]
	}
	half := float64(f.both) / 2
	x.loss *= math.Exp(-dt / x.losses.Seconds())
	soft := softness(float64(f.readers + f.writers + f.both))
	x.loss += dt * splitCost(f.reading, f.writing, float64(x.readers)+half, float64(x.writers)+half, soft)
	x.remember(f, now, dt)

	total := x.readers + x.writers + len(x.coming)
	most := total - (f.readers + f.writers - f.most)
	have, want := x.wanted(), x.best(f.least, most, total, half)
	if (x.cost(have, total, half)-x.cost(want, total, half))*max(x.memory.Seconds(), takes) < changePrice*takes {
		return
	}
	for ; have != want && len(x.coming) < atOnce; have += sign(want - have) {
		c := comes{now + time.Duration(takes*float64(time.Second)), Prefill}
		if want > have {
			if x.writers == 0 {
				return
			}
			x.writers--
		} else {
			if x.readers == 0 {
				return
			}
			x.readers--
			c.to = Decode
		}
		x.coming = append(x.coming, c)
	}
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// remember keeps what was asked for, in buckets.
func (x *expert) remember(f *fleet, now time.Duration, dt float64) {
	span := time.Duration(spanOf * float64(x.memory))
	if n := len(x.past); n == 0 || now-x.past[n-1].at >= span/buckets {
		x.past = append(x.past, work{at: now})
	}
	w := &x.past[len(x.past)-1]
	dt = max(dt, 1e-3)
	w.reading, w.writing, w.seconds = w.reading+f.reading*dt, w.writing+f.writing*dt, w.seconds+dt
	old := 0
	for old < len(x.past)-1 && now-x.past[old].at > span {
		old++
	}
	x.past = x.past[old:]
	for i := range x.past {
		x.past[i].weight = x.past[i].seconds * math.Exp(-(w.at-x.past[i].at).Seconds()/x.memory.Seconds())
	}
}

// cost is what a second would have cost on the mean of the past, with so many readers of a total.
func (x *expert) cost(readers, total int, half float64) float64 {
	sum, all, soft := 0.0, 0.0, softness(float64(total)+2*half)
	for i := range x.past {
		w := &x.past[i]
		all += w.weight
		sum += w.weight * splitCost(w.reading/w.seconds, w.writing/w.seconds, float64(readers)+half, float64(total-readers)+half, soft)
	}
	return sum / all
}

// best is the cheapest number of readers: the cost is convex, so the place is found by halving.
func (x *expert) best(least, most, total int, half float64) int {
	for least < most {
		mid := (least + most) / 2
		if x.cost(mid, total, half) <= x.cost(mid+1, total, half) {
			most = mid
		} else {
			least = mid + 1
		}
	}
	return least
}
