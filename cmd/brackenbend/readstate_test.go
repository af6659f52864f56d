package main

import (
	"net/http"
	"testing"
	"time"
)

// stateTTLSlack is how long a read state may be kept beyond the state TTL of the settings.
const stateTTLSlack = 300 * time.Millisecond

// TestReadStateOfUndeliveredDecodeIsReleased guards against read states that are held longer than the state TTL. A
// prefill has succeeded, but decode requests reach no running engine, although their connections are open and accept
// every byte. A decode request that no running engine reads does not extend the state TTL: within it, another one must
// reach a running engine, or the read state must be released.
func TestReadStateOfUndeliveredDecodeIsReleased(t *testing.T) {
	const stateTTL = 500 * time.Millisecond
	for name, c := range map[string]struct {
		class                         string
		prefillEngines, decodeEngines int
		inject                        func(t *testing.T, f *processFleet)
	}{
		"decode engines are suspended, idempotent":     {idempotentClass, 2, 2, suspendDecodeEngines},
		"decode engines are suspended, not idempotent": {notIdempotentClass, 2, 2, suspendDecodeEngines},
		"all connections to decode engines are silent": {
			idempotentClass, 2, 2, func(_ *testing.T, f *processFleet) {
				for _, e := range f.decodeEngines {
					e.proxy.dropAll()
				}
			},
		},
		"decode engines are suspended, pooled connections to the prefill engine fall silent": {
			idempotentClass, 1, 2, func(t *testing.T, f *processFleet) {
				t.Helper()
				f.fillPools(t)
				suspendDecodeEngines(t, f)
				for _, e := range f.prefillEngines {
					e.proxy.dropOpenAfterReply()
				}
			},
		},
		"pooled connections to the decode engine fall silent": {
			idempotentClass, 2, 1, func(t *testing.T, f *processFleet) {
				t.Helper()
				f.fillPools(t)
				for _, e := range f.decodeEngines {
					e.proxy.dropOpen()
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetPlan{
				prefillEngines: c.prefillEngines, decodeEngines: c.decodeEngines, stateTTL: stateTTL,
			})
			requireServed(t, "warm", f.send(t, "warm", idempotentClass))
			c.inject(t, f)
			client := f.send(t, "held", c.class)
			prefillEvent, ok := f.awaitEvent("held", time.Now().Add(8*time.Second), eventPrefilled)
			if !ok {
				t.Fatal("not prefilled")
			}
			f.checkStateTTL(t, prefillEvent, stateTTL)
			f.awaitLog(t, "read state released", "held", `"reader":"`+prefillEvent.Engine+`"`)
			client.Close()
			f.awaitLog(t, "answer gone", "held", `"reason":"client closed its connection"`)
		})
	}
}

func suspendDecodeEngines(t *testing.T, f *processFleet) {
	t.Helper()
	for _, e := range f.decodeEngines {
		e.suspend(t)
	}
}

// checkStateTTL waits until a decode request for the read state of a prefill arrives at an engine or the state is
// released, and fails the test if that takes longer than the state TTL.
func (f *processFleet) checkStateTTL(t *testing.T, prefillEvent engineEvent, stateTTL time.Duration) {
	t.Helper()
	const waitBeyondLimit = 2 * time.Second // beyond the limit, to report how late the state was released
	limit := stateTTL + stateTTLSlack
	deadline := time.Unix(0, prefillEvent.At).Add(limit + waitBeyondLimit)
	endEvent, ok := f.awaitEvent(prefillEvent.ID, deadline, eventDecodeReceived, eventReleased)
	switch heldFor := time.Duration(endEvent.At - prefillEvent.At); {
	case !ok:
		t.Errorf("%s: the read state at %s was neither requested by a decode nor released within %v",
			prefillEvent.ID, prefillEvent.Engine, limit+waitBeyondLimit)
	case heldFor > limit:
		t.Errorf("%s: the read state at %s was held for %v, then %s at %s",
			prefillEvent.ID, prefillEvent.Engine, heldFor, endEvent.Kind, endEvent.Engine)
	default:
		t.Logf("%s: read state held for %v, then %s at %s", prefillEvent.ID, heldFor, endEvent.Kind, endEvent.Engine)
	}
}

// TestRequestLostOnPooledConnectionIsSentAgain covers a middlebox that drops the state of all pooled connections
// without a reset. A request that is lost on one of them must be sent again on a new connection, and be served.
func TestRequestLostOnPooledConnectionIsSentAgain(t *testing.T) {
	t.Parallel()
	const engineDelay = 200 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 1, stateTTL: time.Second, prefillTime: engineDelay, timeToFirstToken: engineDelay,
	})
	f.fillPoolsWith(t, 4)
	for _, e := range f.engines() {
		e.proxy.dropOpen()
	}
	status, body := readResponse(t, f.send(t, "lost", idempotentClass))
	if status != http.StatusOK || body != engineStream {
		t.Errorf("status %d, body %q", status, body)
	}
	f.awaitLog(t, "attempt failed", "lost", `"kept_connection":true`, `"answered":"0s"`)
}

// TestSlowDecodeKeepsItsReadState: a decode request has reached a running engine and waits there for longer than the
// state TTL. The attempt must still be served, without a second prefill or decode.
func TestSlowDecodeKeepsItsReadState(t *testing.T) {
	t.Parallel()
	const stateTTL = 300 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 2, stateTTL: stateTTL, timeToFirstToken: 3 * stateTTL,
	})
	status, body := readResponse(t, f.send(t, "slow", idempotentClass))
	if status != http.StatusOK || body != engineStream {
		t.Errorf("status %d, body %q", status, body)
	}
	prefills, decodes := f.countEvents("slow", eventPrefilled), f.countEvents("slow", eventDecodeReceived)
	if prefills != 1 || decodes != 1 {
		t.Errorf("prefilled %d times, decoded %d times", prefills, decodes)
	}
}

// TestReadStateOfHungDecodeIsReleased guards against a read state that is held forever: a decode engine accepts a
// decode and hangs, and the client disconnects. While the engine counts as waiting for the read state, releases do not
// free it. That lasts until the engine runs again and sees that the decode was aborted; a release must then reach the
// prefill engine within the state TTL. A gateway that sent all its releases within a fraction of the state TTL after
// the client had disconnected, and none later, left the state held.
func TestReadStateOfHungDecodeIsReleased(t *testing.T) {
	t.Parallel()
	const stateTTL = 500 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 1, stateTTL: stateTTL, timeToFirstToken: 10 * time.Second,
	})
	client := f.send(t, "hung", idempotentClass)
	if _, ok := f.awaitEvent("hung", time.Now().Add(8*time.Second), eventDecodeReceived); !ok {
		t.Fatal("the decode request did not reach the decode engine")
	}
	suspendDecodeEngines(t, f)
	client.Close()
	f.awaitLog(t, "read state released", "hung", `"rounds_before":1`) // the last release before the engine runs again
	for {                                                             // receives the releases so far
		if _, ok := f.awaitEvent("hung", time.Now().Add(stateTTL), eventReleased); !ok {
			break
		}
	}
	resumedAt := time.Now()
	for _, e := range f.decodeEngines {
		e.resume(t)
	}
	for deadline := resumedAt.Add(stateTTL + stateTTLSlack); ; {
		releaseEvent, ok := f.awaitEvent("hung", deadline, eventReleased)
		if !ok {
			t.Fatalf("not released at the prefill engine within %v", stateTTL+stateTTLSlack)
		}
		if releaseEvent.Engine == f.prefillEngines[0].name {
			return
		}
	}
}
