package trace

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/scenario"
)

// Fitted is a synthetic day's clients as a recording shows them, with how well they fit.
type Fitted struct {
	Rate    float64 // requests a second
	Classes []ClassFit
	Bursts  float64 // variance over mean of requests in a second; 1 = as the synthetic day's
}

// ClassFit is one class.
type ClassFit struct {
	Name      string
	Requests  int
	Share     float64 // of sessions
	Turns     float64 // requests of a session
	Prompt    float64 // tokens that a turn adds
	Beginning float64 // tokens, of prompts that share one
	Shared    float64 // part of sessions that begin with a shared text
	Beginners int     // shared texts
	Answer    float64
	Whole     float64 // part not streamed
	// PromptOff and AnswerOff are the greatest differences between the recorded and the synthetic distributions
	// (Kolmogorov and Smirnov): 0 = alike, 1 = nothing in common.
	PromptOff, AnswerOff float64
}

// Fit finds the synthetic day's figures.
func Fit(t *Trace) (*Fitted, error) {
	if len(t.Requests) < 20 || t.Length() < time.Second {
		return nil, fmt.Errorf("trace: %d requests over %v are too few to fit anything; 20 over a second at least", len(t.Requests), t.Length())
	}
	f := &Fitted{Rate: float64(len(t.Requests)) / t.Length().Seconds(), Bursts: bursts(t)}
	type session struct {
		turns int
		last  float64 // tokens of its newest prompt and answer
		first bool
	}
	byClass := map[string][]Request{}
	prefixes := map[string]int{}
	for _, q := range t.Requests {
		byClass[q.Class] = append(byClass[q.Class], q)
		if q.Prefix != "" {
			prefixes[q.Class+" "+q.Prefix]++
		}
	}
	all := 0
	for _, name := range slices.Sorted(maps.Keys(byClass)) {
		c := ClassFit{Name: name, Requests: len(byClass[name])}
		sessions := map[string]*session{}
		var prompts, answers, beginnings []float64
		shared, whole := 0, 0
		beginners := map[string]bool{}
		for i, q := range byClass[name] {
			key := q.Session
			if key == "" {
				key = fmt.Sprint("alone ", i)
			}
			s := sessions[key]
			isShared := q.Prefix != "" && prefixes[name+" "+q.Prefix] > 1
			if s == nil {
				s = &session{}
				sessions[key] = s
				if isShared {
					shared++
					beginnings = append(beginnings, q.PrefixLen)
					beginners[q.Prefix] = true
				}
			}
			before := s.last
			if s.turns == 0 && isShared {
				before = q.PrefixLen
			}
			prompts = append(prompts, max(q.Prompt-before, 1))
			if q.Result == "served" && q.Out > 0 {
				answers = append(answers, float64(q.Out))
			}
			if !q.Stream {
				whole++
			}
			s.turns++
			s.last = q.Prompt + float64(q.Out)
		}
		n := len(sessions)
		all += n
		c.Share, c.Turns, c.Whole = float64(n), float64(c.Requests)/float64(n), float64(whole)/float64(c.Requests)
		c.Shared, c.Beginners = float64(shared)/float64(n), len(beginners)
		if shared > 0 {
			c.Beginning = stat.Mean(beginnings, nil)
		}
		c.Prompt, c.PromptOff = mean(prompts)
		c.Answer, c.AnswerOff = mean(answers)
		f.Classes = append(f.Classes, c)
	}
	for i := range f.Classes {
		f.Classes[i].Share /= float64(all)
	}
	return f, nil
}

// mean gives the mean, and how far the values are from the synthetic day's even draws of 0.3 to 1.7 times it.
func mean(v []float64) (m, off float64) {
	if len(v) == 0 {
		return 1, 1
	}
	m = stat.Mean(v, nil)
	rnd := rand.New(rand.NewPCG(1, 1))
	draws := make([]float64, 4000)
	for i := range draws {
		draws[i] = m * (0.3 + 1.4*rnd.Float64())
	}
	slices.Sort(draws)
	return m, stat.KolmogorovSmirnov(slices.Sorted(slices.Values(v)), nil, draws, nil)
}

// bursts is the variance over the mean of requests in a second.
func bursts(t *Trace) float64 {
	counts := make([]float64, int(t.Length().Seconds())+1)
	for _, q := range t.Requests {
		counts[int(q.At.Seconds())]++
	}
	m, v := stat.MeanVariance(counts[:max(len(counts)-1, 2)], nil)
	return v / m
}

// WriteText prints the <class> attributes, and how well they fit.
func (f *Fitted) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "<day rate=\"%.1f/s\" ...>\n", f.Rate)
	for _, c := range f.Classes {
		fmt.Fprintf(out, "  <class name=%q share=\"%.4f\" turns=\"%.2f\" prompt=\"%.0ftokens\" beginning=\"%.0ftokens\" beginning-share=\"%.2f\" answer=\"%.0ftokens\" not-streamed-part=\"%.2f\" .../>\n",
			c.Name, c.Share, c.Turns, c.Prompt, c.Beginning, c.Shared, c.Answer, c.Whole)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nHOW WELL IT FITS\tREQUESTS\tSHARED TEXTS (SYNTHETIC 5)\tPROMPTS OFF BY\tANSWERS OFF BY")
	for _, c := range f.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\n", c.Name, c.Requests, c.Beginners, c.PromptOff, c.AnswerOff)
	}
	fmt.Fprintf(w, "bursts: variance over mean of requests a second %.2f (synthetic 1 or a little over, by its turns)\n", f.Bursts)
	return w.Flush()
}

// Recorded makes requests of a trace what a day replays; classes and tenants go by name.
func (t *Trace) Recorded(d *scenario.Scenario) ([]scenario.RecordedRequest, error) {
	out := make([]scenario.RecordedRequest, 0, len(t.Requests))
	for i, q := range t.Requests {
		r := scenario.RecordedRequest{At: q.At, Tenant: -1, Session: q.Session, Prefix: q.Prefix, Prompt: q.Prompt, PrefixLen: min(q.PrefixLen, q.Prompt), Out: q.Out, Stream: q.Stream}
		if r.Class = slices.IndexFunc(d.Classes, func(c scenario.Class) bool { return c.Name == q.Class }); r.Class < 0 {
			return nil, fmt.Errorf("trace: request %d is of the class %q, the day has no such <class>", i+1, q.Class)
		}
		if len(d.Tenants) > 0 {
			if r.Tenant = slices.IndexFunc(d.Tenants, func(x scenario.Tenant) bool { return x.Name == q.Tenant }); r.Tenant < 0 {
				return nil, fmt.Errorf("trace: request %d is of the tenant %q, the day has no such <tenant>", i+1, q.Tenant)
			}
		}
		if r.Out == 0 { // refused or failed: what it would have answered is not known
			r.Out = max(int(d.Classes[r.Class].AnswerTokens), 1)
		}
		out = append(out, r)
	}
	return out, nil
}
