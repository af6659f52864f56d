package main

import (
	"testing"
	"time"
)

// heldSlack is what a read state may be held beyond the settings' release time.
const heldSlack = 300 * time.Millisecond

// TestReadStatesBehindSilentWrites: a read has ended well, and what is sent to writers never arrives, although the
// connections stand and take every byte. A send that has not arrived does not stop the clock of what the reader
// holds: within the release time it has to reach a writer that runs, or be released.
func TestReadStatesBehindSilentWrites(t *testing.T) {
	const release = 500 * time.Millisecond
	for name, c := range map[string]struct {
		class            string
		readers, writers int
		lose             func(t *testing.T, f *processFleet)
	}{
		"writers are stopped, safe":   {"enquiry", 2, 2, stopWriters},
		"writers are stopped, unsafe": {"order", 2, 2, stopWriters},
		"a cut swallows all towards writers": {"enquiry", 2, 2, func(_ *testing.T, f *processFleet) {
			for _, w := range f.writers {
				w.proxy.swallow(true)
			}
		}},
		"writers are stopped, kept connections to the reader fall silent": {
			"enquiry", 1, 2, func(t *testing.T, f *processFleet) {
				f.keepConnections(t)
				stopWriters(t, f)
				for _, r := range f.readers {
					r.proxy.swallowAfterReply()
				}
			},
		},
		"kept connections to the writer fall silent": {"enquiry", 2, 1, func(t *testing.T, f *processFleet) {
			f.keepConnections(t)
			for _, w := range f.writers {
				w.proxy.swallow(false)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetPlan{readers: c.readers, writers: c.writers, release: release})
			if status, _ := answer(t, f.ask(t, "warm", "enquiry")); status != 200 {
				t.Fatalf("before: %d", status)
			}
			c.lose(t, f)
			client := f.ask(t, "held", c.class)
			read, ok := f.await("held", time.Now().Add(8*time.Second), eventRead)
			if !ok {
				t.Fatal("not read")
			}
			f.judgeHeld(t, read, release)
			f.awaitLog(t, "read state released", "held", `"reader":"`+read.Engine+`"`)
			client.Close()
			f.awaitLog(t, "answer gone", "held", `"reason":"client closed its connection"`)
		})
	}
}

func stopWriters(t *testing.T, f *processFleet) {
	for _, w := range f.writers {
		w.stop(t)
	}
}

// judgeHeld waits until what read left is taken or released, and fails the test if that takes too long.
func (f *processFleet) judgeHeld(t *testing.T, read callEvent, release time.Duration) {
	t.Helper()
	limit := time.Unix(0, read.At).Add(release + heldSlack)
	end, ok := f.await(read.ID, limit.Add(2*time.Second), eventTaken, eventReleased)
	switch held := time.Duration(end.At - read.At); {
	case !ok:
		t.Errorf(
			"%s: the state at %s was neither taken nor released within %v",
			read.ID,
			read.Engine,
			release+heldSlack+2*time.Second,
		)
	case held > release+heldSlack:
		t.Errorf("%s: the state at %s was held for %v, then %s at %s", read.ID, read.Engine, held, end.Kind, end.Engine)
	default:
		t.Logf("%s: held for %v, then %s at %s", read.ID, held, end.Kind, end.Engine)
	}
}

// TestSilentReusedConnections: what stands between forgets all connections that are kept, and says nothing of it. A
// request that was lost on one of them is sent again on a new one, and is served.
func TestSilentReusedConnections(t *testing.T) {
	t.Parallel()
	const overlap = 200 * time.Millisecond
	f := newFleet(t, fleetPlan{readers: 1, writers: 1, release: time.Second, readTime: overlap, firstToken: overlap})
	f.keepSeveral(t, 4)
	for _, e := range append(f.readers, f.writers...) {
		e.proxy.swallow(false)
	}
	if status, text := answer(t, f.ask(t, "lost", "enquiry")); status != 200 || text != fleetStream {
		t.Errorf("%d %q", status, text)
	}
	f.awaitLog(t, "attempt failed", "lost", `"kept_connection":true`, `"answered":"0s"`)
}

// TestSlowDecodeKeepsItsReadState: a write that has reached a writer which runs waits there longer than the release
// time. It is served by that attempt; nothing is read or written again.
func TestSlowDecodeKeepsItsReadState(t *testing.T) {
	t.Parallel()
	const release = 300 * time.Millisecond
	f := newFleet(t, fleetPlan{readers: 1, writers: 2, release: release, firstToken: 3 * release})
	status, text := answer(t, f.ask(t, "slow", "enquiry"))
	if status != 200 || text != fleetStream {
		t.Errorf("%d %q", status, text)
	}
	if reads, writes := f.count("slow", eventRead), f.count("slow", eventTaken); reads != 1 || writes != 1 {
		t.Errorf("read %d times, written %d times", reads, writes)
	}
}
