package scenario

import (
	"slices"
	"time"
)

// Tally counts requests and their outcomes. The first attempt of a client and its retries are one request.
type Tally struct {
	Name            string  `json:"name"`
	Requests        int     `json:"requests"`
	Served          int     `json:"served"`
	Late            int     `json:"late"` // served, but with the first token after the latency objective
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"`
	Broken          int     `json:"broken"`
	Disconnected    int     `json:"hung_up"`
	Lost            int     `json:"lost"` // cut off, or never connected
	Attempts        int     `json:"tries"`
	ServedWeight    float64 `json:"worth"` // served priority weight; a late request counts LateWeight times its own
	RequestedWeight float64 `json:"asked"` // requested priority weight

	firstTokens []time.Duration // latencies of the first token of the served requests
}

// outcomeDisconnected is the outcome of a request whose client disconnected. Its weight counts neither as requested nor
// as served.
const outcomeDisconnected = "hung up"

// add counts a request with its outcome; firstToken is the latency of its first token, 0 if there was none.
func (t *Tally) add(c *Class, s *Session, outcome string, firstToken time.Duration) {
	t.Requests++
	t.Attempts += s.Attempts
	if outcome != outcomeDisconnected {
		t.RequestedWeight += c.PriorityWeight
	}
	switch outcome {
	case "served":
		t.Served++
		t.firstTokens = append(t.firstTokens, firstToken)
		if !s.Stream || firstToken <= s.latencyObjective() { // the objective applies only to streams
			t.ServedWeight += c.PriorityWeight
		} else {
			t.Late++
			t.ServedWeight += c.PriorityWeight * c.LateWeight
		}
	case "refused", "turned":
		t.Rejected++
	case "failed", "invalid", "none":
		t.Failed++
	case "broken":
		t.Broken++
	case outcomeDisconnected:
		t.Disconnected++
	default:
		t.Lost++
	}
}

func (s *Session) latencyObjective() time.Duration {
	c := s.class()
	bytes := s.Prefix.Bytes()
	for _, t := range s.Messages {
		bytes += t.Bytes()
	}
	thousands := float64(bytes) / bytesPerToken / 1000
	return c.LatencyObjective + time.Duration(thousands*float64(c.LatencyObjectivePer1000))
}

// SecondTotals is the outcome of the requests whose first attempt was sent in one second of the scenario.
type SecondTotals struct {
	ServedWeight    float64 `json:"worth"`
	RequestedWeight float64 `json:"asked"`
}

// Score accumulates the outcome of a run. It is not safe for concurrent use.
type Score struct {
	scenario *Scenario
	classes  []Tally
	tenants  []Tally
	Timeline []SecondTotals // by second of the scenario
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

// Add counts a request; at is the time of the scenario at which its first attempt was sent.
func (s *Score) Add(session *Session, at time.Duration, outcome string, firstToken time.Duration) {
	class := &s.scenario.Classes[session.Class]
	tally := &s.classes[session.Class]
	servedBefore := tally.ServedWeight
	tally.add(class, session, outcome, firstToken)
	if session.Tenant >= 0 {
		s.tenants[session.Tenant].add(class, session, outcome, firstToken)
	}
	i := max(int(at.Seconds()), 0)
	for len(s.Timeline) <= i {
		s.Timeline = append(s.Timeline, SecondTotals{})
	}
	s.Timeline[i].ServedWeight += tally.ServedWeight - servedBefore
	if outcome != outcomeDisconnected {
		s.Timeline[i].RequestedWeight += class.PriorityWeight
	}
}

// Service returns the fraction of the requested priority weight that was served; 0 if there were no requests.
func (s *Score) Service() float64 {
	served, requested := 0.0, 0.0
	for i := range s.classes {
		served, requested = served+s.classes[i].ServedWeight, requested+s.classes[i].RequestedWeight
	}
	if requested == 0 {
		return 0
	}
	return served / requested
}

// WorstService returns the lowest service in any window of the given number of seconds. Windows without requests do not
// count; the result is 1 if there are no others.
func (s *Score) WorstService(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(s.Timeline); i++ {
		served, requested := 0.0, 0.0
		for _, second := range s.Timeline[i : i+seconds] {
			served, requested = served+second.ServedWeight, requested+second.RequestedWeight
		}
		if requested > 0 {
			worst = min(worst, served/requested)
		}
	}
	return worst
}

// Row is a Tally with figures derived from it.
type Row struct {
	Tally
	Service       float64 `json:"service"`
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
}

// Rows returns a row for each class and one for each tenant.
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
	if t.RequestedWeight > 0 {
		r.Service = t.ServedWeight / t.RequestedWeight
	}
	slices.Sort(t.firstTokens)
	if n := len(t.firstTokens); n > 0 {
		r.FirstTokenP50 = milliseconds(t.firstTokens[n/2])
		r.FirstTokenP99 = milliseconds(t.firstTokens[n*99/100])
	}
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
