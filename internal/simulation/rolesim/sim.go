// Package rolesim is a fleet in simulated time, made to compare ways of sharing engines out to reading and writing:
// requests one by one, a queue for each stage, engines that drain, switch and warm up when they change. Routing is taken
// to be perfect within a stage, so what differs between two runs is the sharing out alone. Traffic is seeded: every
// policy meets the same requests.
package rolesim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"brackenbend/roles"
)

// Scenario is a fleet and what it meets.
type Scenario struct {
	Name    string
	Engines int
	Length  time.Duration
	Seed    uint64
	// Asked is the work asked for at a time, as parts of the whole fleet.
	Asked func(at time.Duration) (reading, writing float64)
	// Outages are engines lost at a time, and how long until they are back, cold.
	Outages []Outage

	Slots      int           // streams of a writer; 0 = 32
	Stream     time.Duration // of one answer, on average; 0 = 3 s
	Aim        time.Duration // first token wanted within, from arrival; 0 = 1 s
	Switch     time.Duration // of an empty engine; 0 = 1 s
	ColdFrom   float64       // part of its capacity at its start; 0 = 0.25
	ColdFor    time.Duration // 0 = 6 s
	LateReport time.Duration // reports reach the planner so late
	Blind      bool          // fronts tell the planner nothing of what they refuse
}

// Outage takes engines of a role, a part of those that have it then.
type Outage struct {
	At, For time.Duration
	Role    roles.Role
	Part    float64
}

func (s *Scenario) defaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	if s.Slots == 0 {
		s.Slots = 32
	}
	if s.ColdFrom == 0 {
		s.ColdFrom = 0.25
	}
	set(&s.Stream, 3*time.Second)
	set(&s.Aim, time.Second)
	set(&s.Switch, time.Second)
	set(&s.ColdFor, 6*time.Second)
}

// Policy shares engines out. It is asked once a simulated second.
type Policy interface {
	Start(s *Scenario) (readers int)
	Step(now time.Duration, engines []roles.Engine, fronts []roles.Replica) roles.Plan
}

// Result is what came of a run.
type Result struct {
	Asked, Served int
	Changes       int           // begun
	Shortest      time.Duration // between two changes of one engine; 0 = none changed twice
	Readers       []int         // in force or on the way, each second
	Lost          []float64     // part of the requests of each second that were not served in time
	LostRead      float64       // work given up before it was read, in engine seconds
	LostWrite     float64       // ... and after, before it was written
}

// Service is the part of requests whose first token came in time.
func (r *Result) Service() float64 { return float64(r.Served) / float64(max(r.Asked, 1)) }

type request struct {
	at, read, write float64
	second          int
}

type engineState uint8

const (
	up engineState = iota
	drains
	switches
	down
)

type engine struct {
	id       string
	role, to roles.Role
	state    engineState
	start    float64 // of its present role's process; -inf = long ago
	changed  float64
	n        int // requests at work here
	gen      int // raised when it dies: what was out is lost
	read     float64
	write    float64
	seen     float64 // totals hold up to here
	lateTo   []roles.Report
	pos      [2]int // in the pools of the stages
}

type eventKind uint8

const (
	readDone eventKind = iota
	writeDone
	switched
	back
	dies
)

type event struct {
	at   float64
	kind eventKind
	e    *engine
	gen  int
	q    request
	n    int // index of a death
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	*h = old[:n]
	return e
}

// queue is first come, first served; what is too old is given up when it is looked at.
type queue struct {
	q    []request
	head int
	work float64
}

func (q *queue) push(r request, work float64) { q.q = append(q.q, r); q.work += work }
func (q *queue) len() int                     { return len(q.q) - q.head }
func (q *queue) pop(work func(request) float64) request {
	r := q.q[q.head]
	q.head++
	q.work -= work(r)
	if q.head > 4096 && q.head*2 > len(q.q) {
		q.q = append(q.q[:0], q.q[q.head:]...)
		q.head = 0
	}
	return r
}

type sim struct {
	s       *Scenario
	now     float64
	rnd     *rand.Rand
	heap    events
	engines []*engine
	pools   [2]pool // reading, writing
	reads   queue
	writes  queue
	res     *Result
	asked   []float64
	lost    []float64
}

