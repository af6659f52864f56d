// Package faultsearch searches for the faults under which a decider performs worst. It draws and mutates lists of
// faults within bounds, simulates them with package fleet, and reduces the worst list to the faults that are needed for
// its effect. A scenario with these faults can also be run with real replicas.
package faultsearch

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Search describes a search.
type Search struct {
	Scenario         *scenario.Scenario              // for its fleet and clients; its faults are ignored
	SubjectOptions   func(seed uint64) fleet.Options // the decider under test
	ReferenceOptions func(seed uint64) fleet.Options // the decider to compare with; nil = a service of 1
	MaxFaults        int                             // in a list, at most
	Rounds           int                             // after the first, most lists are mutations of the worst one so far
	ListsPerRound    int                             // lists drawn or mutated per round
	Seed             uint64
	Parallel         int                          // simulations at once
	OnRound          func(round int, best Result) // called after each round; may be nil
}

// Result is a list of faults and its outcome.
type Result struct {
	Faults           []scenario.Fault
	SubjectService   float64 // service of the subject, mean over replications
	ReferenceService float64 // service of the reference, mean over replications; 1 without one
	Violations       int     // of rules, by the subject, over all replications
	SimulatedLists   int     // lists that the search simulated; set in the result of Run only
}

// Loss returns by how much the service of the subject is below that of the reference. The search maximizes it.
func (r *Result) Loss() float64 { return r.ReferenceService - r.SubjectService }

// worseThan reports whether r is worse for the subject than o. A violated rule is worse than any loss.
func (r *Result) worseThan(o *Result) bool {
	if (r.Violations > 0) != (o.Violations > 0) {
		return r.Violations > 0
	}
	return r.Loss() > o.Loss()
}

// ErrNothingToSearch is returned for a search with no faults, rounds or draws.
var ErrNothingToSearch = errors.New("faultsearch: the numbers of faults, rounds and draws must be at least 1")

const (
	replications    = 2 // of each list, per decider
	searchStream    = 9 // PCG stream of the random generator
	randomListEvery = 4 // every fourth list is drawn instead of mutated, so that the search can leave a local maximum
)

// Run performs a search and returns the worst list of faults, reduced and ordered by time.
func Run(s Search) (*Result, error) {
	if s.MaxFaults < 1 || s.Rounds < 1 || s.ListsPerRound < 1 {
		return nil, ErrNothingToSearch
	}
	rnd := rand.New(rand.NewPCG(s.Seed, searchStream))
	var best *Result
	simulated := 0
	for round := range s.Rounds {
		results, err := s.simulate(s.nextLists(rnd, best))
		if err != nil {
			return nil, err
		}
		simulated += len(results)
		for i := range results {
			if best == nil || results[i].worseThan(best) {
				best = &results[i]
			}
		}
		if s.OnRound != nil {
			s.OnRound(round, *best)
		}
	}
	best, reductionSimulated, err := s.reduce(best)
	if err != nil {
		return nil, err
	}
	best.SimulatedLists = simulated + reductionSimulated
	slices.SortStableFunc(best.Faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	return best, nil
}

// nextLists returns the lists of a round: mutations of the best result so far, and some that are drawn.
func (s *Search) nextLists(rnd *rand.Rand, best *Result) [][]scenario.Fault {
	lists := make([][]scenario.Fault, s.ListsPerRound)
	for i := range lists {
		if best == nil || i%randomListEvery == randomListEvery-1 {
			lists[i] = s.drawFaults(rnd)
		} else {
			lists[i] = s.mutate(rnd, best.Faults)
		}
	}
	return lists
}

// simulate returns the result of each list.
func (s *Search) simulate(lists [][]scenario.Fault) ([]Result, error) {
	results := make([]Result, len(lists))
	err := replication.Run(len(lists), s.Parallel, func(i int) (err error) {
		results[i], err = s.simulateList(lists[i])
		return err
	})
	return results, err
}

func (s *Search) simulateList(faults []scenario.Fault) (Result, error) {
	result := Result{Faults: faults, ReferenceService: 1}
	sc, _, err := s.Scenario.WithFaults(faults, "")
	if err != nil {
		return result, fmt.Errorf("faultsearch: scenario with drawn faults is invalid: %w", err)
	}
	referenceService := 0.0
	for i := range uint64(replications) {
		seed := i + 1
		options := s.SubjectOptions(seed)
		options.Audit = true
		run, err := fleet.Run(sc, options)
		if err != nil {
			return result, err
		}
		result.SubjectService += run.Score.Service() / replications
		for _, rule := range run.Rules {
			result.Violations += len(rule.Violations)
		}
		if s.ReferenceOptions != nil {
			if run, err = fleet.Run(sc, s.ReferenceOptions(seed)); err != nil {
				return result, err
			}
			referenceService += run.Score.Service() / replications
		}
	}
	if s.ReferenceOptions != nil {
		result.ReferenceService = referenceService
	}
	return result, nil
}
