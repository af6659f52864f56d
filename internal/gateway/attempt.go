package gateway

import (
	"encoding/json"
	"sync"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/internal/monotonic"
	"brackenbend/routing"
)

// attempt is one call of an engine for a request: a prefill or a decode.
type attempt struct {
	// Set by the event loop before a worker runs the attempt.
	request        *inflightRequest
	index          int // in request.attempts
	endpoint       *engine.Endpoint
	decode         bool // false for a prefill
	id             string
	deadline       time.Time
	sendBy         time.Time // when the request's last byte must be sent; zero = by deadline
	connectTimeout time.Duration
	newConn        bool            // use a new connection: an earlier attempt was lost on a reused one
	startAfter     <-chan struct{} // the attempt starts once this is closed; nil = at once

	// kvParams are the KV transfer parameters that a decode sends, or that a prefill returned. For a prefill the worker
	// sets them before it posts the outcome; from then on the event loop owns them.
	kvParams json.RawMessage

	handle engine.Attempt // safe for concurrent use
	done   chan struct{}  // closed when the attempt has ended

	// Set by the worker before done is closed.
	neverExecuted bool
	mayHoldState  bool // a prefill that may have left a read state, though no reply confirmed it
	decodeAborted bool // a decode that the gateway ended; its engine may not have noticed yet
	endedAt       monotonic.Time

	// Owned by the event loop.
	pending        bool // the event loop has not received its outcome
	releaseStarted bool

	// Owned by the worker.
	startedAt   time.Time
	post        func(routing.Event, localEvent)
	ownsAnswer  bool   // set by Begin
	frame       []byte // the bytes being written to the client; backed by frameBuffer
	frameBuffer *[]byte
	writeErr    error // from writing to the client's connection

	resultMu sync.Mutex // guards the fields below, which other goroutines read for logs
	result   string     // "" while pending
	elapsed  time.Duration
}

var _ engine.Sink = (*attempt)(nil)

// run runs the attempt on a worker and posts its outcome. An engine that may still be processing a request that is not
// idempotent gets time to notice its cancellation before the outcome is posted.
func (a *attempt) run(l *eventLoop) {
	a.startedAt, a.post = time.Now(), l.post
	out := a.perform(l)
	if a.request.class.Idempotency == routing.NotIdempotent {
		l.engines.AwaitSettled(&out)
	}
	a.conclude(l, &out)
}

// perform calls the engine. It is not inlined, so that its stack frame stays small and doesn't include that of
// conclude: the frame lives as long as the stream, and most of the memory of an open stream is stacks.
//
//go:noinline
func (a *attempt) perform(l *eventLoop) engine.Outcome {
	if a.startAfter != nil {
		<-a.startAfter
	}
	call := engine.Call{
		Path: a.request.path, ID: a.id, IdempotencyKey: a.request.idempotencyKey, Deadline: a.deadline, SendBy: a.sendBy,
		ConnectTimeout: a.connectTimeout, NewConn: a.newConn, Abandoned: a.request.abandoned,
	}
	if hook := l.gateway.hooks.IdempotencyKey; hook != nil {
		call.IdempotencyKey = hook(call.IdempotencyKey)
	}
	if a.decode {
		call.Body = a.request.bodies.DecodeBody(a.kvParams, a.request.collector != nil)
		call.MaxTokens = int(a.request.routing.MaxOutputTokens)
		call.NotIdempotent = a.request.class.Idempotency == routing.NotIdempotent
		return l.engines.Decode(&a.handle, a.endpoint, call, a)
	}
	call.Body = a.request.bodies.PrefillBody()
	return l.engines.Prefill(&a.handle, a.endpoint, call)
}

// conclude records how the attempt ended, finishes the client's answer if the attempt owns it, and posts the outcome.
// Where states are identified by attempt, it also releases the read state that a prefill without a successful reply may
// have left: the router doesn't know of such a state.
//
//go:noinline
func (a *attempt) conclude(l *eventLoop, out *engine.Outcome) {
	if hook := l.gateway.hooks.Outcome; hook != nil {
		hook(a.decode, out)
	}
	elapsed := time.Since(a.startedAt)
	a.resultMu.Lock()
	a.result, a.elapsed = attemptResultNames[out.Result], elapsed
	a.resultMu.Unlock()
	prefilled := out.Result == routing.PrefillDone
	if out.Result != routing.Served && !prefilled {
		a.logFailure(l, out, elapsed)
	}
	requestDone := a.finishAnswer(out)
	a.neverExecuted = out.Result.NeverExecuted()
	a.mayHoldState = !a.decode && !a.neverExecuted && !prefilled
	a.decodeAborted = a.decode && (out.Result == routing.TimedOut || out.Result == routing.Canceled)
	if prefilled {
		a.kvParams = out.KVTransferParams
	}
	a.endedAt = monotonic.Now()
	close(a.done)
	if !a.decode && !prefilled && !l.engines.StateByRequestID {
		l.tasks.Add(1)
		go func() {
			defer l.tasks.Done()
			a.releaseState(l, readState{})
		}()
	}
	a.post(routing.Outcome{
		Request: a.request.id, Attempt: a.index, Endpoint: a.endpoint.ID, Elapsed: elapsed, RequestDone: requestDone,
		Result: out.Result, StateMissing: out.StateMissing, CachedTokens: out.CachedTokens, LoadReport: out.LoadReport,
	}, nil)
}

// releaseState releases the read state that this attempt, a prefill that has ended, may have left at its endpoint.
func (a *attempt) releaseState(l *eventLoop, heldState readState) {
	if a.neverExecuted || !l.releasesState {
		return
	}
	r := &release{id: a.id, endpoints: []*engine.Endpoint{a.endpoint}, heldState: heldState}
	if l.callRelease(r) != nil {
		l.observeStateEnd(heldState, stateReleaseFailed)
	}
}
