package gateway

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
	"time"
)

// TestHooks is where tests bend a front, to see whether days and their auditor notice it. Each function may change what
// passes; nil changes nothing. The program sets none of them.
type TestHooks struct {
	Settings func(*routing.Config)
	Request  func(*routing.Request) // as told to the module
	Wait     func(time.Duration) time.Duration
	List     func(*endpointslice.Update)
	Outcome  func(write bool, o *engine.Outcome) // what the outcome table made of an attempt's end
	Action   func(routing.Action) []routing.Action
	Key      func(string) string       // Idempotency-Key towards engines
	Answer   func(whole []byte) []byte // an answer that is not a stream, as it goes out
	Gate     func(*engine.Endpoint)    // after a server was opened or shut
}

// Hooks is the seam of the fronts made from now on. Tests set it in the process of a front, before the front is made.
var Hooks TestHooks
