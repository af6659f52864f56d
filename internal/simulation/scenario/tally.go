package scenario

import (
	"slices"
	"time"
)

// Tally counts requests: a request is a client's first try with its retries.
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
	Worth    float64 `json:"worth"`
	Asked    float64 `json:"asked"`
	firsts   []time.Duration
}

// add counts a request that ended with kind, its first token first after it was asked (0 = none).
func (t *Tally) add(c *Class, s *Session, kind string, first time.Duration) {
	t.Requests++
	t.Tries += s.Attempts
	if kind != "hung up" {
		t.Asked += c.PriorityWeight
	}
	switch kind {
	case "served":
		t.Served++
		t.firsts = append(t.firsts, first)
		if !s.Stream || first <= s.aim() { // a whole answer is judged by its coming, not by its first token
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
	case "hung up":
		t.Left++
	default:
		t.Lost++
	}
}

func (s *Session) aim() time.Duration {
	c := &s.d.Classes[s.Class]
	bytes := s.Prefix.Bytes()
	for _, t := range s.Turns {
		bytes += t.Bytes()
	}
	return c.LatencyObjective + time.Duration(float64(bytes)/4/1000*float64(c.LatencyObjectivePer1000))
}

// Second is what came of the requests that were first sent in one second of the day.
type Second struct {
	Worth float64 `json:"worth"`
	Asked float64 `json:"asked"`
}

// Score is what came of a day.
type Score struct {
	d        *Scenario
	classes  []Tally
	tenants  []Tally
	Timeline []Second
}

// Score begins one.
func (d *Scenario) Score() *Score {
	s := &Score{d: d}
	for _, c := range d.Classes {
		s.classes = append(s.classes, Tally{Name: c.Name})
	}
	for _, t := range d.Tenants {
		s.tenants = append(s.tenants, Tally{Name: t.Name})
	}
	return s
}

// Add counts a request that was first sent at a time of the day.
func (s *Score) Add(x *Session, at time.Duration, kind string, first time.Duration) {
	c := &s.d.Classes[x.Class]
	of := &s.classes[x.Class]
	worth := of.Worth
	of.add(c, x, kind, first)
	if x.Tenant >= 0 {
		s.tenants[x.Tenant].add(c, x, kind, first)
	}
	i := max(int(at.Seconds()), 0)
	for len(s.Timeline) <= i {
		s.Timeline = append(s.Timeline, Second{})
	}
	if s.Timeline[i].Worth += of.Worth - worth; kind != "hung up" {
		s.Timeline[i].Asked += c.PriorityWeight
	}
}

// Service is worth served over worth asked.
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

// Worst is the service of the worst so many seconds in a row in which anything was asked; 1 where there are none.
func (s *Score) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(s.Timeline); i++ {
		worth, asked := 0.0, 0.0
		for _, c := range s.Timeline[i : i+seconds] {
			worth, asked = worth+c.Worth, asked+c.Asked
		}
		if asked > 0 {
			worst = min(worst, worth/asked)
		}
	}
	return worst
}

// Row is a tally with what follows from it.
type Row struct {
	Tally
	Service  float64 `json:"service"`
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
}

// Rows are the classes' and the tenants'.
func (s *Score) Rows() (classes, tenants []Row) {
	for _, t := range s.classes {
		classes = append(classes, row(t))
	}
	for _, t := range s.tenants {
		tenants = append(tenants, row(t))
	}
	return classes, tenants
}

func row(t Tally) Row {
	r := Row{Tally: t}
	if t.Asked > 0 {
		r.Service = t.Worth / t.Asked
	}
	slices.Sort(t.firsts)
	if n := len(t.firsts); n > 0 {
		r.FirstP50 = float64(t.firsts[n/2].Microseconds()) / 1000
		r.FirstP99 = float64(t.firsts[n*99/100].Microseconds()) / 1000
	}
	return r
}
