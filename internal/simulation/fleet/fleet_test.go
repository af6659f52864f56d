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

func play(t *testing.T, sc *scenario.Scenario, o Options) *Result {
	t.Helper()
	r, err := Run(sc, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The scenario that replicas also play on sockets, checked by the same audit.
func TestDefaultScenarioKeepsRules(t *testing.T) {
	r := play(t, defaultScenario(t), Options{Seed: 1, Audit: true})
	for _, v := range r.Rules {
		if v.Checks == 0 || len(v.Violations) > 0 {
			t.Errorf("%s: %d checks, %.300v", v.Rule, v.Checks, v.Violations)
		}
	}
	if s := r.Score.Service(); s < 0.8 || s > 0.99 {
		t.Errorf("service %.3f", s)
	}
	classes, tenants := r.Score.Rows()
	asked := 0
	for _, c := range classes {
		asked += c.Requests
		if c.Served+c.Rejected+c.Failed+c.Broken+c.Disconnected+c.Lost != c.Requests {
			t.Errorf("%+v does not add up", c)
		}
	}
	for _, c := range tenants {
		asked -= c.Requests
	}
	if asked != 0 || r.Attempts["read"] < 2000 || r.Attempts["write"] < 2000 {
		t.Errorf("classes have %d more requests than tenants; %v", asked, r.Attempts)
	}
}

// One seed gives one result, whatever the number of shards.
func TestResultIsIndependentOfShards(t *testing.T) {
	sc := defaultScenario(t)
	if err := sc.Scale(15 * time.Second); err != nil {
		t.Fatal(err)
	}
	one := play(t, sc, Options{Seed: 5, Audit: true})
	for _, shards := range []int{1, 3, 8} {
		if again := play(t, sc, Options{Seed: 5, Audit: true, Shards: shards}); !reflect.DeepEqual(one, again) {
			t.Errorf("%d shards: service %v, with one %v", shards, again.Score.Service(), one.Score.Service())
		}
	}
	if other := play(t, sc, Options{Seed: 6, Audit: true}); reflect.DeepEqual(one.Rules, other.Rules) {
		t.Error("another seed changes nothing")
	}
}

// leakingDecider decides as the router does and never releases a state.
type leakingDecider struct{ Decider }

func (d leakingDecider) Step(now time.Duration, events []routing.Event) (actions []routing.Action) {
	for _, action := range d.Decider.Step(now, events) {
		if _, isRelease := action.(routing.ReleaseState); !isRelease {
			actions = append(actions, action)
		}
	}
	return actions
}

// The record is enough for the audit to find a violation.
func TestAuditFindsLeakedStates(t *testing.T) {
	sc := defaultScenario(t)
	r := play(t, sc, Options{Seed: 1, Audit: true, Decider: func(s routing.Config, seed uint64) (Decider, error) {
		r, err := routing.New(s, seed)
		return leakingDecider{r}, err
	}})
	if v := r.Rules[4]; len(v.Violations) == 0 {
		t.Errorf("states that are never released are not found: %+v", v)
	}
}

func TestFewEngines(t *testing.T) {
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
	if r := play(t, parse(""), Options{Audit: true}); r.Score.Service() < 0.999 || r.TransferredTokens == 0 {
		t.Errorf("no fault: service %v, %v tokens transferred", r.Score.Service(), r.TransferredTokens)
	}
	// Without a prefill endpoint all requests are rejected or fail, in time, until the endpoints are back at the end.
	r := play(t, parse(`<happen at="0s" what="crash" kind="r" count="2" for="5s"/>`), Options{Audit: true})
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
	// All replicas are killed for a while: their clients reconnect.
	r = play(t, parse(`<happen at="1s" what="front-kill" count="2" for="500ms"/>`), Options{Audit: true})
	classes, _ := r.Score.Rows()
	if c := classes[0]; c.Service < 0.8 || len(r.Rules[0].Violations)+len(r.Rules[1].Violations) > 0 {
		t.Errorf("%+v %v", c, r.Rules[:2])
	}
}

// Long prompts are followed by long answers, and engines change role by package roles. Though all replicas are killed
// meanwhile, planners stopped and engines forced, every command is carried out.
func TestEnginesChangeRole(t *testing.T) {
	for file, maxPrefill := range map[string]int{"roles-shift": 7, "roles-restart": 8, "roles-two": 1} {
		t.Run(file, func(t *testing.T) {
			sc, err := scenario.Load("../../../scenarios/" + file + ".xml")
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, sc, Options{Seed: 1, Audit: true})
			for _, v := range r.Rules {
				if len(v.Violations) > 0 {
					t.Errorf("%s: %.300v", v.Rule, v.Violations)
				}
			}
			last := r.Roles[len(r.Roles)-1]
			if last.Commands == 0 || last.Changing > 0 || last.Prefill > maxPrefill ||
				last.Prefill+last.Decode > sc.Engines() {
				t.Errorf("at the end %+v", last)
			}
			if again := play(t, sc, Options{Seed: 1, Audit: true, Shards: 3}); !reflect.DeepEqual(r.Roles, again.Roles) {
				t.Error("shards change the roles")
			}
		})
	}
}

// An engine that flaps goes off the endpoint list and comes back, and is on it when the fault ends.
func TestFlappingEngineIsListedAgain(t *testing.T) {
	flap := smallScenario(t, `<happen at="2s" what="register-flap" kind="decode" count="2" for="4s"/>`)
	r := play(t, flap, Options{Seed: 1, Audit: true})
	normal := play(t, smallScenario(t, ""), Options{Seed: 1, Audit: true})
	if checks := r.Rules[2].Checks; checks <= 0 || len(r.Rules[2].Violations) > 0 {
		t.Errorf("third rule: %+v", r.Rules[2])
	}
	if math.Abs(r.Score.Service()-normal.Score.Service()) > 0.05 || r.Events == normal.Events {
		t.Errorf("service %.3f with flapping, %.3f without", r.Score.Service(), normal.Score.Service())
	}
	f := fleet{scheduler: newScheduler(1, time.Millisecond)}
	server := &apiServer{fleet: &f, engines: make([]listedEngine, 1)}
	f.scheduler.add(server)
	f.engines = []*engine{{kind: &flap.Kinds[0]}}
	shard := f.scheduler.shards[0]
	unlisted := []bool{}
	server.engines[0].flaps = 1
	server.cut = true // no replica is notified
	server.flap(0, 1)
	for range 4 {
		unlisted = append(unlisted, server.engines[0].unlisted)
		shard.run(shard.now + scenario.FlapInterval + 1)
	}
	server.engines[0].flaps++
	server.flap(0, 2)
	shard.run(time.Minute)
	if !reflect.DeepEqual(unlisted, []bool{true, false, true, false}) || server.engines[0].unlisted {
		t.Errorf("off the list %v, then %v", unlisted, server.engines[0].unlisted)
	}
}

// The next turn of a slow client's session comes later, and no other client is delayed.
func TestSlowClientsDelayOnlyThemselves(t *testing.T) {
	fault := `<happen at="0s" what="slow-readers" part="1" for="12s"/>`
	slow := play(t, smallScenario(t, fault), Options{Seed: 1, Audit: true})
	normal := play(t, smallScenario(t, ""), Options{Seed: 1, Audit: true})
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
	session := sc.Arrivals().Next(&scenario.Conditions{RateFactor: 1})
	session.ReadsSlowly, session.Stream = true, true
	c.open = 1
	c.attempts[1] = &clientAttempt{number: 1, request: &clientRequest{session: session}, out: 40, firstToken: 1}
	c.onAnswer(answer{attempt: 1, kind: kindServed})
	if len(c.attempts) != 1 {
		t.Fatal("its answer had ended before it was read")
	}
	f.scheduler.shards[0].run(40*scenario.SlowReadDelay + 2)
	if len(c.attempts) != 0 {
		t.Fatal("its answer never ended")
	}
}
