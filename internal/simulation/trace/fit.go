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

// Fitted is a scenario's synthetic clients as a recording shows them, with how well they fit.
type Fitted struct {
	Rate    float64 // requests a second
	Classes []ClassFit
	Bursts  float64 // variance over mean of requests in a second; 1 = as the synthetic clients'
}

// ClassFit is one class.
type ClassFit struct {
	Name            string
	Requests        int
	Share           float64 // of sessions
	Turns           float64 // requests of a session
	Prompt          float64 // tokens that a turn adds
	PrefixTokens    float64 // of prompts with a shared prefix
	PrefixShare     float64 // part of sessions that begin with a shared prefix
	Prefixes        int     // that are shared
	Answer          float64 // tokens
	NotStreamedPart float64
	// PromptOff and AnswerOff are the greatest differences between the recorded and the synthetic distributions
	// (Kolmogorov and Smirnov): 0 = alike, 1 = nothing in common.
	PromptOff, AnswerOff float64
}

// The least recording that can be fitted.
const (
	minFitRequests = 20
	minFitLength   = time.Second
)

// ErrTooShort is returned for a recording that is too short to be fitted.
var ErrTooShort = errors.New("too few to fit anything; 20 over a second at least")

// Fit finds the figures of the synthetic clients that come nearest to a recording.
func Fit(t *Trace) (*Fitted, error) {
	if len(t.Requests) < minFitRequests || t.Length() < minFitLength {
		return nil, fmt.Errorf("trace: %d requests over %v are %w", len(t.Requests), t.Length(), ErrTooShort)
	}
	f := &Fitted{Rate: float64(len(t.Requests)) / t.Length().Seconds(), Bursts: bursts(t)}
	byClass := map[string][]Request{}
	prefixes := map[prefixKey]int{}
	for _, r := range t.Requests {
		byClass[r.Class] = append(byClass[r.Class], r)
		if r.Prefix != "" {
			prefixes[prefixKey{r.Class, r.Prefix}]++
		}
	}
	sessions := 0
	for _, name := range slices.Sorted(maps.Keys(byClass)) {
		observed := observe(byClass[name], prefixes)
		sessions += len(observed.sessions)
		f.Classes = append(f.Classes, observed.fit(name, len(byClass[name])))
	}
	for i := range f.Classes {
		f.Classes[i].Share /= float64(sessions)
	}
	return f, nil
}

type prefixKey struct{ class, prefix string }

// observation is what the requests of one class show.
type observation struct {
	sessions         map[string]*session
	prompts, answers []float64 // tokens
	prefixTokens     []float64 // of each session with a shared prefix
	prefixes         map[string]bool
	notStreamed      int
}

type session struct {
	turns int
	last  float64 // tokens of its latest prompt and answer
}

// observe evaluates the requests of one class; prefixes counts the requests of all.
func observe(requests []Request, prefixes map[prefixKey]int) *observation {
	o := &observation{sessions: map[string]*session{}, prefixes: map[string]bool{}}
	for i, r := range requests {
		key := r.Session
		if key == "" {
			key = fmt.Sprint("alone ", i)
		}
		o.add(key, &r, r.Prefix != "" && prefixes[prefixKey{r.Class, r.Prefix}] > 1)
	}
	return o
}

func (o *observation) add(key string, r *Request, sharesPrefix bool) {
	s := o.sessions[key]
	if s == nil {
		s = &session{}
		o.sessions[key] = s
		if sharesPrefix {
			s.last = r.PrefixLen
			o.prefixTokens = append(o.prefixTokens, r.PrefixLen)
			o.prefixes[r.Prefix] = true
		}
	}
	o.prompts = append(o.prompts, max(r.Prompt-s.last, 1))
	if r.Result == "served" && r.Out > 0 {
		o.answers = append(o.answers, float64(r.Out))
	}
	if !r.Stream {
		o.notStreamed++
	}
	s.turns++
	s.last = r.Prompt + float64(r.Out)
}

// fit returns the class; its share is in sessions.
func (o *observation) fit(name string, requests int) ClassFit {
	sessions := float64(len(o.sessions))
	c := ClassFit{
		Name:            name,
		Requests:        requests,
		Share:           sessions,
		Turns:           float64(requests) / sessions,
		PrefixShare:     float64(len(o.prefixTokens)) / sessions,
		Prefixes:        len(o.prefixes),
		NotStreamedPart: float64(o.notStreamed) / float64(requests),
	}
	if len(o.prefixTokens) > 0 {
		c.PrefixTokens = stat.Mean(o.prefixTokens, nil)
	}
	c.Prompt, c.PromptOff = fitMean(o.prompts)
	c.Answer, c.AnswerOff = fitMean(o.answers)
	return c
}

// The distribution of synthetic lengths: even from minLength to minLength+lengthSpread, times the mean.
const (
	minLength    = 0.3
	lengthSpread = 1.4
	lengthDraws  = 4000 // that recorded lengths are compared with
)

// fitMean returns the mean of lengths, and how far their distribution is from the synthetic one of that mean.
func fitMean(lengths []float64) (mean, off float64) {
	if len(lengths) == 0 {
		return 1, 1
	}
	mean = stat.Mean(lengths, nil)
	rnd := rand.New(rand.NewPCG(1, 1))
	draws := make([]float64, lengthDraws)
	for i := range draws {
		draws[i] = mean * (minLength + lengthSpread*rnd.Float64())
	}
	slices.Sort(draws)
	return mean, stat.KolmogorovSmirnov(slices.Sorted(slices.Values(lengths)), nil, draws, nil)
}

// bursts returns the variance over the mean of requests in a second.
func bursts(t *Trace) float64 {
	counts := make([]float64, int(t.Length().Seconds())+1)
	for _, r := range t.Requests {
		counts[int(r.At.Seconds())]++
	}
	mean, variance := stat.MeanVariance(counts[:max(len(counts)-1, 2)], nil)
	return variance / mean
}
