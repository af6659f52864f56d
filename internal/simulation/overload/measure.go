package overload

import (
	"time"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
)

// measurement is the outcome of one replication.
type measurement struct {
	before, goodput, worst, recovery, tries, sends float64
	notRecovered                                   bool
}

const (
	// recoveredPart is the part of the service before an overload at which service counts as recovered.
	recoveredPart = 0.95
	// recoveredSeconds is how many seconds in a row must reach it.
	recoveredSeconds = 3
	// worstSeconds is the span over which the worst goodput is measured.
	worstSeconds = 2
	// settlePart is the part of the overload that is left out of its goodput, 1 in so many.
	settlePart = 5
)

// timeline is the outcome of a run by seconds.
type timeline []scenario.Second

// sum adds up the weight served and requested from one second to before another.
func (t timeline) sum(from, to int) (served, requested float64) {
	for i := from; i < to && i < len(t); i++ {
		served, requested = served+t[i].ServedWeight, requested+t[i].RequestedWeight
	}
	return served, requested
}

// measure evaluates a run with an overload from one time to another.
func measure(r *fleet.Result, from, to time.Duration) measurement {
	var m measurement
	seconds := timeline(r.Score.Timeline)
	begin, end := int(from/time.Second), int(to/time.Second)
	served, requested := seconds.sum(1, begin)
	m.before = served / float64(begin-1)
	normal := recoveredPart * served / max(requested, 1e-9)
	settled := begin + (end-begin)/settlePart
	served, _ = seconds.sum(settled, end)
	m.goodput = served / float64(end-settled)
	m.worst = m.goodput
	for i := begin; i+worstSeconds <= end; i++ {
		served, _ = seconds.sum(i, i+worstSeconds)
		m.worst = min(m.worst, served/worstSeconds)
	}
	m.recovery, m.notRecovered = seconds.recovery(end, normal)
	m.tries, m.sends = attempts(r)
	return m
}

// recovery returns the seconds from the end of an overload until the service is back at normal. Where it never is, it
// returns the seconds that were played.
func (t timeline) recovery(end int, normal float64) (seconds float64, never bool) {
	last := len(t) - recoveredSeconds
	for i := end; i < last; i++ {
		if served, requested := t.sum(i, i+recoveredSeconds); served >= normal*requested {
			return float64(i - end), false
		}
	}
	return float64(max(last-end, 0)), true
}

// attempts returns the clients' attempts for each request, and the attempts at engines for each request served.
func attempts(r *fleet.Result) (tries, sends float64) {
	requests, attempts, served := 0, 0, 0
	classes, _ := r.Score.Rows()
	for _, c := range classes {
		requests, attempts, served = requests+c.Requests, attempts+c.Attempts, served+c.Served
	}
	atEngines := r.Attempts["read"] + r.Attempts["write"]
	return float64(attempts) / float64(max(requests, 1)), float64(atEngines) / float64(max(served, 1))
}

// summarize returns the means over replications.
func summarize(runs []measurement) Point {
	mean := func(of func(m *measurement) float64) float64 {
		values := make([]float64, len(runs))
		for i := range runs {
			values[i] = of(&runs[i])
		}
		return stat.Mean(values, nil)
	}
	p := Point{
		Before:          mean(func(m *measurement) float64 { return m.before }),
		Goodput:         mean(func(m *measurement) float64 { return m.goodput }),
		Worst:           mean(func(m *measurement) float64 { return m.worst }),
		RecoverySeconds: mean(func(m *measurement) float64 { return m.recovery }),
		Tries:           mean(func(m *measurement) float64 { return m.tries }),
		Sends:           mean(func(m *measurement) float64 { return m.sends }),
	}
	for _, m := range runs {
		if m.notRecovered {
			p.NotRecovered++
		}
	}
	return p
}