// Run plays a scenario with a policy.
func Run(s Scenario, p Policy) *Result {
	s.defaults()
	x := &sim{s: &s, rnd: rand.New(rand.NewPCG(s.Seed, 7)), res: &Result{}}
	seconds := int(s.Length.Seconds()) + 2
	x.asked, x.lost = make([]float64, seconds), make([]float64, seconds)
	readers := p.Start(&s)
	for i := range s.Engines {
		e := &engine{id: string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)), role: roles.Decode, start: math.Inf(-1), changed: math.Inf(-1)}
		if i < readers {
			e.role = roles.Prefill
		}
		e.to = e.role
		x.engines = append(x.engines, e)
		x.in(e)
	}
	for i, d := range s.Outages {
		heap.Push(&x.heap, event{at: d.At.Seconds(), kind: dies, n: i})
	}
	end := s.Length.Seconds()
	arrive, q := x.next(0)
	plan := 1.0
	for {
		at := min(arrive, plan)
		if len(x.heap) > 0 {
			at = min(at, x.heap[0].at)
		}
		if at > end {
			break
		}
		x.now = at
		switch {
		case at == arrive:
			q.at, q.second = at, int(at)
			x.res.Asked++
			x.asked[q.second]++
			x.reads.push(q, q.read)
			x.start()
			arrive, q = x.next(at)
		case at == plan:
			x.plan(p)
			plan++
		default:
			x.event(heap.Pop(&x.heap).(event))
		}
	}
	for i := range x.asked {
		if x.asked[i] > 0 {
			x.lost[i] /= x.asked[i]
		}
	}
	x.res.Lost = x.lost
	return x.res
}

// next draws the next request: a Poisson course with the rate that the asked writing needs.
func (x *sim) next(at float64) (float64, request) {
	for {
		a, b := x.s.Asked(time.Duration(at * float64(time.Second)))
		n := float64(x.s.Engines)
		rate := b * n * float64(x.s.Slots) / x.s.Stream.Seconds()
		if rate <= 0 {
			at++
			continue
		}
		at += x.rnd.ExpFloat64() / rate
		return at, request{read: a * n / rate * x.rnd.ExpFloat64(), write: x.s.Stream.Seconds() * x.rnd.ExpFloat64()}
	}
}

// present is the part of its capacity that an engine has now.
func (x *sim) present(e *engine) float64 {
	age := (x.now - e.start) / x.s.ColdFor.Seconds()
	if age >= 1 {
		return 1
	}
	return x.s.ColdFrom + (1-x.s.ColdFrom)*max(age, 0)
}

// count brings the totals of e to now.
func (x *sim) count(e *engine) {
	dt := x.now - e.seen
	e.seen = x.now
	if e.state == switches || e.state == down {
		return
	}
	if e.role == roles.Prefill {
		e.read += dt * float64(e.n)
	} else {
		e.write += dt * float64(e.n) / float64(x.s.Slots)
	}
}

func (x *sim) lose(q request, reading bool) {
	x.lost[q.second]++
	if reading {
		x.res.LostRead += q.read
	} else {
		x.res.LostWrite += q.write / float64(x.s.Slots)
	}
}

// start gives waiting requests to free engines.
func (x *sim) start() {
	late := x.now - x.s.Aim.Seconds()
	for x.reads.len() > 0 {
		if x.reads.q[x.reads.head].at < late {
			x.lose(x.reads.pop(readWork), true)
			continue
		}
		e := x.free(roles.Prefill)
		if e == nil {
			break
		}
		q := x.reads.pop(readWork)
		x.take(e, 1)
		heap.Push(&x.heap, event{at: x.now + q.read/x.present(e), kind: readDone, e: e, gen: e.gen, q: q})
	}
	for x.writes.len() > 0 {
		if x.writes.q[x.writes.head].at < late {
			x.lose(x.writes.pop(writeWork), false)
			continue
		}
		e := x.free(roles.Decode)
		if e == nil {
			break
		}
		q := x.writes.pop(writeWork)
		x.take(e, 1)
		x.res.Served++
		heap.Push(&x.heap, event{at: x.now + q.write/math.Sqrt(x.present(e)), kind: writeDone, e: e, gen: e.gen, q: q})
	}
}

func readWork(q request) float64  { return q.read }
func writeWork(q request) float64 { return q.write }

