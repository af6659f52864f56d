package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestSlowStartOfADecodeEndpointLimitsItsSends: a decode endpoint that has just started has the fewest attempts, so
// without a limit it would get all requests. Its sends must stay within its budget.
func TestSlowStartOfADecodeEndpointLimitsItsSends(t *testing.T) {
	const starting = EndpointID(3)
	config := testConfig()
	config.OverloadFactor = 1
	h := newHarness(t, config, prefillEndpoint(1), prefillEndpoint(4), decodeEndpoint(2), decodeEndpoint(starting))
	var streams []Outcome
	play := func(from RequestID, requests int) (sends int) {
		for id := from; id < from+RequestID(requests); id++ {
			h.now += 60 * ms
			send := h.prefillRequest(t, h.request(id, idempotentClass, 400), 20*ms)
			sends += boolToInt(send.Endpoint == starting)
			h.firstToken(id, 1, send.Endpoint, ms)
			streams = append(streams, Outcome{
				Request: id, Attempt: 1, Endpoint: send.Endpoint, Result: Served, RequestDone: true,
			})
			if h.now += 19 * ms; len(streams) > 6 {
				h.step(streams[0])
				streams = streams[1:]
			}
		}
		return sends
	}
	play(1, 60)
	restarted := decodeEndpoint(starting)
	restarted.StartedAt = h.now
	h.step(EndpointList{Scope: ListChanges, Endpoints: []Endpoint{restarted}})
	early := play(1000, 15) // one window of 1.5 s
	h.now += 7 * time.Second
	late := play(2000, 15)
	if early < 1 || early > 4 {
		t.Fatalf("%d of 15 sends went to the endpoint that has just started, want 1 to 4", early)
	}
	if late < early {
		t.Fatalf("%d sends 7 s after the start, fewer than the %d right after it", late, early)
	}
}

// TestStartTimeInTheFutureCountsAsJustStarted: the clock of an endpoint may be ahead of that of the gateway.
func TestStartTimeInTheFutureCountsAsJustStarted(t *testing.T) {
	e := decodeEndpoint(2)
	e.StartedAt = 2 * time.Hour
	h := newHarness(t, testConfig(), prefillEndpoint(1), e)
	if p := h.router.capacityFraction(h.backend(2)); p != 0.25 {
		t.Fatalf("capacity fraction %v, want 0.25", p)
	}
}

// TestSlowStartBudgetHoldsOverAllReplicas: whatever the number of replicas, all of them together send an endpoint that
// has just started at most OverloadFactor times its even share by capacity, also when a whole role has restarted. Where
// several endpoints start, they get some work.
func TestSlowStartBudgetHoldsOverAllReplicas(t *testing.T) {
	const prefills, decodes = 12, 24
	const start = 30 * time.Second
	tests := []struct {
		name     string
		starting func(i int) bool // nil: the preferred endpoint of a prefix that all requests share
	}{
		{"one decode", func(i int) bool { return i == prefills }},
		{"one prefill", func(i int) bool { return i == 3 }},
		{"all decodes", func(i int) bool { return i >= prefills }},
		{"all prefills", func(i int) bool { return i < prefills }},
		{"popular prefix", nil},
	}
	for _, replicas := range []int{1, 4, 300} {
		for _, tc := range tests {
			t.Run(fmt.Sprintf("%d replicas, %s", replicas, tc.name), func(t *testing.T) {
				listed, config, starting := endpoints(prefills, decodes), testConfig(), tc.starting
				g := newReplicaGroup(t, config, replicas, listed)
				prefix := func() uint64 { return uint64(g.rnd.Intn(200)) }
				g.run(2400, start, prefix)
				if starting == nil {
					prefix = func() uint64 { return 7 }
					g.sends = map[EndpointID]int{}
					g.run(100, 0, prefix)
					preferred := g.busiest(listed[:prefills])
					starting = func(i int) bool { return i == preferred }
				}
				g.sends = map[EndpointID]int{}
				started := 0
				for i := range listed {
					if starting(i) {
						listed[i].StartedAt = time.Minute + start
						started++
					}
				}
				g.updateEndpoints(time.Minute+start, listed)
				g.runFrom(240, start, config.OverloadAfter*2, prefix)
				total := 0
				for i, e := range listed {
					if !starting(i) {
						continue
					}
					total += g.sends[e.ID]
					evenShare := 240.0 / prefills
					if g.roles[e.ID] == RoleDecode {
						evenShare = 240.0 / decodes
					}
					// 0.4 is a little above the mean capacity fraction in the two windows, (0.25 + 0.475) / 2.
					if limit := config.OverloadFactor * 0.4 * evenShare; float64(g.sends[e.ID]) > limit {
						t.Errorf("endpoint %d in slow start got %d sends, want at most %.0f", e.ID, g.sends[e.ID], limit)
					}
				}
				if started > 1 && total == 0 {
					t.Error("endpoints in slow start got no work at all")
				}
			})
		}
	}
}

// busiest returns the index of the endpoint with the most sends.
func (g *replicaGroup) busiest(listed []Endpoint) int {
	busiest := 0
	for i := range listed {
		if g.sends[listed[i].ID] > g.sends[listed[busiest].ID] {
			busiest = i
		}
	}
	return busiest
}

