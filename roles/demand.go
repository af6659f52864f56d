package roles

import (
	"math"
	"time"
)

const (
	// demandSmoothing is the time constant of the moving average of demand. It spans a few reports, so that one burst of
	// arrivals is not taken for a change of the mix.
	demandSmoothing = 4 * time.Second
	// queueDrainTime is the time within which queued work should be done. It converts a queue into a rate of work.
	queueDrainTime = 5 * time.Second
	// frozenAfter is how long all values of the reports may stay unchanged while work is queued before the reports are no
	// longer trusted.
	frozenAfter = 10 * time.Second
	// maxEngineDemand bounds the demand per stage, in engines, taken from one report, so that a faulty report has little
	// influence.
	maxEngineDemand = 4.0
)

// demandMeter derives the demand for each stage from the totals that one engine or replica reports.
type demandMeter struct {
	last      Report
	hasLast   bool
	changedAt time.Duration // when a value last changed
	prefill   float64       // moving averages of demand, in engines
	decode    float64
	measured  bool // at least one pair of reports has been measured
	trusted   bool // the latest report passed to update is trusted
}

// update processes the latest report. A report that is missing, stale, from the future, invalid, frozen although work
// is queued, or the first one, also after a restart, is not trusted and leaves the averages unchanged.
func (m *demandMeter) update(report *Report, now, staleAfter time.Duration) {
	m.trusted = false
	if report == nil || !report.Prefill.valid() || !report.Decode.valid() ||
		now-report.At > staleAfter || report.At > now {
		return
	}
	if !m.hasLast || report.restartedSince(m.last) {
		m.last, m.hasLast, m.changedAt = *report, true, report.At
		return
	}
	if report.At == m.last.At { // the same report as before
		m.trusted = m.measured
		return
	}
	if report.Prefill != m.last.Prefill || report.Decode != m.last.Decode {
		m.changedAt = report.At
	}
	if report.At-m.changedAt > frozenAfter && report.Prefill.Waiting+report.Decode.Waiting > 0 {
		m.last = *report
		return
	}
	dt := (report.At - m.last.At).Seconds()
	weight := 1 - math.Exp(-dt/demandSmoothing.Seconds())
	m.prefill += float64(weight * (stageDemand(m.last.Prefill, report.Prefill, dt) - m.prefill))
	m.decode += float64(weight * (stageDemand(m.last.Decode, report.Decode, dt) - m.decode))
	m.last, m.measured, m.trusted = *report, true, true
}

// stageDemand returns the demand for one stage between two reports, in engines: the rate of work done and lost, plus
// the rate needed to drain the queue.
func stageDemand(before, after StageLoad, dt float64) float64 {
	rate := (after.Done - before.Done + after.Lost - before.Lost) / dt
	return min(rate+after.Waiting/queueDrainTime.Seconds(), maxEngineDemand)
}

// restartedSince reports whether r is older than before, or has lower totals because the process has restarted.
func (r *Report) restartedSince(before Report) bool {
	return r.At < before.At || r.Prefill.Done < before.Prefill.Done || r.Decode.Done < before.Decode.Done ||
		r.Prefill.Lost < before.Prefill.Lost || r.Decode.Lost < before.Decode.Lost
}

// valid reports whether all values are finite and not negative.
func (s StageLoad) valid() bool {
	for _, v := range [...]float64{s.Done, s.Waiting, s.Lost} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}
