// Package forecast predicts the service of a scenario with a prediction interval, and compares two fleets on the same
// traffic. It simulates them with package fleet, with several replications in parallel. It chooses no settings.
//
// The interval of a forecast is for the service of one real run. It accounts for the spread of simulated replications
// and for the error of the simulation (Model), which Fit estimates from scenarios that were also run for real. The
// interval of a comparison is a bootstrap confidence interval of the mean difference of paired replications.
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

// Model is the error of the simulation: by how much the service of real runs differs from the mean of simulated ones.
// It is the sum of two independent errors. The standard deviation of one is Floor; that of the other is LossFraction
// times the service that the scenario loses.
type Model struct {
	Floor        float64 `json:"floor"`
	LossFraction float64 `json:"part"`
}

// deviation returns the standard deviation of the error at a predicted service.
func (m Model) deviation(service float64) float64 {
	return math.Hypot(m.Floor, m.LossFraction*(1-service))
}

// Forecast is the predicted service of a scenario.
type Forecast struct {
	Scenario     string    `json:"day"`
	Services     []float64 `json:"services"` // of the simulated replications
	MeanService  float64   `json:"mean"`
	SD           float64   `json:"sd"`
	Low          float64   `json:"low"` // one real run lies between Low and High with probability Level
	High         float64   `json:"high"`
	Level        float64   `json:"level"`
	WorstService float64   `json:"worst_10s"` // service in the worst 10 seconds, mean over replications
	Violations   int       `json:"breaches"`  // of rules, over all replications
}

// Contains reports whether the service of a real run lies within the prediction interval.
func (f *Forecast) Contains(service float64) bool { return service >= f.Low && service <= f.High }

// minReplications is the least number of replications for an interval.
const minReplications = 3

// ErrTooFewReplications is returned for a forecast with too few replications for a prediction interval.
var ErrTooFewReplications = errors.New("forecast: a prediction interval needs at least 3 runs")

// worstSeconds is the length of the window over which the worst service is measured.
const worstSeconds = 10

// Predict simulates replications of a scenario, at most parallel of them at once, and forecasts its service. All have
// the same clients; they differ in the random draws that fleet.Options.Seed determines.
func Predict(name string, s *scenario.Scenario, replications, parallel int, level float64, m Model) (*Forecast, error) {
	if replications < minReplications {
		return nil, ErrTooFewReplications
	}
	f := &Forecast{Scenario: name, Level: level, Services: make([]float64, replications)}
	worst, violations := make([]float64, replications), make([]int, replications)
	err := replication.Run(replications, parallel, func(i int) error {
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
	f.MeanService, f.SD = stat.MeanStdDev(f.Services, nil)
	f.WorstService = stat.Mean(worst, nil)
	for _, n := range violations {
		f.Violations += n
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

// setInterval sets the prediction interval for one further run by Student's t distribution, with the model's deviation
// added. That assumes a normal distribution; for bimodal replications it would be wrong, so the interval also spans the
// central quantiles of the replications themselves.
func (f *Forecast) setInterval(m Model) {
	n := float64(len(f.Services))
	deviation := m.deviation(f.MeanService)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.5 + f.Level/2)
	halfWidth := t * math.Sqrt(f.SD*f.SD*(1+1/n)+deviation*deviation)
	f.Low, f.High = f.MeanService-halfWidth, f.MeanService+halfWidth
	sorted := slices.Sorted(slices.Values(f.Services))
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, sorted, nil) }
	f.Low = min(f.Low, quantile(0.5-f.Level/2)-t*deviation)
	f.High = max(f.High, quantile(0.5+f.Level/2)+t*deviation)
	f.Low, f.High = max(f.Low, 0), min(f.High, 1)
}

// Pair is a forecast and the service of a real run of its scenario. It is stored as JSON under the names of its fields.
type Pair struct {
	Forecast *Forecast
	Real     float64
}

// minFloor is about the effect of a single request on the service of a short scenario.
const minFloor = 0.002

// Fit estimates the model from scenarios that were run for real. LossFraction is the root mean square of the difference
// between the real and the predicted service, as a fraction of the predicted loss, beyond what random spread explains.
func Fit(pairs []Pair) Model {
	m := Model{Floor: minFloor}
	sum, n := 0.0, 0.0
	for _, p := range pairs {
		loss := max(1-p.Forecast.MeanService, minFloor)
		deviation := p.Real - p.Forecast.MeanService
		sum += max(deviation*deviation-p.Forecast.SD*p.Forecast.SD-m.Floor*m.Floor, 0) / (loss * loss)
		n++
	}
	if n > 0 {
		m.LossFraction = math.Sqrt(sum / n)
	}
	return m
}
