package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// perform carries out an action of the router. A test hook may replace the action by others.
func (l *eventLoop) perform(action routing.Action) {
	hook := l.gateway.hooks.Action
	if hook == nil {
		l.performOne(action)
		return
	}
	for _, replacement := range hook(action) {
		l.performOne(replacement)
	}
}

// performOne carries out one action, of the router or of the test hook.
func (l *eventLoop) performOne(action routing.Action) {
	switch action := action.(type) {
	case routing.Send:
		l.startAttempt(action)
	case routing.Reject:
		if request := l.completionCandidate(action.Request); request != nil {
			request.reject(rejectionResponse(action))
		}
	case routing.Fail:
		if request := l.completionCandidate(action.Request); request != nil {
			if action.PossibleDuplicate {
				request.respond(possibleDuplicateResponse())
			} else {
				request.respond(failureResponse(request, action.Reason.String()))
			}
		}
	case routing.Cancel:
		if request := l.requests[action.Request]; request != nil && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].handle.Cancel()
		}
	case routing.ReleaseState:
		if request := l.requests[action.Request]; request != nil {
			l.releaseRequested(request)
		}
	case routing.SetTimer:
		time.AfterFunc(action.After, func() { l.post(routing.Timer{Tag: action.Tag}, nil) })
	case routing.Log:
		l.gateway.log.Info("router", zap.String("text", action.Text))
	}
}

// startAttempt creates an attempt and hands it to a worker.
func (l *eventLoop) startAttempt(send routing.Send) {
	request, entry := l.requests[send.Request], l.table.byID[send.Endpoint]
	if request == nil || entry == nil { // a fault: the router may only use requests and endpoints that it was given
		l.gateway.log.Error("send for an unknown request or endpoint",
			zap.Uint32("request", uint32(send.Request)), zap.Uint32("server", uint32(send.Endpoint)))
		l.endUnsentAttempt(request, &send)
		return
	}
	l.releaseUnconfirmed(request)
	a := l.newAttempt(request, entry, &send)
	request.addAttempt(a)
	request.pendingAttempts++
	l.dispatch(a)
}

// endUnsentAttempt ends an attempt that can't be started, with the outcome NotSent. The router has counted the attempt,
// so it is added to the request's attempts here too: attempts are identified by their index.
func (l *eventLoop) endUnsentAttempt(request *inflightRequest, send *routing.Send) {
	outcome := routing.Outcome{Request: send.Request, Endpoint: send.Endpoint, Result: routing.NotSent}
	if request != nil {
		a := &attempt{
			request: request, index: len(request.attempts), endpoint: &engine.Endpoint{}, neverExecuted: true,
			done: make(chan struct{}), pending: true,
		}
		close(a.done)
		outcome.Attempt = a.index
		request.addAttempt(a)
		request.pendingAttempts++
	}
	l.post(outcome, nil)
}

func (l *eventLoop) newAttempt(request *inflightRequest, entry *endpointEntry, send *routing.Send) *attempt {
	a := &attempt{
		request: request, index: len(request.attempts), endpoint: entry.engine,
		decode: entry.engine.Role != routing.RolePrefill, id: request.clientID,
		deadline: request.deadline, connectTimeout: send.ConnectTimeout,
		newConn:    slices.ContainsFunc(request.attempts, (*attempt).lostOnReusedConn),
		startAfter: request.release.done, done: make(chan struct{}), pending: true,
	}
	if a.id == "" {
		a.id = l.gateway.attemptID(request.id, a.index)
	}
	if send.Timeout > 0 {
		if timeout := l.steppedAt.Add(send.Timeout); timeout.Before(a.deadline) {
			a.deadline = timeout
		}
	}
	if send.SendWindow > 0 {
		a.sendBy = l.steppedAt.Add(send.SendWindow)
	}
	if a.decode {
		a.kvParams = request.kvParams
	} else {
		request.kvParams = nil
	}
	return a
}

func (a *attempt) lostOnReusedConn() bool { return a.handle.Progress().LostOnReusedConn() }

// attemptEnded updates the request when the outcome of one of its attempts has come.
func (l *eventLoop) attemptEnded(request *inflightRequest, outcome *routing.Outcome) {
	a := request.attempts[outcome.Attempt]
	request.pendingAttempts--
	a.pending = false
	if outcome.Result == routing.PrefillDone {
		request.kvParams, a.kvParams = a.kvParams, nil
		l.stateHeld(request, a.endpoint.Name)
	}
	if outcome.StateMissing {
		l.endState(request, stateMissing)
	}
	if request.pendingAttempts == 0 && request.delayedResponse != nil {
		request.respond(*request.delayedResponse)
	}
	if a.decode {
		l.attemptResults.decode[outcome.Result].Inc()
	} else {
		l.attemptResults.prefill[outcome.Result].Inc()
	}
}

// maxIdleWorkers bounds the idle goroutines that are kept for further attempts. Their stacks have already grown to the
// size that an attempt needs; a new goroutine's stack would be copied each time it grows.
const maxIdleWorkers = 256

// dispatch hands an attempt to an idle worker, or starts a new worker if none is idle.
func (l *eventLoop) dispatch(a *attempt) {
	l.tasks.Add(1)
	select {
	case l.handoff <- a:
	default:
		go l.worker(a)
	}
}

// worker runs attempts. It ends when maxIdleWorkers others are idle, or with the event loop.
func (l *eventLoop) worker(a *attempt) {
	for {
		a.run(l)
		l.tasks.Done()
		a = nil // so that an idle worker doesn't keep the attempt from being garbage collected
		if l.idleWorkers.Add(1) > maxIdleWorkers {
			l.idleWorkers.Add(-1)
			return
		}
		select {
		case a = <-l.handoff:
			l.idleWorkers.Add(-1)
		case <-l.done:
			return
		}
	}
}