func (x *sim) event(ev event) {
	e := ev.e
	if ev.kind == dies {
		x.die(x.s.Outages[ev.n])
		return
	}
	if ev.gen != e.gen {
		if ev.kind == readDone { // it was being read where the engine died: read again, if there is time
			x.reads.push(ev.q, ev.q.read)
			x.start()
		}
		return
	}
	switch ev.kind {
	case readDone:
		x.take(e, -1)
		x.writes.push(ev.q, ev.q.write)
	case writeDone:
		x.take(e, -1)
	case switched:
		x.count(e)
		e.role, e.state, e.start, e.changed = e.to, up, x.now, x.now
		x.in(e)
	case back:
		x.count(e)
		e.state, e.start = up, x.now
		x.in(e)
	}
	x.drained(e)
	x.start()
}

// drained lets an engine that has nothing left begin its switch.
func (x *sim) drained(e *engine) {
	if e.state == drains && e.n == 0 {
		e.state = switches
		heap.Push(&x.heap, event{at: x.now + x.s.Switch.Seconds(), kind: switched, e: e, gen: e.gen})
	}
}

func (x *sim) die(d Outage) {
	var have []*engine
	for _, e := range x.engines {
		if e.state != down && e.role == d.Role {
			have = append(have, e)
		}
	}
	for _, e := range have[:int(math.Round(d.Part*float64(len(have))))] {
		x.count(e)
		x.out(e)
		e.gen++
		e.n, e.state, e.to = 0, down, e.role
		heap.Push(&x.heap, event{at: x.now + d.For.Seconds(), kind: back, e: e, gen: e.gen})
	}
}

// plan lets the policy look and carries out what it says.
func (x *sim) plan(p Policy) {
	now := time.Duration(x.now * float64(time.Second))
	readers, writers := 0, 0
	for _, e := range x.engines {
		if e.state == up && e.role == roles.Prefill {
			readers++
		} else if e.state == up {
			writers++
		}
	}
	// what engines see of what waits is bounded: the rest is held, or refused, by fronts that share nothing
	waitR := min(max(x.reads.work, 0)/float64(max(readers, 1)), 0.3)
	waitW := min(max(x.writes.work, 0)/float64(x.s.Slots)/float64(max(writers, 1)), 0.5*x.s.Stream.Seconds())
	list := make([]roles.Engine, 0, len(x.engines))
	byID := map[string]*engine{}
	for _, e := range x.engines {
		x.count(e)
		byID[e.id] = e
		r := roles.Report{At: now, Read: roles.Stage{Done: e.read}, Write: roles.Stage{Done: e.write}}
		if e.state == up && e.role == roles.Prefill {
			r.Read.Waiting = waitR
		} else if e.state == up {
			r.Write.Waiting = waitW
		}
		e.lateTo = append(e.lateTo, r)
		line := roles.Engine{ID: e.id, Role: e.role, Target: e.to, Ready: e.state == up, CanPrefill: true, CanDecode: true, Outstanding: e.n}
		if !math.IsInf(e.changed, -1) {
			line.ChangedAt = time.Duration(e.changed * float64(time.Second))
		}
		if i := len(e.lateTo) - 1 - int(x.s.LateReport.Seconds()); i >= 0 && e.state != down {
			line.Report = &e.lateTo[i]
		}
		if len(e.lateTo) > 64 {
			e.lateTo = append([]roles.Report(nil), e.lateTo[32:]...)
		}
		list = append(list, line)
	}
	var fronts []roles.Replica
	if !x.s.Blind {
		fronts = []roles.Replica{{ID: "f", Report: &roles.Report{At: now, Read: roles.Stage{Lost: x.res.LostRead}, Write: roles.Stage{Lost: x.res.LostWrite}}}}
	}
	plan := p.Step(now, list, fronts)
	for _, id := range plan.Reverts {
		if e := byID[id]; e.state == drains {
			e.state, e.to, e.changed = up, e.role, x.now
			x.in(e)
		}
	}
	for _, c := range plan.Changes {
		e := byID[c.ID]
		if e.state != up || e.to == c.Target {
			continue
		}
		x.res.Changes++
		if !math.IsInf(e.changed, -1) {
			if gap := time.Duration((x.now - e.changed) * float64(time.Second)); x.res.Shortest == 0 || gap < x.res.Shortest {
				x.res.Shortest = gap
			}
		}
		x.out(e)
		e.to, e.state = c.Target, drains
		x.drained(e)
	}
	wanted := 0
	for _, e := range x.engines {
		if e.to == roles.Prefill {
			wanted++
		}
	}
	x.res.Readers = append(x.res.Readers, wanted)
}
