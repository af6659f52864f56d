package rolesim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"brackenbend/roles"
)

// Policy assigns roles to engines. Start returns the initial number of prefill engines; Step is called once in each
// simulated second.
type Policy interface {
	Start(s *Scenario) (prefill int)
	Step(now time.Duration, engines []roles.Engine, replicas []roles.Replica) roles.Plan
}

// Result is the outcome of a run.
type Result struct {
	Requests, Served int
	RoleChanges      int           // of roles that were begun
	MinDwell         time.Duration // shortest time from the end of an engine's change to its next; 0 = none changed twice
	PrefillEngines   []int         // engines that prefill or are changing to it, by second
	LostFractions    []float64     // fraction of the requests of each second that were not served in time
	LostPrefillWork  float64       // work dropped before its prefill, in engine seconds
	LostDecodeWork   float64       // work dropped between prefill and decode, in engine seconds
}

// Service returns the fraction of requests whose first token was in time.
func (r *Result) Service() float64 { return float64(r.Served) / float64(max(r.Requests, 1)) }

// request is the work of a request; times are in seconds.
type request struct {
	at, prefill, decode float64
	second              int // of its arrival
}

func prefillWork(r request) float64 { return r.prefill }
func decodeWork(r request) float64  { return r.decode }

// queue is the FIFO queue of a stage. Requests that are too old are dropped when they reach its head, see dispatch.
type queue struct {
	requests    []request
	head        int
	work        float64 // of all queued requests
	requestWork func(request) float64
}

// compactAfter is how many removed requests a queue keeps before it moves the others to the front of its slice.
const compactAfter = 4096

func (q *queue) push(r request) {
	q.requests = append(q.requests, r)
	q.work += q.requestWork(r)
}

func (q *queue) len() int { return len(q.requests) - q.head }

func (q *queue) first() *request { return &q.requests[q.head] }

func (q *queue) pop() request {
	r := q.requests[q.head]
	q.head++
	q.work -= q.requestWork(r)
	if q.head > compactAfter && q.head*2 > len(q.requests) {
		q.requests = append(q.requests[:0], q.requests[q.head:]...)
		q.head = 0
	}
	return r
}

// sim is the state of a run.
type sim struct {
	scenario       *Scenario
	now            float64 // seconds
	rnd            *rand.Rand
	events         eventQueue
	engines        []*engine
	pools          [2]pool // by stage
	prefills       queue
	decodes        queue
	result         *Result
	countsBySecond []secondCounts
}

// Indices of the stages.
const (
	stagePrefill = 0
	stageDecode  = 1
)

// secondCounts counts the requests that arrived in one second.
type secondCounts struct{ requests, lost float64 }

// trafficStream is the PCG stream of the random generator of requests.
const trafficStream = 7

// Run simulates a scenario with a policy.
func Run(s Scenario, p Policy) *Result {
	s.setDefaults()
	x := newSim(&s, p.Start(&s))
	end := s.Length.Seconds()
	nextArrival, nextRequest := x.nextRequest(0)
	nextPlan := 1.0
	for {
		at := min(nextArrival, nextPlan)
		if len(x.events) > 0 {
			at = min(at, x.events[0].at)
		}
		if at > end {
			break
		}
		x.now = at
		switch at {
		case nextArrival:
			x.arrive(nextRequest)
			nextArrival, nextRequest = x.nextRequest(at)
		case nextPlan:
			x.plan(p)
			nextPlan++
		default:
			x.handle(heap.Pop(&x.events).(event))
		}
	}
	return x.finish()
}

func newSim(s *Scenario, prefill int) *sim {
	x := &sim{
		scenario: s, rnd: rand.New(rand.NewPCG(s.Seed, trafficStream)), result: &Result{},
		prefills: queue{requestWork: prefillWork}, decodes: queue{requestWork: decodeWork},
		countsBySecond: make([]secondCounts, int(s.Length.Seconds())+2),
	}
	for i := range s.Engines {
		role := roles.Decode
		if i < prefill {
			role = roles.Prefill
		}
		e := &engine{id: engineID(i), role: role, target: role, startedAt: math.Inf(-1), roleChangedAt: math.Inf(-1)}
		x.engines = append(x.engines, e)
		x.addToPools(e)
	}
	for i, outage := range s.Outages {
		heap.Push(&x.events, event{at: outage.At.Seconds(), kind: outageBegins, outage: i})
	}
	return x
}

func (x *sim) finish() *Result {
	x.result.LostFractions = make([]float64, len(x.countsBySecond))
	for i, second := range x.countsBySecond {
		if x.result.LostFractions[i] = second.lost; second.requests > 0 {
			x.result.LostFractions[i] /= second.requests
		}
	}
	return x.result
}

func (x *sim) arrive(r request) {
	r.at, r.second = x.now, int(x.now)
	x.result.Requests++
	x.countsBySecond[r.second].requests++
	x.prefills.push(r)
	x.dispatch()
}

// nextRequest draws the next request after a time. Arrivals are a Poisson process with the rate that yields the
// requested decode work.
func (x *sim) nextRequest(after float64) (at float64, r request) {
	at = after
	stream := x.scenario.MeanStream.Seconds()
	for {
		prefill, decode := x.scenario.Demand(time.Duration(at * float64(time.Second)))
		engines := float64(x.scenario.Engines)
		rate := decode * engines * float64(x.scenario.Slots) / stream
		if rate <= 0 {
			at++
			continue
		}
		at += x.rnd.ExpFloat64() / rate
		r.prefill = prefill * engines / rate * x.rnd.ExpFloat64()
		r.decode = stream * x.rnd.ExpFloat64()
		return at, r
	}
}

func (x *sim) dropPrefill(r request) {
	x.countsBySecond[r.second].lost++
	x.result.LostPrefillWork += r.prefill
}

func (x *sim) dropDecode(r request) {
	x.countsBySecond[r.second].lost++
	x.result.LostDecodeWork += r.decode / float64(x.scenario.Slots)
}

// dispatch sends queued requests to engines with capacity.
func (x *sim) dispatch() {
	oldestArrival := x.now - x.scenario.LatencyObjective.Seconds()
	for x.prefills.len() > 0 {
		if x.prefills.first().at < oldestArrival {
			x.dropPrefill(x.prefills.pop())
			continue
		}
		e := x.pickPrefill()
		if e == nil {
			break
		}
		r := x.prefills.pop()
		x.addRequests(e, 1)
		x.schedule(event{at: x.now + r.prefill/x.capacity(e), kind: prefillEnds, engine: e, request: r})
	}
	for x.decodes.len() > 0 {
		if x.decodes.first().at < oldestArrival {
			x.dropDecode(x.decodes.pop())
			continue
		}
		e := x.pickDecode()
		if e == nil {
			break
		}
		r := x.decodes.pop()
		x.addRequests(e, 1)
		x.result.Served++
		x.schedule(event{at: x.now + r.decode/math.Sqrt(x.capacity(e)), kind: decodeEnds, engine: e, request: r})
	}
}
