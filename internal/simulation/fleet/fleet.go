// Package fleet plays a scripted day (internal/lab/scene) in simulated time: the fronts' decisions are those of the same
// routing.Router with the same settings and mappings as the daemon's, engines are the model that the stand-ins run
// (internal/standin/model), clients draw as those of a day on sockets do, and the five rules are judged by the same judge
// (internal/audit). Engines change role by package roles and the view of internal/planner. It opens no sockets and reads
// no clock.
//
// What differs from sockets: links take the same time whatever they carry, and a front's own work takes none beside it; a
// client that reads slowly holds up nobody but itself; load reports, by which no front decides, and old words of the register,
// which fronts pass over, are not sent; planners look at what was answered half a look before, and a front that was cut off
// from the register comes back to it after an even draw up to the time of its longest pause.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/config"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// Decider is what decides for a front: routing.Router, or for comparisons something simpler.
type Decider interface {
	Step(now time.Duration, events []routing.Event) []routing.Action
}

// Options say how a day is played.
type Options struct {
	Seed   uint64        // of everything but the clients' draws, which are the day's
	Link   time.Duration // from one party to another; 0 = 250 us
	Jitter time.Duration // mean of what is added to it by chance; 0 = 50 us
	Shards int           // parts that are played side by side; the result is the same; 0 = 1
	Audit  bool          // judge the rules, which keeps a record of all that passes
	// Traffic is played in place of the day's drawn sessions, where it is given.
	Traffic []scenario.RecordedRequest
	// Oracles tell fronts what they can't know.
	Oracles Oracles
	// Settings are the fronts', in place of those that the day makes; kinds and classes must have the day's names.
	Settings *config.Settings
	// Decider makes what decides for a front; nil = routing.New.
	Decider func(s routing.Config, seed uint64) (Decider, error)
}

// Result is what came of a day.
type Result struct {
	Score             *scenario.Score
	Rules             []audit.RuleResult // where they were judged
	Attempts          map[string]int     // reads and writes that reached engines
	Outcomes          map[string]int     // of attempts by what they were and how they ended, as "read timed out"
	Events            int64              // played
	TransferredTokens float64            // state tokens that writers fetched
	Roles             []RoleSample       // where engines change role: each look of the first planner
}

// Run plays a day.
func Run(d *scenario.Scenario, o Options) (*Result, error) {
	o.Link, o.Jitter = cmp.Or(o.Link, 250*time.Microsecond), cmp.Or(o.Jitter, 50*time.Microsecond)
	f := &fleet{d: d, o: o, k: newKernel(max(o.Shards, 1), o.Link)}
	if f.o.Decider == nil {
		f.o.Decider = func(s routing.Config, seed uint64) (Decider, error) { return routing.New(s, seed) }
	}
	var err error
	if f.set, err = d.Settings(0); err != nil {
		return nil, err
	}
	if o.Settings != nil {
		if err := sameNames(f.set, o.Settings); err != nil {
			return nil, err
		}
		f.set = o.Settings
	}
	f.cs = f.set.RoutingConfig()
	if err := o.Oracles.check(o.Shards); err != nil {
		return nil, err
	}
	o.Oracles.settings(&f.cs)
	f.clients = newClients(f)
	f.k.add(f.clients)
	f.register = newRegister(f)
	f.k.add(f.register)
	for i := range d.Kinds {
		for n := range d.Kinds[i].Count {
			e := newEngine(f, &d.Kinds[i], n)
			f.k.add(e)
			f.engines = append(f.engines, e)
		}
	}
	for i := range d.Replicas {
		x := &front{f: f, index: i, name: fmt.Sprint("front-", i+1)}
		f.k.add(x)
		f.fronts = append(f.fronts, x)
	}
	f.shift()
	for _, x := range f.fronts {
		if err := x.start(); err != nil {
			return nil, err
		}
	}
	if d.Planner != nil {
		for i := range max(d.Planner.Count, 1) {
			p := &planners{f: f, rnd: f.rnd(1<<30 + uint64(i))}
			f.k.add(p)
			f.planners = append(f.planners, p)
			if err := p.start(); err != nil {
				return nil, err
			}
		}
	}
	f.register.begin()
	f.clients.begin()
	f.k.run(func(now time.Duration) bool {
		return now > d.Length+time.Minute || now > d.Length+d.Service.StateTTL+300*time.Millisecond && f.clients.open == 0 && now > f.clients.quiet+d.Service.StateTTL+300*time.Millisecond
	})
	return f.result(), nil
}

