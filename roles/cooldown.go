package roles

import "time"

// An engine whose change was overdue or had no effect is in cooldown for firstCooldown, and for twice as long after
// each further failure, up to maxCooldown. A cooldown is long compared with a change, so that a faulty engine costs
// little, and short enough that a repaired engine is used the same day.
const (
	firstCooldown = 5 * time.Minute
	maxCooldown   = time.Hour
)

// cooldown is a period in which an engine is not selected for a change, unless a stage has no engine.
type cooldown struct {
	until    time.Duration
	duration time.Duration // full length; the next cooldown is twice as long
}

func (p *Planner) inCooldown(id string) bool { return p.now < p.cooldowns[id].until }

// startCooldown starts a cooldown of an engine, twice as long as its last one.
func (p *Planner) startCooldown(id string) {
	duration := min(max(2*p.cooldowns[id].duration, firstCooldown), maxCooldown)
	p.cooldowns[id] = cooldown{until: p.now + duration, duration: duration}
}
