// Package faultsearch looks for the troubles under which a way of deciding does worst: it draws and changes lists of happenings
// within bounds, plays them in simulated time (internal/lab/fleet), and cuts what it found down to what is needed. What
// it finds is a day file that real fronts can play.
package faultsearch

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Search says where to look.
type Search struct {
	Scenario  *scenario.Scenario // fleet and clients; its own happenings are put aside
	Subject   func(seed uint64) fleet.Options
	Yardstick func(seed uint64) fleet.Options // what the subject is measured against; nil = how much is lost in all
	MaxFaults int                             // at most
	Rounds    int                             // of changing the best
	Draws     int                             // lists a round
	Seed      uint64
	Parallel  int
	OnRound   func(round int, best Result) // after each round; may be nil
}

// Result is a list of happenings and what came of it.
type Result struct {
	Faults     []scenario.Fault
	Subject    float64 // service, mean over seeds
	Yardstick  float64 // of the yardstick; 1 without one
	Violations int     // of the rules, by the subject
	Played     int     // lists played in all
}

// Lost is what is hunted for: how far the subject stays under its yardstick.
func (f *Result) Lost() float64 { return f.Yardstick - f.Subject }

// worse orders finds: a broken rule before any loss.
func (f *Result) worse(o *Result) bool {
	if (f.Violations > 0) != (o.Violations > 0) {
		return f.Violations > 0
	}
	return f.Lost() > o.Lost()
}

const (
	seeds     = 2    // courses of each list
	stillBad  = 0.8  // of the loss, what a shorter list must keep
	mostFor   = 0.25 // of the day, the longest trouble
	mostKinds = 3    // engines of a kind struck at once, at most, and a third of them
)

// trouble is a kind of happening that can be drawn.
type trouble struct {
	what    string
	engines bool
	part    [2]float64 // 0, 0 = none
	factor  [2]float64
}

