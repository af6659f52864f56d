package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// requestWithoutAttempt is the part of a request's id that its attempts share.
func requestWithoutAttempt(id string) string {
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		return id[:i]
	}
	return id
}

// replicaRun is the part of a request's id that names the process of the replica.
func replicaRun(id string) string {
	run, _, _ := strings.Cut(id, "-")
	return run
}

// notUnclaimed is unclaimedSince of a request that has an attempt in flight or holds nothing.
const notUnclaimed = time.Duration(-1)

// requestStates is what a request holds and has in flight.
type requestStates struct {
	inFlight       int             // attempts
	held           map[string]bool // attempts whose read state waits
	unclaimedSince time.Duration   // since when something is held with no attempt in flight
}

func (q *requestStates) unclaimed() bool { return q.inFlight == 0 && len(q.held) > 0 }

// update takes an event of the request.
func (q *requestStates) update(e Event) {
	switch e.Kind {
	case Arrived:
		q.inFlight++
	case Ended:
		q.inFlight--
	case StateHeld:
		q.held[e.Request] = true
	case StateReleased:
		delete(q.held, e.Request)
	default:
	}
}

// replicaRuns knows which processes of replicas were killed: nobody can release what they held.
type replicaRuns struct {
	replica map[string]string // of a run
	killed  map[string]bool   // runs
	down    map[string]bool   // replicas that are down now
}

func (r *replicaRuns) update(e Event) {
	switch e.Kind {
	case ReplicaStarted:
		r.down[e.Replica] = false
	case ReplicaKilled:
		r.down[e.Replica] = true
		for run, replica := range r.replica {
			r.killed[run] = r.killed[run] || replica == e.Replica
		}
	case Arrived:
		if e.Request == "" {
			return
		}
		run := replicaRun(e.Request)
		r.replica[run] = e.Replica
		// What arrives from a replica that is down was on its way when the replica died.
		r.killed[run] = r.killed[run] || r.down[e.Replica]
	default:
	}
}

// readStateCheck checks that a read state of a request with no attempt in flight is fetched or released within the
// state TTL.
type readStateCheck struct {
	result   RuleResult
	limits   Limits
	requests map[string]*requestStates
	runs     replicaRuns
	longest  time.Duration
}

func checkReadStates(events []Event, limits Limits) RuleResult {
	c := readStateCheck{
		result:   RuleResult{Rule: "nothing stays pinned"},
		limits:   limits,
		requests: map[string]*requestStates{},
		runs:     replicaRuns{replica: map[string]string{}, killed: map[string]bool{}, down: map[string]bool{}},
	}
	for _, e := range events {
		c.runs.update(e)
		switch e.Kind {
		case Arrived, Ended, StateHeld, StateReleased:
			if e.Request != "" {
				c.observe(e)
			}
		default:
		}
	}
	if len(events) > 0 {
		end := events[len(events)-1].At
		for id, request := range c.requests {
			if request.unclaimed() {
				c.checkHeld(id, request, end)
			}
		}
	}
	slices.Sort(c.result.Violations)
	c.result.WorstCase = fmt.Sprintf("longest held with no attempt out %v, %v allowed",
		c.longest.Round(time.Millisecond), limits.StateTTL)
	return c.result
}

// observe takes an event of a request.
func (c *readStateCheck) observe(e Event) {
	id := requestWithoutAttempt(e.Request)
	request := c.requests[id]
	if request == nil {
		request = &requestStates{held: map[string]bool{}, unclaimedSince: notUnclaimed}
		c.requests[id] = request
	}
	if e.Kind == StateHeld {
		c.result.Checks++
	}
	before := request.unclaimed()
	request.update(e)
	after := request.unclaimed()
	switch {
	case after && !before:
		request.unclaimedSince = e.At
	case before && !after:
		c.checkHeld(id, request, e.At)
		request.unclaimedSince = notUnclaimed
	}
}

// checkHeld checks for how long a request has held states with no attempt in flight.
func (c *readStateCheck) checkHeld(id string, request *requestStates, now time.Duration) {
	if request.unclaimedSince < 0 || c.runs.killed[replicaRun(id)] {
		return
	}
	held := now - request.unclaimedSince
	c.longest = max(c.longest, held)
	if held > c.limits.StateTTL+c.limits.Slack {
		c.result.violated(now, "state of %s was held %v with no attempt out", id, held.Round(time.Millisecond))
	}
}
