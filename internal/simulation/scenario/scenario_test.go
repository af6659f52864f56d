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

// Parses each scenario file, writes its faults into a new text and parses that: the faults are the same.
func TestWithFaultsRoundTrips(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			sc, err := Load(f)
			if err != nil {
				t.Fatal(err)
			}
			reparsed, text, err := sc.WithFaults(sc.Faults, "a note -- with dashes")
			if err != nil {
				t.Fatalf("%v\n%s", err, text)
			}
			for i := range reparsed.Faults {
				a, b := sc.Faults[i], reparsed.Faults[i]
				a.Pos = b.Pos
				if a != b {
					t.Errorf("%+v was parsed back as %+v", a, b)
				}
			}
			if len(reparsed.Faults) != len(sc.Faults) || !reflect.DeepEqual(reparsed.Service.StateTTL, sc.Service.StateTTL) {
				t.Errorf("%d faults, want %d; or another state TTL", len(reparsed.Faults), len(sc.Faults))
			}
		})
	}
}

// Each fault that concerns clients changes their conditions, and undoing it restores them.
func TestConditionsAreRestored(t *testing.T) {
	for _, faultType := range []string{"surge", "mix", "overlong", "hot-prefix", "hang-ups", "slow-readers"} {
		t.Run(faultType, func(t *testing.T) {
			conditions := NormalConditions()
			fault := &Fault{Type: faultType, Class: "order", Factor: 3, Fraction: 0.5}
			undo := conditions.Apply(fault)
			if undo == nil || reflect.DeepEqual(conditions, NormalConditions()) {
				t.Fatal("the fault changes no condition")
			}
			undo(&conditions)
			if conditions.RateFactor != 1 ||
				conditions.HotPrefixFraction+conditions.DisconnectFraction+conditions.SlowReadFraction+
					conditions.LongPromptFraction != 0 ||
				faultType == "mix" && conditions.ShareFactors["order"] != 1 {
				t.Errorf("not undone: %+v", conditions)
			}
		})
	}
}

// While two faults overlap, undoing one leaves the other in effect.
func TestOverlappingConditionsAreRestored(t *testing.T) {
	conditions := NormalConditions()
	undoFirst := conditions.Apply(&Fault{Type: "mix", Class: "a", Factor: 2})
	undoSecond := conditions.Apply(&Fault{Type: "mix", Class: "b", Factor: 3})
	undoFirst(&conditions)
	if conditions.ShareFactors["a"] != 1 || conditions.ShareFactors["b"] != 3 {
		t.Errorf("%v", conditions.ShareFactors)
	}
	undoSecond(&conditions)
	if conditions.ShareFactors["a"] != 1 || conditions.ShareFactors["b"] != 1 {
		t.Errorf("%v", conditions.ShareFactors)
	}
}

func TestEngineFaultsChangeNoConditions(t *testing.T) {
	conditions := NormalConditions()
	if conditions.Apply(&Fault{Type: "crash"}) != nil {
		t.Error("a crash changes the clients' conditions")
	}
}

// Whether requests are served or fail must not influence when other sessions arrive and how long their prompts are.
func TestRequestOutcomesDoNotChangeDraws(t *testing.T) {
	conditions := NormalConditions()
	drawSessions := func(outcome string) (lengths []int, gaps []time.Duration) {
		a := defaultScenario(t).Arrivals()
		for range 300 {
			gaps = append(gaps, a.NextGap(&conditions))
			s := a.NextSession(&conditions)
			n, prefix := s.PromptBytes()
			if prefix > n || n == 0 || len(s.Prefix.Words()) != s.Prefix.Bytes() {
				t.Fatalf("%d bytes, %d shared", n, prefix)
			}
			lengths = append(lengths, n)
			s.PickReplica(4)
			s.AfterAttempt(outcome, false, time.Second, 0)
		}
		return lengths, gaps
	}
	lengths1, gaps1 := drawSessions("served")
	lengths2, gaps2 := drawSessions("failed")
	if !reflect.DeepEqual(lengths1, lengths2) || !reflect.DeepEqual(gaps1, gaps2) {
		t.Error("the outcome of requests changes which requests arrive")
	}
}

