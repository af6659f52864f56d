package routing

import (
	"container/heap"
	"slices"
	"time"
)

// finalAnswerMargin is the time before a request's deadline at which its final answer is sent, so that the
// answer arrives in time.
const finalAnswerMargin = 30 * time.Millisecond

// dispatch sends queued requests to endpoints with capacity, in dispatch order except for at most one
// promoted request that goes first. If capacity cannot have grown since the last dispatch, it tries only
// requests that are new, promoted, expired or selected by recheckKey.
func (r *Router) dispatch() {
	q := &r.queue
	promoted := q.promote(r.now)
	all := r.refreshCapacity()
	r.selectRequests(all, promoted)
	for i := 0; i < len(q.selected); i++ {
		switch req := q.selected[i]; {
		case !req.queued.waiting: // it was selected twice and has left the queue
		case r.expired(req):
			r.finish(req, r.finalAnswer(req, q.position(req, promoted), r.expiredReason(req)))
		case r.knownToBeFull(req):
		case r.placeQueued(req):
			q.markDispatched(req)
			// A send to a prefill endpoint raises the credit of mixed endpoints, so requests that were tried
			// without success may be sent there now.
			r.capacity.stale = r.capacity.stale || r.backends.roles[RoleMixed].listed > 0
			if r.capacity.stale && !all { // also try all requests after this one
				all = true
				q.selected, i = append(q.selected[:0], q.queuedAfter(req, promoted)...), -1
			}
		}
	}
	clear(q.selected) // lets the garbage collector free the requests
}

// selectRequests lists the requests that this dispatch tries, in order: all of them, or those that are to be
// tried even though capacity has not changed.
func (r *Router) selectRequests(all bool, promoted *request) {
	q := &r.queue
	q.selected = q.selected[:0]
	if all {
		q.selected = append(q.selected, q.waiting...)
	} else {
		q.selected = append(q.selected, q.recheck...)
		r.selectExpired()
		slices.SortFunc(q.selected, compareDispatch)
		q.selected = slices.Compact(q.selected)
	}
	q.recheck = q.recheck[:0]
	if i := slices.Index(q.selected, promoted); promoted != nil && i > 0 {
		q.selected = slices.Insert(slices.Delete(q.selected, i, i+1), 0, promoted)
	}
}

// selectExpired adds the queued requests whose time is up. Their heap entries are removed, since the dispatch
// ends these requests.
func (r *Router) selectExpired() {
	q := &r.queue
	for class := range q.byDueTime {
		for {
			req := q.nextDue(class)
			if req == nil || !r.expired(req) {
				break
			}
			heap.Pop(&q.byDueTime[class])
			q.selected = append(q.selected, req)
		}
	}
}

// expired reports whether a queued request must not be tried any more: because it can't be answered by dueAt,
// has used all its attempts, or was shed. It is then given up at once, early enough for the client to retry
// elsewhere.
func (r *Router) expired(req *request) bool {
	return r.now+max(finalAnswerMargin, r.latency.minServiceTime(req.Class)) >= req.queued.dueAt ||
		len(req.attempts) >= r.config.MaxAttempts || req.shed
}

// expiredReason returns the reason why an expired request is given up.
func (r *Router) expiredReason(req *request) Reason {
	switch {
	case r.admission.shuttingDown:
		return ReasonShutdown
	case req.shed:
		return ReasonOverload
	case len(req.attempts) >= r.config.MaxAttempts:
		return ReasonAttemptsExhausted
	case req.queued.dueAt >= req.Deadline:
		return ReasonDeadline
	}
	return ReasonObjectiveMissed
}
