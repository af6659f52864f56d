// Package forecast predicts the service of a scenario with an error interval, and compares two fleets on the same
// traffic. It plays them with package fleet, many replications in parallel; it decides on no setting of a replica.
//
// The interval of a forecast is for one real run: it covers the spread of simulated replications, and by how much the
// simulation was off in scenarios that were played for real (Model). That of a comparison is for the mean difference of
// paired replications, by the bootstrap.
package forecast

import (
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Model is by how much real runs differ from the mean of simulated ones: a standard deviation of Floor, and of Part of
// what the scenario loses.
type Model struct {
	Floor float64 `json:"floor"`
	Part  float64 `json:"part"`
}

// deviation returns the standard deviation at a service.
func (m Model) deviation(service float64) float64 { return math.Hypot(m.Floor, m.Part*(1-service)) }

// Forecast is the predicted service of a scenario.
type Forecast struct {
	Scenario string    `json:"day"`
	Services []float64 `json:"services"` // of the simulated replications
	Mean     float64   `json:"mean"`
	SD       float64   `json:"sd"`
	Low      float64   `json:"low"` // one real run lies between Low and High with probability Level
	High     float64   `json:"high"`
	Level    float64   `json:"level"`
	Worst    float64   `json:"worst_10s"` // mean
	Rules    int       `json:"breaches"`  // violations over all replications
}

// Holds reports whether the service of a real run lies within the interval.
func (f *Forecast) Holds(service float64) bool { return service >= f.Low && service <= f.High }

// minRuns is the least number of replications that give an error interval.
const minRuns = 3

// ErrTooFewRuns is returned for a forecast of fewer replications than give an error interval.
var ErrTooFewRuns = errors.New("forecast: 3 runs at least are needed for error bars")

// worstSeconds is the span over which the worst service is measured.
const worstSeconds = 10

// Predict plays replications of a scenario, up to parallel of them at once.
func Predict(name string, s *scenario.Scenario, runs, parallel int, level float64, m Model) (*Forecast, error) {
	if runs < minRuns {
		return nil, ErrTooFewRuns
	}
	f := &Forecast{Scenario: name, Level: level, Services: make([]float64, runs)}
	worst, violations := make([]float64, runs), make([]int, runs)
	err := replication.Run(runs, parallel, func(i int) error {
		result, err := fleet.Run(s, fleet.Options{Seed: uint64(i) + 1, Audit: true})
		if err != nil {
			return err
		}
		f.Services[i], worst[i] = result.Score.Service(), result.Score.WorstService(worstSeconds)
		violations[i] = countViolations(result)
		return nil
	})
	if err != nil {
		return nil, err
	}
	f.Mean, f.SD = stat.MeanStdDev(f.Services, nil)
	f.Worst = stat.Mean(worst, nil)
	for _, n := range violations {
		f.Rules += n
	}
	f.setInterval(m)
	return f, nil
}

func countViolations(r *fleet.Result) (n int) {
	for _, rule := range r.Rules {
		n += len(rule.Violations)
	}
	return n
}

// setInterval sets the prediction interval of one more draw by Student's t, with the model's deviation added. Where the
// replications are bimodal a normal spread would mislead, so the interval also spans the middle of the replications
// themselves.
func (f *Forecast) setInterval(m Model) {
	n := float64(len(f.Services))
	deviation := m.deviation(f.Mean)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.5 + f.Level/2)
	half := t * math.Sqrt(f.SD*f.SD*(1+1/n)+deviation*deviation)
	f.Low, f.High = f.Mean-half, f.Mean+half
	sorted := slices.Sorted(slices.Values(f.Services))
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, sorted, nil) }
	f.Low = min(f.Low, quantile(0.5-f.Level/2)-t*deviation)
	f.High = max(f.High, quantile(0.5+f.Level/2)+t*deviation)
	f.Low, f.High = max(f.Low, 0), min(f.High, 1)
}

// Pair is a forecast and the service of a real run. It is stored as JSON by the names of its fields.
type Pair struct {
	Forecast *Forecast
	Real     float64
}

// minFloor is what one request more or less in a short scenario makes.
const minFloor = 0.002

// Fit finds the model from scenarios that were played for real: the part of the loss by which real runs were off,
// beyond what chance explains, as a root mean square.
func Fit(pairs []Pair) Model {
	m := Model{Floor: minFloor}
	sum, n := 0.0, 0.0
	for _, p := range pairs {
		loss := max(1-p.Forecast.Mean, minFloor)
		off := p.Real - p.Forecast.Mean
		sum += max(off*off-p.Forecast.SD*p.Forecast.SD-m.Floor*m.Floor, 0) / (loss * loss)
		n++
	}
	if n > 0 {
		m.Part = math.Sqrt(sum / n)
	}
	return m
}
