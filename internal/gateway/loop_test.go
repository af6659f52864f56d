package gateway

import (
	"testing"

	"brackenbend/routing"
)

// TestPostAllocatesNothing checks that posting a message doesn't allocate, since each request posts several. A local
// event with more than one pointer would need an allocation.
func TestPostAllocatesNothing(t *testing.T) {
	const runs = 100
	request, done := &inflightRequest{}, make(chan struct{})
	for name, local := range map[string]func() localEvent{
		"request started":   func() localEvent { return requestStarted{request} },
		"endpoints updated": func() localEvent { return endpointsUpdated{nil} },
		"release due":       func() localEvent { return releaseDue{nil} },
		"status due":        func() localEvent { return statusDue{} },
		"step awaited":      func() localEvent { return stepAwaited{done} },
		"stop requested":    func() localEvent { return stopRequested{} },
		"none":              func() localEvent { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			l := &eventLoop{wake: make(chan struct{}, 1), queue: make([]message, 0, 2*runs)}
			var event routing.Event = routing.Shutdown{}
			if allocs := testing.AllocsPerRun(runs, func() { l.post(event, local()) }); allocs > 0 {
				t.Errorf("%v allocations per message", allocs)
			}
		})
	}
}
