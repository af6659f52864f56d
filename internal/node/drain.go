package node

import "time"

// The time that the platform leaves between SIGTERM and SIGKILL is the longest deadline of all classes, but at most
// maxKillDeadline, plus killGrace.
const (
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// drainMargin is how long before the platform's time limit open requests without an answer get their final one, so
	// that it still arrives.
	drainMargin = 150 * time.Millisecond
	// maxAcceptWindow is how long a draining node accepts connections at most, unless clients resume broken streams. The
	// platform routes new connections to it for 0.4 s after SIGTERM, and a request that arrives in this time must be
	// answered.
	maxAcceptWindow = 600 * time.Millisecond
)

// longestDeadline returns the longest deadline of all classes, capped as the platform does.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Site.Routing.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline)
}

// killDelay returns the time between SIGTERM and SIGKILL.
func (c *Config) killDelay() time.Duration { return c.longestDeadline() + killGrace }

// acceptWhileDraining returns how long after SIGTERM new connections and requests are accepted: at most half of the
// time until SIGKILL, so that requests that arrive last can still be completed. If clients resume broken streams, it is
// at least two thirds of the longest deadline, because the other nodes may be restarting as well.
func (c *Config) acceptWhileDraining() time.Duration {
	window := min(maxAcceptWindow, c.killDelay()/2)
	if !c.Site.Routing.ResumeStreams {
		return window
	}
	return max(window, c.longestDeadline()*2/3)
}

// drainTimeout returns how long after SIGTERM open requests without an answer are ended, which is shortly before the
// earliest SIGKILL. Streams go on until they end or SIGKILL comes. If clients resume broken streams, they need another
// node that accepts new connections, and the platform restarts the next node once the longest deadline has passed.
// Everything that is open, streams as well, is then ended shortly before that time.
func (c *Config) drainTimeout() time.Duration {
	if !c.Site.Routing.ResumeStreams {
		return c.killDelay() - drainMargin
	}
	return max(c.longestDeadline()-drainMargin, c.acceptWhileDraining())
}
