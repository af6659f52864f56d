package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

// stopLoop shuts the gateway down, after which the test owns the event loop's state.
func (tg *testGateway) stopLoop() *eventLoop {
	tg.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	tg.gateway.Shutdown(ctx)
	return tg.gateway.loop
}

// TestGoneEndpointsAreRemoved lists thousands of endpoints that then go away. The endpoint table must only keep those
// that are listed or still have a connection, and requests must be served. Otherwise the table would grow without
// bound.
func TestGoneEndpointsAreRemoved(t *testing.T) {
	tg := newTestGateway(t, "", "reader", "writer")
	for i := range 3000 {
		pod := endpointslice.Endpoint{
			Name: fmt.Sprintf("pod-%d", i), Kind: "writer", Zone: fmt.Sprintf("z%d", i), Cell: fmt.Sprintf("c%d", i),
			Address: "127.0.0.1:1", State: routing.EndpointDraining,
		}
		for _, state := range []routing.EndpointState{routing.EndpointDraining, routing.EndpointGone} {
			pod.State = state
			tg.gateway.UpdateEndpoints(endpointslice.Update{
				Scope: routing.ListChanges, Endpoints: []endpointslice.Endpoint{pod},
			})
		}
	}
	resp, text := tg.post("ask", `{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %s", resp.StatusCode, text)
	}
	table := &tg.stopLoop().table
	if len(table.byName) != 2 || len(table.byID) != 2 || len(table.localities) > 2 {
		t.Errorf("%d names, %d ids, %d localities are kept for 2 endpoints",
			len(table.byName), len(table.byID), len(table.localities))
	}
	if table.nextLocality < 6000 {
		t.Errorf("%d numbers were assigned to 6000 localities: a number was reused", table.nextLocality)
	}
}

// updateEndpoint applies an update of one endpoint and returns the endpoint as the router gets it.
func updateEndpoint(t *testing.T, l *eventLoop, address string, started time.Time) routing.Endpoint {
	t.Helper()
	event, ok := l.applyUpdate(&endpointslice.Update{
		Scope: routing.ListChanges,
		Endpoints: []endpointslice.Endpoint{{
			Name: "pod", Kind: "writer", Zone: "z", Cell: "c", Address: address, State: routing.EndpointReady,
			Started: started,
		}},
	}).(routing.EndpointList)
	if !ok || len(event.Endpoints) != 1 {
		t.Fatalf("%+v", event)
	}
	return event.Endpoints[0]
}

// TestStartTimesConvertedToLoopClock checks that the router gets start times, which are listed as wall-clock times, as
// exact times of the loop's clock. From them it knows which endpoints are in slow start and which were restarted.
func TestStartTimesConvertedToLoopClock(t *testing.T) {
	l := newTestGateway(t, "", "reader", "writer").stopLoop()
	first := updateEndpoint(t, l, "127.0.0.1:1", time.Time{})
	for _, c := range []struct {
		name    string
		started time.Time
		want    time.Duration
	}{
		{"unknown", time.Time{}, 0},
		{"before the gateway", l.start.Add(-5 * time.Second), epoch - 5*time.Second},
		{"after the gateway", l.start.Add(7 * time.Second), epoch + 7*time.Second},
		{"days before the gateway", l.start.Add(-72 * time.Hour), 0},
	} {
		got := updateEndpoint(t, l, "127.0.0.1:1", c.started)
		if got.StartedAt != c.want || got.ID != first.ID {
			t.Errorf("%s: %+v, want it started at %v", c.name, got, c.want)
		}
	}
}

// TestMovedEndpointKeepsItsID checks that an endpoint with a new address keeps its id, and that its old address is
// closed.
func TestMovedEndpointKeepsItsID(t *testing.T) {
	l := newTestGateway(t, "", "reader", "writer").stopLoop()
	first := updateEndpoint(t, l, "127.0.0.1:1", time.Time{})
	before := l.table.byID[first.ID].engine
	if moved := updateEndpoint(t, l, "127.0.0.1:2", time.Time{}); moved.ID != first.ID {
		t.Errorf("the moved endpoint has id %d, want %d", moved.ID, first.ID)
	}
	after := l.table.byID[first.ID].engine
	if before.IsOpen() || !after.IsOpen() || after.Address != "127.0.0.1:2" {
		t.Errorf("old address open: %t; new address %s, open: %t", before.IsOpen(), after.Address, after.IsOpen())
	}
}