// newSession draws sessions until one has the given idempotency and a client that marks its retries or not, as given,
// and counts its first attempt.
func newSession(sc *Scenario, idempotency string, marksRetries bool) *Session {
	conditions, arrivals := NormalConditions(), sc.Arrivals()
	for {
		s := arrivals.NextSession(&conditions)
		if sc.Classes[s.Class].Idempotency == idempotency && s.MarksRetries == marksRetries {
			s.PickReplica(4)
			return s
		}
	}
}

// After an unknown outcome, careful clients never retry a request that is not idempotent. Clients that mark their
// retries do, unless the answer forbids it.
func TestClientRetryPolicy(t *testing.T) {
	sc := defaultScenario(t)
	for _, c := range []struct {
		name                      string
		idempotency, outcome      string
		marksRetries, noAutoRetry bool
		wantRetry                 bool
	}{
		{"careful, not idempotent, cut", "unsafe", "cut", false, false, false},
		{"careful, idempotent, cut", "safe", "cut", false, false, true},
		{"careful, not idempotent, failed", "unsafe", "failed", false, false, false},
		{"marking, not idempotent, cut", "unsafe", "cut", true, false, true},
		{"marking, not idempotent, failed, no retry", "unsafe", "failed", true, true, false},
		{"marking, idempotent, rejected, no retry", "safe", "refused", true, true, false},
		{"careful, not idempotent, rejected, no retry", "unsafe", "refused", false, true, true},
		{"marking, idempotent, served", "safe", "served", true, false, false},
		{"careful, not idempotent, not connected", "unsafe", "unconnected", false, false, true},
		{"marking, idempotent, broken", "safe", "broken", true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			session := newSession(sc, c.idempotency, c.marksRetries)
			retry, _ := session.AfterAttempt(c.outcome, c.noAutoRetry, time.Second, time.Second)
			if retry != c.wantRetry {
				t.Errorf("retries: %v", retry)
			}
		})
	}
}

func TestClientStopsRetrying(t *testing.T) {
	s := newSession(defaultScenario(t), "safe", false)
	if retry, _ := s.AfterAttempt("refused", false, 0, time.Hour); retry {
		t.Error("a client retries long after its deadline")
	}
	for range 30 {
		s.AfterAttempt("unconnected", false, 0, 0)
	}
	if retry, _ := s.AfterAttempt("unconnected", false, 0, 0); retry {
		t.Error("a client tries to connect without limit")
	}
}

func TestServiceIsServedPriorityWeight(t *testing.T) {
	sc, conditions := defaultScenario(t), NormalConditions()
	score, a := sc.Score(), sc.Arrivals()
	served, requested := 0.0, 0.0
	for i, outcome := range []string{"served", "refused", "hung up", "broken", "served"} {
		s := a.NextSession(&conditions)
		s.Stream = true
		firstToken := time.Millisecond
		if i == 4 {
			firstToken = time.Hour
		}
		score.Add(s, time.Duration(i)*time.Second, outcome, firstToken)
		c := sc.Classes[s.Class]
		if outcome != "hung up" {
			requested += c.PriorityWeight
		}
		if outcome == "served" {
			served += c.PriorityWeight * map[bool]float64{true: c.LateWeight, false: 1}[i == 4]
		}
	}
	if got := score.Service(); math.Abs(got-served/requested) > 1e-12 || score.WorstService(1) != 0 ||
		len(score.Timeline) != 5 {
		t.Errorf("service %v, want %v; %+v", got, served/requested, score.Timeline)
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
	if !errors.As(err, &size) || size.Value != 300 || !strings.Contains(err.Error(), "300") {
		t.Errorf("300 replicas on sockets: %v", err)
	}
	settings, err := sc.Settings(7)
	if err != nil || settings.Replica.Name != "front-8" ||
		len(settings.RoutingConfig().Classes) != len(sc.Classes) {
		t.Errorf("settings of replica 8: %v", err)
	}
}
