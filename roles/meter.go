package roles

import (
	"math"
	"time"
)

const (
	demandFor  = 4 * time.Second // how long seen work counts in the asked-for work
	waitingIn  = 5 * time.Second // queued work is asked for as if it had to be done within
	believeOf  = 0.5             // this part of a stage's engines must be believed, or nothing is planned
	frozenFor  = 10 * time.Second
	demandMost = 4.0 // work seen at one engine counts as so many engines at most: a broken figure moves little
)

// meter turns one engine's totals into work a second.
type meter struct {
	last     Report
	have     bool
	moved    time.Duration // when a figure last changed
	read     float64       // engines of work asked for here, smoothed
	write    float64
	seen     bool // read and write hold something
	believed bool
}

func finite(s Stage) bool {
	for _, v := range [...]float64{s.Done, s.Waiting, s.Lost} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

// take brings the meter to a report. What is missing, stale, from the future, frozen beside waiting work, not finite or
// began anew is not believed, and leaves the smoothed work as it was.
func (m *meter) take(r *Report, now, stale time.Duration) {
	m.believed = false
	if r == nil || !finite(r.Read) || !finite(r.Write) || now-r.At > stale || r.At > now {
		return
	}
	if !m.have || r.At < m.last.At || r.Read.Done < m.last.Read.Done || r.Write.Done < m.last.Write.Done ||
		r.Read.Lost < m.last.Read.Lost || r.Write.Lost < m.last.Write.Lost { // first, out of order, or a new process
		m.last, m.have, m.moved = *r, true, r.At
		return
	}
	if r.At == m.last.At { // told again
		m.believed = m.seen
		return
	}
	if r.Read != m.last.Read || r.Write != m.last.Write {
		m.moved = r.At
	}
	if r.At-m.moved > frozenFor && r.Read.Waiting+r.Write.Waiting > 0 {
		m.last = *r
		return
	}
	dt := (r.At - m.last.At).Seconds()
	part := 1 - math.Exp(-dt/demandFor.Seconds())
	m.read += part * (asked(m.last.Read, r.Read, dt) - m.read)
	m.write += part * (asked(m.last.Write, r.Write, dt) - m.write)
	m.last, m.seen, m.believed = *r, true, true
}

// asked is the work asked for at one stage of an engine, in engines: done, lost, and what waits.
func asked(was, is Stage, dt float64) float64 {
	return min((is.Done-was.Done+is.Lost-was.Lost)/dt+is.Waiting/waitingIn.Seconds(), demandMost)
}
