package roles

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// The loss of a stage, see stageCost.
	full     = 1.0  // of an engine, what it can be asked for
	softRoot = 0.09 // of the root of all engines: how far from the edge chance reaches, in engines

	changePrice = 1.0 // what a change is reckoned to lose, as a part of an engine's work for the time that it takes

	lossFor   = 120.0 // how long an expert's losses count, in times of a change
	leadLong  = 1.0   // changes' prices by which one that looks back longer must be better to lead, and ...
	leadShort = 0.3   // ... of the whole fleet, for the time of a change, for one that looks back less long
	priorPart = 0.1   // of an expert's memory: so long the split as it was found counts as right
	buckets   = 64    // of an expert's memory, which spans spanOf times its constant
	spanOf    = 3.0
	costSeen  = 0.2 // weight of the newest change's time in the mean

	// An engine that says that it changed and does nothing of its new stage.
	proveWithin = 20 * time.Second // after its change
	proveIdle   = 0.05             // part of its peers' mean work that it does at least ...
	provePeers  = 0.15             // ... where that mean is so much of an engine
	barFirst    = 5 * time.Minute  // it, or one that could not change, is left alone for so long, doubling
	barMost     = time.Hour
)

// memories are how long each expert looks back, in times of a change: what is long for a fleet depends on what a change
// takes there. The one that looks back longest leads until another has done better.
var memories = [...]float64{120, 30, 8, 2, 0.5}

// Planner plans for one fleet. It is not safe for concurrent use.
type Planner struct {
	set       Config
	now       time.Duration
	began     bool
	meters    map[string]*meter
	moves     map[string]*move
	cooldowns map[string]cooldown

	experts []*expert
	lead    int
	stood   [2]int  // readers and writers as this planner left them
	cost    float64 // seconds of an engine that a change takes, as seen
}

// move is a change under way, as the planner last saw it.
type move struct {
	to    Role
	since time.Duration
	off   bool // told back
}

type cooldown struct {
	until, pause time.Duration
}

// New makes a planner that knows nothing yet.
func New(s Config) (*Planner, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s.MinDwell = cmp.Or(s.MinDwell, time.Minute)
	s.MaxConcurrent = cmp.Or(s.MaxConcurrent, 0.1)
	s.ChangeTime = cmp.Or(s.ChangeTime, 10*time.Second)
	s.WarmUp = cmp.Or(s.WarmUp, 3*time.Second)
	s.StaleAfter = cmp.Or(s.StaleAfter, 5*time.Second)
	s.ChangeTimeout = cmp.Or(s.ChangeTimeout, 2*time.Minute)
	p := &Planner{set: s, meters: map[string]*meter{}, moves: map[string]*move{}, cooldowns: map[string]cooldown{}, cost: s.ChangeTime.Seconds()}
	for _, m := range memories {
		p.experts = append(p.experts, &expert{memory: time.Duration(m * float64(s.ChangeTime)), losses: time.Duration(lossFor * float64(s.ChangeTime))})
	}
	return p, nil
}

// fleet is what a step sees, summed up.
type fleet struct {
	engines          []Engine // sorted by ID
	readers, writers int      // ready, by where they are or are on their way to
	both             int      // ready, that do both
	moving           int
	least, most      int // readers that may be wanted
	reading, writing float64
	believed         bool
	unbelieved       int
}

// Step takes the fleet as it is at now and plans. Calling it more or less often changes little; about once a second is
// meant. Engines that are not named are forgotten.
func (p *Planner) Step(now time.Duration, engines []Engine, fronts []Replica) Plan {
	dt := min(max((now-p.now).Seconds(), 0), 5) // a planner that was paused has seen nothing meanwhile
	if !p.began {
		dt, p.began = 0, true
	}
	p.now = now
	f := p.look(engines, fronts)
	plan := Plan{
		Trusted: f.believed, Reading: f.reading, Writing: f.writing, Readers: f.readers, Engines: f.readers + f.writers,
		UntrustedReports: f.unbelieved, ChangeTime: time.Duration(p.cost * float64(time.Second)),
	}
	for _, x := range p.experts {
		x.rebase(f.readers-p.stood[0], f.writers-p.stood[1])
	}
	if f.least <= f.most && f.believed {
		for _, x := range p.experts {
			x.step(f, now, dt, p.cost, p.atOnce(f))
		}
		p.follow(float64(f.readers + f.writers + f.both))
		lead := p.experts[p.lead]
		plan.Lookback, plan.Readers = lead.memory, min(max(lead.wanted(), f.least), f.most)
	}
	p.steer(f, &plan)
	p.stood = [2]int{f.readers, f.writers}
	return plan
}

// follow picks the expert that leads: the one that has lost least, once it is clearly better. One that looks back less
// long has more to show, since it gains by luck on the first swing of a mix that goes back and forth.
func (p *Planner) follow(engines float64) {
	lead, gain := p.lead, 0.0
	for i, x := range p.experts {
		margin := leadLong * changePrice * p.cost
		if i > p.lead {
			margin = leadShort * engines * p.set.ChangeTime.Seconds()
		}
		if g := p.experts[p.lead].loss - x.loss - margin; g > gain {
			lead, gain = i, g
		}
	}
	p.lead = lead
}

