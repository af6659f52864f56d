package front

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"brackenbend/choice"
	"brackenbend/internal/register"
)

// TestEnginesThatAreGoneAreForgotten: thousands of names pass through a front; its tables hold what is listed and what
// still has a connection, and a request is served all the while.
func TestEnginesThatAreGoneAreForgotten(t *testing.T) {
	r := newRig(t, "", "reader", "writer")
	for i := range 3000 {
		pod := register.Engine{Name: fmt.Sprintf("pod-%d", i), Kind: "writer", Zone: fmt.Sprintf("z%d", i), Cell: fmt.Sprintf("c%d", i),
			Address: "127.0.0.1:1", State: choice.Draining}
		r.f.Deliver(register.Update{Scope: choice.Changes, Engines: []register.Engine{pod}})
		pod.State = choice.Gone
		r.f.Deliver(register.Update{Scope: choice.Changes, Engines: []register.Engine{pod}})
	}
	if resp, text := r.post("ask", `{"model":"m","messages":[{"role":"user","content":"x"}]}`); resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %s", resp.StatusCode, text)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	r.f.Shutdown(ctx) // the loop is over: its tables may be looked at
	l := r.f.loop
	if len(l.servers) != 2 || len(l.byID) != 2 || len(l.places) > 2 {
		t.Errorf("%d names, %d ids, %d places are kept for 2 engines", len(l.servers), len(l.byID), len(l.places))
	}
	if l.placed < 6000 {
		t.Errorf("%d numbers were given to 6000 places: one came twice", l.placed)
	}
}
