package node

import (
	"fmt"
	"testing"
	"time"

	"brackenbend/routing"
)

// TestDrainWindows checks how long a draining node accepts requests and when it ends those that are open. If clients
// resume broken streams, they must find another node, so streams are ended before the platform restarts the next one.
// Otherwise streams continue until shortly before SIGKILL.
func TestDrainWindows(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, tc := range []struct {
		longestDeadline time.Duration
		resumeStreams   bool
		acceptWindow    time.Duration
		drainTimeout    time.Duration
	}{
		{15 * s, true, 2 * s, 2850 * ms},
		{15 * s, false, 600 * ms, 3550 * ms},
		{1500 * ms, true, s, 1350 * ms},
		{1500 * ms, false, 600 * ms, 2050 * ms},
		{200 * ms, true, 450 * ms, 450 * ms},
		{200 * ms, false, 450 * ms, 750 * ms},
	} {
		t.Run(fmt.Sprintf("deadline %v, resume %t", tc.longestDeadline, tc.resumeStreams), func(t *testing.T) {
			var c Config
			c.Site.Routing.ResumeStreams = tc.resumeStreams
			c.Site.Routing.Classes = []routing.Class{{Deadline: 100 * ms}, {Deadline: tc.longestDeadline}}
			if got := c.acceptWhileDraining(); got != tc.acceptWindow {
				t.Errorf("accepts requests for %v, want %v", got, tc.acceptWindow)
			}
			if got := c.drainTimeout(); got != tc.drainTimeout {
				t.Errorf("ends requests after %v, want %v", got, tc.drainTimeout)
			}
		})
	}
}
