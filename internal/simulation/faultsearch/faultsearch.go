// Package faultsearch searches for the faults under which a decider does worst: it draws and mutates lists of faults
// within bounds, plays them in simulated time (package fleet), and reduces the worst list to what is needed. The result
// is a scenario that real replicas can play.
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

// Search says where to search.
type Search struct {
	Scenario  *scenario.Scenario // fleet and clients; its own faults are left out
	Subject   func(seed uint64) fleet.Options
	Yardstick func(seed uint64) fleet.Options // what the subject is compared with; nil = a service of 1
	MaxFaults int                             // in a list
	Rounds    int                             // of mutating the worst list
	Draws     int                             // lists a round
	Seed      uint64
	Parallel  int
	OnRound   func(round int, best Result) // called after each round; may be nil
}

// Result is a list of faults and its outcome.
type Result struct {
	Faults     []scenario.Fault
	Subject    float64 // service, mean over replications
	Yardstick  float64 // that of the yardstick; 1 without one
	Violations int     // of the rules, by the subject
	Played     int     // lists in all
}

// Lost is what the search maximizes: by how much the subject's service is below its yardstick's.
func (r *Result) Lost() float64 { return r.Yardstick - r.Subject }

// worseThan orders results: a violated rule before any loss.
func (r *Result) worseThan(o *Result) bool {
	if (r.Violations > 0) != (o.Violations > 0) {
		return r.Violations > 0
	}
	return r.Lost() > o.Lost()
}

// ErrNothingToSearch is returned for a search without faults, rounds or draws.
var ErrNothingToSearch = errors.New("faultsearch: faults, rounds and draws must be 1 at least")

const (
	replications = 2 // of each list
	searchStream = 9 // of the random generator
	freshEvery   = 4 // of lists, one is drawn anew, so that the search does not stay at a local maximum
)

// Run searches.
func Run(s Search) (*Result, error) {
	if s.MaxFaults < 1 || s.Rounds < 1 || s.Draws < 1 {
		return nil, ErrNothingToSearch
	}
	rnd := rand.New(rand.NewPCG(s.Seed, searchStream))
	var best *Result
	played := 0
	for round := range s.Rounds {
		results, err := s.play(s.nextLists(rnd, best))
		if err != nil {
			return nil, err
		}
		played += len(results)
		for i := range results {
			if best == nil || results[i].worseThan(best) {
				best = &results[i]
			}
		}
		if s.OnRound != nil {
			s.OnRound(round, *best)
		}
	}
	best, more, err := s.reduce(best)
	if err != nil {
		return nil, err
	}
	best.Played = played + more
	slices.SortStableFunc(best.Faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	return best, nil
}

// nextLists returns the lists of a round: mutations of the best result, and some new ones.
func (s *Search) nextLists(rnd *rand.Rand, best *Result) [][]scenario.Fault {
	lists := make([][]scenario.Fault, s.Draws)
	for i := range lists {
		if best == nil || i%freshEvery == freshEvery-1 {
			lists[i] = s.drawList(rnd)
		} else {
			lists[i] = s.mutate(rnd, best.Faults)
		}
	}
	return lists
}

// play returns the result of each list.
func (s *Search) play(lists [][]scenario.Fault) ([]Result, error) {
	results := make([]Result, len(lists))
	err := replication.Run(len(lists), s.Parallel, func(i int) (err error) {
		results[i], err = s.playList(lists[i])
		return err
	})
	return results, err
}

func (s *Search) playList(list []scenario.Fault) (Result, error) {
	result := Result{Faults: list, Yardstick: 1}
	played, _, err := s.Scenario.WithFaults(list, "")
	if err != nil {
		return result, fmt.Errorf("faultsearch: a drawn list makes no scenario: %w", err)
	}
	yardstick := 0.0
	for i := range uint64(replications) {
		seed := i + 1
		options := s.Subject(seed)
		options.Audit = true
		run, err := fleet.Run(played, options)
		if err != nil {
			return result, err
		}
		result.Subject += run.Score.Service() / replications
		for _, rule := range run.Rules {
			result.Violations += len(rule.Violations)
		}
		if s.Yardstick != nil {
			if run, err = fleet.Run(played, s.Yardstick(seed)); err != nil {
				return result, err
			}
			yardstick += run.Score.Service() / replications
		}
	}
	if s.Yardstick != nil {
		result.Yardstick = yardstick
	}
	return result, nil
}
