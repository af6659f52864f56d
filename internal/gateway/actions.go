package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// perform carries out an action of the router, or what the test hook makes of it.
func (l *eventLoop) perform(action routing.Action) {
	hook := l.gateway.hooks.Action
	if hook == nil {
		l.performOne(action)
		return
	}
	for _, replaced := range hook(action) {
		l.performOne(replaced)
	}
}

func (l *eventLoop) performOne(action routing.Action) {
	switch action := action.(type) {
	case routing.Send:
		l.startAttempt(action)
	case routing.Reject:
		if request := l.touch(action.Request); request != nil {
			request.reject(rejectionResponse(action))
		}
	case routing.Fail:
		if request := l.touch(action.Request); request != nil {
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

// startAttempt passes a new attempt to a worker.
func (l *eventLoop) startAttempt(send routing.Send) {
	request, entry := l.requests[send.Request], l.table.byID[send.Endpoint]
	if request == nil || entry == nil { // the router only sends requests that it got, to endpoints that it got
		l.gateway.log.Error("send for an unknown request or endpoint",
			zap.Uint32("request", uint32(send.Request)), zap.Uint32("server", uint32(send.Endpoint)))
		l.refuseSend(request, &send)
		return
	}
	l.releaseUnclear(request)
	a := l.newAttempt(request, entry, &send)
	request.addAttempt(a)
	request.pendingAttempts++
	l.dispatch(a)
}

// refuseSend ends an attempt that can't be started. The router has counted it, so it counts here too.
func (l *eventLoop) refuseSend(request *inflightRequest, send *routing.Send) {
	outcome := routing.Outcome{Request: send.Request, Endpoint: send.Endpoint, Result: routing.NotSent}
	if request != nil {
		a := &attempt{
			request: request, index: len(request.attempts), endpoint: &engine.Endpoint{}, neverRan: true,
			ended: make(chan struct{}), pending: true,
		}
		close(a.ended)
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
		startAfter: request.release.done, ended: make(chan struct{}), pending: true,
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

// attemptEnded records the end of an attempt.
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

// maxIdleWorkers bounds the goroutines that wait for the next attempt. Their stacks have grown to what an attempt
// needs, which saves copying that of a new goroutine as it grows.
const maxIdleWorkers = 256

// dispatch passes an attempt to an idle worker, or to a new one.
func (l *eventLoop) dispatch(a *attempt) {
	l.work.Add(1)
	select {
	case l.handoff <- a:
	default:
		go l.worker(a)
	}
}

// worker runs attempts until enough others are idle or the loop ends.
func (l *eventLoop) worker(a *attempt) {
	for {
		a.run(l)
		l.work.Done()
		a = nil // an idle worker keeps nothing alive
		if l.idle.Add(1) > maxIdleWorkers {
			l.idle.Add(-1)
			return
		}
		select {
		case a = <-l.handoff:
			l.idle.Add(-1)
		case <-l.done:
			return
		}
	}
}
