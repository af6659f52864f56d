package fleet

import (
	"sync"
	"time"
)

// actor is one replica, one engine, one planner, the API server, or all clients. Actors share no state and communicate
// by messages, each of which takes at least the minimum latency of a link, the lookahead. An event can therefore affect
// another actor only after the lookahead, and shards of actors can run in parallel for that time. An actor receives its
// messages ordered by time, sender and sequence number, so the result does not depend on the number of shards. Oracles
// break the first rule: they read the state of other actors, and such a run must have one shard.
type actor interface {
	receive(message any)
	base() *actorBase
}

// actorBase is embedded by every actor.
type actorBase struct {
	id    int32
	seq   uint32 // number of the latest message that the actor sent
	shard *shard
}

func (b *actorBase) base() *actorBase { return b }

// now returns the simulated time.
func (b *actorBase) now() time.Duration { return b.shard.now }

// send delivers a message to another actor after a delay, which is raised to the lookahead if it is shorter.
func (b *actorBase) send(to int32, delay time.Duration, message any) {
	b.seq++
	scheduler := b.shard.scheduler
	at := b.shard.now + max(delay, scheduler.lookahead)
	ev := event{at: at, to: to, from: b.id, seq: b.seq, message: message}
	if target := scheduler.shardOf(to); target == b.shard {
		target.push(ev)
	} else {
		b.shard.outbox[target.index] = append(b.shard.outbox[target.index], ev)
	}
}

// schedule delivers a message to the actor itself after a delay, which may be shorter than the lookahead.
func (b *actorBase) schedule(delay time.Duration, message any) {
	b.seq++
	b.shard.push(event{at: b.shard.now + max(delay, 0), to: b.id, from: b.id, seq: b.seq, message: message})
}

type event struct {
	at       time.Duration
	to, from int32
	seq      uint32
	message  any
}

func (e *event) before(o *event) bool {
	switch {
	case e.at != o.at:
		return e.at < o.at
	case e.to != o.to:
		return e.to < o.to
	case e.from != o.from:
		return e.from < o.from
	}
	return e.seq < o.seq
}

// shard is a subset of the actors with its own event queue. During a round, only one goroutine uses it.
type shard struct {
	scheduler       *scheduler
	index           int
	now             time.Duration
	queue           []event   // binary heap; container/heap would allocate for each event, because it stores interfaces
	outbox          [][]event // events for other shards, indexed by shard; delivered after the round
	deliveredEvents int64     // number of events delivered
}

func (s *shard) push(ev event) {
	queue := append(s.queue, ev)
	i := len(queue) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !queue[i].before(&queue[parent]) {
			break
		}
		queue[i], queue[parent] = queue[parent], queue[i]
		i = parent
	}
	s.queue = queue
}

func (s *shard) pop() event {
	queue := s.queue
	top, last := queue[0], len(queue)-1
	queue[0] = queue[last]
	queue[last] = event{}
	queue = queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && queue[child+1].before(&queue[child]) {
			child++
		}
		if !queue[child].before(&queue[i]) {
			break
		}
		queue[i], queue[child] = queue[child], queue[i]
		i = child
	}
	s.queue = queue
	return top
}

// run delivers all events that are due before limit.
func (s *shard) run(limit time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < limit {
		ev := s.pop()
		s.now = ev.at
		s.deliveredEvents++
		s.scheduler.actors[ev.to].receive(ev.message)
	}
}

// scheduler runs the actors in simulated time. In each round, all shards deliver their events of one lookahead.
type scheduler struct {
	lookahead time.Duration // minimum delay of a message between actors
	actors    []actor
	shards    []*shard
}

func newScheduler(shards int, lookahead time.Duration) *scheduler {
	s := &scheduler{lookahead: lookahead}
	for i := range shards {
		s.shards = append(s.shards, &shard{scheduler: s, index: i, outbox: make([][]event, shards)})
	}
	return s
}

func (s *scheduler) shardOf(id int32) *shard { return s.shards[int(id)%len(s.shards)] }

// add registers an actor and sets its ID.
func (s *scheduler) add(a actor) {
	b := a.base()
	b.id = int32(len(s.actors))
	b.shard = s.shardOf(b.id)
	s.actors = append(s.actors, a)
}

// run delivers events until none is left or isOver returns true; it is called before each round. Each shard except the
// first runs in its own goroutine, which ends before run returns.
func (s *scheduler) run(isOver func(now time.Duration) bool) {
	limits := make([]chan time.Duration, len(s.shards))
	var round, workers sync.WaitGroup
	for i, shard := range s.shards[1:] {
		limits[i+1] = make(chan time.Duration)
		workers.Add(1)
		go func() {
			defer workers.Done()
			for limit := range limits[i+1] {
				shard.run(limit)
				round.Done()
			}
		}()
	}
	for {
		next, found := s.nextEvent()
		if !found || isOver(next) {
			break
		}
		round.Add(len(s.shards) - 1)
		for _, limit := range limits[1:] {
			limit <- next + s.lookahead
		}
		s.shards[0].run(next + s.lookahead)
		round.Wait()
		s.deliverOutboxes()
	}
	for _, limit := range limits[1:] {
		close(limit)
	}
	workers.Wait()
}

// nextEvent returns the time of the earliest event.
func (s *scheduler) nextEvent() (next time.Duration, found bool) {
	for _, shard := range s.shards {
		if len(shard.queue) > 0 && (!found || shard.queue[0].at < next) {
			next, found = shard.queue[0].at, true
		}
	}
	return next, found
}

// deliverOutboxes moves the events in the outboxes to the queues of their shards.
func (s *scheduler) deliverOutboxes() {
	for _, shard := range s.shards {
		for to, events := range shard.outbox {
			for _, ev := range events {
				s.shards[to].push(ev)
			}
			clear(events)
			shard.outbox[to] = events[:0]
		}
	}
}
