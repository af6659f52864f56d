package faultsearch

import (
	"slices"
	"time"

	"brackenbend/internal/simulation/scenario"
)

const (
	keptLoss       = 0.8             // of the loss, what a reduced list must keep
	minHalvedFault = 2 * time.Second // the shortest fault that is halved
)

// reduce removes from a result what is not needed: whole faults, then halves of their times, then engines. It returns
// the number of lists that it played.
func (s *Search) reduce(best *Result) (reduced *Result, played int, err error) {
	suffices := func(r *Result) bool {
		if best.Violations > 0 {
			return r.Violations > 0
		}
		return r.Lost() >= keptLoss*best.Lost()
	}
	reduced = best
	for {
		results, err := s.play(reductions(reduced.Faults))
		if err != nil {
			return nil, played, err
		}
		played += len(results)
		first := slices.IndexFunc(results, func(r Result) bool { return suffices(&r) }) // the greatest reduction
		if first < 0 {
			return reduced, played, nil
		}
		reduced = &results[first]
	}
}

// reductions returns the lists with one thing less, the greatest reductions first.
func reductions(faults []scenario.Fault) (lists [][]scenario.Fault) {
	for i := range faults {
		if len(faults) > 1 {
			lists = append(lists, slices.Delete(slices.Clone(faults), i, i+1))
		}
	}
	for i, f := range faults {
		if f.For >= minHalvedFault {
			list := slices.Clone(faults)
			list[i].For = (f.For / 2).Round(timeStep)
			lists = append(lists, list)
		}
		if f.Count > 1 {
			list := slices.Clone(faults)
			list[i].Count = 1
			lists = append(lists, list)
		}
	}
	return lists
}
