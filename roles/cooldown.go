package roles

import "time"

// An engine that did not change as commanded is left alone for firstCooldown, doubled each time up to maxCooldown: long
// against a change, so that a broken engine costs little, and short enough that a repaired one is used the same day.
const (
	firstCooldown = 5 * time.Minute
	maxCooldown   = time.Hour
)

// cooldown is the time in which an engine is left alone.
type cooldown struct {
	until time.Duration
	pause time.Duration // its full length; the next one is twice as long
}

func (p *Planner) inCooldown(id string) bool { return p.now < p.cooldowns[id].until }

// startCooldown begins an engine's cooldown, twice as long as its last one.
func (p *Planner) startCooldown(id string) {
	pause := min(max(2*p.cooldowns[id].pause, firstCooldown), maxCooldown)
	p.cooldowns[id] = cooldown{until: p.now + pause, pause: pause}
}
