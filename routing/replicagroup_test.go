package routing

import (
	"math/rand"
	"testing"
	"time"
)

// replicaGroup runs many Routers with the same endpoints and counts the sends of all of them to each endpoint.
type replicaGroup struct {
	rnd              *rand.Rand
	harnesses        []*harness
	sends            map[EndpointID]int
	nextID           RequestID
	roles            map[EndpointID]Role
	failingEndpoints map[EndpointID]bool // endpoints that fail or reject half of their attempts, chosen at random
	retries          int                 // failed attempts, which cause retries
}

func newReplicaGroup(t *testing.T, config Config, replicas int, listed []Endpoint) *replicaGroup {
	t.Helper()
	g := &replicaGroup{
		rnd:   rand.New(rand.NewSource(int64(replicas))),
		sends: map[EndpointID]int{},
		roles: map[EndpointID]Role{},
	}
	config.Replicas = replicas
	for _, e := range listed {
		g.roles[e.ID] = config.Kinds[e.Kind].Role
	}
	for i := range replicas {
		h := &harness{router: newTestRouter(t, config, uint64(1000+i)), now: time.Minute}
		h.step(EndpointList{Scope: ListCached, Endpoints: listed})
		g.harnesses = append(g.harnesses, h)
	}
	return g
}

// run sends requests to random replicas, spread evenly over a duration from the start of the test. Prefills and
// decodes succeed at once, except at failing endpoints.
func (g *replicaGroup) run(requests int, d time.Duration, prefix func() uint64) {
	for i := range requests {
		h := g.harnesses[g.rnd.Intn(len(g.harnesses))]
		h.now = max(h.now, time.Minute+time.Duration(i)*d/time.Duration(requests))
		g.nextID++
		req := h.request(g.nextID, idempotentClass, 1500)
		req.Prefix = prefix()
		g.runRequest(h, req)
	}
}

// runRequest sends a request to a replica and reports outcomes until it is answered or not sent again.
func (g *replicaGroup) runRequest(h *harness, req Request) {
	actions := h.step(req)
	for attempt := 0; ; attempt++ {
		sends := actionsOf[Send](actions)
		if len(sends) == 0 {
			h.step(ClientDisconnected{req.ID})
			return
		}
		endpoint := sends[0].Endpoint
		g.sends[endpoint]++
		outcome := Outcome{Request: req.ID, Attempt: attempt, Endpoint: endpoint}
		if g.failingEndpoints[endpoint] && g.rnd.Intn(2) == 0 {
			g.retries++
			outcome.Result = []Result{EngineError, Rejected, ConnectionReset}[g.rnd.Intn(3)]
			outcome.Elapsed = 10 * ms
			actions = h.step(outcome)
			continue
		}
		if g.roles[endpoint] == RolePrefill {
			outcome.Result, outcome.Elapsed = PrefillDone, 20*ms
			actions = h.step(outcome)
			continue
		}
		h.step(FirstToken{Request: req.ID, Attempt: attempt, Endpoint: endpoint, Elapsed: 20 * ms})
		outcome.Result, outcome.RequestDone, outcome.Elapsed = Served, true, 50*ms
		h.step(outcome)
		return
	}
}

// runFrom sends requests to random replicas, spread evenly over a duration from an offset after the start.
func (g *replicaGroup) runFrom(requests int, from, d time.Duration, prefix func() uint64) {
	g.setTime(time.Minute + from)
	for i := range requests {
		g.advanceTo(time.Minute + from + time.Duration(i)*d/time.Duration(requests))
		g.run(1, 0, prefix)
	}
}

// setTime sets the time of all replicas.
func (g *replicaGroup) setTime(now time.Duration) {
	for _, h := range g.harnesses {
		h.now = now
	}
}

// advanceTo moves the time of the replicas that are behind it to a time.
func (g *replicaGroup) advanceTo(now time.Duration) {
	for _, h := range g.harnesses {
		h.now = max(h.now, now)
	}
}

// updateEndpoints gives all replicas a full endpoint list at a time.
func (g *replicaGroup) updateEndpoints(now time.Duration, listed []Endpoint) {
	g.setTime(now)
	for _, h := range g.harnesses {
		h.step(EndpointList{Scope: ListFull, Endpoints: listed})
	}
}
