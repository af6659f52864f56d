package fleet

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

func bad(t *testing.T) *scenario.Scenario {
	t.Helper()
	d, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func play(t *testing.T, d *scenario.Scenario, o Options) *Result {
	t.Helper()
	r, err := Run(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestTheBadDayKeepsItsRules: the day that fronts play on sockets, judged by the same judge.
func TestTheBadDayKeepsItsRules(t *testing.T) {
	r := play(t, bad(t), Options{Seed: 1, Audit: true})
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
		if c.Served+c.Refused+c.Failed+c.Broken+c.Left+c.Lost != c.Requests {
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

// TestShardsChangeNothing: one seed gives one course, however many parts are played side by side.
func TestShardsChangeNothing(t *testing.T) {
	d := bad(t)
	if err := d.Scale(15 * time.Second); err != nil {
		t.Fatal(err)
	}
	one := play(t, d, Options{Seed: 5, Audit: true})
	for _, shards := range []int{1, 3, 8} {
		if again := play(t, d, Options{Seed: 5, Audit: true, Shards: shards}); !reflect.DeepEqual(one, again) {
			t.Errorf("%d shards: service %v, with one %v", shards, again.Score.Service(), one.Score.Service())
		}
	}
	if other := play(t, d, Options{Seed: 6, Audit: true}); reflect.DeepEqual(one.Rules, other.Rules) {
		t.Error("another seed changes nothing")
	}
}

// careless decides as the module does and never lets go of a state.
type careless struct{ Decider }

func (c careless) Step(now time.Duration, events []routing.Event) (out []routing.Action) {
	for _, a := range c.Decider.Step(now, events) {
		if _, lets := a.(routing.ReleaseState); !lets {
			out = append(out, a)
		}
	}
	return out
}

// TestACarelessDeciderIsSeen: what the judge is shown is enough to see a broken rule.
func TestACarelessDeciderIsSeen(t *testing.T) {
	d := bad(t)
	r := play(t, d, Options{Seed: 1, Audit: true, Decider: func(s routing.Config, seed uint64) (Decider, error) {
		r, err := routing.New(s, seed)
		return careless{r}, err
	}})
	if v := r.Rules[4]; len(v.Violations) == 0 {
		t.Errorf("states that nobody lets go of are not seen: %+v", v)
	}
}

func TestAnEmptyHouse(t *testing.T) {
	day := func(more string) *scenario.Scenario {
		d, err := scenario.Parse("x.xml", []byte(strings.Replace(`<day length="5s" rate="20/s" fronts="2" seed="3">
  <service max-attempts="3" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="1s" overload-factor="4" tip-after="2s" cancel="true"/>
  <engines kind="r" role="reader" count="2" slots="4" queue="8" memory="100000tokens" read-rate="20000/s"/>
  <engines kind="w" role="writer" count="2" slots="8" queue="8" memory="100000tokens" read-rate="5000/s" step="10ms" fetch-rate="250000/s"/>
  <class name="c" effect="unsafe" share="1" aim="1s" deadline="3s" prompt="200tokens" answer="20tokens"/>MORE</day>`, "MORE", more, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if r := play(t, day(""), Options{Audit: true}); r.Score.Service() < 0.999 || r.TransferredTokens == 0 {
		t.Errorf("a quiet day: service %v, %v tokens moved", r.Score.Service(), r.TransferredTokens)
	}
	// with no reader left all is refused or failed, in time, and nothing runs until they are back at the day's end
	r := play(t, day(`<happen at="0s" what="crash" kind="r" count="2" for="5s"/>`), Options{Audit: true})
	for i, s := range r.Score.Timeline[:2] {
		if s.Asked == 0 || s.Worth > 0 {
			t.Errorf("without readers: second %d: %+v", i, s)
		}
	}
	for _, v := range r.Rules[:3] {
		if len(v.Violations) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Violations)
		}
	}
	// all fronts dead for a while: their clients find the way back
	r = play(t, day(`<happen at="1s" what="front-kill" count="2" for="500ms"/>`), Options{Audit: true})
	classes, _ := r.Score.Rows()
	if c := classes[0]; c.Service < 0.8 || len(r.Rules[0].Violations)+len(r.Rules[1].Violations) > 0 {
		t.Errorf("%+v %v", c, r.Rules[:2])
	}
}

// TestEnginesChangeRole: long prompts give way to long answers and engines go over, by the planner, the book and the seats
// of package roles; with all fronts killed on the way, planners stopped and engines forced, every order is settled.
func TestEnginesChangeRole(t *testing.T) {
	for file, readers := range map[string]int{"roles-shift": 7, "roles-restart": 8, "roles-two": 1} {
		d, err := scenario.Load("../../../scenarios/" + file + ".xml")
		if err != nil {
			t.Fatal(err)
		}
		r := play(t, d, Options{Seed: 1, Audit: true})
		for _, v := range r.Rules {
			if len(v.Violations) > 0 {
				t.Errorf("%s: %s: %.300v", file, v.Rule, v.Violations)
			}
		}
		last := r.Roles[len(r.Roles)-1]
		if last.Orders == 0 || last.Changing > 0 || last.Readers > readers || last.Readers+last.Writers > d.Engines() {
			t.Errorf("%s: at the end %+v", file, last)
		}
		if again := play(t, d, Options{Seed: 1, Audit: true, Shards: 3}); !reflect.DeepEqual(r.Roles, again.Roles) {
			t.Errorf("%s: shards change the roles", file)
		}
	}
}

// TestMessagesComeInOrder: by time, then sender, then number, and never sooner than a link takes.
func TestMessagesComeInOrder(t *testing.T) {
	for _, shards := range []int{1, 4} {
		k := newKernel(shards, time.Millisecond)
		var all []*echo
		for range 8 {
			e := &echo{}
			k.add(e)
			all = append(all, e)
		}
		for _, e := range all {
			e.later(time.Duration(e.id)*100*time.Microsecond, 0)
		}
		k.run(func(now time.Duration) bool { return now > time.Second })
		for _, e := range all {
			if len(e.got) < 100 || e.wrong > 0 {
				t.Errorf("%d shards: party %d got %d, %d out of order", shards, e.id, len(e.got), e.wrong)
			}
		}
		if shards == 1 {
			first = fmt.Sprint(all[3].got)
		} else if now := fmt.Sprint(all[3].got); now != first {
			t.Error("shards change what a party sees")
		}
	}
}

var first string

// echo passes each number on to two others.
type echo struct {
	base
	got   []string
	last  time.Duration
	wrong int
}

func (e *echo) take(m any) {
	if e.now() < e.last {
		e.wrong++
	}
	e.last = e.now()
	n := m.(int)
	e.got = append(e.got, fmt.Sprint(e.now(), n))
	if n < 9 {
		e.send((e.id+3)%8, 0, n+1)
		e.send((e.id+5)%8, time.Duration(n)*300*time.Microsecond, n+1)
	}
}

// TestFlappingEngineIsListedAgain: an engine that flaps goes off the list and comes back, and is on it when that ends.
func TestFlappingEngineIsListedAgain(t *testing.T) {
	flap := smallDay(t, `<happen at="2s" what="register-flap" kind="decode" count="2" for="4s"/>`)
	r := play(t, flap, Options{Seed: 1, Audit: true})
	calm := play(t, smallDay(t, ""), Options{Seed: 1, Audit: true})
	if told := r.Rules[2].Checks; told <= 0 || len(r.Rules[2].Violations) > 0 {
		t.Errorf("third rule: %+v", r.Rules[2])
	}
	if math.Abs(r.Score.Service()-calm.Score.Service()) > 0.05 || r.Events == calm.Events {
		t.Errorf("service %.3f with flapping, %.3f without", r.Score.Service(), calm.Score.Service())
	}
	var f fleet
	f.k = newKernel(1, time.Millisecond)
	reg := &register{f: &f, lines: make([]line, 1)}
	f.k.add(reg)
	f.engines = []*engine{{kind: &flap.Kinds[0]}}
	seen := []bool{}
	reg.lines[0].flaps = 1
	reg.cut = true // nobody is told
	reg.flap(0, 1)
	for range 4 {
		seen = append(seen, reg.lines[0].unlisted)
		f.k.shards[0].play(f.k.shards[0].now + scenario.FlapInterval + 1)
	}
	reg.lines[0].flaps++
	reg.flap(0, 2)
	f.k.shards[0].play(time.Minute)
	if !reflect.DeepEqual(seen, []bool{true, false, true, false}) || reg.lines[0].unlisted {
		t.Errorf("off the list %v, then %v", seen, reg.lines[0].unlisted)
	}
}

// TestSlowReadersTakeLonger: the next turn of a slow client's session comes later, and nobody else is held up.
func TestSlowReadersTakeLonger(t *testing.T) {
	slow := play(t, smallDay(t, `<happen at="0s" what="slow-readers" part="1" for="12s"/>`), Options{Seed: 1, Audit: true})
	calm := play(t, smallDay(t, ""), Options{Seed: 1, Audit: true})
	if math.Abs(slow.Score.Service()-calm.Score.Service()) > 1e-9 {
		t.Errorf("service %.4f with slow readers, %.4f without", slow.Score.Service(), calm.Score.Service())
	}
	for i, v := range slow.Rules {
		if len(v.Violations) > 0 {
			t.Errorf("rule %d: %.200v", i+1, v.Violations)
		}
	}
	d := smallDay(t, "")
	d.Faults = nil
	f := &fleet{d: d, k: newKernel(1, time.Millisecond), fronts: []*front{{}}}
	c := &clients{f: f, score: d.Score(), tries: map[uint64]*try{}}
	f.k.add(c)
	s := d.Arrivals().Next(&scenario.Conditions{Surge: 1})
	s.Slow, s.Stream = true, true
	c.open = 1
	c.tries[1] = &try{n: 1, t: &talk{s: s}, out: 40, first: 1}
	c.answered(answers{try: 1, kind: "served"})
	if len(c.tries) != 1 {
		t.Fatal("its answer had ended before it was read")
	}
	f.k.shards[0].play(40*scenario.SlowReadDelay + 2)
	if len(c.tries) != 0 {
		t.Fatal("its answer never ended")
	}
}
