package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Streams of the random generators. Each user has its own, so that one drawing more leaves the others as they are.
const (
	streamArrivals = 2
	streamSession  = 3
	streamBlend    = 5
)

// Arrivals draws sessions as they begin. It is used by one goroutine.
type Arrivals struct {
	scenario *Scenario
	rnd      *rand.Rand
	turns    float64 // of a session, on average
	count    int64   // sessions so far
	recorded recorded
}

// Arrivals returns the sequence of the scenario's sessions, from its start.
func (s *Scenario) Arrivals() *Arrivals {
	a := &Arrivals{scenario: s, rnd: rand.New(rand.NewPCG(uint64(s.Seed), streamArrivals))}
	for _, c := range s.Classes {
		a.turns += c.Share * c.Turns
	}
	return a
}

// Gap returns the time until the next session.
func (a *Arrivals) Gap(c *Conditions) time.Duration {
	if a.recorded.replay {
		return a.recorded.nextGap()
	}
	rate := float64(a.scenario.Rate) / a.turns * c.Surge
	return time.Duration(a.rnd.ExpFloat64() / rate * float64(time.Second))
}

// Next returns the session that begins.
func (a *Arrivals) Next(c *Conditions) *Session {
	a.count++
	seed := a.rnd.Uint64()
	session := &Session{
		ID: a.count, Key: fmt.Sprint("s", a.count), Tenant: -1,
		scenario: a.scenario, seed: seed, rnd: rand.New(rand.NewPCG(seed, streamSession)),
	}
	if a.recorded.replay {
		a.recorded.next(session, c)
		return session
	}
	a.drawClass(session, c)
	if tenants := a.scenario.Tenants; len(tenants) > 0 {
		share := func(i int) float64 { return tenants[i].Share }
		session.Tenant = drawIndex(session.rnd.Float64(), len(tenants), share)
	}
	session.begin(c)
	return session
}

func (a *Arrivals) drawClass(session *Session, c *Conditions) {
	classes := a.scenario.Classes
	shares, sum := make([]float64, len(classes)), 0.0
	for i, class := range classes {
		shares[i] = class.Share
		if factor, ok := c.Mix[class.Name]; ok {
			shares[i] *= factor
		}
		sum += shares[i]
	}
	session.Class = drawIndex(session.rnd.Float64()*sum, len(shares), func(i int) float64 { return shares[i] })
}

// drawIndex maps u, drawn evenly from 0 to the sum of the shares, to an index.
func drawIndex(u float64, n int, share func(int) float64) int {
	for i := range n {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}
