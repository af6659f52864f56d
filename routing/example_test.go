package routing_test

import (
	"fmt"
	"time"

	"brackenbend/routing"
)

// A gateway passes the endpoint list and a request to a Router, and carries out the actions that it returns.
func Example() {
	r, err := routing.New(routing.Config{
		Replicas: 2, MaxAttempts: 4, StateTTL: 500 * time.Millisecond,
		Kinds: []routing.Kind{
			{Role: routing.RolePrefill, Memory: 200000}, {Role: routing.RoleDecode, Memory: 150000},
		},
		Classes: []routing.Class{{
			Name: "ask", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1,
		}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	show := func(actions []routing.Action) {
		for _, a := range actions {
			if s, ok := a.(routing.Send); ok {
				fmt.Println("request", s.Request, "to endpoint", s.Endpoint)
			}
		}
	}
	show(r.Step(now, []routing.Event{
		routing.EndpointList{Scope: routing.ListFull, Endpoints: []routing.Endpoint{
			{ID: 10, Kind: 0, State: routing.EndpointReady}, {ID: 20, Kind: 1, State: routing.EndpointReady},
		}},
		routing.Request{ID: 1, Session: 7, PromptTokens: 1200, MaxOutputTokens: 300, Deadline: now + 5*time.Second},
	}))
	now += 90 * time.Millisecond
	show(r.Step(now, []routing.Event{routing.Outcome{Request: 1, Endpoint: 10, Result: routing.PrefillDone}}))
	// Output:
	// request 1 to endpoint 10
	// request 1 to endpoint 20
}
