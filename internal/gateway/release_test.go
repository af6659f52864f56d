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
		l := r.f.loop
		read, write := &attempt{srv: &engine.Endpoint{}, unsent: true, ended: make(chan struct{})}, &attempt{write: true, pending: true}
		close(read.ended)
		fl := &flight{attempts: []*attempt{read, write}, out: 1}
		if l.release(fl); read.released {
			t.Errorf("%s: released under the write", name)
		}
		end(write)
		if l.release(fl); !read.released {
			t.Errorf("%s: not released after the write", name)
		}
	}
}
