package load

import (
	"errors"
	"fmt"
	"net"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// Bounds on a plan's length and its number of open sessions.
const (
	minLength              = time.Second
	maxLength              = time.Hour
	defaultMaxOpenSessions = 2000
	maxOpenSessionsLimit   = 20000
)

// Plan configures a run.
type Plan struct {
	Scenario        *scenario.Scenario
	Replicas        []string // host:port; each attempt goes to one of them at random
	Model           string
	Length          time.Duration // time in which new sessions start
	MaxOpenSessions int           // concurrent sessions; more are dropped and counted in Report.NotStarted; 0 = 2000
	AllowRemote     bool          // allow replicas at addresses other than loopback

	// Progress, if not nil, is called several times a second with the elapsed fraction of Length and the number of open
	// sessions.
	Progress func(fraction float64, openSessions int)
}

// check returns an error if the plan is invalid.
func (p *Plan) check() error {
	switch {
	case len(p.Replicas) == 0:
		return errors.New("load: no replica address; give at least one as host:port")
	case p.Length < minLength || p.Length > maxLength:
		return fmt.Errorf("load: length %v is out of range; use 1s to %v", p.Length, maxLength)
	case p.MaxOpenSessions < 1 || p.MaxOpenSessions > maxOpenSessionsLimit:
		return fmt.Errorf("load: limit of %d open sessions is out of range; use 1 to %d",
			p.MaxOpenSessions, maxOpenSessionsLimit)
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
		return fmt.Errorf("load: replica %q: %w; write host:port", address, err)
	}
	if p.AllowRemote || host == "localhost" {
		return nil
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("load: replica %q is not a loopback address; use --anywhere to allow it", address)
	}
	return nil
}
