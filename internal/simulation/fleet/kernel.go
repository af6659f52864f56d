package fleet

import (
	"sync"
	"time"
)

// The kernel: parties that share nothing and speak by messages, each of which takes a link's time at least. So all that
// happens within one link's time after the earliest event can't bear on another party's part of it, and shards of parties
// may play it side by side. A party meets its messages in the order of time, sender and number, whatever the shards: one
// seed gives one course, on one processor or on many.

// party is one front, one engine, the register, or the clients.
type party interface {
	take(m any)
	self() *base
}

// base is what every party has.
type base struct {
	id  int32
	seq uint32
	on  *shard
}

func (b *base) self() *base { return b }

// now is the simulated time.
func (b *base) now() time.Duration { return b.on.now }

// send gives a message to another party, after a link's time or longer.
func (b *base) send(to int32, after time.Duration, m any) {
	b.seq++
	k := b.on.k
	ev := event{at: b.on.now + max(after, k.link), to: to, from: b.id, seq: b.seq, m: m}
	if s := k.of(to); s == b.on {
		s.push(ev)
	} else {
		b.on.out[s.n] = append(b.on.out[s.n], ev)
	}
}

// later gives a message to the party itself.
func (b *base) later(after time.Duration, m any) {
	b.seq++
	b.on.push(event{at: b.on.now + max(after, 0), to: b.id, from: b.id, seq: b.seq, m: m})
}

type event struct {
	at       time.Duration
	to, from int32
	seq      uint32
	m        any
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

// shard is some of the parties with a queue of their own.
type shard struct {
	k      *kernel
	n      int
	now    time.Duration
	queue  []event   // a binary heap
	out    [][]event // by shard: what goes over after the round
	events int64
}

func (s *shard) push(ev event) {
	q := append(s.queue, ev)
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !q[i].before(&q[up]) {
			break
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
	s.queue = q
}

func (s *shard) pop() event {
	q := s.queue
	top, last := q[0], len(q)-1
	q[0] = q[last]
	q[last] = event{}
	q = q[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			break
		}
		if c+1 < last && q[c+1].before(&q[c]) {
			c++
		}
		if !q[c].before(&q[i]) {
			break
		}
		q[i], q[c] = q[c], q[i]
		i = c
	}
	s.queue = q
	return top
}

// play takes all that falls due before limit.
func (s *shard) play(limit time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < limit {
		ev := s.pop()
		s.now = ev.at
		s.events++
		s.k.parties[ev.to].take(ev.m)
	}
}

type kernel struct {
	link    time.Duration
	parties []party
	shards  []*shard
}

func newKernel(shards int, link time.Duration) *kernel {
	k := &kernel{link: link}
	for n := range shards {
		k.shards = append(k.shards, &shard{k: k, n: n, out: make([][]event, shards)})
	}
	return k
}

func (k *kernel) of(id int32) *shard { return k.shards[int(id)%len(k.shards)] }

// add makes p a party; its base's id is set.
func (k *kernel) add(p party) int32 {
	b := p.self()
	b.id = int32(len(k.parties))
	b.on = k.of(b.id)
	k.parties = append(k.parties, p)
	return b.id
}

// run plays until over says so, which is asked between rounds, or nothing is left.
func (k *kernel) run(over func(now time.Duration) bool) {
	work := make([]chan time.Duration, len(k.shards))
	var done, ended sync.WaitGroup
	for i, s := range k.shards[1:] {
		work[i+1] = make(chan time.Duration)
		ended.Add(1)
		go func() {
			defer ended.Done()
			for limit := range work[i+1] {
				s.play(limit)
				done.Done()
			}
		}()
	}
	for {
		next, any := time.Duration(0), false
		for _, s := range k.shards {
			if len(s.queue) > 0 && (!any || s.queue[0].at < next) {
				next, any = s.queue[0].at, true
			}
		}
		if !any || over(next) {
			break
		}
		done.Add(len(k.shards) - 1)
		for _, c := range work[1:] {
			c <- next + k.link
		}
		k.shards[0].play(next + k.link)
		done.Wait()
		for _, s := range k.shards {
			for to, list := range s.out {
				for _, ev := range list {
					k.shards[to].push(ev)
				}
				clear(list)
				s.out[to] = list[:0]
			}
		}
	}
	for _, c := range work[1:] {
		close(c)
	}
	ended.Wait()
}
