package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// requestID returns the ID of a request without the number of the attempt at its end.
func requestID(id string) string {
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		return id[:i]
	}
	return id
}

// processID returns the part of a request's ID that identifies the replica's process.
func processID(id string) string {
	process, _, _ := strings.Cut(id, "-")
	return process
}

// noUnclaimedState is the value of unclaimedSince for a request that has an attempt in flight or no read state.
const noUnclaimedState = time.Duration(-1)

// requestStates tracks the read states of a request and its attempts in flight.
type requestStates struct {
	inFlight       int             // number of attempts in flight
	heldStates     map[string]bool // prefill attempts whose read state is held at an engine
	unclaimedSince time.Duration   // since when a read state is held with no attempt in flight
}

func (q *requestStates) hasUnclaimedState() bool { return q.inFlight == 0 && len(q.heldStates) > 0 }

// update applies an event of the request.
func (q *requestStates) update(e Event) {
	switch e.Kind {
	case RequestArrived:
		q.inFlight++
	case RequestEnded:
		q.inFlight--
	case StateHeld:
		q.heldStates[e.Request] = true
	case StateReleased:
		delete(q.heldStates, e.Request)
	default:
	}
}

// replicaProcesses tracks which processes of replicas were killed. The rule exempts their read states, since a killed
// process can't release them.
type replicaProcesses struct {
	replicaByProcess map[string]string // by process ID
	killedProcesses  map[string]bool   // by process ID
	downReplicas     map[string]bool   // by replica: killed and not started again yet
}

func (r *replicaProcesses) update(e Event) {
	switch e.Kind {
	case ReplicaStarted:
		r.downReplicas[e.Replica] = false
	case ReplicaKilled:
		r.downReplicas[e.Replica] = true
		for id, replica := range r.replicaByProcess {
			r.killedProcesses[id] = r.killedProcesses[id] || replica == e.Replica
		}
	case RequestArrived:
		if e.Request == "" {
			return
		}
		id := processID(e.Request)
		r.replicaByProcess[id] = e.Replica
		// A request that arrives from a replica that is down was sent before the replica was killed.
		r.killedProcesses[id] = r.killedProcesses[id] || r.downReplicas[e.Replica]
	default:
	}
}

// readStateCheck checks that a read state of a request with no attempt in flight is fetched or released within the
// state TTL.
type readStateCheck struct {
	result      RuleResult
	limits      Limits
	requests    map[string]*requestStates
	processes   replicaProcesses
	longestHeld time.Duration
}

func checkReadStates(events []Event, limits Limits) RuleResult {
	c := readStateCheck{
		result:   RuleResult{Rule: "nothing stays pinned"},
		limits:   limits,
		requests: map[string]*requestStates{},
		processes: replicaProcesses{
			replicaByProcess: map[string]string{}, killedProcesses: map[string]bool{}, downReplicas: map[string]bool{},
		},
	}
	for _, e := range events {
		c.processes.update(e)
		switch e.Kind {
		case RequestArrived, RequestEnded, StateHeld, StateReleased:
			if e.Request != "" {
				c.addEvent(e)
			}
		default:
		}
	}
	if len(events) > 0 {
		end := events[len(events)-1].At
		for id, request := range c.requests {
			if request.hasUnclaimedState() {
				c.checkHeld(id, request, end)
			}
		}
	}
	slices.Sort(c.result.Violations)
	c.result.WorstCase = fmt.Sprintf("longest time held without an attempt in flight %v, %v allowed",
		c.longestHeld.Round(time.Millisecond), limits.StateTTL)
	return c.result
}

// addEvent processes an event of a request.
func (c *readStateCheck) addEvent(e Event) {
	id := requestID(e.Request)
	request := c.requests[id]
	if request == nil {
		request = &requestStates{heldStates: map[string]bool{}, unclaimedSince: noUnclaimedState}
		c.requests[id] = request
	}
	if e.Kind == StateHeld {
		c.result.Checks++
	}
	wasUnclaimed := request.hasUnclaimedState()
	request.update(e)
	isUnclaimed := request.hasUnclaimedState()
	switch {
	case isUnclaimed && !wasUnclaimed:
		request.unclaimedSince = e.At
	case wasUnclaimed && !isUnclaimed:
		c.checkHeld(id, request, e.At)
		request.unclaimedSince = noUnclaimedState
	}
}

// checkHeld checks how long a request has had read states but no attempt in flight.
func (c *readStateCheck) checkHeld(id string, request *requestStates, now time.Duration) {
	if request.unclaimedSince < 0 || c.processes.killedProcesses[processID(id)] {
		return
	}
	held := now - request.unclaimedSince
	c.longestHeld = max(c.longestHeld, held)
	if held > c.limits.StateTTL+c.limits.Slack {
		c.result.addViolation(now, "read state of request %s was held %v without an attempt in flight",
			id, held.Round(time.Millisecond))
	}
}
