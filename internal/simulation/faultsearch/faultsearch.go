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

// Hunt says where to look.
type Hunt struct {
	Day      *scenario.Day // fleet and clients; its own happenings are put aside
	Subject  func(seed uint64) fleet.Options
	Yard     func(seed uint64) fleet.Options // what the subject is measured against; nil = how much is lost in all
	Troubles int                             // at most
	Rounds   int                             // of changing the best
	Draws    int                             // lists a round
	Seed     uint64
	AtOnce   int
	Told     func(round int, best Found) // after each round; may be nil
}

// Found is a list of happenings and what came of it.
type Found struct {
	Happens  []scenario.Happening
	Subject  float64 // service, mean over seeds
	Yard     float64 // of the yardstick; 1 without one
	Breaches int     // of the rules, by the subject
	Tried    int     // lists played in all
}

// Lost is what is hunted for: how far the subject stays under its yardstick.
func (f *Found) Lost() float64 { return f.Yard - f.Subject }

// worse orders finds: a broken rule before any loss.
func (f *Found) worse(o *Found) bool {
	if (f.Breaches > 0) != (o.Breaches > 0) {
		return f.Breaches > 0
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
func Run(h Hunt) (*Found, error) {
	if h.Troubles < 1 || h.Rounds < 1 || h.Draws < 1 {
		return nil, errors.New("hunt: troubles, rounds and draws must be 1 at least")
	}
	rnd := rand.New(rand.NewPCG(h.Seed, 9))
	var best *Found
	tried := 0
	for round := range h.Rounds {
		lists := make([][]scenario.Happening, h.Draws)
		for i := range lists {
			if best == nil || i%4 == 3 { // some anew, so that the hunt does not stay where it began
				lists[i] = h.draw(rnd)
			} else {
				lists[i] = h.change(rnd, best.Happens)
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
		if h.Told != nil {
			h.Told(round, *best)
		}
	}
	best, more, err := h.shrink(best)
	if err != nil {
		return nil, err
	}
	best.Tried = tried + more
	slices.SortStableFunc(best.Happens, func(a, b scenario.Happening) int { return cmp.Compare(a.At, b.At) })
	return best, nil
}

// draw makes a list.
func (h *Hunt) draw(rnd *rand.Rand) []scenario.Happening {
	list := make([]scenario.Happening, 1+rnd.IntN(h.Troubles))
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
func (h *Hunt) one(rnd *rand.Rand) scenario.Happening {
	t := troubles[rnd.IntN(len(troubles))]
	x := scenario.Happening{What: t.what, Part: between(rnd, t.part), Factor: between(rnd, t.factor)}
	h.time(rnd, &x)
	switch {
	case t.engines:
		k := &h.Day.Kinds[rnd.IntN(len(h.Day.Kinds))]
		x.Kind, x.Count = k.Name, 1+rnd.IntN(max(min(k.Count/3, mostKinds), 1))
	case t.what == "front-kill" || t.what == "front-stop":
		x.Count = 1 + rnd.IntN(max(h.Day.Fronts/2, 1))
	case t.what == "register-late":
		x.Late = time.Duration(200+rnd.IntN(2800)) * time.Millisecond
	case t.what == "mix":
		x.Class = h.Day.Classes[rnd.IntN(len(h.Day.Classes))].Name
	}
	return x
}

// time draws when and for how long, within the day less an end in which it can recover.
func (h *Hunt) time(rnd *rand.Rand, x *scenario.Happening) {
	all := h.Day.Length
	x.For = (time.Second + time.Duration(rnd.Float64()*mostFor*float64(all))).Round(100 * time.Millisecond)
	room := max(all*9/10-x.For, 0)
	x.At = time.Duration(rnd.Float64() * float64(room)).Round(100 * time.Millisecond)
}

// change makes a neighbour of a list.
func (h *Hunt) change(rnd *rand.Rand, from []scenario.Happening) []scenario.Happening {
	list := slices.Clone(from)
	for range 1 + rnd.IntN(2) {
		i := rnd.IntN(len(list))
		switch rnd.IntN(4) {
		case 0:
			h.time(rnd, &list[i])
		case 1:
			list[i] = h.one(rnd)
		case 2:
			if len(list) < h.Troubles {
				list = append(list, h.one(rnd))
			}
		default: // brought to the time of another: troubles that meet
			j := rnd.IntN(len(list))
			list[i].At = min(list[j].At, h.Day.Length*9/10-list[i].For)
			list[i].At = max(list[i].At, 0)
		}
	}
	return list
}

// play gives what comes of each list.
func (h *Hunt) play(lists [][]scenario.Happening) ([]Found, error) {
	found := make([]Found, len(lists))
	err := replication.Each(len(lists), h.AtOnce, func(i int) (err error) {
		found[i], err = h.try(lists[i])
		return err
	})
	return found, err
}

func (h *Hunt) try(list []scenario.Happening) (Found, error) {
	f := Found{Happens: list, Yard: 1}
	d, _, err := h.Day.With(list, "")
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
			f.Breaches += len(v.Violations)
		}
		if h.Yard != nil {
			if r, err = fleet.Run(d, h.Yard(seed+1)); err != nil {
				return f, err
			}
			yard += r.Score.Service() / seeds
		}
	}
	if h.Yard != nil {
		f.Yard = yard
	}
	return f, nil
}

// shrink takes away what is not needed: whole happenings, then halves of their times, then engines.
func (h *Hunt) shrink(best *Found) (*Found, int, error) {
	tried := 0
	good := func(f *Found) bool {
		if best.Breaches > 0 {
			return f.Breaches > 0
		}
		return f.Lost() >= stillBad*best.Lost()
	}
	now := best
	for again := true; again; {
		again = false
		var lists [][]scenario.Happening
		for i := range now.Happens {
			if len(now.Happens) > 1 {
				lists = append(lists, slices.Delete(slices.Clone(now.Happens), i, i+1))
			}
		}
		for i, x := range now.Happens {
			if x.For >= 2*time.Second {
				l := slices.Clone(now.Happens)
				l[i].For = (x.For / 2).Round(100 * time.Millisecond)
				lists = append(lists, l)
			}
			if x.Count > 1 {
				l := slices.Clone(now.Happens)
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
