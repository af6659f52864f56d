package scenariorun

import "time"

// lagProbeInterval is the length of the sleeps by which scheduling lag is measured. They are short so that a lag of a
// few milliseconds is detected.
const lagProbeInterval = 5 * time.Millisecond

// lagMeter measures the worst scheduling lag of this process: by how much a short sleep exceeds its duration. On a
// machine without idle CPUs, events on sockets are recorded late by as much, so that times between two sockets can't be
// checked more precisely.
type lagMeter struct {
	quit  chan struct{}
	worst chan time.Duration
}

func startLagMeter() *lagMeter {
	m := &lagMeter{quit: make(chan struct{}), worst: make(chan time.Duration, 1)}
	go m.measure()
	return m
}

func (m *lagMeter) measure() {
	worst := time.Duration(0)
	for {
		select {
		case <-m.quit:
			m.worst <- worst
			return
		default:
		}
		start := time.Now()
		time.Sleep(lagProbeInterval)
		worst = max(worst, time.Since(start)-lagProbeInterval)
	}
}

// stop ends the measurement and returns the worst lag. It is called once.
func (m *lagMeter) stop() time.Duration {
	close(m.quit)
	return <-m.worst
}
