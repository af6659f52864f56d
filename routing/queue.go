package routing

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// starvationAge is the time since arrival after which a queued request may be promoted, which means
	// dispatched out of order.
	starvationAge = 2 * time.Second
	// dispatchesPerPromotion bounds promotions to one in this many dispatches. Otherwise, after a stall that
	// made the whole backlog starve, all long prompts would be dispatched before the short ones.
	dispatchesPerPromotion = 4
)

// requestQueue holds the requests that wait for capacity and have no read state at any endpoint.
type requestQueue struct {
	waiting        []*request // in dispatch order
	recheck        []*request // waiting requests that the next dispatch tries in any case
	selected       []*request // requests that the current dispatch tries; the slice is reused
	byArrival      arrivalHeap
	byDueTime      []dueHeap // by class
	sincePromotion int       // dispatches since the last promotion
	shares         lengthShares
}

// queueEntry is the part of a request that the queue uses.
type queueEntry struct {
	waiting   bool
	overQuota bool          // exceeds its tenant's quota
	promoted  bool          // dispatched out of order; its own tokens do not count toward maxBacklog
	dueAt     time.Duration // end of its latency objective or its deadline, whichever is first
}

func newRequestQueue(classes int) requestQueue {
	return requestQueue{byDueTime: make([]dueHeap, classes)}
}

// compareDispatch defines the dispatch order: shortest prompt first, and requests that exceed their tenant's
// quota after all others.
func compareDispatch(a, b *request) int {
	switch {
	case a.queued.overQuota != b.queued.overQuota:
		return cmp.Compare(boolToFloat(a.queued.overQuota), boolToFloat(b.queued.overQuota))
	case a.PromptTokens != b.PromptTokens:
		return cmp.Compare(a.PromptTokens, b.PromptTokens)
	}
	return cmp.Compare(a.ID, b.ID)
}

// add queues a request and selects it for the next dispatch.
func (q *requestQueue) add(req *request) {
	i, _ := slices.BinarySearchFunc(q.waiting, req, compareDispatch)
	q.waiting = slices.Insert(q.waiting, i, req)
	q.recheck = append(q.recheck, req)
	req.queued.waiting = true
	req.choices.full, req.choices.fullVersion = nil, 0
	heap.Push(&q.byArrival, req)
	heap.Push(&q.byDueTime[req.Class], req)
}

// remove removes a request from the queue, if it is queued. Its heap entries stay until they reach the top.
func (q *requestQueue) remove(req *request) {
	if !req.queued.waiting {
		return
	}
	i, _ := slices.BinarySearchFunc(q.waiting, req, compareDispatch)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	req.queued.waiting = false
}

// position returns how many queued requests come before req in a dispatch that tries promoted first.
func (q *requestQueue) position(req, promoted *request) int {
	if req == promoted {
		return 0
	}
	i, _ := slices.BinarySearchFunc(q.waiting, req, compareDispatch)
	if promoted != nil && promoted.queued.waiting && compareDispatch(promoted, req) > 0 {
		i++
	}
	return i
}

// queuedAfter returns the queued requests that come after req, which was just sent, in a dispatch that tries
// promoted first.
func (q *requestQueue) queuedAfter(req, promoted *request) []*request {
	if req == promoted {
		return q.waiting
	}
	return q.waiting[q.position(req, nil):]
}

// recheckKey selects all queued requests with an affinity key for the next dispatch.
func (q *requestQueue) recheckKey(key uint64) {
	for _, req := range q.waiting {
		if req.affinityKey() == key {
			req.choices.fullVersion = 0
			q.recheck = append(q.recheck, req)
		}
	}
}

// promote returns the request that is dispatched first although it is not first in dispatch order; nil if
// there is none or if promotion is not due. A request of an underserved length band goes before the one that
// arrived first, which must have reached starvationAge.
func (q *requestQueue) promote(now time.Duration) *request {
	if q.sincePromotion < dispatchesPerPromotion-1 || len(q.waiting) == 0 {
		return nil
	}
	req := q.underserved()
	if oldest := q.oldest(); req == nil && oldest.arrivedAt < now-starvationAge {
		req = oldest
	}
	if req == nil || req == q.waiting[0] {
		return nil
	}
	if !req.queued.promoted {
		req.queued.promoted = true
		q.recheck = append(q.recheck, req)
	}
	return req
}

// underserved returns the shortest queued request of an underserved length band; nil if there is none.
// bandLongest goes before bandLong. Requests that exceed their tenant's quota are not considered.
func (q *requestQueue) underserved() *request {
	for _, band := range [...]lengthBand{bandLongest, bandLong} {
		lengths := q.shares.lengths.inBand(band)
		if len(lengths) == 0 || !q.shares.underserved(band) {
			continue
		}
		i, _ := slices.BinarySearchFunc(q.waiting, lengths[0], func(req *request, tokens float64) int {
			if req.queued.overQuota {
				return 1
			}
			return cmp.Compare(req.PromptTokens, tokens)
		})
		if i < len(q.waiting) && q.shares.mayPromote(q.waiting[i], band) {
			return q.waiting[i]
		}
	}
	return nil
}

// markDispatched removes a request from the queue after it was sent, and counts its dispatch.
func (q *requestQueue) markDispatched(req *request) {
	q.remove(req)
	if len(req.attempts) == 1 {
		q.shares.countDispatch(req)
	}
	if q.sincePromotion++; req.queued.promoted {
		q.sincePromotion = 0
	}
}

// oldest returns the queued request that arrived first; nil if the queue is empty.
func (q *requestQueue) oldest() *request {
	for q.byArrival.Len() > 0 {
		if req := q.byArrival.top(); req.queued.waiting {
			return req
		}
		heap.Pop(&q.byArrival)
	}
	return nil
}

// nextDue returns the queued request of a class with the earliest dueAt; nil if none is queued.
func (q *requestQueue) nextDue(class int) *request {
	dueTimes := &q.byDueTime[class]
	for dueTimes.Len() > 0 {
		if req := dueTimes.top(); req.queued.waiting {
			return req
		}
		heap.Pop(dueTimes)
	}
	return nil
}

// requestHeap is the common part of the heaps below. The entry of a request that left the queue stays until
// it reaches the top, and a request that is queued again has two entries.
type requestHeap []*request

func (h *requestHeap) Len() int      { return len(*h) }
func (h *requestHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }
func (h *requestHeap) Push(x any)    { *h = append(*h, x.(*request)) }
func (h *requestHeap) top() *request { return (*h)[0] }

func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	req := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return req
}

// arrivalHeap is ordered by arrival time, then by dispatch order.
type arrivalHeap struct{ requestHeap }

func (h *arrivalHeap) Less(i, j int) bool {
	a, b := h.requestHeap[i], h.requestHeap[j]
	return a.arrivedAt < b.arrivedAt || a.arrivedAt == b.arrivedAt && compareDispatch(a, b) < 0
}

// dueHeap is ordered by dueAt, then by dispatch order.
type dueHeap struct{ requestHeap }

func (h *dueHeap) Less(i, j int) bool {
	a, b := h.requestHeap[i], h.requestHeap[j]
	return a.queued.dueAt < b.queued.dueAt || a.queued.dueAt == b.queued.dueAt && compareDispatch(a, b) < 0
}
