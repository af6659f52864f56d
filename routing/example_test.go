package routing_test

import (
	"fmt"
	"time"

	"brackenbend/routing"
)

// A front gives the Router its list and a request, and carries out what comes back.
func Example() {
	r, err := routing.New(routing.Settings{
		Fronts: 2, MaxAttempts: 4, ReleaseWithin: 500 * time.Millisecond,
		Kinds:   []routing.Kind{{Role: routing.Reader, Memory: 200000}, {Role: routing.Writer, Memory: 150000}},
		Classes: []routing.Class{{Name: "ask", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	show := func(actions []routing.Action) {
		for _, a := range actions {
			if s, ok := a.(routing.Send); ok {
				fmt.Println("request", s.Request, "to server", s.Server)
			}
		}
	}
	show(r.Step(now, []routing.Event{
		routing.ServerList{Scope: routing.Full, Servers: []routing.Server{
			{ID: 10, Kind: 0, State: routing.Ready}, {ID: 20, Kind: 1, State: routing.Ready}}},
		routing.Request{ID: 1, Session: 7, PromptLen: 1200, MaxOut: 300, Due: now + 5*time.Second},
	}))
	now += 90 * time.Millisecond
	show(r.Step(now, []routing.Event{routing.Outcome{Request: 1, Server: 10, Result: routing.ReadDone}}))
	// Output:
	// request 1 to server 10
	// request 1 to server 20
}