var troubles = []trouble{
	{what: "crash", engines: true},
	{what: "drain", engines: true},
	{what: "remove", engines: true},
	{what: "stall", engines: true},
	{what: "fail-fast", engines: true, part: [2]float64{0.3, 1}},
	{what: "slow", engines: true, factor: [2]float64{2, 8}},
	{what: "refuse-connects", engines: true},
	{what: "forget", engines: true},
	{what: "silent-restart", engines: true},
	{what: "reset-mid-stream", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "reset-after-request", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "reset-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "stall-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "fail-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "front-kill"},
	{what: "front-stop"},
	{what: "register-cut"},
	{what: "register-late"},
	{what: "surge", factor: [2]float64{1.5, 4}},
	{what: "overlong", part: [2]float64{0.01, 0.05}, factor: [2]float64{5, 20}},
	{what: "hot-prefix", part: [2]float64{0.2, 0.8}},
	{what: "hang-ups", part: [2]float64{0.1, 0.5}},
	{what: "mix", factor: [2]float64{0.1, 5}},
}

// Run hunts.
func Run(h Search) (*Result, error) {
	if h.MaxFaults < 1 || h.Rounds < 1 || h.Draws < 1 {
		return nil, errors.New("hunt: troubles, rounds and draws must be 1 at least")
	}
	rnd := rand.New(rand.NewPCG(h.Seed, 9))
	var best *Result
	tried := 0
	for round := range h.Rounds {
		lists := make([][]scenario.Fault, h.Draws)
		for i := range lists {
			if best == nil || i%4 == 3 { // some anew, so that the hunt does not stay where it began
				lists[i] = h.draw(rnd)
			} else {
				lists[i] = h.change(rnd, best.Faults)
			}
		}
		found, err := h.play(lists)
		if err != nil {
			return nil, err
		}
		tried += len(found)
		for i := range found {
			if best == nil || found[i].worse(best) {
				best = &found[i]
			}
		}
		if h.OnRound != nil {
			h.OnRound(round, *best)
		}
	}
	best, more, err := h.shrink(best)
	if err != nil {
		return nil, err
	}
	best.Played = tried + more
	slices.SortStableFunc(best.Faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	return best, nil
}

// draw makes a list.
func (h *Search) draw(rnd *rand.Rand) []scenario.Fault {
	list := make([]scenario.Fault, 1+rnd.IntN(h.MaxFaults))
	for i := range list {
		list[i] = h.one(rnd)
	}
	return list
}

func between(rnd *rand.Rand, r [2]float64) float64 {
	if r[1] == 0 {
		return 0
	}
	return float64(int((r[0]+(r[1]-r[0])*rnd.Float64())*100)) / 100
}

// one draws a happening.
func (h *Search) one(rnd *rand.Rand) scenario.Fault {
	t := troubles[rnd.IntN(len(troubles))]
	x := scenario.Fault{What: t.what, Part: between(rnd, t.part), Factor: between(rnd, t.factor)}
	h.time(rnd, &x)
	switch {
	case t.engines:
		k := &h.Scenario.Kinds[rnd.IntN(len(h.Scenario.Kinds))]
		x.Kind, x.Count = k.Name, 1+rnd.IntN(max(min(k.Count/3, mostKinds), 1))
	case t.what == "front-kill" || t.what == "front-stop":
		x.Count = 1 + rnd.IntN(max(h.Scenario.Replicas/2, 1))
	case t.what == "register-late":
		x.Late = time.Duration(200+rnd.IntN(2800)) * time.Millisecond
	case t.what == "mix":
		x.Class = h.Scenario.Classes[rnd.IntN(len(h.Scenario.Classes))].Name
	}
	return x
}

// time draws when and for how long, within the day less an end in which it can recover.
func (h *Search) time(rnd *rand.Rand, x *scenario.Fault) {
	all := h.Scenario.Length
	x.For = (time.Second + time.Duration(rnd.Float64()*mostFor*float64(all))).Round(100 * time.Millisecond)
	room := max(all*9/10-x.For, 0)
	x.At = time.Duration(rnd.Float64() * float64(room)).Round(100 * time.Millisecond)
}

// change makes a neighbour of a list.
func (h *Search) change(rnd *rand.Rand, from []scenario.Fault) []scenario.Fault {
	list := slices.Clone(from)
	for range 1 + rnd.IntN(2) {
		i := rnd.IntN(len(list))
		switch rnd.IntN(4) {
		case 0:
			h.time(rnd, &list[i])
		case 1:
			list[i] = h.one(rnd)
		case 2:
			if len(list) < h.MaxFaults {
				list = append(list, h.one(rnd))
			}
		default: // brought to the time of another: troubles that meet
			j := rnd.IntN(len(list))
			list[i].At = min(list[j].At, h.Scenario.Length*9/10-list[i].For)
			list[i].At = max(list[i].At, 0)
		}
	}
	return list
}

// play gives what comes of each list.
func (h *Search) play(lists [][]scenario.Fault) ([]Result, error) {
	found := make([]Result, len(lists))
	err := replication.Run(len(lists), h.Parallel, func(i int) (err error) {
		found[i], err = h.try(lists[i])
		return err
	})
	return found, err
}

func (h *Search) try(list []scenario.Fault) (Result, error) {
	f := Result{Faults: list, Yardstick: 1}
	d, _, err := h.Scenario.WithFaults(list, "")
	if err != nil {
		return f, fmt.Errorf("hunt: a drawn list makes no day: %w", err)
	}
	yard := 0.0
	for seed := range uint64(seeds) {
		o := h.Subject(seed + 1)
		o.Audit = true
		r, err := fleet.Run(d, o)
		if err != nil {
			return f, err
		}
		f.Subject += r.Score.Service() / seeds
		for _, v := range r.Rules {
			f.Violations += len(v.Violations)
		}
		if h.Yardstick != nil {
			if r, err = fleet.Run(d, h.Yardstick(seed+1)); err != nil {
				return f, err
			}
			yard += r.Score.Service() / seeds
		}
	}
	if h.Yardstick != nil {
		f.Yardstick = yard
	}
	return f, nil
}

// shrink takes away what is not needed: whole happenings, then halves of their times, then engines.
func (h *Search) shrink(best *Result) (*Result, int, error) {
	tried := 0
	good := func(f *Result) bool {
		if best.Violations > 0 {
			return f.Violations > 0
		}
		return f.Lost() >= stillBad*best.Lost()
	}
	now := best
	for again := true; again; {
		again = false
		var lists [][]scenario.Fault
		for i := range now.Faults {
			if len(now.Faults) > 1 {
				lists = append(lists, slices.Delete(slices.Clone(now.Faults), i, i+1))
			}
		}
		for i, x := range now.Faults {
			if x.For >= 2*time.Second {
				l := slices.Clone(now.Faults)
				l[i].For = (x.For / 2).Round(100 * time.Millisecond)
				lists = append(lists, l)
			}
			if x.Count > 1 {
				l := slices.Clone(now.Faults)
				l[i].Count = 1
				lists = append(lists, l)
			}
		}
		found, err := h.play(lists)
		if err != nil {
			return nil, tried, err
		}
		tried += len(found)
		for i := range found {
			if good(&found[i]) { // the first: the greatest cut
				now, again = &found[i], true
				break
			}
		}
	}
	return now, tried, nil
}
