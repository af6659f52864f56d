// Package forecast says what a day will come to, with error bars, and compares two fleets on the same traffic. It plays
// them with internal/lab/fleet, many courses side by side; it decides on no setting of a front.
//
// The bars of a forecast are for one real run: they hold the spread of simulated courses, and how far the emulator was
// seen to be off on days that were played for real (Model). Those of a comparison are for the mean difference of paired
// courses, by the bootstrap.
package forecast

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Model is how far real runs were off from the mean of simulated ones: a standard deviation of Floor, and of Part of what
// the day loses.
type Model struct {
	Floor float64 `json:"floor"`
	Part  float64 `json:"part"`
}

func (m Model) sd(service float64) float64 { return math.Hypot(m.Floor, m.Part*(1-service)) }

// Forecast is what a day is expected to come to.
type Forecast struct {
	Scenario string    `json:"day"`
	Services []float64 `json:"services"` // of the simulated courses
	Mean     float64   `json:"mean"`
	SD       float64   `json:"sd"`
	Low      float64   `json:"low"` // one real run lies between Low and High with probability Level
	High     float64   `json:"high"`
	Level    float64   `json:"level"`
	Worst    float64   `json:"worst_10s"` // mean
	Rules    int       `json:"breaches"`  // over all courses
}

// Holds tells whether a real run lies within the bars.
func (f *Forecast) Holds(service float64) bool { return service >= f.Low && service <= f.High }

// Predict plays a day so many times.
func Predict(name string, d *scenario.Scenario, runs, atOnce int, level float64, m Model) (*Forecast, error) {
	if runs < 3 {
		return nil, errors.New("forecast: 3 runs at least are needed for error bars")
	}
	f := &Forecast{Scenario: name, Level: level, Services: make([]float64, runs)}
	worst, breaches := make([]float64, runs), make([]int, runs)
	err := replication.Run(runs, atOnce, func(i int) error {
		r, err := fleet.Run(d, fleet.Options{Seed: uint64(i) + 1, Audit: true})
		if err != nil {
			return err
		}
		f.Services[i], worst[i] = r.Score.Service(), r.Score.Worst(10)
		for _, v := range r.Rules {
			breaches[i] += len(v.Violations)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	f.Mean, f.SD = stat.MeanStdDev(f.Services, nil)
	f.Worst = stat.Mean(worst, nil)
	for _, n := range breaches {
		f.Rules += n
	}
	f.bars(m)
	return f, nil
}

// bars are those of one more draw beside so many, by Student's t, with the model's part added. Where courses fall into
// two heaps a normal spread would lie, so the bars also span the middle of the courses themselves.
func (f *Forecast) bars(m Model) {
	n := float64(len(f.Services))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.5 + f.Level/2)
	half := t * math.Sqrt(f.SD*f.SD*(1+1/n)+math.Pow(m.sd(f.Mean), 2))
	f.Low, f.High = f.Mean-half, f.Mean+half
	sorted := slices.Sorted(slices.Values(f.Services))
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, sorted, nil) }
	f.Low = min(f.Low, at(0.5-f.Level/2)-t*m.sd(f.Mean))
	f.High = max(f.High, at(0.5+f.Level/2)+t*m.sd(f.Mean))
	f.Low, f.High = max(f.Low, 0), min(f.High, 1)
}

// Pair is a forecast and what came.
type Pair struct {
	Forecast *Forecast
	Real     float64
}

// leastFloor is what one request more or less in a short day makes.
const leastFloor = 0.002

// Fit finds the model from days that were played for real: the part of the loss by which real runs were off, beyond what
// chance explains, as the root of its mean square.
func Fit(pairs []Pair) Model {
	m := Model{Floor: leastFloor}
	sum, n := 0.0, 0.0
	for _, p := range pairs {
		loss := max(1-p.Forecast.Mean, leastFloor)
		off := p.Real - p.Forecast.Mean
		sum += max(off*off-p.Forecast.SD*p.Forecast.SD-m.Floor*m.Floor, 0) / (loss * loss)
		n++
	}
	if n > 0 {
		m.Part = math.Sqrt(sum / n)
	}
	return m
}

