package scenariorun

import "time"

// lagProbe is the sleep by which scheduling lag is measured: short, so that a lag of the same length is seen.
const lagProbe = 5 * time.Millisecond

// lagMeter measures by how much a short sleep oversleeps at worst: on a machine without CPU to spare, what the sockets
// show lags by as much, and times between two of them can't be checked more finely.
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
		at := time.Now()
		time.Sleep(lagProbe)
		worst = max(worst, time.Since(at)-lagProbe)
	}
}

// stop ends the measurement and returns the worst lag. It is called once.
func (m *lagMeter) stop() time.Duration {
	close(m.quit)
	return <-m.worst
}
