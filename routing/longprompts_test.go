package routing

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// longPromptsRun simulates a fleet in virtual time with prompts of very different lengths. Each prefill endpoint
// prefills one prompt after the other at a fixed rate; decode endpoints have capacity for all requests.
type longPromptsRun struct {
	rnd       *rand.Rand
	config    Config
	harnesses []*harness
	queue     eventQueue
	now       time.Duration
	freeAt    map[EndpointID]time.Duration // when a prefill endpoint will have finished its backlog
	requests  []longPromptsRequest         // by request id, which start at 1
	answered  map[RequestID]bool

	prefillEndpoints     int
	observe              func(time.Duration, Event) // if set, called before each step
	drawPrefix           func() uint64              // if set, draws the shared prefix of a request
	stopTimedOutPrefills bool                       // endpoints stop a prefill when its attempt times out
}

type longPromptsRequest struct {
	promptTokens float64
	attempts     int
}

// replicaEvent is an event for one replica.
type replicaEvent struct {
	Event
	replica int
}

const (
	longPromptsPrefillEndpoints = 10
	longPromptsPrefillRate      = 10000.0         // tokens per second of an endpoint
	longPromptsMaxBacklog       = 2 * time.Second // an endpoint rejects prefills that would wait longer
	longPromptsMeanLength       = 1100.0          // mean prompt length in tokens
	longPromptsSigma            = 1.2             // standard deviation of the logarithm of the length
	longPromptsDuration         = 40 * time.Second
)

func newLongPromptsRun(t *testing.T, replicas int, weightByWork bool) *longPromptsRun {
	t.Helper()
	return newLongPromptsRunOn(t, longPromptsPrefillEndpoints, replicas, weightByWork)
}

// newLongPromptsRunOn is like newLongPromptsRun, with a number of prefill endpoints.
func newLongPromptsRunOn(t *testing.T, prefillEndpoints, replicas int, weightByWork bool) *longPromptsRun {
	t.Helper()
	config := testConfig()
	config.Replicas, config.WeightByWork, config.SlowStartFor = replicas, weightByWork, 0
	config.Classes[0].LatencyObjectivePer1000, config.Classes[0].LateWeight = 60*ms, 0.3
	run := &longPromptsRun{
		rnd:      rand.New(rand.NewSource(int64(replicas))),
		config:   config,
		now:      time.Minute,
		freeAt:   map[EndpointID]time.Duration{},
		requests: make([]longPromptsRequest, 1),
		answered: map[RequestID]bool{},

		prefillEndpoints: prefillEndpoints,
	}
	for i := range replicas {
		h := &harness{router: newTestRouter(t, config, uint64(100+i)), now: run.now}
		h.step(EndpointList{Scope: ListFull, Endpoints: endpoints(prefillEndpoints, 2*prefillEndpoints)})
		run.harnesses = append(run.harnesses, h)
	}
	return run
}

// schedule adds an event for a replica after a delay.
func (run *longPromptsRun) schedule(after time.Duration, replica int, event Event) {
	run.queue.push(run.now+after, replicaEvent{event, replica})
}

// simulate generates arrivals at a load relative to the capacity of the prefill endpoints and processes all events.
func (run *longPromptsRun) simulate(load float64) {
	rate := load * float64(run.prefillEndpoints) * longPromptsPrefillRate / longPromptsMeanLength
	for at := 0.0; at < longPromptsDuration.Seconds(); at += run.rnd.ExpFloat64() / rate {
		id, replica := RequestID(len(run.requests)), run.rnd.Intn(len(run.harnesses))
		logarithm := longPromptsSigma*run.rnd.NormFloat64() - longPromptsSigma*longPromptsSigma/2
		promptTokens := longPromptsMeanLength * math.Exp(logarithm)
		run.requests = append(run.requests, longPromptsRequest{promptTokens: promptTokens})
		request := Request{ID: id, Session: uint64(id), PromptTokens: promptTokens, MaxOutputTokens: 100}
		if run.drawPrefix != nil {
			request.Prefix = run.drawPrefix()
		}
		run.schedule(time.Duration(at*float64(time.Second)), replica, request)
	}
	for len(run.queue.events) > 0 {
		next := run.queue.pop()
		run.now = next.at
		event := next.event.(replicaEvent)
		if run.observe != nil {
			run.observe(run.now, event.Event)
		}
		run.step(event.replica, event.Event)
	}
}