// look sums the fleet up and learns from moves that have ended.
func (p *Planner) look(engines []Engine, fronts []Replica) *fleet {
	f := &fleet{engines: slices.Clone(engines)}
	slices.SortFunc(f.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	named := map[string]bool{}
	var asked, seen, all [2]float64 // by stage
	fixed := [2]int{}
	for i := range f.engines {
		e := &f.engines[i]
		named[e.ID] = true
		m := p.meter(e.ID, e.Report)
		p.track(e)
		if !e.Ready && !e.moving() {
			continue
		}
		if !m.believed {
			f.unbelieved++
		}
		for stage, does := range [2]bool{e.Role.Prefills(), e.Role.Decodes()} {
			if !does || e.moving() {
				continue
			}
			all[stage]++
			if m.believed {
				seen[stage]++
				asked[stage] += [2]float64{m.read, m.write}[stage]
			}
		}
		if e.moving() {
			f.moving++
		}
		switch e.Target {
		case Prefill:
			f.readers++
		case Decode:
			f.writers++
		default:
			f.both++
		}
		if !e.free() && e.Target != Both {
			fixed[e.Target]++
		}
	}
	var lost [2]float64
	for _, x := range fronts {
		id := "front " + x.ID
		named[id] = true
		if m := p.meter(id, x.Report); m.believed {
			lost[0], lost[1] = lost[0]+m.read, lost[1]+m.write
		}
	}
	maps.DeleteFunc(p.meters, func(id string, _ *meter) bool { return !named[id] })
	maps.DeleteFunc(p.moves, func(id string, _ *move) bool { return !named[id] })
	maps.DeleteFunc(p.cooldowns, func(id string, b cooldown) bool { return !named[id] && p.now >= b.until })
	f.believed = true
	for stage := range all {
		if all[stage] > 0 && seen[stage] < believeOf*all[stage] || seen[stage] == 0 {
			f.believed = false
		} else {
			asked[stage] *= all[stage] / seen[stage]
		}
	}
	f.reading, f.writing = asked[0]+lost[0], asked[1]+lost[1]
	n := f.readers + f.writers
	f.least, f.most = max(fixed[Prefill], 1), n-max(fixed[Decode], 1)
	if f.both > 0 { // they keep either stage alive
		f.least, f.most = fixed[Prefill], n-fixed[Decode]
	}
	return f
}

// meter brings the meter of an engine or front to its report.
func (p *Planner) meter(id string, r *Report) *meter {
	m := p.meters[id]
	if m == nil {
		m = &meter{}
		p.meters[id] = m
	}
	m.take(r, p.now, p.set.StaleAfter)
	return m
}

// track keeps a move until it has ended, and learns its time.
func (p *Planner) track(e *Engine) {
	m := p.moves[e.ID]
	switch {
	case e.moving() && m == nil: // begun by another planner before this one
		p.moves[e.ID] = &move{to: e.Target, since: p.now}
	case e.moving():
		m.to = e.Target
	case m != nil:
		if !m.off && e.Role == m.to {
			p.cost += costSeen * (min((p.now-m.since+p.set.WarmUp).Seconds(), p.set.ChangeTimeout.Seconds()) - p.cost)
			p.meters[e.ID].read, p.meters[e.ID].write = 0, 0
		}
		delete(p.moves, e.ID)
	}
}

// stageCost is the work that a stage with n engines is expected to lose where so much is asked for, in engines: what is
// over, and within soft of the edge what a queue loses to chance. Convex in n, as a soft maximum of two lines is.
func stageCost(work, n, soft float64) float64 {
	z := (work - full*n) / soft
	if z > 30 {
		return work - full*n
	}
	return soft * math.Log1p(math.Exp(z))
}

// splitCost is the cost of both stages.
func splitCost(reading, writing, readers, writers, soft float64) float64 {
	return stageCost(reading, readers, soft) + stageCost(writing, writers, soft)
}

// softness is how far chance reaches in a fleet: the more engines, the more, but the less for each.
func softness(engines float64) float64 { return softRoot * math.Sqrt(max(engines, 1)) }

func (p *Planner) why(f *fleet, what string) string {
	return fmt.Sprintf("%s: reading asks for %.2f engines, writing for %.2f, of %d readers and %d writers", what, f.reading, f.writing, f.readers, f.writers)
}

// inCooldown tells whether an engine is left alone; bar begins or doubles it.
func (p *Planner) inCooldown(id string) bool { return p.now < p.cooldowns[id].until }

func (p *Planner) startCooldown(id string) {
	pause := min(max(2*p.cooldowns[id].pause, barFirst), barMost)
	p.cooldowns[id] = cooldown{p.now + pause, pause}
}

// Cost is what a second costs with so many readers and writers, where so much reading and writing is asked for, all in
// engines; the unit of the law. It is for comparisons.
func Cost(reading, writing float64, readers, writers int) float64 {
	return splitCost(reading, writing, float64(readers), float64(writers), softness(float64(readers+writers)))
}
