package roles

import (
	"math"
	"time"
)

const (
	// demandSmoothing is the time constant of the moving average of demand: a few reports, so that one burst of
	// arrivals does not look like a new mix.
	demandSmoothing = 4 * time.Second
	// queueDrainTime is the time within which queued work is meant to be done; it converts a queue into a rate.
	queueDrainTime = 5 * time.Second
	// frozenAfter is how long totals may stand still beside a queue until the report is no longer trusted.
	frozenAfter = 10 * time.Second
	// maxEngineDemand bounds the demand, in engines, that one engine's report can claim: a broken report has little
	// influence.
	maxEngineDemand = 4.0
)

// demandMeter turns the totals that one engine or replica reports into rates of work.
type demandMeter struct {
	last      Report
	hasLast   bool
	changedAt time.Duration // when a total last changed
	prefill   float64       // moving average of the work asked for, in engines
	decode    float64
	measured  bool // prefill and decode hold a measurement
	trusted   bool // the newest report is trusted
}

// update takes a report. One that is missing, stale, from the future, frozen beside a queue, not finite or the first
// after a restart is not trusted and leaves the averages as they were.
func (m *demandMeter) update(report *Report, now, staleAfter time.Duration) {
	m.trusted = false
	if report == nil || !report.Read.valid() || !report.Write.valid() || now-report.At > staleAfter || report.At > now {
		return
	}
	if !m.hasLast || report.restartedSince(m.last) {
		m.last, m.hasLast, m.changedAt = *report, true, report.At
		return
	}
	if report.At == m.last.At { // the same report again
		m.trusted = m.measured
		return
	}
	if report.Read != m.last.Read || report.Write != m.last.Write {
		m.changedAt = report.At
	}
	if report.At-m.changedAt > frozenAfter && report.Read.Waiting+report.Write.Waiting > 0 {
		m.last = *report
		return
	}
	dt := (report.At - m.last.At).Seconds()
	weight := 1 - math.Exp(-dt/demandSmoothing.Seconds())
	m.prefill += weight * (stageDemand(m.last.Read, report.Read, dt) - m.prefill)
	m.decode += weight * (stageDemand(m.last.Write, report.Write, dt) - m.decode)
	m.last, m.measured, m.trusted = *report, true, true
}

// stageDemand is the work asked for at one stage between two reports, in engines: done, lost and queued.
func stageDemand(before, after Stage, dt float64) float64 {
	rate := (after.Done - before.Done + after.Lost - before.Lost) / dt
	return min(rate+after.Waiting/queueDrainTime.Seconds(), maxEngineDemand)
}

// restartedSince reports whether r is older than before or comes from a process that has started since.
func (r *Report) restartedSince(before Report) bool {
	return r.At < before.At || r.Read.Done < before.Read.Done || r.Write.Done < before.Write.Done ||
		r.Read.Lost < before.Read.Lost || r.Write.Lost < before.Write.Lost
}

// valid reports whether all values are finite and not negative.
func (s Stage) valid() bool {
	for _, v := range [...]float64{s.Done, s.Waiting, s.Lost} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}
