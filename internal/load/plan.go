package load

import (
	"errors"
	"fmt"
	"net"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// Bounds of a run.
const (
	minLength      = time.Second
	maxLength      = time.Hour
	defaultMaxOpen = 2000
	highestMaxOpen = 20000
)

// Plan says what is sent, and where.
type Plan struct {
	Scenario    *scenario.Scenario
	Replicas    []string // host:port; each attempt goes to one of them, drawn at random
	Model       string
	Length      time.Duration // how long sessions begin
	MaxOpen     int           // sessions at once; more are counted as not begun; 0 = 2000
	AllowRemote bool          // else only loopback addresses are taken
	Progress    func(done float64, open int)
}

// check reports what keeps a plan from being run.
func (p *Plan) check() error {
	switch {
	case len(p.Replicas) == 0:
		return errors.New("load: no front is named; write host:port")
	case p.Length < minLength || p.Length > maxLength:
		return fmt.Errorf("load: a length of %v; from 1s to %v", p.Length, maxLength)
	case p.MaxOpen < 1 || p.MaxOpen > highestMaxOpen:
		return fmt.Errorf("load: %d requests at once; from 1 to %d", p.MaxOpen, highestMaxOpen)
	}
	for _, replica := range p.Replicas {
		if err := p.checkReplica(replica); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkReplica(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("load: front %q: %w; write host:port", address, err)
	}
	if p.AllowRemote || host == "localhost" {
		return nil
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("load: front %q is not a loopback address; if the load is meant for it, say so (--anywhere)",
			address)
	}
	return nil
}
