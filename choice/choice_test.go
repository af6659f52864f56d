package choice

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings are two readers' and writers' kinds, a safe, an unsafe and a keyed class.
func testSettings() Settings {
	return Settings{Fronts: 1, MaxAttempts: 4, CanCancel: true, ReleaseWithin: 500 * ms, MaxWait: time.Second,
		Kinds: []Kind{{Reader, 200000}, {Writer, 150000}, {Mixed, 200000}},
		Classes: []Class{
			{Name: "safe", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1},
			{Name: "unsafe", Aim: time.Second, Deadline: 5 * time.Second, Worth: 2, Effect: Unsafe},
			{Name: "keyed", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Keyed, Group: GroupCell,
				Window: 2 * time.Second},
		},
		ColdFrom: 0.25, ColdFor: 10 * time.Second, OverloadFactor: 4, TipAfter: 1500 * ms}
}

// rig drives one Router by hand.
type rig struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	tmpl Request
}

func newRig(t *testing.T, s Settings, servers ...Server) *rig {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, now: time.Minute}
	g.step(ServerList{Scope: Cached, Servers: servers})
	return g
}

func (g *rig) step(evs ...Event) []Action { return g.r.Step(g.now, evs) }

func (g *rig) after(d time.Duration, evs ...Event) []Action {
	g.now += d
	return g.step(evs...)
}

func (g *rig) request(id RequestID, class int, prompt float64) Request {
	return Request{ID: id, Class: class, Session: uint64(id), Prefix: 9, PromptLen: prompt, PrefixLen: prompt / 2,
		MaxOut: 200, Due: g.now + 5*time.Second}
}

func reader(id ServerID) Server { return Server{ID: id, Kind: 0, State: Ready} }
func writer(id ServerID) Server { return Server{ID: id, Kind: 1, State: Ready} }

func pick[T Action](acts []Action) []T {
	var out []T
	for _, a := range acts {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func one[T Action](t *testing.T, acts []Action) T {
	t.Helper()
	got := pick[T](acts)
	if len(got) != 1 {
		t.Fatalf("want one %T, have %d in %+v", *new(T), len(got), acts)
	}
	return got[0]
}

func TestReadThenWrite(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	s := one[Send](t, g.step(g.request(1, 0, 1000)))
	if s.Server != 1 {
		t.Fatalf("read at %d, want the reader", s.Server)
	}
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: 100 * ms}))
	if w.Server == 1 {
		t.Fatal("answered at the reader")
	}
	g.after(50*ms, First{Request: 1, Attempt: 1, Server: w.Server, Elapsed: 50 * ms})
	acts := g.after(time.Second, Outcome{Request: 1, Attempt: 1, Server: w.Server, Result: Served, Over: true})
	if len(pick[Refuse](acts))+len(pick[Fail](acts))+len(pick[Send](acts)) != 0 {
		t.Fatalf("acted after the end: %+v", acts)
	}
	if len(g.r.reqs) != 0 {
		t.Fatal("request not forgotten")
	}
}

func TestUnsafeThatMayHaveRunFails(t *testing.T) {
	g := newRig(t, testSettings(), reader(1), writer(2), writer(3))
	g.step(g.request(1, 1, 1000))
	w := one[Send](t, g.after(100*ms, Outcome{Request: 1, Server: 1, Result: ReadDone, Elapsed: 100 * ms}))
	if w.Timeout != 0 {
		t.Fatalf("time-out %v on an attempt that nothing may replace", w.Timeout)
	}
	acts := g.after(100*ms, Outcome{Request: 1, Attempt: 1, Server: w.Server, Result: Errored})
	one[Fail](t, acts)
	one[Release](t, acts)
}
