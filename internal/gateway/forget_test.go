package gateway

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestEnginesThatAreGoneAreForgotten: thousands of names pass through a front; its tables hold what is listed and what
// still has a connection, and a request is served all the while.
func TestEnginesThatAreGoneAreForgotten(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for i := range 3000 {
		pod := endpointslice.Endpoint{
			Name: fmt.Sprintf("pod-%d", i), Kind: "writer", Zone: fmt.Sprintf("z%d", i), Cell: fmt.Sprintf("c%d", i),
			Address: "127.0.0.1:1", State: routing.EndpointDraining,
		}
		r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListChanges, Endpoints: []endpointslice.Endpoint{pod}})
		pod.State = routing.EndpointGone
		r.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListChanges, Endpoints: []endpointslice.Endpoint{pod}})
	}
	if resp, text := r.post("ask", `{"model":"m","messages":[{"role":"user","content":"x"}]}`); resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %s", resp.StatusCode, text)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	r.gateway.Shutdown(ctx) // the loop is over: its tables may be looked at
	l := r.gateway.loop
	if len(l.endpoints) != 2 || len(l.endpointsByID) != 2 || len(l.localities) > 2 {
		t.Errorf("%d names, %d ids, %d places are kept for 2 engines", len(l.endpoints), len(l.endpointsByID), len(l.localities))
	}
	if l.nextLocality < 6000 {
		t.Errorf("%d numbers were given to 6000 places: one came twice", l.nextLocality)
	}
}

// TestStartsOnTheLoopsClock: when engines started is told in the clock's own time; the module hears it on the loop's, to the
// instant, so that it knows which are cold and which started anew. An engine that moved keeps its identity, and nothing
// more goes to where it was.
func TestStartsOnTheLoopsClock(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	r.gateway.Shutdown(ctx) // the loop is over: lists may be given to it from here
	l := r.gateway.loop
	tell := func(address string, started time.Time) routing.Endpoint {
		t.Helper()
		e := endpointslice.Endpoint{Name: "pod", Kind: "writer", Zone: "z", Cell: "c", Address: address, State: routing.EndpointReady, Started: started}
		ev, ok := l.applyUpdate(&endpointslice.Update{Scope: routing.ListChanges, Endpoints: []endpointslice.Endpoint{e}}).(routing.EndpointList)
		if !ok || len(ev.Endpoints) != 1 {
			t.Fatalf("%+v", ev)
		}
		return ev.Endpoints[0]
	}
	first := tell("127.0.0.1:1", time.Time{})
	for _, k := range []struct {
		name    string
		started time.Time
		want    time.Duration
	}{
		{"long ago", time.Time{}, 0},
		{"before the front", l.start.Add(-5 * time.Second), epoch - 5*time.Second},
		{"after the front", l.start.Add(7 * time.Second), epoch + 7*time.Second},
		{"days before the front", l.start.Add(-72 * time.Hour), 0},
	} {
		if got := tell("127.0.0.1:1", k.started); got.StartedAt != k.want || got.ID != first.ID {
			t.Errorf("%s: %+v, want it ready at %v", k.name, got, k.want)
		}
	}
	was := l.endpointsByID[first.ID].engine
	if moved := tell("127.0.0.1:2", time.Time{}); moved.ID != first.ID {
		t.Errorf("an engine that moved is another one: %d, was %d", moved.ID, first.ID)
	}
	if now := l.endpointsByID[first.ID].engine; was.IsOpen() || !now.IsOpen() || now.Address != "127.0.0.1:2" {
		t.Errorf("where it was is open: %t; now at %s, open: %t", was.IsOpen(), now.Address, now.IsOpen())
	}
}
