package choice_test

import (
	"fmt"
	"time"

	"brackenbend/choice"
)

// A front gives the Router its list and a request, and carries out what comes back.
func Example() {
	r, err := choice.New(choice.Settings{
		Fronts: 2, MaxAttempts: 4, ReleaseWithin: 500 * time.Millisecond,
		Kinds:   []choice.Kind{{Role: choice.Reader, Memory: 200000}, {Role: choice.Writer, Memory: 150000}},
		Classes: []choice.Class{{Name: "ask", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	show := func(actions []choice.Action) {
		for _, a := range actions {
			if s, ok := a.(choice.Send); ok {
				fmt.Println("request", s.Request, "to server", s.Server)
			}
		}
	}
	show(r.Step(now, []choice.Event{
		choice.ServerList{Scope: choice.Full, Servers: []choice.Server{
			{ID: 10, Kind: 0, State: choice.Ready}, {ID: 20, Kind: 1, State: choice.Ready}}},
		choice.Request{ID: 1, Session: 7, PromptLen: 1200, MaxOut: 300, Due: now + 5*time.Second},
	}))
	now += 90 * time.Millisecond
	show(r.Step(now, []choice.Event{choice.Outcome{Request: 1, Server: 10, Result: choice.ReadDone}}))
	// Output:
	// request 1 to server 10
	// request 1 to server 20
}
