package scenario

import (
	"errors"
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func defaultScenario(t *testing.T) *Scenario {
	t.Helper()
	sc, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// Each scenario file, written again from what was parsed, parses to the same faults.
func TestFaultsSurviveWriting(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		sc, err := Load(f)
		if err != nil {
			t.Fatal(err)
		}
		again, text, err := sc.WithFaults(sc.Faults, "a note -- with dashes")
		if err != nil {
			t.Fatalf("%s: %v\n%s", f, err, text)
		}
		for i := range again.Faults {
			a, b := sc.Faults[i], again.Faults[i]
			a.Pos = b.Pos
			if a != b {
				t.Errorf("%s: %+v came back as %+v", f, a, b)
			}
		}
		if len(again.Faults) != len(sc.Faults) || !reflect.DeepEqual(again.Service.StateTTL, sc.Service.StateTTL) {
			t.Errorf("%s: %d faults of %d", f, len(again.Faults), len(sc.Faults))
		}
	}
}

// Each change of the clients' conditions is undone, also where two of them overlap.
func TestConditionsAreRestored(t *testing.T) {
	for _, what := range []string{"surge", "mix", "overlong", "hot-prefix", "hang-ups", "slow-readers"} {
		conditions := NormalConditions()
		fault := &Fault{What: what, Class: "order", Factor: 3, Part: 0.5}
		undo := conditions.Change(fault)
		if undo == nil || reflect.DeepEqual(conditions, NormalConditions()) {
			t.Errorf("%s changes nothing", what)
			continue
		}
		undo(&conditions)
		if conditions.Surge != 1 || conditions.Hot+conditions.HangUps+conditions.Slow+conditions.LongPart != 0 ||
			what == "mix" && conditions.Mix["order"] != 1 {
			t.Errorf("%s is not undone: %+v", what, conditions)
		}
	}
	conditions := NormalConditions()
	first := conditions.Change(&Fault{What: "mix", Class: "a", Factor: 2})
	second := conditions.Change(&Fault{What: "mix", Class: "b", Factor: 3})
	first(&conditions)
	if conditions.Mix["a"] != 1 || conditions.Mix["b"] != 3 {
		t.Errorf("%v", conditions.Mix)
	}
	second(&conditions)
	if conditions.Change(&Fault{What: "crash"}) != nil {
		t.Error("a crash changes the clients' conditions")
	}
}

// The outcome of a session's requests changes neither other sessions nor its own later lengths.
func TestSessionsAreIndependent(t *testing.T) {
	conditions := NormalConditions()
	play := func(kind string) (lengths []int, gaps []time.Duration) {
		a := defaultScenario(t).Arrivals()
		for range 300 {
			gaps = append(gaps, a.Gap(&conditions))
			s := a.Next(&conditions)
			n, prefix := s.PromptBytes()
			if prefix > n || n == 0 || len(s.Prefix.Words()) != s.Prefix.Bytes() {
				t.Fatalf("%d bytes, %d shared", n, prefix)
			}
			lengths = append(lengths, n)
			s.PickReplica(4)
			s.AfterAttempt(kind, false, time.Second, 0)
		}
		return lengths, gaps
	}
	lengths1, gaps1 := play("served")
	lengths2, gaps2 := play("failed")
	if !reflect.DeepEqual(lengths1, lengths2) || !reflect.DeepEqual(gaps1, gaps2) {
		t.Error("how requests end changes which requests arrive")
	}
}

// Careful clients never retry after an unknown outcome of a request that is not idempotent; those that mark retries do
// unless the answer says not to.
func TestClientRetryPolicy(t *testing.T) {
	sc := defaultScenario(t)
	newSession := func(idempotency string, marked bool) *Session {
		conditions, a := NormalConditions(), sc.Arrivals()
		for {
			s := a.Next(&conditions)
			if sc.Classes[s.Class].Idempotency == idempotency && s.MarksRetries == marked {
				s.PickReplica(4)
				return s
			}
		}
	}
	for _, c := range []struct {
		idempotency, kind   string
		marked, noAutoRetry bool
		again               bool
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
		session := newSession(c.idempotency, c.marked)
		again, _ := session.AfterAttempt(c.kind, c.noAutoRetry, time.Second, time.Second)
		if again != c.again {
			t.Errorf("%+v: again %v", c, again)
		}
	}
	s := newSession("safe", false)
	if again, _ := s.AfterAttempt("refused", false, 0, time.Hour); again {
		t.Error("a client retries long after its deadline")
	}
	for range 30 {
		s.AfterAttempt("unconnected", false, 0, 0)
	}
	if again, _ := s.AfterAttempt("unconnected", false, 0, 0); again {
		t.Error("a client never stops connecting")
	}
}

func TestScoreCountsServedWeight(t *testing.T) {
	sc, conditions := defaultScenario(t), NormalConditions()
	score, a := sc.Score(), sc.Arrivals()
	worth, asked := 0.0, 0.0
	for i, kind := range []string{"served", "refused", "hung up", "broken", "served"} {
		s := a.Next(&conditions)
		s.Stream = true
		first := time.Millisecond
		if i == 4 {
			first = time.Hour
		}
		score.Add(s, time.Duration(i)*time.Second, kind, first)
		c := sc.Classes[s.Class]
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

func TestCheckRunnableRejectsLargeFleets(t *testing.T) {
	sc := defaultScenario(t)
	if err := sc.CheckRunnable(); err != nil {
		t.Error(err)
	}
	sc.Replicas = 300
	err := sc.CheckRunnable()
	var size *SizeError
	if !errors.As(err, &size) || size.Got != 300 || !strings.Contains(err.Error(), "300") {
		t.Errorf("300 replicas on sockets: %v", err)
	}
	settings, err := sc.Settings(7)
	if err != nil || settings.Replica.Name != "front-8" ||
		len(settings.RoutingConfig().Classes) != len(sc.Classes) {
		t.Errorf("%v", err)
	}
}
