package faultsearch

import (
	"slices"
	"time"

	"brackenbend/internal/simulation/scenario"
)

const (
	minKeptLoss       = 0.8             // the fraction of the loss that a reduced list must keep
	minHalvedDuration = 2 * time.Second // faults that are shorter keep their duration
)

// reduce removes from a list of faults what its effect does not need: whole faults, then half of the duration of a
// fault, or all but one of the engines or replicas that it affects. It also returns the number of lists that it
// simulated.
func (s *Search) reduce(best *Result) (reduced *Result, simulated int, err error) {
	suffices := func(r *Result) bool {
		if best.Violations > 0 {
			return r.Violations > 0
		}
		return r.Loss() >= minKeptLoss*best.Loss()
	}
	reduced = best
	for {
		results, err := s.simulate(reductions(reduced.Faults))
		if err != nil {
			return nil, simulated, err
		}
		simulated += len(results)
		// The lists with the greatest reductions come first.
		first := slices.IndexFunc(results, func(r Result) bool { return suffices(&r) })
		if first < 0 {
			return reduced, simulated, nil
		}
		reduced = &results[first]
	}
}

// reductions returns the lists that differ from faults by one reduction, the greatest reductions first.
func reductions(faults []scenario.Fault) (lists [][]scenario.Fault) {
	for i := range faults {
		if len(faults) > 1 {
			lists = append(lists, slices.Delete(slices.Clone(faults), i, i+1))
		}
	}
	for i, f := range faults {
		if f.Duration >= minHalvedDuration {
			list := slices.Clone(faults)
			list[i].Duration = (f.Duration / 2).Round(timeStep)
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
