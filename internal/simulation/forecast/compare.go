package forecast

import (
	"errors"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/replication"
	"brackenbend/internal/simulation/scenario"
)

// Subject is one of two fleets to compare. Both scenarios must have the same clients and length.
type Subject struct {
	Name     string
	Scenario *scenario.Scenario
	Options  func(seed uint64) fleet.Options
	// Simulate runs a replication, for instance with another version of the program; nil = fleet.Run with Options.
	Simulate func(s *scenario.Scenario, seed uint64) (*Summary, error)
}

func (s *Subject) simulate(sc *scenario.Scenario, seed uint64) (*Summary, error) {
	if s.Simulate != nil {
		return s.Simulate(sc, seed)
	}
	result, err := fleet.Run(sc, s.Options(seed))
	if err != nil {
		return nil, err
	}
	return Summarize(result), nil
}

// Summary holds the results of one replication that a comparison needs.
type Summary struct {
	Service           float64                 `json:"service"`
	WorstService      float64                 `json:"worst_10s"`
	Requests          int                     `json:"requests"`
	Rejected          int                     `json:"refused"`
	Attempts          int                     `json:"attempts"`
	TransferredTokens float64                 `json:"state_tokens"`
	Violations        int                     `json:"breaches"`
	Timeline          []scenario.SecondTotals `json:"course"`
}

