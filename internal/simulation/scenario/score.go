package scenario

import (
	"slices"
	"time"
)

// Tally counts requests: a request is a client's first attempt with its retries.
type Tally struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Broken   int     `json:"broken"`
	Left     int     `json:"hung_up"`
	Lost     int     `json:"lost"` // cut off or never connected
	Tries    int     `json:"tries"`
	Worth    float64 `json:"worth"` // priority weight served, reduced where it was late
	Asked    float64 `json:"asked"` // priority weight requested

	firstTokens []time.Duration // latencies
}

// kindHungUp is a request whose client disconnected; its weight counts neither as requested nor as served.
const kindHungUp = "hung up"

// add counts a request that ended with a kind; firstToken is the latency of its first token, 0 for none.
func (t *Tally) add(c *Class, s *Session, kind string, firstToken time.Duration) {
	t.Requests++
	t.Tries += s.Attempts
	if kind != kindHungUp {
		t.Asked += c.PriorityWeight
	}
	switch kind {
	case "served":
		t.Served++
		t.firstTokens = append(t.firstTokens, firstToken)
		if !s.Stream || firstToken <= s.latencyObjective() { // the objective is of streams alone
			t.Worth += c.PriorityWeight
		} else {
			t.Late++
			t.Worth += c.PriorityWeight * c.LateWeight
		}
	case "refused", "turned":
		t.Refused++
	case "failed", "invalid", "none":
		t.Failed++
	case "broken":
		t.Broken++
	case kindHungUp:
		t.Left++
	default:
		t.Lost++
	}
}

func (s *Session) latencyObjective() time.Duration {
	c := s.class()
	bytes := s.Prefix.Bytes()
	for _, t := range s.Turns {
		bytes += t.Bytes()
	}
	thousands := float64(bytes) / bytesPerToken / 1000
	return c.LatencyObjective + time.Duration(thousands*float64(c.LatencyObjectivePer1000))
}

// Second is the outcome of the requests that were first sent in one second of the scenario.
type Second struct {
	Worth float64 `json:"worth"`
	Asked float64 `json:"asked"`
}

// Score is the outcome of a run. It is used by one goroutine.
type Score struct {
	scenario *Scenario
	classes  []Tally
	tenants  []Tally
	Timeline []Second
}

// Score returns an empty score.
func (s *Scenario) Score() *Score {
	score := &Score{scenario: s}
	for _, c := range s.Classes {
		score.classes = append(score.classes, Tally{Name: c.Name})
	}
	for _, t := range s.Tenants {
		score.tenants = append(score.tenants, Tally{Name: t.Name})
	}
	return score
}

// Add counts a request that was first sent at a time of the scenario.
func (s *Score) Add(session *Session, at time.Duration, kind string, firstToken time.Duration) {
	class := &s.scenario.Classes[session.Class]
	tally := &s.classes[session.Class]
	before := tally.Worth
	tally.add(class, session, kind, firstToken)
	if session.Tenant >= 0 {
		s.tenants[session.Tenant].add(class, session, kind, firstToken)
	}
	i := max(int(at.Seconds()), 0)
	for len(s.Timeline) <= i {
		s.Timeline = append(s.Timeline, Second{})
	}
	s.Timeline[i].Worth += tally.Worth - before
	if kind != kindHungUp {
		s.Timeline[i].Asked += class.PriorityWeight
	}
}

// Service returns the part of the requested weight that was served.
func (s *Score) Service() float64 {
	worth, asked := 0.0, 0.0
	for i := range s.classes {
		worth, asked = worth+s.classes[i].Worth, asked+s.classes[i].Asked
	}
	if asked == 0 {
		return 0
	}
	return worth / asked
}

// Worst returns the lowest service over so many seconds in a row in which there were requests; 1 where there are none.
func (s *Score) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(s.Timeline); i++ {
		worth, asked := 0.0, 0.0
		for _, second := range s.Timeline[i : i+seconds] {
			worth, asked = worth+second.Worth, asked+second.Asked
		}
		if asked > 0 {
			worst = min(worst, worth/asked)
		}
	}
	return worst
}

// Row is a tally with the figures derived from it.
type Row struct {
	Tally
	Service  float64 `json:"service"`
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
}

// Rows returns those of the classes and of the tenants.
func (s *Score) Rows() (classes, tenants []Row) {
	for _, t := range s.classes {
		classes = append(classes, newRow(t))
	}
	for _, t := range s.tenants {
		tenants = append(tenants, newRow(t))
	}
	return classes, tenants
}

func newRow(t Tally) Row {
	r := Row{Tally: t}
	if t.Asked > 0 {
		r.Service = t.Worth / t.Asked
	}
	slices.Sort(t.firstTokens)
	if n := len(t.firstTokens); n > 0 {
		r.FirstP50 = milliseconds(t.firstTokens[n/2])
		r.FirstP99 = milliseconds(t.firstTokens[n*99/100])
	}
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
