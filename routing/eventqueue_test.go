package routing

import (
	"container/heap"
	"time"
)

// plannedEvent is an event at a time; events at one time keep their order.
type plannedEvent struct {
	at    time.Duration
	order int
	event Event
}

// eventQueue holds events to come, the earliest first.
type eventQueue struct {
	events  eventHeap
	planned int
}

func (q *eventQueue) plan(at time.Duration, event Event) {
	q.planned++
	heap.Push(&q.events, plannedEvent{at, q.planned, event})
}

// next returns the earliest event.
func (q *eventQueue) next() plannedEvent { return heap.Pop(&q.events).(plannedEvent) }

// due reports that there is an event at a time or before.
func (q *eventQueue) due(now time.Duration) bool { return len(q.events) > 0 && q.events[0].at <= now }

type eventHeap []plannedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(plannedEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
