package routing

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// longPromptsRun is a fleet in simulated time in which prefills are short and prompts differ much in length: prefill
// endpoints take prompts in turn at a fixed pace, decode endpoints have capacity for all.
type longPromptsRun struct {
	rnd       *rand.Rand
	config    Config
	harnesses []*harness
	queue     eventQueue
	now       time.Duration
	freeAt    map[EndpointID]time.Duration // when a prefill endpoint has done all that it took
	requests  []longPromptsRequest         // by request id, from 1
	answered  map[RequestID]bool

	observe               func(time.Duration, Event) // if set, called with the time and event of each step
	stopsTimedOutPrefills bool                       // endpoints stop a prefill whose attempt has timed out
}

type longPromptsRequest struct {
	promptTokens float64
	attempts     int
}

// replicaEvent is an event of one replica.
type replicaEvent struct {
	Event
	replica int
}

const (
	longPromptsPrefillEndpoints = 10
	longPromptsPrefillRate      = 10000.0         // tokens a second of an endpoint
	longPromptsMaxBacklog       = 2 * time.Second // an endpoint rejects what would wait longer
	longPromptsMeanLength       = 1100.0          // tokens of a prompt
	longPromptsSigma            = 1.2             // of its logarithm
	longPromptsDuration         = 40 * time.Second
)

func newLongPromptsRun(t *testing.T, replicas int, weightByWork bool) *longPromptsRun {
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
	}
	for i := range replicas {
		h := &harness{router: newTestRouter(t, config, uint64(100+i)), now: run.now}
		h.step(EndpointList{Scope: ListFull, Endpoints: endpoints(longPromptsPrefillEndpoints, 20)})
		run.harnesses = append(run.harnesses, h)
	}
	return run
}

func (run *longPromptsRun) schedule(after time.Duration, replica int, event Event) {
	run.queue.plan(run.now+after, replicaEvent{event, replica})
}

// play lets requests come at load times what the prefill endpoints can do.
func (run *longPromptsRun) play(load float64) {
	rate := load * longPromptsPrefillEndpoints * longPromptsPrefillRate / longPromptsMeanLength
	for at := 0.0; at < longPromptsDuration.Seconds(); at += run.rnd.ExpFloat64() / rate {
		id, replica := RequestID(len(run.requests)), run.rnd.Intn(len(run.harnesses))
		logarithm := longPromptsSigma*run.rnd.NormFloat64() - longPromptsSigma*longPromptsSigma/2
		promptTokens := longPromptsMeanLength * math.Exp(logarithm)
		run.requests = append(run.requests, longPromptsRequest{promptTokens: promptTokens})
		run.schedule(time.Duration(at*float64(time.Second)), replica, Request{
			ID: id, Session: uint64(id), PromptTokens: promptTokens, MaxOutputTokens: 100,
		})
	}
	for len(run.queue.events) > 0 {
		next := run.queue.next()
		run.now = next.at
		event := next.event.(replicaEvent)
		if run.observe != nil {
			run.observe(run.now, event.Event)
		}
		run.step(event.replica, event.Event)
	}
}

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

// send has a prompt prefilled in its turn, or decoded at once.
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
		if run.stopsTimedOutPrefills {
			run.freeAt[a.Endpoint] = max(begin, run.now+a.Timeout)
		}
	}
	run.schedule(outcome.Elapsed, replica, outcome)
}

// answeredFractions are the answered parts of all requests, of the longest tenth and of the next fifth.
func (run *longPromptsRun) answeredFractions() (all, longest, next float64) {
	ids := make([]RequestID, 0, len(run.requests))
	for id := 1; id < len(run.requests); id++ {
		ids = append(ids, RequestID(id))
	}
	slices.SortFunc(ids, func(a, b RequestID) int {
		return int(run.requests[b].promptTokens - run.requests[a].promptTokens)
	})
	fraction := func(ids []RequestID) float64 {
		answered := 0
		for _, id := range ids {
			answered += boolToInt(run.answered[id])
		}
		return float64(answered) / float64(len(ids))
	}
	tenth := len(ids) / 10
	return fraction(ids), fraction(ids[:tenth]), fraction(ids[tenth : 3*tenth])
}

// TestLongPromptsAreNotStarved: shortest first must not serve short prompts alone. Of the longest tenth and of the next
// fifth at least two thirds of the part that all get are answered where there is capacity for all, and at least half of
// it above that.
func TestLongPromptsAreNotStarved(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.3} {
		minFraction := 0.5
		if load < 0.9 {
			minFraction = 2.0 / 3
		}
		checkLongPrompts(t, load, minFraction)
	}
}

// TestLongPromptsAtTwiceTheLoad is the same where half of the work can be done at all.
func TestLongPromptsAtTwiceTheLoad(t *testing.T) { checkLongPrompts(t, 2, 0.5) }

// checkLongPrompts checks that long prompts get at least a part of what all get, at few and at many replicas.
func checkLongPrompts(t *testing.T, load, minFraction float64) {
	t.Helper()
	for _, replicas := range []int{3, 30, 300} {
		for _, byWork := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d replicas, load %.1f, weight by work %t", replicas, load, byWork), func(t *testing.T) {
				t.Parallel()
				run := newLongPromptsRun(t, replicas, byWork)
				run.play(load)
				all, longest, next := run.answeredFractions()
				t.Logf("answered: all %.2f, longest tenth %.2f, next fifth %.2f", all, longest, next)
				if longest < minFraction*all || next < minFraction*all {
					t.Errorf("long prompts get less than %.2f of what all get", minFraction)
				}
			})
		}
	}
}
