package gateway

import (
	"encoding/json"
	"sync"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/internal/monotonic"
	"brackenbend/routing"
)

// attempt is one send of a request to an engine.
type attempt struct {
	// Set by the event loop before a worker runs the attempt.
	request        *inflightRequest
	index          int // in request.attempts
	endpoint       *engine.Endpoint
	decode         bool // else a prefill
	id             string
	deadline       time.Time
	sendBy         time.Time // for the request's last byte; zero = no bound but deadline
	connectTimeout time.Duration
	newConn        bool            // an earlier attempt was lost on a reused connection
	startAfter     <-chan struct{} // the attempt waits until it is closed; nil = it need not wait

	// kvParams are the KV transfer parameters that a decode sends, or that a prefill got. The worker sets the latter
	// before it posts the outcome; then they are the event loop's.
	kvParams json.RawMessage

	handle engine.Attempt // safe for concurrent use
	ended  chan struct{}  // closed by the worker

	// Set by the worker before ended is closed.
	neverRan      bool
	mayHoldState  bool // a prefill that may have left a state that no reply confirmed
	decodeAborted bool // a decode ended by the gateway, which its engine may not have seen yet
	endedAt       monotonic.Time

	// Owned by the event loop.
	pending        bool // its outcome has not come
	releaseStarted bool

	// Owned by the worker.
	startedAt   time.Time
	post        func(routing.Event, localEvent)
	ownsAnswer  bool   // set by Begin
	frame       []byte // what is being written to the client, in frameBuffer
	frameBuffer *[]byte
	writeErr    error // of the client's connection

	resultMu sync.Mutex // guards what follows, which logs read
	result   string     // "" while pending
	elapsed  time.Duration
}

var _ engine.Sink = (*attempt)(nil)

// run runs the attempt and posts its outcome.
func (a *attempt) run(l *eventLoop) {
	a.startedAt, a.post = time.Now(), l.post
	out := a.perform(l)
	if a.request.class.Idempotency == routing.NotIdempotent {
		l.engines.AwaitSettled(&out)
	}
	a.conclude(l, &out)
}

// perform makes the call. Its stack frame stays small, and apart from that of conclude, since it lasts as long as the
// stream: stacks are most of what an open stream costs.
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
		call.SingleUseConn = a.request.class.Idempotency == routing.NotIdempotent
		return l.engines.Decode(&a.handle, a.endpoint, call, a)
	}
	call.Body = a.request.bodies.PrefillBody()
	return l.engines.Prefill(&a.handle, a.endpoint, call)
}

// conclude records how the attempt ended, ends the client's answer if the attempt owns it, and posts the outcome.
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
	a.neverRan = out.Result.NeverExecuted()
	a.mayHoldState = !a.decode && !a.neverRan && !prefilled
	a.decodeAborted = a.decode && (out.Result == routing.TimedOut || out.Result == routing.Canceled)
	if prefilled {
		a.kvParams = out.KVTransferParams
	}
	a.endedAt = monotonic.Now()
	close(a.ended)
	if !a.decode && !prefilled && !l.engines.StateByRequestID { // a state that it may have left is known to nobody
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			a.releaseState(l, readState{})
		}()
	}
	a.post(routing.Outcome{
		Request: a.request.id, Attempt: a.index, Endpoint: a.endpoint.ID, Elapsed: elapsed, RequestDone: requestDone,
		Result: out.Result, StateMissing: out.StateMissing, CachedTokens: out.CachedTokens, LoadReport: out.LoadReport,
	}, nil)
}

// releaseState releases the state that this attempt, a prefill that has ended, left at its endpoint.
func (a *attempt) releaseState(l *eventLoop, held readState) {
	if a.neverRan || !l.releasesState {
		return
	}
	r := &release{id: a.id, endpoints: []*engine.Endpoint{a.endpoint}, held: held}
	if l.callRelease(r) != nil {
		l.observeStateEnd(held, stateReleaseFailed)
	}
}
