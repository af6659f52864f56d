package gateway

import (
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// TestHooks lets tests inject faults into a gateway, to see whether scenarios and their audit detect them. Each
// function may change what passes through it; nil changes nothing. The program sets none of them.
type TestHooks struct {
	Settings func(*routing.Config)
	Request  func(*routing.Request) // before it is passed to the router
	Wait     func(time.Duration) time.Duration
	List     func(*endpointslice.Update)
	Outcome  func(write bool, o *engine.Outcome) // the classified end of an attempt
	Action   func(routing.Action) []routing.Action
	Key      func(string) string       // Idempotency-Key sent to engines
	Answer   func(whole []byte) []byte // a response that is not a stream, before it is written
	Gate     func(*engine.Endpoint)    // after an endpoint was opened or closed
}

// Hooks are the test hooks of gateways made from now on. Tests set it before they make a gateway.
var Hooks TestHooks
