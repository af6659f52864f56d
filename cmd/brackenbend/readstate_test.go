package main

import (
	"net/http"
	"testing"
	"time"
)

// stateTTLSlack is how long a read state may be kept beyond the state TTL of the settings.
const stateTTLSlack = 300 * time.Millisecond

// TestReadStatesBehindSilentWrites: a prefill has succeeded, and decode requests never arrive, although the
// connections stand and accept every byte. A request that has not arrived does not stop the clock of the read state:
// within the state TTL a decode request must reach a running engine, or the state must be released.
func TestReadStatesBehindSilentWrites(t *testing.T) {
	const stateTTL = 500 * time.Millisecond
	for name, c := range map[string]struct {
		class                         string
		prefillEngines, decodeEngines int
		inject                        func(t *testing.T, f *processFleet)
	}{
		"decode engines are stopped, idempotent":     {idempotentClass, 2, 2, stopDecodeEngines},
		"decode engines are stopped, not idempotent": {notIdempotentClass, 2, 2, stopDecodeEngines},
		"all connections to decode engines are silent": {
			idempotentClass, 2, 2, func(_ *testing.T, f *processFleet) {
				for _, e := range f.decodeEngines {
					e.proxy.dropAll()
				}
			},
		},
		"decode engines are stopped, pooled connections to the prefill engine fall silent": {
			idempotentClass, 1, 2, func(t *testing.T, f *processFleet) {
				t.Helper()
				f.fillPools(t)
				stopDecodeEngines(t, f)
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
			prefilled, ok := f.await("held", time.Now().Add(8*time.Second), eventPrefilled)
			if !ok {
				t.Fatal("not prefilled")
			}
			f.checkStateTTL(t, prefilled, stateTTL)
			f.awaitLog(t, "read state released", "held", `"reader":"`+prefilled.Engine+`"`)
			client.Close()
			f.awaitLog(t, "answer gone", "held", `"reason":"client closed its connection"`)
		})
	}
}

func stopDecodeEngines(t *testing.T, f *processFleet) {
	t.Helper()
	for _, e := range f.decodeEngines {
		e.stop(t)
	}
}

// checkStateTTL waits until a decode request for the read state of a prefill arrives, or the state is released, and
// fails the test if that takes too long.
func (f *processFleet) checkStateTTL(t *testing.T, prefilled engineEvent, stateTTL time.Duration) {
	t.Helper()
	const patience = 2 * time.Second // beyond the limit, to see when it ended
	limit := stateTTL + stateTTLSlack
	by := time.Unix(0, prefilled.At).Add(limit + patience)
	end, ok := f.await(prefilled.ID, by, eventDecodeReceived, eventReleased)
	switch kept := time.Duration(end.At - prefilled.At); {
	case !ok:
		t.Errorf("%s: the state at %s was neither fetched nor released within %v",
			prefilled.ID, prefilled.Engine, limit+patience)
	case kept > limit:
		t.Errorf("%s: the state at %s was kept for %v, then %s at %s",
			prefilled.ID, prefilled.Engine, kept, end.Kind, end.Engine)
	default:
		t.Logf("%s: kept for %v, then %s at %s", prefilled.ID, kept, end.Kind, end.Engine)
	}
}

// TestSilentReusedConnections: a middlebox forgets all pooled connections without a reset. A request that was lost on
// one of them is sent again on a new one, and is served.
func TestSilentReusedConnections(t *testing.T) {
	t.Parallel()
	const overlap = 200 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 1, stateTTL: time.Second, prefillTime: overlap, timeToFirstToken: overlap,
	})
	f.fillPoolsWith(t, 4)
	for _, e := range f.engines() {
		e.proxy.dropOpen()
	}
	status, body := readResponse(t, f.send(t, "lost", idempotentClass))
	if status != http.StatusOK || body != engineStream {
		t.Errorf("%d %q", status, body)
	}
	f.awaitLog(t, "attempt failed", "lost", `"kept_connection":true`, `"answered":"0s"`)
}

// TestSlowDecodeKeepsItsReadState: a decode request has reached a running engine and waits there longer than the
// state TTL. It is served by that attempt; nothing is prefilled or decoded again.
func TestSlowDecodeKeepsItsReadState(t *testing.T) {
	t.Parallel()
	const stateTTL = 300 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 2, stateTTL: stateTTL, timeToFirstToken: 3 * stateTTL,
	})
	status, body := readResponse(t, f.send(t, "slow", idempotentClass))
	if status != http.StatusOK || body != engineStream {
		t.Errorf("%d %q", status, body)
	}
	prefills, decodes := f.count("slow", eventPrefilled), f.count("slow", eventDecodeReceived)
	if prefills != 1 || decodes != 1 {
		t.Errorf("prefilled %d times, decoded %d times", prefills, decodes)
	}
}

// TestStateBehindHungDecodeIsReleased: a decode engine takes a decode and hangs, and the client leaves. Releases spare
// the read state as long as the engine counts as waiting for it: until it runs again and sees that the decode was
// aborted. Then a release has to reach the prefill engine within the state TTL. All releases came within a fraction of
// the state TTL of the client's end, and nobody came back; the state was held for good.
func TestStateBehindHungDecodeIsReleased(t *testing.T) {
	t.Parallel()
	const stateTTL = 500 * time.Millisecond
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 1, stateTTL: stateTTL, timeToFirstToken: 10 * time.Second,
	})
	client := f.send(t, "hung", idempotentClass)
	if _, ok := f.await("hung", time.Now().Add(8*time.Second), eventDecodeReceived); !ok {
		t.Fatal("no decode was received")
	}
	stopDecodeEngines(t, f)
	client.Close()
	f.awaitLog(t, "read state released", "hung", `"rounds_before":1`) // the last one, before
	for {                                                             // releases of before
		if _, ok := f.await("hung", time.Now().Add(stateTTL), eventReleased); !ok {
			break
		}
	}
	resumedAt := time.Now()
	for _, e := range f.decodeEngines {
		e.resume(t)
	}
	for by := resumedAt.Add(stateTTL + stateTTLSlack); ; {
		released, ok := f.await("hung", by, eventReleased)
		if !ok {
			t.Fatalf("not released at the prefill engine within %v", stateTTL+stateTTLSlack)
		}
		if released.Engine == f.prefillEngines[0].name {
			return
		}
	}
}
