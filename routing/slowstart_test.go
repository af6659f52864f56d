package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestSlowStartOfADecodeEndpointLimitsItsSends: one that has just started is empty and would get everything; what it
// gets stays within its budget.
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
		t.Fatalf("%d sends of 15 to the endpoint just started", early)
	}
	if late < early {
		t.Fatalf("%d sends when half warm, %d when just started", late, early)
	}
}

// TestSlowStartAheadOfTheClock: a start in the future counts as just started.
func TestSlowStartAheadOfTheClock(t *testing.T) {
	e := decodeEndpoint(2)
	e.StartedAt = 2 * time.Hour
	h := newHarness(t, testConfig(), prefillEndpoint(1), e)
	if p := h.router.presentCapacity(h.backend(2)); p != 0.25 {
		t.Fatalf("present capacity %v", p)
	}
}

// TestSlowStartBudgetHoldsOverAllReplicas: whatever the number of replicas, all of them together send an endpoint that
// has just started no more than an even part of the traffic, also when a whole role restarted; and it is not left
// without work.
func TestSlowStartBudgetHoldsOverAllReplicas(t *testing.T) {
	const prefills, decodes = 12, 24
	const start = 30 * time.Second
	tests := []struct {
		name     string
		starting func(i int) bool // nil: the endpoint preferred by a prefix that most requests share
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
					even := 240.0 / prefills
					if g.roles[e.ID] == RoleDecode {
						even = 240.0 / decodes
					}
					if limit := config.OverloadFactor * 0.4 * even; float64(g.sends[e.ID]) > limit {
						t.Errorf("endpoint %d in slow start got %d sends, %.0f at most", e.ID, g.sends[e.ID], limit)
					}
				}
				if started > 1 && total == 0 {
					t.Error("endpoints in slow start got no work at all")
				}
			})
		}
	}
}

// busiest returns the index of the endpoint that was sent most.
func (g *replicaGroup) busiest(listed []Endpoint) int {
	busiest := 0
	for i := range listed {
		if g.sends[listed[i].ID] > g.sends[listed[busiest].ID] {
			busiest = i
		}
	}
	return busiest
}

// slowStartCase is a set of endpoints that have just started, and what is wrong beside.
type slowStartCase struct {
	name     string
	starting func(i int) bool
	restarts bool // half of the replicas restart and forget what they sent
	failing  bool // an eighth of the endpoints that have not just started fail attempts, which are retried
}

// slowStartRun plays windows of a slow start.
type slowStartRun struct {
	slowStartCase
	group  *replicaGroup
	config Config
	listed []Endpoint
}

const (
	runPrefills, runDecodes = 12, 24

	runWindow    = 1500 * time.Millisecond // testConfig's OverloadAfter
	runPerWindow = 120                     // requests, before the burst
	runStart     = 30 * time.Second
)

// TestSlowStartLimitHoldsInEveryWindow: endpoints that have just started get, from all replicas together and in any
// window of OverloadAfter, no more than N and what chance adds, N being what the configuration allows an endpoint of
// so much capacity; and they get work. Replicas share nothing: some see several times the mean of the traffic, some
// have restarted, and a burst comes on top.
func TestSlowStartLimitHoldsInEveryWindow(t *testing.T) {
	firstHalf := func(i int) bool { return i < runPrefills/2 }
	even := func(i int) bool { return i%2 == 0 }
	aDecode := func(i int) bool { return i == 15 }
	cases := []slowStartCase{
		{"a prefill", func(i int) bool { return i == 3 }, false, false},
		{"a decode, replicas restart", aDecode, true, false},
		{"half of the prefills", firstHalf, false, false},
		{"half of all, replicas restart", even, true, false},
		{"all prefills but one", func(i int) bool { return i < runPrefills-1 }, false, false},
		{"all decodes but one, replicas restart", func(i int) bool { return i > runPrefills }, true, false},
		{"half of the prefills, others fail", firstHalf, false, true},
		{"half of all, others fail, replicas restart", even, true, true},
		{"a decode, others fail", aDecode, false, true},
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
				run.group.run(20*runPerWindow, runStart, run.prefix)
				run.start(t, replicas)
				total := 0
				for window := range 6 {
					total += run.playWindow(t, window)
				}
				if tc.failing && run.group.retries == 0 {
					t.Error("there were no retries")
				}
				if total == 0 {
					t.Error("no work for those that have just started")
				}
			})
		}
	}
}

func (run *slowStartRun) prefix() uint64 { return uint64(run.group.rnd.Intn(200)) }

// skewTraffic gives a tenth of the replicas four times the requests of others.
func (run *slowStartRun) skewTraffic(replicas int) {
	harnesses := run.group.harnesses
	for i := range max(replicas/10, 1) {
		h := run.group.harnesses[i]
		harnesses = append(harnesses, h, h, h)
	}
	run.group.harnesses = harnesses
}

// start begins the slow start, and the faults beside it.
func (run *slowStartRun) start(t *testing.T, replicas int) {
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

// playWindow plays one window, checks what the starting endpoints got in it, and returns the sum.
func (run *slowStartRun) playWindow(t *testing.T, window int) (total int) {
	t.Helper()
	g := run.group
	g.sends = map[EndpointID]int{}
	requests := runPerWindow
	if window > 1 {
		requests = runPerWindow * 3 / 2
	}
	g.runFrom(requests, runStart+time.Duration(window)*runWindow, runWindow, run.prefix)
	elapsed := float64(window) * runWindow.Seconds() // since the start, at the window's start
	present := run.config.SlowStartFrom + (1-run.config.SlowStartFrom)*elapsed/run.config.SlowStartFor.Seconds()
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
		limit := run.config.OverloadFactor * present * float64(requests) / peers
		if limit += 2*math.Sqrt(limit) + 2; float64(sends) > limit {
			t.Errorf("window %d: endpoint %d got %d, %.0f at most", window, e.ID, sends, limit)
		}
	}
	return total
}
