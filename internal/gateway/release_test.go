package gateway

import (
	"testing"

	"brackenbend/internal/engine"
)

// TestReleaseByAttemptSparesWaitingDecode: engines that are asked by an attempt's id can't see that a decode waits for
// the state. A release that the router wants meanwhile is left out; one that follows the decode's end, or its
// cancellation, is sent.
func TestReleaseByAttemptSparesWaitingDecode(t *testing.T) {
	for name, end := range map[string]func(decode *attempt){
		"ended":    func(decode *attempt) { decode.pending = false },
		"canceled": func(decode *attempt) { decode.handle.Cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newRig(t, "", "reader", "writer").gateway.loop
			prefill := &attempt{endpoint: &engine.Endpoint{}, neverRan: true, ended: make(chan struct{})}
			decode := &attempt{decode: true, pending: true}
			close(prefill.ended)
			request := &inflightRequest{attempts: []*attempt{prefill, decode}, pendingAttempts: 1}
			if l.releaseRequested(request); prefill.releaseStarted {
				t.Error("released while the decode was pending")
			}
			end(decode)
			if l.releaseRequested(request); !prefill.releaseStarted {
				t.Error("not released after the decode")
			}
		})
	}
}