// Subject is one of two fleets to compare. Days must agree on clients and length.
type Subject struct {
	Name     string
	Scenario *scenario.Scenario
	Make     func(seed uint64) fleet.Options
	// Play plays a course in place of fleet.Run with Make's options, as by another version of the program.
	Play func(d *scenario.Scenario, seed uint64) (*Summary, error)
}

func (s *Subject) play(d *scenario.Scenario, seed uint64) (*Summary, error) {
	if s.Play != nil {
		return s.Play(d, seed)
	}
	r, err := fleet.Run(d, s.Make(seed))
	if err != nil {
		return nil, err
	}
	return Summarize(r), nil
}

// Summary is what a comparison needs of one course.
type Summary struct {
	Service           float64           `json:"service"`
	Worst             float64           `json:"worst_10s"`
	Requests          int               `json:"requests"`
	Refused           int               `json:"refused"`
	Attempts          int               `json:"attempts"`
	TransferredTokens float64           `json:"state_tokens"`
	Violations        int               `json:"breaches"`
	Timeline          []scenario.Second `json:"course"`
}

// Summarize sums a course up.
func Summarize(r *fleet.Result) *Summary {
	s := &Summary{Service: r.Score.Service(), Worst: r.Score.Worst(10), Attempts: r.Attempts["read"] + r.Attempts["write"], TransferredTokens: r.TransferredTokens, Timeline: r.Score.Timeline}
	classes, _ := r.Score.Rows()
	for _, c := range classes {
		s.Requests += c.Requests
		s.Refused += c.Refused
	}
	for _, v := range r.Rules {
		s.Violations += len(v.Violations)
	}
	return s
}

// Verdict is the outcome of a comparison.
type Verdict string

// The outcomes.
const (
	FirstBetter  Verdict = "the first is better"
	SecondBetter Verdict = "the second is better"
	NoDifference Verdict = "no difference that counts"
	Undecided    Verdict = "can't tell"
)

// Comparison is what two fleets make of the same courses of traffic.
type Comparison struct {
	Names      [2]string  `json:"names"`
	Means      [2]float64 `json:"means"`
	Worst      [2]float64 `json:"worst_10s"`
	Refused    [2]float64 `json:"refused"` // part of requests
	Attempts   [2]float64 `json:"attempts_a_request"`
	Moved      [2]float64 `json:"state_tokens_a_request"`
	Violations [2]int     `json:"breaches"`
	Diffs      []float64  `json:"differences"` // second less first, by course
	Mean       float64    `json:"difference"`
	Low        float64    `json:"low"`
	High       float64    `json:"high"`
	Level      float64    `json:"level"`
	Looks      int        `json:"looks"`
	Bimodal    bool       `json:"two_heaps"` // differences fall into two heaps: the mean says little
	Verdict    Verdict    `json:"verdict"`

	Timelines [2][]scenario.Second `json:"-"` // summed up over all courses
}

// StoppingRule of a comparison.
type StoppingRule struct {
	Level           float64 // of the bars over all looks; 0.95
	MinDifference   float64 // a difference below it does not count
	BatchSize       int     // courses between two looks
	MaxReplications int     // courses in all
	Parallel        int
}

