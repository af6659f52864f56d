package routing

import (
	"testing"
	"time"
)

// usedEndpoints sends the router requests with one prefix and returns the endpoints that they go to.
func usedEndpoints(h *harness, from, to RequestID) map[EndpointID]bool {
	used := map[EndpointID]bool{}
	for id := from; id <= to; id++ {
		for _, send := range actionsOf[Send](h.advance(ms, h.request(id, idempotentClass, 3000))) {
			used[send.Endpoint] = true
		}
	}
	return used
}

// newAffinityHarness returns a harness with six prefill endpoints. The total request count is so high that no key is
// popular, so each key prefers one endpoint.
func newAffinityHarness(t *testing.T, decodes ...Endpoint) *harness {
	t.Helper()
	listed := decodes
	for id := EndpointID(1); id <= 6; id++ {
		listed = append(listed, prefillEndpoint(id))
	}
	h := newHarness(t, testConfig(), listed...)
	h.router.affinity.requestTotal = 1e4
	return h
}

func TestAffinityKeepsAPrefixOnFewEndpoints(t *testing.T) {
	h := newAffinityHarness(t, decodeEndpoint(50), decodeEndpoint(51))
	if used := usedEndpoints(h, 1, 60); len(used) != maxWarmCandidates {
		t.Fatalf("one prefix was prefilled at %d endpoints, want %d", len(used), maxWarmCandidates)
	}
}

func TestAffinitySkipsEndpointsInSlowStart(t *testing.T) {
	h := newAffinityHarness(t, decodeEndpoint(50))
	preferred := usedEndpoints(h, 1, 20)
	var restarts []Event
	for id := range preferred {
		restarted := Endpoint{ID: id, State: EndpointReady, StartedAt: h.now}
		restarts = append(restarts, EndpointList{Scope: ListChanges, Endpoints: []Endpoint{restarted}})
	}
	h.advance(time.Second, restarts...)
	for id := range usedEndpoints(h, 100, 120) {
		if !preferred[id] {
			return
		}
	}
	t.Fatal("all requests went to the restarted endpoints")
}

// TestAffinitySpreadsAPopularPrefix: half of the requests share one prefix. They must be prefilled evenly at all
// endpoints, since a few would be overloaded by them, while a prefix with few requests stays on few endpoints.
func TestAffinitySpreadsAPopularPrefix(t *testing.T) {
	for _, replicas := range []int{4, 100} {
		group := newReplicaGroup(t, testConfig(), replicas, endpoints(30, 10))
		group.run(replicas*30, 30*time.Second, func() uint64 {
			if group.rnd.Intn(2) == 0 {
				return 7
			}
			return uint64(100 + group.rnd.Intn(300))
		})
		prefills := func(requests int, prefix uint64) (most, used int) {
			group.sends = map[EndpointID]int{}
			group.run(requests, 0, func() uint64 { return prefix })
			for id, sent := range group.sends {
				if group.roles[id] == RolePrefill {
					most, used = max(most, sent), used+boolToInt(sent > 0)
				}
			}
			return most, used
		}
		if most, used := prefills(1000, 7); most > 100 || used < 28 {
			t.Errorf("%d replicas: the busiest endpoint got %d of 1000 requests of the popular prefix, %d endpoints got any",
				replicas, most, used)
		}
		if most, used := prefills(2*replicas, 555); used > 10 || 3*most < 2*replicas {
			t.Errorf("%d replicas: the busiest endpoint got %d of %d requests of a rare prefix, %d endpoints got any",
				replicas, most, 2*replicas, used)
		}
	}
}