// step passes an event to a replica at the current time and performs the actions it returns.
func (run *longPromptsRun) step(replica int, event Event) {
	switch e := event.(type) {
	case Request:
		class := run.config.Classes[0]
		forPromptLength := time.Duration(2 * e.PromptTokens / 1000 * float64(class.LatencyObjectivePer1000))
		e.Deadline = run.now + class.Deadline + forPromptLength
		event = e
	case FirstToken:
		run.answered[e.Request] = true
	}
	h := run.harnesses[replica]
	h.now = run.now
	for _, a := range h.step(event) {
		switch a := a.(type) {
		case Send:
			run.send(replica, a)
		case SetTimer:
			if run.now < time.Minute+2*longPromptsDuration {
				run.schedule(a.After, replica, Timer{a.Tag})
			}
		}
	}
}

// send schedules the events of an attempt: a prefill takes its turn at the endpoint, a decode starts at once.
func (run *longPromptsRun) send(replica int, a Send) {
	req := &run.requests[a.Request]
	outcome := Outcome{Request: a.Request, Attempt: req.attempts, Endpoint: a.Endpoint}
	req.attempts++
	if a.Endpoint >= firstDecodeID {
		run.schedule(50*ms, replica, FirstToken{
			Request: a.Request, Attempt: outcome.Attempt, Endpoint: a.Endpoint, Elapsed: 50 * ms,
		})
		outcome.Result, outcome.RequestDone, outcome.Elapsed = Served, true, time.Second
		run.schedule(time.Second, replica, outcome)
		return
	}
	begin := max(run.freeAt[a.Endpoint], run.now)
	if begin-run.now > longPromptsMaxBacklog {
		outcome.Result, outcome.Elapsed = Rejected, ms
		run.schedule(ms, replica, outcome)
		return
	}
	prefill := time.Duration(req.promptTokens / longPromptsPrefillRate * float64(time.Second))
	run.freeAt[a.Endpoint] = begin + prefill
	outcome.Result, outcome.Elapsed = PrefillDone, run.freeAt[a.Endpoint]-run.now
	if a.Timeout > 0 && a.Timeout < outcome.Elapsed {
		outcome.Result, outcome.Elapsed = TimedOut, a.Timeout
		if run.stopTimedOutPrefills {
			run.freeAt[a.Endpoint] = max(begin, run.now+a.Timeout)
		}
	}
	run.schedule(outcome.Elapsed, replica, outcome)
}

// answeredFractions returns the answered fractions of all requests, of the longest tenth and of the next fifth.
func (run *longPromptsRun) answeredFractions() (all, longestTenth, nextFifth float64) {
	ids := make([]RequestID, 0, len(run.requests))
	for id := 1; id < len(run.requests); id++ {
		ids = append(ids, RequestID(id))
	}
	slices.SortFunc(ids, func(a, b RequestID) int {
		return int(run.requests[b].promptTokens - run.requests[a].promptTokens)
	})
	fractionOf := func(ids []RequestID) float64 {
		answered := 0
		for _, id := range ids {
			answered += boolToInt(run.answered[id])
		}
		return float64(answered) / float64(len(ids))
	}
	tenth := len(ids) / 10
	return fractionOf(ids), fractionOf(ids[:tenth]), fractionOf(ids[tenth : 3*tenth])
}

// TestLongPromptsAreNotStarved checks that shortest-first dispatch does not starve long prompts. Of the longest tenth
// and of the next fifth, the answered fraction must be at least two thirds of that of all requests where the capacity
// suffices for all, and at least half of it at higher loads.
func TestLongPromptsAreNotStarved(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.3} {
		minFraction := 0.5
		if load < 0.9 {
			minFraction = 2.0 / 3
		}
		checkLongPrompts(t, load, minFraction)
	}
}

// TestLongPromptsAtTwiceTheLoad does the same check at a load of twice the capacity.
func TestLongPromptsAtTwiceTheLoad(t *testing.T) { checkLongPrompts(t, 2, 0.5) }

// checkLongPrompts checks the answered fractions of long prompts against that of all requests, with few and with many
// replicas.
func checkLongPrompts(t *testing.T, load, minFraction float64) {
	t.Helper()
	for _, replicas := range []int{3, 30, 300} {
		for _, byWork := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d replicas, load %.1f, weight by work %t", replicas, load, byWork), func(t *testing.T) {
				t.Parallel()
				run := newLongPromptsRun(t, replicas, byWork)
				run.simulate(load)
				all, longestTenth, nextFifth := run.answeredFractions()
				t.Logf("answered fractions: all %.2f, longest tenth %.2f, next fifth %.2f", all, longestTenth, nextFifth)
				if longestTenth < minFraction*all || nextFifth < minFraction*all {
					t.Errorf("long prompts have less than %.2f of the answered fraction of all prompts", minFraction)
				}
			})
		}
	}
}
