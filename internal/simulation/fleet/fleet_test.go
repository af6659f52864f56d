package fleet

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

func defaultScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func runScenario(t *testing.T, sc *scenario.Scenario, o Options) *Result {
	t.Helper()
	r, err := Run(sc, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The default scenario must pass the audit that also checks it on sockets, and its score must count every request once.
func TestDefaultScenarioHasNoViolations(t *testing.T) {
	r := runScenario(t, defaultScenario(t), Options{Seed: 1, Audit: true})
	for _, rule := range r.Rules {
		if rule.Checks == 0 || len(rule.Violations) > 0 {
			t.Errorf("%s: %d checks, %.300v", rule.Rule, rule.Checks, rule.Violations)
		}
	}
	if s := r.Score.Service(); s < 0.8 || s > 0.99 {
		t.Errorf("service is %.3f, want between 0.8 and 0.99", s)
	}
	classes, tenants := r.Score.Rows()
	extraRequests := 0
	for _, c := range classes {
		extraRequests += c.Requests
		if c.Served+c.Rejected+c.Failed+c.Broken+c.Disconnected+c.Lost != c.Requests {
			t.Errorf("the results of a class do not add up to its requests: %+v", c)
		}
	}
	for _, c := range tenants {
		extraRequests -= c.Requests
	}
	if extraRequests != 0 || r.Attempts["read"] < 2000 || r.Attempts["write"] < 2000 {
		t.Errorf("classes have %d more requests than tenants; attempts by stage: %v", extraRequests, r.Attempts)
	}
}

// The result must depend on the seed and not on the number of shards.
func TestResultIsIndependentOfShards(t *testing.T) {
	sc := defaultScenario(t)
	if err := sc.Scale(15 * time.Second); err != nil {
		t.Fatal(err)
	}
	want := runScenario(t, sc, Options{Seed: 5, Audit: true})
	for _, shards := range []int{1, 3, 8} {
		if again := runScenario(t, sc, Options{Seed: 5, Audit: true, Shards: shards}); !reflect.DeepEqual(want, again) {
			t.Errorf("%d shards give another result: service %v, want %v", shards, again.Score.Service(), want.Score.Service())
		}
	}
	if other := runScenario(t, sc, Options{Seed: 6, Audit: true}); reflect.DeepEqual(want.Rules, other.Rules) {
		t.Error("another seed gives the same rule results")
	}
}

// leakingDecider makes the router's decisions but never releases a read state.
type leakingDecider struct{ Decider }

func (d leakingDecider) Step(now time.Duration, events []routing.Event) (actions []routing.Action) {
	for _, action := range d.Decider.Step(now, events) {
		if _, isRelease := action.(routing.ReleaseState); !isRelease {
			actions = append(actions, action)
		}
	}
	return actions
}

// The simulation must record enough events for the audit to detect read states that are never released.
func TestAuditFindsLeakedStates(t *testing.T) {
	sc := defaultScenario(t)
	r := runScenario(t, sc, Options{Seed: 1, Audit: true, Decider: func(s routing.Config, seed uint64) (Decider, error) {
		r, err := routing.New(s, seed)
		return leakingDecider{r}, err
	}})
	if v := r.Rules[4]; len(v.Violations) == 0 {
		t.Errorf("the audit did not detect that states are never released: %+v", v)
	}
}

// A small fleet serves nearly everything without faults. Without prefill endpoints its requests are rejected or fail in
// time, and after a restart of all replicas the clients reconnect.
func TestSmallFleetWithoutPrefillEndpointsOrReplicas(t *testing.T) {
	parse := func(faults string) *scenario.Scenario {
		sc, err := scenario.Parse("x.xml", []byte(strings.Replace(`<day length="5s" rate="20/s" fronts="2" seed="3">
  <service max-attempts="3" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="1s"
    overload-factor="4" tip-after="2s" cancel="true"/>
  <engines kind="r" role="reader" count="2" slots="4" queue="8" memory="100000tokens" read-rate="20000/s"/>
  <engines kind="w" role="writer" count="2" slots="8" queue="8" memory="100000tokens" read-rate="5000/s" step="10ms"
    fetch-rate="250000/s"/>
  <class name="c" effect="unsafe" share="1" aim="1s" deadline="3s" prompt="200tokens" answer="20tokens"/>FAULTS</day>`,
			"FAULTS", faults, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return sc
	}
	if r := runScenario(t, parse(""), Options{Audit: true}); r.Score.Service() < 0.999 || r.TransferredTokens == 0 {
		t.Errorf("no fault: service %v, %v tokens transferred", r.Score.Service(), r.TransferredTokens)
	}
	// All prefill endpoints are down until the end: all requests are rejected or fail, in time.
	r := runScenario(t, parse(`<happen at="0s" what="crash" kind="r" count="2" for="5s"/>`), Options{Audit: true})
	for i, s := range r.Score.Timeline[:2] {
		if s.RequestedWeight == 0 || s.ServedWeight > 0 {
			t.Errorf("without prefill endpoints: second %d: %+v", i, s)
		}
	}
	for _, v := range r.Rules[:3] {
		if len(v.Violations) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Violations)
		}
	}
	// All replicas are killed and started again: their clients reconnect.
	r = runScenario(t, parse(`<happen at="1s" what="front-kill" count="2" for="500ms"/>`), Options{Audit: true})
	classes, _ := r.Score.Rows()
	if c := classes[0]; c.Service < 0.8 || len(r.Rules[0].Violations)+len(r.Rules[1].Violations) > 0 {
		t.Errorf("restart of all replicas: %+v, rules %v", c, r.Rules[:2])
	}
}

// The load shifts from long prompts to long answers, and engines change their roles. Every command must be completed by
// the end, even if all replicas are killed, planners stop and engines are forced into a role. The roles must not depend
// on the number of shards.
func TestRoleChangesAreCompleted(t *testing.T) {
	for file, maxPrefill := range map[string]int{"roles-shift": 7, "roles-restart": 8, "roles-two": 1} {
		t.Run(file, func(t *testing.T) {
			sc, err := scenario.Load("../../../scenarios/" + file + ".xml")
			if err != nil {
				t.Fatal(err)
			}
			r := runScenario(t, sc, Options{Seed: 1, Audit: true})
			for _, v := range r.Rules {
				if len(v.Violations) > 0 {
					t.Errorf("%s: %.300v", v.Rule, v.Violations)
				}
			}
			lastSample := r.Roles[len(r.Roles)-1]
			if lastSample.Commands == 0 || lastSample.Changing > 0 || lastSample.Prefill > maxPrefill ||
				lastSample.Prefill+lastSample.Decode > sc.Engines() {
				t.Errorf("the last sample shows pending changes or too many engines: %+v", lastSample)
			}
			if again := runScenario(t, sc, Options{Seed: 1, Audit: true, Shards: 3}); !reflect.DeepEqual(r.Roles, again.Roles) {
				t.Error("the roles depend on the number of shards")
			}
		})
	}
}

// A flapping engine must alternate between unlisted and listed, and must be listed after the fault.
func TestFlappingEngineIsListedAgain(t *testing.T) {
	flappingScenario := smallScenario(t, `<happen at="2s" what="register-flap" kind="decode" count="2" for="4s"/>`)
	r := runScenario(t, flappingScenario, Options{Seed: 1, Audit: true})
	normal := runScenario(t, smallScenario(t, ""), Options{Seed: 1, Audit: true})
	if checks := r.Rules[2].Checks; checks <= 0 || len(r.Rules[2].Violations) > 0 {
		t.Errorf("rule 3: %+v", r.Rules[2])
	}
	if math.Abs(r.Score.Service()-normal.Score.Service()) > 0.05 || r.Events == normal.Events {
		t.Errorf("service %.3f with flapping, %.3f without", r.Score.Service(), normal.Score.Service())
	}
	f := fleet{scheduler: newScheduler(1, time.Millisecond)}
	server := &apiServer{fleet: &f, engines: make([]listedEngine, 1)}
	f.scheduler.add(server)
	f.engines = []*engine{{kind: &flappingScenario.EngineKinds[0]}}
	shard := f.scheduler.shards[0]
	unlistedHistory := []bool{}
	server.engines[0].flapGeneration = 1
	server.partitioned = true // no replica is notified
	server.flap(0, 1)
	for range 4 {
		unlistedHistory = append(unlistedHistory, server.engines[0].unlisted)
		shard.run(shard.now + scenario.FlapInterval + 1)
	}
	server.engines[0].flapGeneration++
	server.flap(0, 2)
	shard.run(time.Minute)
	if !reflect.DeepEqual(unlistedHistory, []bool{true, false, true, false}) || server.engines[0].unlisted {
		t.Errorf("unlisted was %v while flapping, %v after it", unlistedHistory, server.engines[0].unlisted)
	}
}

// A slow client's answer must end only after the client has read it, and must not delay other clients.
func TestSlowClientsDelayOnlyThemselves(t *testing.T) {
	fault := `<happen at="0s" what="slow-readers" part="1" for="12s"/>`
	slow := runScenario(t, smallScenario(t, fault), Options{Seed: 1, Audit: true})
	normal := runScenario(t, smallScenario(t, ""), Options{Seed: 1, Audit: true})
	if math.Abs(slow.Score.Service()-normal.Score.Service()) > 1e-9 {
		t.Errorf("service %.4f with slow clients, %.4f without", slow.Score.Service(), normal.Score.Service())
	}
	for i, v := range slow.Rules {
		if len(v.Violations) > 0 {
			t.Errorf("rule %d: %.200v", i+1, v.Violations)
		}
	}
	sc := smallScenario(t, "")
	sc.Faults = nil
	f := &fleet{scenario: sc, scheduler: newScheduler(1, time.Millisecond), replicas: []*replica{{}}}
	c := &clients{fleet: f, score: sc.Score(), attempts: map[uint64]*clientAttempt{}}
	f.scheduler.add(c)
	session := sc.Arrivals().NextSession(&scenario.Conditions{RateFactor: 1})
	session.ReadsSlowly, session.Stream = true, true
	c.openSessions = 1
	c.attempts[1] = &clientAttempt{number: 1, request: &clientRequest{session: session}, outputTokens: 40, firstTokenAt: 1}
	c.onAnswer(answer{attempt: 1, result: resultServed})
	if len(c.attempts) != 1 {
		t.Fatal("the attempt ended before the slow client had read its answer")
	}
	f.scheduler.shards[0].run(40*scenario.SlowReadDelay + 2)
	if len(c.attempts) != 0 {
		t.Fatal("the attempt did not end after the slow client had read its answer")
	}
}
