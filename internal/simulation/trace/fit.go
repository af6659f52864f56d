package trace

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// FitResult holds the parameters of synthetic clients, estimated from a recording, and how well they fit it.
type FitResult struct {
	Rate            float64 // requests a second
	Classes         []ClassFit
	DispersionIndex float64 // variance over mean of the requests in a second; a Poisson process has 1
}

// ClassFit holds the parameters of one class.
type ClassFit struct {
	Name                string
	Requests            int
	Share               float64 // of sessions
	Turns               float64 // mean number of requests of a session
	PromptTokens        float64 // mean length that a turn adds to the prompt
	PrefixTokens        float64 // mean length of a shared prefix
	PrefixShare         float64 // fraction of sessions that begin with a shared prefix
	SharedPrefixes      int     // number of different shared prefixes
	AnswerTokens        float64 // mean length of an answer
	NotStreamedFraction float64 // of requests
	// PromptDistance and AnswerDistance are the Kolmogorov-Smirnov distances between the recorded and the synthetic
	// distribution of lengths: 0 = equal, 1 = disjoint.
	PromptDistance, AnswerDistance float64
}

// Minimum size of a recording that can be fitted.
const (
	minFitRequests = 20
	minFitLength   = time.Second
)

// ErrTooShort is returned for a recording that is too short to be fitted.
var ErrTooShort = errors.New("too short to fit; at least 20 requests over 1s are needed")

// Fit estimates the parameters of the synthetic clients that come nearest to a recording.
func Fit(t *Trace) (*FitResult, error) {
	if len(t.Requests) < minFitRequests || t.Length() < minFitLength {
		return nil, fmt.Errorf("trace: %d requests over %v: %w", len(t.Requests), t.Length(), ErrTooShort)
	}
	f := &FitResult{Rate: float64(len(t.Requests)) / t.Length().Seconds(), DispersionIndex: dispersionIndex(t)}
	byClass := map[string][]Request{}
	requestsByPrefix := map[prefixKey]int{}
	for _, r := range t.Requests {
		byClass[r.Class] = append(byClass[r.Class], r)
		if r.Prefix != "" {
			requestsByPrefix[prefixKey{r.Class, r.Prefix}]++
		}
	}
	sessionCount := 0
	for _, name := range slices.Sorted(maps.Keys(byClass)) {
		stats := collectClassStats(byClass[name], requestsByPrefix)
		sessionCount += len(stats.sessions)
		f.Classes = append(f.Classes, stats.fit(name, len(byClass[name])))
	}
	for i := range f.Classes {
		f.Classes[i].Share /= float64(sessionCount)
	}
	return f, nil
}

type prefixKey struct{ class, prefix string }

// classStats collects the statistics of one class's requests.
type classStats struct {
	sessions                   map[string]*session
	promptTokens, answerTokens []float64 // tokens
	prefixTokens               []float64 // length of the prefix, by session with a shared prefix
	sharedPrefixes             map[string]bool
	notStreamedCount           int
}

type session struct {
	turnCount     int
	contextTokens float64 // tokens of its latest prompt and answer
}

// collectClassStats collects the statistics of one class's requests; requestsByPrefix counts the requests with each
// prefix. A prefix is shared if several requests have it.
func collectClassStats(requests []Request, requestsByPrefix map[prefixKey]int) *classStats {
	o := &classStats{sessions: map[string]*session{}, sharedPrefixes: map[string]bool{}}
	for i, r := range requests {
		key := r.Session
		if key == "" {
			key = fmt.Sprint("alone ", i)
		}
		o.add(key, &r, r.Prefix != "" && requestsByPrefix[prefixKey{r.Class, r.Prefix}] > 1)
	}
	return o
}

func (o *classStats) add(key string, r *Request, sharesPrefix bool) {
	s := o.sessions[key]
	if s == nil {
		s = &session{}
		o.sessions[key] = s
		if sharesPrefix {
			s.contextTokens = r.PrefixTokens
			o.prefixTokens = append(o.prefixTokens, r.PrefixTokens)
			o.sharedPrefixes[r.Prefix] = true
		}
	}
	o.promptTokens = append(o.promptTokens, max(r.PromptTokens-s.contextTokens, 1))
	if r.Result == "served" && r.AnswerTokens > 0 {
		o.answerTokens = append(o.answerTokens, float64(r.AnswerTokens))
	}
	if !r.Stream {
		o.notStreamedCount++
	}
	s.turnCount++
	s.contextTokens = r.PromptTokens + float64(r.AnswerTokens)
}

// fit returns the parameters of the class. Its Share is the number of its sessions, which the caller divides by that of
// all classes.
func (o *classStats) fit(name string, requests int) ClassFit {
	sessions := float64(len(o.sessions))
	c := ClassFit{
		Name:                name,
		Requests:            requests,
		Share:               sessions,
		Turns:               float64(requests) / sessions,
		PrefixShare:         float64(len(o.prefixTokens)) / sessions,
		SharedPrefixes:      len(o.sharedPrefixes),
		NotStreamedFraction: float64(o.notStreamedCount) / float64(requests),
	}
	if len(o.prefixTokens) > 0 {
		c.PrefixTokens = stat.Mean(o.prefixTokens, nil)
	}
	c.PromptTokens, c.PromptDistance = fitMean(o.promptTokens)
	c.AnswerTokens, c.AnswerDistance = fitMean(o.answerTokens)
	return c
}

// Synthetic lengths are distributed uniformly: from minLengthFactor to minLengthFactor+lengthFactorRange times the
// mean, as package scenario draws them.
const (
	minLengthFactor     = 0.3
	lengthFactorRange   = 1.4
	syntheticSampleSize = 4000 // sample size to which recorded lengths are compared
)

// fitMean returns the mean of lengths, and the Kolmogorov-Smirnov distance of their distribution from the synthetic one
// with that mean.
func fitMean(lengths []float64) (mean, distance float64) {
	if len(lengths) == 0 {
		return 1, 1
	}
	mean = stat.Mean(lengths, nil)
	rnd := rand.New(rand.NewPCG(1, 1))
	syntheticLengths := make([]float64, syntheticSampleSize)
	for i := range syntheticLengths {
		syntheticLengths[i] = mean * (minLengthFactor + lengthFactorRange*rnd.Float64())
	}
	slices.Sort(syntheticLengths)
	return mean, stat.KolmogorovSmirnov(slices.Sorted(slices.Values(lengths)), nil, syntheticLengths, nil)
}

// dispersionIndex returns the variance over the mean of the requests in a second. It ignores the last second, which is
// incomplete, unless there are only two.
func dispersionIndex(t *Trace) float64 {
	counts := make([]float64, int(t.Length().Seconds())+1)
	for _, r := range t.Requests {
		counts[int(r.At.Seconds())]++
	}
	mean, variance := stat.MeanVariance(counts[:max(len(counts)-1, 2)], nil)
	return variance / mean
}