// Summarize returns the summary of a replication.
func Summarize(r *fleet.Result) *Summary {
	s := &Summary{
		Service:           r.Score.Service(),
		WorstService:      r.Score.WorstService(worstSeconds),
		Attempts:          r.Attempts["read"] + r.Attempts["write"],
		TransferredTokens: r.TransferredTokens,
		Violations:        countViolations(r),
		Timeline:          r.Score.Timeline,
	}
	classes, _ := r.Score.Rows()
	for _, c := range classes {
		s.Requests += c.Requests
		s.Rejected += c.Rejected
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

// Comparison is the outcome of two fleets with the same replications of traffic. Arrays are indexed by subject.
type Comparison struct {
	Names                       [2]string  `json:"names"`
	MeanServices                [2]float64 `json:"means"`
	WorstServices               [2]float64 `json:"worst_10s"`          // service in the worst 10 seconds
	RejectedFractions           [2]float64 `json:"refused"`            // fraction of requests
	AttemptsPerRequest          [2]float64 `json:"attempts_a_request"` // at engines
	TransferredTokensPerRequest [2]float64 `json:"state_tokens_a_request"`
	Violations                  [2]int     `json:"breaches"`
	Differences                 []float64  `json:"differences"` // service of the second less the first, by replication
	MeanDifference              float64    `json:"difference"`  // mean of Differences; confidence interval Low to High
	Low                         float64    `json:"low"`
	High                        float64    `json:"high"`
	Level                       float64    `json:"level"`
	InterimAnalyses             int        `json:"looks"`     // interim analyses, one after each batch
	Bimodal                     bool       `json:"two_heaps"` // Differences form two clusters, so the mean says little
	Verdict                     Verdict    `json:"verdict"`

	Timelines [2][]scenario.SecondTotals `json:"-"` // summed over all replications
}

// StoppingRule determines when a comparison ends.
type StoppingRule struct {
	Level           float64 // of the confidence interval, over all interim analyses together; such as 0.95
	MinDifference   float64 // a smaller difference counts as none
	BatchSize       int     // replications before each interim analysis
	MaxReplications int     // in all
	Parallel        int     // simulations at once
}

// maxInterimAnalyses returns the maximum number of interim analyses; there is one after each batch
// of replications.
func (r StoppingRule) maxInterimAnalyses() int {
	return max((r.MaxReplications+r.BatchSize-1)/r.BatchSize, 1)
}

// ErrScenariosDiffer is returned for a comparison of scenarios that can't have the same clients.
var ErrScenariosDiffer = errors.New(
	"forecast: compared scenarios must have the same length and number of classes")

// Compare simulates batches of replications until the verdict is clear or the maximum number is reached. Each
// replication has different clients, which are the same for both subjects. A test after each batch makes it more likely
// to find a difference where there is none, so each analysis gets an equal share of the error probability (Bonferroni).
func Compare(a, b Subject, r StoppingRule) (*Comparison, error) {
	if a.Scenario.Length != b.Scenario.Length || len(a.Scenario.Classes) != len(b.Scenario.Classes) {
		return nil, ErrScenariosDiffer
	}
	maxInterimAnalyses := r.maxInterimAnalyses()
	level := 1 - (1-r.Level)/float64(maxInterimAnalyses)
	c := &Comparison{Names: [2]string{a.Name, b.Name}, Level: r.Level}
	subjects, requests := [2]Subject{a, b}, [2]float64{}
	for c.InterimAnalyses = 1; c.InterimAnalyses <= maxInterimAnalyses; c.InterimAnalyses++ {
		pairs, err := simulatePairs(&subjects, len(c.Differences), r)
		if err != nil {
			return nil, err
		}
		for _, pair := range pairs {
			for k, summary := range pair {
				c.add(k, summary, &requests[k])
			}
			c.Differences = append(c.Differences, pair[1].Service-pair[0].Service)
		}
		c.decide(level, r.MinDifference)
		if c.Verdict != Undecided || len(c.Differences) >= r.MaxReplications {
			break
		}
	}
	c.normalize(requests)
	return c, nil
}

// simulatePairs simulates the next batch of replications with both subjects; first is the number of earlier ones.
func simulatePairs(subjects *[2]Subject, firstIndex int, r StoppingRule) ([][2]*Summary, error) {
	pairs := make([][2]*Summary, min(r.BatchSize, r.MaxReplications-firstIndex))
	err := replication.Run(2*len(pairs), r.Parallel, func(i int) error {
		subject := &subjects[i%2]
		seed := uint64(firstIndex + i/2 + 1)
		summary, err := subject.simulate(subject.Scenario.Replication(int(seed)), seed)
		pairs[i/2][i%2] = summary
		return err
	})
	return pairs, err
}

// add adds a replication of the k-th subject to the sums in c, and its requests to *requests.
func (c *Comparison) add(k int, s *Summary, requests *float64) {
	c.MeanServices[k] += s.Service
	c.WorstServices[k] += s.WorstService
	*requests += float64(s.Requests)
	c.RejectedFractions[k] += float64(s.Rejected)
	c.AttemptsPerRequest[k] += float64(s.Attempts)
	c.TransferredTokensPerRequest[k] += s.TransferredTokens
	c.Violations[k] += s.Violations
	for i, second := range s.Timeline {
		if i == len(c.Timelines[k]) {
			c.Timelines[k] = append(c.Timelines[k], scenario.SecondTotals{})
		}
		c.Timelines[k][i].ServedWeight += second.ServedWeight
		c.Timelines[k][i].RequestedWeight += second.RequestedWeight
	}
}

// normalize turns the sums into means over replications or, with the numbers of requests by subject, over requests.
func (c *Comparison) normalize(requests [2]float64) {
	n := float64(len(c.Differences))
	for k := range c.MeanServices {
		c.MeanServices[k] /= n
		c.WorstServices[k] /= n
		c.RejectedFractions[k] /= requests[k]
		c.AttemptsPerRequest[k] /= requests[k]
		c.TransferredTokensPerRequest[k] /= requests[k]
	}
}

// decide sets the mean difference with its confidence interval, and the verdict.
func (c *Comparison) decide(level, minDifference float64) {
	c.MeanDifference = stat.Mean(c.Differences, nil)
	c.Low, c.High = Bootstrap(c.Differences, level, bootstrapResamples)
	c.Bimodal = isBimodal(c.Differences)
	switch {
	case c.Low > minDifference:
		c.Verdict = SecondBetter
	case c.High < -minDifference:
		c.Verdict = FirstBetter
	case c.Low >= -minDifference && c.High <= minDifference:
		c.Verdict = NoDifference
	default:
		c.Verdict = Undecided
	}
}
