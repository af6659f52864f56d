package gateway

import (
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// TestHooks lets tests inject faults into a gateway, to verify that the checks of scenarios detect them. Each function
// may change the value that it is passed, or return another; a nil function changes nothing. Only tests set hooks.
type TestHooks struct {
	Settings          func(*routing.Config)                      // before the router is created
	Request           func(*routing.Request)                     // before it is passed to the router
	FirstTokenTimeout func(time.Duration) time.Duration          // how long a client waits for the first token
	EndpointUpdate    func(*endpointslice.Update)                // before it is applied
	Outcome           func(decode bool, outcome *engine.Outcome) // the result of an attempt
	Action            func(routing.Action) []routing.Action      // returns the actions to carry out instead
	IdempotencyKey    func(string) string                        // the Idempotency-Key header sent to engines
	Answer            func(message []byte) []byte                // a response that is not a stream, before it is written
	AfterOpenOrClose  func(*engine.Endpoint)                     // after an endpoint was opened or closed
}

// Hooks are the test hooks of the gateways that New creates. Tests set them before they create a gateway.
var Hooks TestHooks
