package routing

import (
	"container/heap"
	"slices"
	"time"
)

// finalAnswerMargin is how long before the deadline of a queued request its final answer is sent, so that it
// arrives in time.
const finalAnswerMargin = 30 * time.Millisecond

// dispatch sends queued requests to endpoints with capacity: shortest prompt first, and now and then one that
// has starved. Requests beyond their tenant's quota come last. Where nothing has changed that could have made
// capacity, only those are tried that are new, promoted or expired.
func (r *Router) dispatch() {
	q := &r.queue
	promoted := q.promote(r.now)
	all := r.refreshCapacity()
	r.selectRequests(all, promoted)
	for i := 0; i < len(q.selected); i++ {
		switch req := q.selected[i]; {
		case !req.queued.waiting: // it was selected twice
		case r.expired(req):
			r.finish(req, r.finalAnswer(req, q.position(req, promoted), r.expiredReason(req)))
		case r.knownToBeFull(req):
		case r.placeQueued(req):
			q.markDispatched(req)
			// Each send adds to what mixed endpoints are owed, so others may go there now.
			r.capacity.stale = r.capacity.stale || r.backends.roles[RoleMixed].listed > 0
			if r.capacity.stale && !all { // try all requests behind this one too
				all = true
				q.selected, i = append(q.selected[:0], q.queuedAfter(req, promoted)...), -1
			}
		}
	}
	clear(q.selected) // it must not keep requests alive
}

// selectRequests lists what this dispatch tries, in order: all requests, or those that need no change of
// capacity.
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

// expired reports that a queued request can't be answered in time any more, or must not be tried. It is given
// up early, while a retry may still help its client.
func (r *Router) expired(req *request) bool {
	return r.now+max(finalAnswerMargin, r.latency.minServiceTime(req.Class)) >= req.queued.dueAt ||
		len(req.attempts) >= r.config.MaxAttempts || req.shed
}

// expiredReason says why a queued request that has expired is given up.
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
