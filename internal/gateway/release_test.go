package gateway

import (
	"testing"

	"brackenbend/internal/engine"
)

// TestReleaseByAttemptSparesWaitingDecode checks releases where states are identified by attempt. From the attempt's id
// an engine can't tell that a decode waits for the state, so a release would drop it. A release that the router asks
// for while the decode is pending must be skipped; one after the decode has ended or was canceled must be sent.
func TestReleaseByAttemptSparesWaitingDecode(t *testing.T) {
	for name, end := range map[string]func(decode *attempt){
		"ended":    func(decode *attempt) { decode.pending = false },
		"canceled": func(decode *attempt) { decode.handle.Cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestGateway(t, "", "reader", "writer").gateway.loop
			prefill := &attempt{endpoint: &engine.Endpoint{}, neverExecuted: true, done: make(chan struct{})}
			decode := &attempt{decode: true, pending: true}
			close(prefill.done)
			request := &inflightRequest{attempts: []*attempt{prefill, decode}, pendingAttempts: 1}
			if l.releaseRequested(request); prefill.releaseStarted {
				t.Error("released while the decode was pending")
			}
			end(decode)
			if l.releaseRequested(request); !prefill.releaseStarted {
				t.Error("not released after the decode ended or was canceled")
			}
		})
	}
}