// sameNames tells how other settings don't fit a day.
func sameNames(day, other *config.Settings) error {
	names := func(s *config.Settings) (classes, kinds, tenants []string) {
		for _, c := range s.Classes {
			classes = append(classes, c.Name)
		}
		for _, k := range s.Kinds {
			kinds = append(kinds, k.Name)
		}
		for _, t := range s.Tenants {
			tenants = append(tenants, t.Name)
		}
		return classes, kinds, tenants
	}
	c1, k1, t1 := names(day)
	c2, k2, t2 := names(other)
	for _, x := range []struct {
		what string
		a, b []string
	}{{"classes", c1, c2}, {"kinds of engine", k1, k2}, {"tenants", t1, t2}} {
		if !slices.Equal(x.a, x.b) {
			return fmt.Errorf("fleet: the settings' %s are %v, the day's are %v, in this order", x.what, x.b, x.a)
		}
	}
	return nil
}

type fleet struct {
	d        *scenario.Scenario
	o        Options
	k        *kernel
	set      *config.Settings
	cs       routing.Config
	clients  *clients
	register *register
	engines  []*engine
	fronts   []*front
	planners []*planners
}

// rnd is a party's own source of chance.
func (f *fleet) rnd(what uint64) *rand.Rand { return rand.New(rand.NewPCG(f.o.Seed, what)) }

// hop is the time that one link takes now.
func (f *fleet) hop(rnd *rand.Rand) time.Duration {
	return f.o.Link + time.Duration(rnd.ExpFloat64()*float64(f.o.Jitter))
}

func (f *fleet) result() *Result {
	r := &Result{Score: f.clients.score, Attempts: map[string]int{}, Outcomes: map[string]int{}}
	for _, n := range slices.Sorted(maps.Keys(f.clients.tries)) {
		f.clients.taken(f.clients.tries[n])
	}
	var events []audit.Event
	events = append(append(events, f.clients.log...), f.register.log...)
	for _, e := range f.engines {
		events = append(events, e.log...)
		r.Attempts["read"] += e.reads
		r.Attempts["write"] += e.writes
		r.TransferredTokens += e.moved
	}
	for _, x := range f.fronts {
		events = append(events, x.log...)
		for e, n := range x.ends {
			r.Outcomes[e.String()] += n
		}
	}
	if len(f.planners) > 0 {
		r.Roles = f.planners[0].seen
	}
	for _, s := range f.k.shards {
		r.Events += s.events
	}
	if f.o.Audit {
		slices.SortStableFunc(events, func(a, b audit.Event) int { return cmp.Compare(a.At, b.At) })
		f.dropRepeats(events)
		r.Rules = audit.Check(events, audit.Limits{DrainGrace: f.d.Service.DrainGrace, StateTTL: f.d.Service.StateTTL, Slack: 10 * time.Millisecond})
	}
	return r
}

// dropRepeats is the engines' group: of keyed effects it lets the first within the window take place.
func (f *fleet) dropRepeats(events []audit.Event) {
	window := time.Minute
	for _, c := range f.d.Classes {
		window = max(window, c.DedupWindow)
	}
	seen := map[string]time.Duration{}
	for i := range events {
		e := &events[i]
		if e.Kind != audit.Executed || e.Class != audit.IdempotentWithKey {
			continue
		}
		if at, ok := seen[e.Intent]; ok && e.At-at <= window {
			e.Kind = audit.Deduplicated
			continue
		}
		seen[e.Intent] = e.At
	}
}

// tap is a party's part of the record.
type tap struct {
	taped bool
	log   []audit.Event
}

func (t *tap) record(at time.Duration, e audit.Event) {
	if t.taped {
		e.At = at
		t.log = append(t.log, e)
	}
}
