package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// PCG streams of the random generators. Each consumer of random numbers has its own, so that additional draws by one do
// not change what the others draw.
const (
	arrivalsStream = 2
	sessionStream  = 3
	mergeStream    = 5
)

// Arrivals generates the sessions of a scenario in the order of their arrival. It is not safe for concurrent use.
type Arrivals struct {
	scenario     *Scenario
	rnd          *rand.Rand
	meanTurns    float64 // mean number of turns of a session
	sessionCount int64   // sessions generated so far
	replayed     replayQueue
}

// Arrivals returns a generator of the scenario's sessions, from the start of the scenario.
func (s *Scenario) Arrivals() *Arrivals {
	a := &Arrivals{scenario: s, rnd: rand.New(rand.NewPCG(uint64(s.Seed), arrivalsStream))}
	for _, c := range s.Classes {
		a.meanTurns += c.Share * c.Turns
	}
	return a
}

// NextGap returns the time from the arrival of the previous session, or the start of the scenario, to that of the next.
func (a *Arrivals) NextGap(c *Conditions) time.Duration {
	if a.replayed.active {
		return a.replayed.nextGap()
	}
	rate := float64(a.scenario.Rate) / a.meanTurns * c.RateFactor
	return time.Duration(a.rnd.ExpFloat64() / rate * float64(time.Second))
}

// NextSession returns the next session.
func (a *Arrivals) NextSession(c *Conditions) *Session {
	a.sessionCount++
	seed := a.rnd.Uint64()
	session := &Session{
		ID: a.sessionCount, Key: fmt.Sprint("s", a.sessionCount), Tenant: -1,
		scenario: a.scenario, seed: seed, rnd: rand.New(rand.NewPCG(seed, sessionStream)),
	}
	if a.replayed.active {
		a.replayed.fillSession(session, c)
		return session
	}
	a.drawClass(session, c)
	if tenants := a.scenario.Tenants; len(tenants) > 0 {
		share := func(i int) float64 { return tenants[i].Share }
		session.Tenant = drawIndex(session.rnd.Float64(), len(tenants), share)
	}
	session.drawFirstRequest(c)
	return session
}

func (a *Arrivals) drawClass(session *Session, c *Conditions) {
	classes := a.scenario.Classes
	shares, shareSum := make([]float64, len(classes)), 0.0
	for i, class := range classes {
		shares[i] = class.Share
		if factor, ok := c.ShareFactors[class.Name]; ok {
			shares[i] *= factor
		}
		shareSum += shares[i]
	}
	session.Class = drawIndex(session.rnd.Float64()*shareSum, len(shares), func(i int) float64 { return shares[i] })
}

// drawIndex maps u, drawn uniformly between 0 and the sum of the shares, to an index: each is as likely as its share.
func drawIndex(u float64, n int, share func(int) float64) int {
	for i := range n {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}