// slowStartCase says which endpoints start, and which faults there are at the same time.
type slowStartCase struct {
	name     string
	starting func(i int) bool
	restarts bool // half of the replicas restart, so that they don't know what they sent
	failing  bool // an eighth of the other endpoints fail attempts, which are retried
}

// slowStartRun runs a slowStartCase window by window.
type slowStartRun struct {
	slowStartCase
	group  *replicaGroup
	config Config
	listed []Endpoint
}

const (
	runPrefills, runDecodes = 12, 24

	runWindow            = 1500 * time.Millisecond // testConfig's OverloadAfter
	runRequestsPerWindow = 120                     // before the traffic rises by half
	runStart             = 30 * time.Second
)

// TestSlowStartLimitHoldsInEveryWindow: in every window of OverloadAfter, an endpoint in slow start gets from all
// replicas together no more than OverloadFactor allows for its current capacity, plus a margin for random variation;
// and such endpoints get some work. Replicas don't coordinate: a tenth of them get four times the requests of others,
// some restart, and the traffic rises by half in between.
func TestSlowStartLimitHoldsInEveryWindow(t *testing.T) {
	firstHalf := func(i int) bool { return i < runPrefills/2 }
	even := func(i int) bool { return i%2 == 0 }
	oneDecode := func(i int) bool { return i == 15 }
	cases := []slowStartCase{
		{"one prefill", func(i int) bool { return i == 3 }, false, false},
		{"one decode, replicas restart", oneDecode, true, false},
		{"half of the prefills", firstHalf, false, false},
		{"half of all, replicas restart", even, true, false},
		{"all prefills but one", func(i int) bool { return i < runPrefills-1 }, false, false},
		{"all decodes but one, replicas restart", func(i int) bool { return i > runPrefills }, true, false},
		{"half of the prefills, others fail", firstHalf, false, true},
		{"half of all, others fail, replicas restart", even, true, true},
		{"one decode, others fail", oneDecode, false, true},
	}
	for _, replicas := range []int{3, 30, 300} {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%d replicas, %s", replicas, tc.name), func(t *testing.T) {
				t.Parallel()
				run := &slowStartRun{
					slowStartCase: tc, config: testConfig(), listed: endpoints(runPrefills, runDecodes),
				}
				run.group = newReplicaGroup(t, run.config, replicas, run.listed)
				run.skewTraffic(replicas)
				run.group.run(20*runRequestsPerWindow, runStart, run.prefix)
				run.startEndpoints(t, replicas)
				total := 0
				for window := range 6 {
					total += run.playWindow(t, window)
				}
				if tc.failing && run.group.retries == 0 {
					t.Error("no attempt was retried")
				}
				if total == 0 {
					t.Error("endpoints in slow start got no work at all")
				}
			})
		}
	}
}

func (run *slowStartRun) prefix() uint64 { return uint64(run.group.rnd.Intn(200)) }

// skewTraffic gives a tenth of the replicas four times as many requests as others.
func (run *slowStartRun) skewTraffic(replicas int) {
	harnesses := run.group.harnesses
	for i := range max(replicas/10, 1) {
		h := run.group.harnesses[i]
		harnesses = append(harnesses, h, h, h)
	}
	run.group.harnesses = harnesses
}

// startEndpoints starts the endpoints of the case and its faults.
func (run *slowStartRun) startEndpoints(t *testing.T, replicas int) {
	t.Helper()
	for i := range run.listed {
		if run.starting(i) {
			run.listed[i].StartedAt = time.Minute + runStart
		}
	}
	config := run.config
	config.Replicas = replicas
	seen := map[*harness]bool{}
	for i, h := range run.group.harnesses {
		if run.restarts && i%2 == 1 && !seen[h] {
			h.router = newTestRouter(t, config, rand.New(rand.NewSource(int64(i))).Uint64())
		}
		seen[h] = true
		h.now = time.Minute + runStart
		h.step(EndpointList{Scope: ListFull, Endpoints: run.listed})
	}
	if run.failing {
		run.group.failingEndpoints = map[EndpointID]bool{}
		for i := range run.listed {
			run.group.failingEndpoints[run.listed[i].ID] = i%8 == 7 && !run.starting(i)
		}
	}
}

// playWindow plays one window, checks the number of sends to each starting endpoint, and returns their sum.
func (run *slowStartRun) playWindow(t *testing.T, window int) (total int) {
	t.Helper()
	g := run.group
	g.sends = map[EndpointID]int{}
	requests := runRequestsPerWindow
	if window > 1 {
		requests = runRequestsPerWindow * 3 / 2
	}
	g.runFrom(requests, runStart+time.Duration(window)*runWindow, runWindow, run.prefix)
	elapsed := float64(window) * runWindow.Seconds() // from the start of the endpoints to the start of the window
	capacity := run.config.SlowStartFrom + (1-run.config.SlowStartFrom)*elapsed/run.config.SlowStartFor.Seconds()
	for i, e := range run.listed {
		if !run.starting(i) {
			continue
		}
		sends := g.sends[e.ID]
		total += sends
		peers := float64(runPrefills)
		if g.roles[e.ID] == RoleDecode {
			peers = runDecodes
		}
		limit := run.config.OverloadFactor * capacity * float64(requests) / peers
		if limit += 2*math.Sqrt(limit) + 2; float64(sends) > limit {
			t.Errorf("window %d: endpoint %d got %d sends, want at most %.0f", window, e.ID, sends, limit)
		}
	}
	return total
}
