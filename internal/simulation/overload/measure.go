package overload

import (
	"time"

	"gonum.org/v1/gonum/stat"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
)

// measurement is the outcome of one replication.
type measurement struct {
	goodputBefore, goodput, worstGoodput, recoverySeconds, clientAttempts, engineAttempts float64
	notRecovered                                                                          bool
}

const (
	// recoveredFraction is the fraction of the service before an overload at which service counts as recovered.
	recoveredFraction = 0.95
	// recoveredSeconds is the length of the window in which service must reach it.
	recoveredSeconds = 3
	// worstSeconds is the length of the window over which the worst goodput is measured.
	worstSeconds = 2
	// settleDivisor sets how much of the beginning of an overload is excluded from its goodput: its length divided by
	// settleDivisor.
	settleDivisor = 5
)

// timeline is the outcome of a run for each second.
type timeline []scenario.SecondTotals

// sum returns the priority weight that was served and requested from second from to before second to.
func (t timeline) sum(from, to int) (served, requested float64) {
	for i := from; i < to && i < len(t); i++ {
		served, requested = served+t[i].ServedWeight, requested+t[i].RequestedWeight
	}
	return served, requested
}

// measure evaluates a run with an overload between two times of the scenario.
func measure(r *fleet.Result, from, to time.Duration) measurement {
	var m measurement
	seconds := timeline(r.Score.Timeline)
	startSecond, endSecond := int(from/time.Second), int(to/time.Second)
	served, requested := seconds.sum(1, startSecond)
	m.goodputBefore = served / float64(startSecond-1)
	targetService := recoveredFraction * served / max(requested, 1e-9)
	settledSecond := startSecond + (endSecond-startSecond)/settleDivisor
	served, _ = seconds.sum(settledSecond, endSecond)
	m.goodput = served / float64(endSecond-settledSecond)
	m.worstGoodput = m.goodput
	for i := startSecond; i+worstSeconds <= endSecond; i++ {
		served, _ = seconds.sum(i, i+worstSeconds)
		m.worstGoodput = min(m.worstGoodput, served/worstSeconds)
	}
	m.recoverySeconds, m.notRecovered = seconds.recovery(endSecond, targetService)
	m.clientAttempts, m.engineAttempts = attemptRatios(r)
	return m
}

// recovery returns the seconds from the end of an overload to the first window of recoveredSeconds in which the service
// is at least targetService. If there is none, it returns the seconds that were evaluated.
func (t timeline) recovery(endSecond int, targetService float64) (seconds float64, notRecovered bool) {
	lastSecond := len(t) - recoveredSeconds
	for i := endSecond; i < lastSecond; i++ {
		if served, requested := t.sum(i, i+recoveredSeconds); served >= targetService*requested {
			return float64(i - endSecond), false
		}
	}
	return float64(max(lastSecond-endSecond, 0)), true
}

// attemptRatios returns the clients' attempts per request, and the attempts at engines per served request.
func attemptRatios(r *fleet.Result) (clientAttempts, engineAttempts float64) {
	requests, attempts, served := 0, 0, 0
	classes, _ := r.Score.Rows()
	for _, c := range classes {
		requests, attempts, served = requests+c.Requests, attempts+c.Attempts, served+c.Served
	}
	engineAttemptCount := r.Attempts["read"] + r.Attempts["write"]
	return float64(attempts) / float64(max(requests, 1)), float64(engineAttemptCount) / float64(max(served, 1))
}

// summarize returns the means over the replications at one load.
func summarize(runs []measurement) Point {
	mean := func(of func(m *measurement) float64) float64 {
		values := make([]float64, len(runs))
		for i := range runs {
			values[i] = of(&runs[i])
		}
		return stat.Mean(values, nil)
	}
	p := Point{
		GoodputBefore:   mean(func(m *measurement) float64 { return m.goodputBefore }),
		Goodput:         mean(func(m *measurement) float64 { return m.goodput }),
		WorstGoodput:    mean(func(m *measurement) float64 { return m.worstGoodput }),
		RecoverySeconds: mean(func(m *measurement) float64 { return m.recoverySeconds }),
		ClientAttempts:  mean(func(m *measurement) float64 { return m.clientAttempts }),
		EngineAttempts:  mean(func(m *measurement) float64 { return m.engineAttempts }),
	}
	for _, m := range runs {
		if m.notRecovered {
			p.NotRecovered++
		}
	}
	return p
}
