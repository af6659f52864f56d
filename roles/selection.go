package roles

import (
	"math"
	"slices"
	"time"
)

// dwellRule determines whether an engine may be selected before its dwell time or cooldown has ended.
type dwellRule bool

const (
	respectDwell dwellRule = false
	ignoreDwell  dwellRule = true // used when a stage has no engine
)

// maxRankedDwell is the time since the last change above which the selection does not prefer a longer one.
const maxRankedDwell = 24 * time.Hour

// selectEngine returns the engine whose change from one role to another disturbs least. It prefers the cell with the
// largest surplus of the old role over the new one, then the engine with the least outstanding work, then the engine
// that changed longest ago. It returns nil if no engine may change.
func (p *Planner) selectEngine(f *fleet, from, to Role, rule dwellRule) *Engine {
	surplus := f.surplusByCell(from, to)
	var best *Engine
	var bestRank [3]float64
	for i := range f.engines {
		e := &f.engines[i]
		if e.Target != from || !p.available(e, rule) {
			continue
		}
		rank := [3]float64{
			-surplus[e.Cell],
			float64(e.Outstanding),
			-math.Min((p.now - e.ChangedAt).Seconds(), maxRankedDwell.Seconds()),
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = e, rank
		}
	}
	return best
}

// available reports whether an engine may be given another role now.
func (p *Planner) available(e *Engine, rule dwellRule) bool {
	if !e.flexible() || !e.Ready || e.changing() || p.pending[e.ID] != nil {
		return false
	}
	if rule == ignoreDwell {
		return true
	}
	dwelling := e.ChangedAt > 0 && p.now-e.ChangedAt < p.config.MinDwell
	return !dwelling && !p.inCooldown(e.ID)
}

// surplusByCell returns, for each cell, how many more engines of one role than of another it has.
func (f *fleet) surplusByCell(role, other Role) map[int]float64 {
	surplus := map[int]float64{}
	for i := range f.engines {
		e := &f.engines[i]
		switch {
		case !e.Ready:
		case e.Target == role:
			surplus[e.Cell]++
		case e.Target == other:
			surplus[e.Cell]--
		}
	}
	return surplus
}
