package routing

import (
	"container/heap"
	"time"
)

// queuedEvent is an event with its time; events at the same time keep the order in which they were pushed.
type queuedEvent struct {
	at    time.Duration
	order int
	event Event
}

// eventQueue is a priority queue of future events, the earliest first.
type eventQueue struct {
	events eventHeap
	pushed int
}

func (q *eventQueue) push(at time.Duration, event Event) {
	q.pushed++
	heap.Push(&q.events, queuedEvent{at, q.pushed, event})
}

// pop removes and returns the earliest event.
func (q *eventQueue) pop() queuedEvent { return heap.Pop(&q.events).(queuedEvent) }

// due reports whether an event is due at the time now.
func (q *eventQueue) due(now time.Duration) bool { return len(q.events) > 0 && q.events[0].at <= now }

type eventHeap []queuedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(queuedEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
