package scenario

import (
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func bad(t *testing.T) *Scenario {
	t.Helper()
	d, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestHappeningsAsTheyWere: each day file, written again from what was read, reads the same.
func TestHappeningsAsTheyWere(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		d, err := Load(f)
		if err != nil {
			t.Fatal(err)
		}
		again, text, err := d.WithFaults(d.Faults, "a note -- with dashes")
		if err != nil {
			t.Fatalf("%s: %v\n%s", f, err, text)
		}
		for i := range again.Faults {
			a, b := d.Faults[i], again.Faults[i]
			a.Pos = b.Pos
			if a != b {
				t.Errorf("%s: %+v came back as %+v", f, a, b)
			}
		}
		if len(again.Faults) != len(d.Faults) || !reflect.DeepEqual(again.Service.StateTTL, d.Service.StateTTL) {
			t.Errorf("%s: %d happenings of %d", f, len(again.Faults), len(d.Faults))
		}
	}
}

// TestMoodsEnd: whatever changes the clients' mood is undone, also where two of them overlap.
func TestMoodsEnd(t *testing.T) {
	for _, what := range []string{"surge", "mix", "overlong", "hot-prefix", "hang-ups", "slow-readers"} {
		m := NormalConditions()
		h := &Fault{What: what, Class: "order", Factor: 3, Part: 0.5}
		undo := m.Change(h)
		if undo == nil || reflect.DeepEqual(m, NormalConditions()) {
			t.Errorf("%s changes nothing", what)
			continue
		}
		undo(&m)
		if m.Surge != 1 || m.Hot+m.HangUps+m.Slow+m.LongPart != 0 || what == "mix" && m.Mix["order"] != 1 {
			t.Errorf("%s is not undone: %+v", what, m)
		}
	}
	m := NormalConditions()
	first := m.Change(&Fault{What: "mix", Class: "a", Factor: 2})
	second := m.Change(&Fault{What: "mix", Class: "b", Factor: 3})
	first(&m)
	if m.Mix["a"] != 1 || m.Mix["b"] != 3 {
		t.Errorf("%v", m.Mix)
	}
	second(&m)
	if m.Change(&Fault{What: "crash"}) != nil {
		t.Error("a crash is the engines', not the clients'")
	}
}

// TestSessionsDrawAlone: what one client meets changes nothing in the others, nor in its own next draws of length.
func TestSessionsDrawAlone(t *testing.T) {
	m := NormalConditions()
	play := func(kind string) (lengths []int, gaps []time.Duration) {
		a := bad(t).Arrivals()
		for range 300 {
			gaps = append(gaps, a.Gap(&m))
			s := a.Next(&m)
			n, beginning := s.PromptBytes()
			if beginning > n || n == 0 || len(s.Prefix.Words()) != s.Prefix.Bytes() {
				t.Fatalf("%d bytes, %d shared", n, beginning)
			}
			lengths = append(lengths, n)
			s.PickReplica(4)
			s.AfterAttempt(kind, false, time.Second, 0)
		}
		return lengths, gaps
	}
	l1, g1 := play("served")
	l2, g2 := play("failed")
	if !reflect.DeepEqual(l1, l2) || !reflect.DeepEqual(g1, g2) {
		t.Error("how requests end changes which requests come")
	}
}

// TestClientsTryAgainAsTheyShould: careful ones never after an unknown end of an unsafe request, marked ones unless told.
func TestClientsTryAgainAsTheyShould(t *testing.T) {
	d := bad(t)
	of := func(effect string, marked bool) *Session {
		m, a := NormalConditions(), d.Arrivals()
		for {
			s := a.Next(&m)
			if d.Classes[s.Class].Idempotency == effect && s.MarksRetries == marked {
				s.PickReplica(4)
				return s
			}
		}
	}
	for _, c := range []struct {
		effect, kind   string
		marked, handUp bool
		again          bool
	}{
		{"unsafe", "cut", false, false, false},
		{"safe", "cut", false, false, true},
		{"unsafe", "failed", false, false, false},
		{"unsafe", "cut", true, false, true},
		{"unsafe", "failed", true, true, false},
		{"safe", "refused", true, true, false},
		{"unsafe", "refused", false, true, true},
		{"safe", "served", true, false, false},
		{"unsafe", "unconnected", false, false, true},
		{"safe", "broken", true, false, false},
	} {
		if again, _ := of(c.effect, c.marked).AfterAttempt(c.kind, c.handUp, time.Second, time.Second); again != c.again {
			t.Errorf("%+v: again %v", c, again)
		}
	}
	s := of("safe", false)
	if again, _ := s.AfterAttempt("refused", false, 0, time.Hour); again {
		t.Error("a client tries again long after its time")
	}
	for range 30 {
		s.AfterAttempt("unconnected", false, 0, 0)
	}
	if again, _ := s.AfterAttempt("unconnected", false, 0, 0); again {
		t.Error("a client never stops connecting")
	}
}

func TestScore(t *testing.T) {
	d, m := bad(t), NormalConditions()
	score, a := d.Score(), d.Arrivals()
	worth, asked := 0.0, 0.0
	for i, kind := range []string{"served", "refused", "hung up", "broken", "served"} {
		s := a.Next(&m)
		s.Stream = true
		first := time.Millisecond
		if i == 4 {
			first = time.Hour
		}
		score.Add(s, time.Duration(i)*time.Second, kind, first)
		c := d.Classes[s.Class]
		if kind != "hung up" {
			asked += c.PriorityWeight
		}
		if kind == "served" {
			worth += c.PriorityWeight * map[bool]float64{true: c.LateWeight, false: 1}[i == 4]
		}
	}
	if got := score.Service(); math.Abs(got-worth/asked) > 1e-12 || score.Worst(1) != 0 || len(score.Timeline) != 5 {
		t.Errorf("service %v, want %v; %+v", got, worth/asked, score.Timeline)
	}
}

func TestDaysTooLargeForSockets(t *testing.T) {
	d := bad(t)
	if err := d.CheckRunnable(); err != nil {
		t.Error(err)
	}
	d.Replicas = 300
	if err := d.CheckRunnable(); err == nil || !strings.Contains(err.Error(), "300") {
		t.Errorf("300 fronts on sockets: %v", err)
	}
	if set, err := d.Settings(7); err != nil || set.Replica.Name != "front-8" || len(set.RoutingConfig().Classes) != len(d.Classes) {
		t.Errorf("%v", err)
	}
}
