package gateway

import (
	"brackenbend/internal/engine"
	"testing"
)

// TestAReleaseByAttemptSparesAWaitingWrite: engines that are told by each attempt's id can't see that a writer waits for the state. A
// release that is asked for meanwhile is left out; one that follows the write's end, or its being called off, is given.
func TestAReleaseByAttemptSparesAWaitingWrite(t *testing.T) {
	for name, end := range map[string]func(write *attempt){
		"ended":      func(write *attempt) { write.pending = false },
		"called off": func(write *attempt) { write.handle.Cancel() },
	} {
		r := newRig(t, "", "reader", "writer")
		l := r.gateway.loop
		read, write := &attempt{endpoint: &engine.Endpoint{}, neverRan: true, ended: make(chan struct{})}, &attempt{decode: true, pending: true}
		close(read.ended)
		fl := &inflightRequest{attempts: []*attempt{read, write}, pendingAttempts: 1}
		if l.releaseRequested(fl); read.releaseStarted {
			t.Errorf("%s: released under the write", name)
		}
		end(write)
		if l.releaseRequested(fl); !read.releaseStarted {
			t.Errorf("%s: not released after the write", name)
		}
	}
}
