package node

import "time"

// SIGKILL follows SIGTERM by the longest deadline of all classes, at most maxKillDeadline, and killGrace.
const (
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// drainMargin is how long before a limit open requests are ended, so that their final answers arrive.
	drainMargin = 150 * time.Millisecond
	// maxAcceptWindow bounds how long a draining node accepts: the platform sends new connections for 0.4 s after
	// SIGTERM, and what came by then must be answered.
	maxAcceptWindow = 600 * time.Millisecond
)

// longestDeadline is the longest deadline of all classes, as the platform counts it.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Site.Routing.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline)
}

// killDelay is the time from SIGTERM to SIGKILL.
func (c *Config) killDelay() time.Duration { return c.longestDeadline() + killGrace }

// acceptWhileDraining is how long after SIGTERM new connections and requests are accepted; nothing is accepted that
// would be ended by the drain timeout. Where clients resume broken streams, the connections that they keep using are
// served for most of the longest deadline: the other nodes may be restarting, too.
func (c *Config) acceptWhileDraining() time.Duration {
	window := min(maxAcceptWindow, c.killDelay()/2)
	if !c.Site.Routing.ResumeStreams {
		return window
	}
	return max(window, c.longestDeadline()*2/3)
}

// drainTimeout is how long after SIGTERM open requests are ended: shortly before SIGKILL. Where clients resume broken
// streams, they need another node that accepts new connections, and the platform restarts the next one when the longest
// deadline has passed: so streams are ended shortly before that.
func (c *Config) drainTimeout() time.Duration {
	if !c.Site.Routing.ResumeStreams {
		return c.killDelay() - drainMargin
	}
	return max(c.longestDeadline()-drainMargin, c.acceptWhileDraining())
}
