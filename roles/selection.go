package roles

import (
	"math"
	"slices"
	"time"
)

// dwellRule says whether an engine may be selected before its dwell time or cooldown has ended.
type dwellRule bool

const (
	respectDwell dwellRule = false
	ignoreDwell  dwellRule = true // a stage would have no engine otherwise
)

// maxRankedStay is where a longer time since the last change no longer matters to the selection.
const maxRankedStay = 24 * time.Hour

// selectEngine returns the engine whose change from one role to another does the least harm: in the cell where its role
// is most frequent against the other, then the one with the least outstanding work, then the one that changed longest
// ago. It returns nil if no engine may change.
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
			-math.Min((p.now - e.ChangedAt).Seconds(), maxRankedStay.Seconds()),
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

// surplusByCell is how many more engines of one role than of another each cell has.
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