// Compare plays courses until the answer is clear or there are enough. Each course has clients of its own, the same on
// both sides. Looking again and again would find a difference where there is none, so each look has its even part of the
// chance of an error (Bonferroni).
func Compare(a, b Subject, r StoppingRule) (*Comparison, error) {
	if a.Scenario.Length != b.Scenario.Length || len(a.Scenario.Classes) != len(b.Scenario.Classes) {
		return nil, errors.New("forecast: the two days differ in length or classes; a comparison needs the same clients")
	}
	looks := max((r.MaxReplications+r.BatchSize-1)/r.BatchSize, 1)
	level := 1 - (1-r.Level)/float64(looks)
	c := &Comparison{Names: [2]string{a.Name, b.Name}, Level: r.Level}
	n := 0
	requests := [2]float64{}
	for c.Looks = 1; c.Looks <= looks; c.Looks++ {
		more := min(r.BatchSize, r.MaxReplications-n)
		results := make([][2]*Summary, more)
		err := replication.Run(2*more, r.Parallel, func(i int) error {
			side := []Subject{a, b}[i%2]
			seed := uint64(n + i/2 + 1)
			res, err := side.play(side.Scenario.Replication(int(seed)), seed)
			results[i/2][i%2] = res
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, pair := range results {
			for k, res := range pair {
				c.add(k, res, &requests[k])
			}
			c.Diffs = append(c.Diffs, pair[1].Service-pair[0].Service)
		}
		n += more
		c.judge(level, r.MinDifference)
		if c.Verdict != Undecided || n >= r.MaxReplications {
			break
		}
	}
	for k := range c.Means {
		c.Means[k], c.Worst[k] = c.Means[k]/float64(n), c.Worst[k]/float64(n)
		c.Refused[k], c.Attempts[k], c.Moved[k] = c.Refused[k]/requests[k], c.Attempts[k]/requests[k], c.Moved[k]/requests[k]
	}
	return c, nil
}

func (c *Comparison) add(k int, s *Summary, requests *float64) {
	c.Means[k] += s.Service
	c.Worst[k] += s.Worst
	*requests += float64(s.Requests)
	c.Refused[k] += float64(s.Refused)
	c.Attempts[k] += float64(s.Attempts)
	c.Moved[k] += s.TransferredTokens
	c.Violations[k] += s.Violations
	for i, x := range s.Timeline {
		if i == len(c.Timelines[k]) {
			c.Timelines[k] = append(c.Timelines[k], scenario.Second{})
		}
		c.Timelines[k][i].Worth += x.Worth
		c.Timelines[k][i].Asked += x.Asked
	}
}

// resamples of the bootstrap.
const resamples = 4000

// judge sets the bars of the mean difference, and the verdict.
func (c *Comparison) judge(level, counts float64) {
	c.Mean = stat.Mean(c.Diffs, nil)
	c.Low, c.High = Bootstrap(c.Diffs, level, resamples)
	c.Bimodal = heaps(c.Diffs)
	switch {
	case c.Low > counts:
		c.Verdict = SecondBetter
	case c.High < -counts:
		c.Verdict = FirstBetter
	case c.Low >= -counts && c.High <= counts:
		c.Verdict = NoDifference
	default:
		c.Verdict = Undecided
	}
}

// Bootstrap gives bars of the mean of v: the studentised bootstrap (Efron and Tibshirani, An Introduction to the
// Bootstrap, 12.5), which holds its level with few values where the plain percentiles fall short. Its draws are always
// the same.
func Bootstrap(v []float64, level float64, times int) (low, high float64) {
	mean, sd := stat.MeanStdDev(v, nil)
	n := float64(len(v))
	if len(v) < 3 || sd == 0 {
		if len(v) < 3 {
			return math.Inf(-1), math.Inf(1)
		}
		return mean, mean
	}
	rnd := rand.New(rand.NewPCG(1, uint64(len(v))))
	draw, ts := make([]float64, len(v)), make([]float64, 0, times)
	for range times {
		for i := range draw {
			draw[i] = v[rnd.IntN(len(v))]
		}
		m, s := stat.MeanStdDev(draw, nil)
		if s > 0 { // draws of one value alone tell nothing of the spread
			ts = append(ts, (m-mean)/(s/math.Sqrt(n)))
		}
	}
	if len(ts) == 0 {
		return math.Inf(-1), math.Inf(1)
	}
	slices.Sort(ts)
	at := func(p float64) float64 { return stat.Quantile(p, stat.LinInterp, ts, nil) }
	se := sd / math.Sqrt(n)
	return mean - at(0.5+level/2)*se, mean - at(0.5-level/2)*se
}

// heaps tells whether values fall into two heaps: a cut between two neighbours explains nearly all of their spread, and
// neither side is a stray value or two.
func heaps(v []float64) bool {
	if len(v) < 8 {
		return false
	}
	s := slices.Sorted(slices.Values(v))
	all := stat.Variance(s, nil) * float64(len(s)-1)
	if all < 1e-8 {
		return false
	}
	for i := 3; i <= len(s)-3; i++ {
		within := stat.Variance(s[:i], nil)*float64(i-1) + stat.Variance(s[i:], nil)*float64(len(s)-i-1)
		if within < 0.1*all {
			return true
		}
	}
	return false
}
