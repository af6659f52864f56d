package fleet

import (
	"fmt"
	"testing"
	"time"
)

// echoActor increments each number below 9 that it receives and sends it to two other actors. It counts the messages
// that it receives out of order.
type echoActor struct {
	actorBase
	received     []string
	lastReceived time.Duration
	outOfOrder   int
}

func (e *echoActor) receive(message any) {
	if e.now() < e.lastReceived {
		e.outOfOrder++
	}
	e.lastReceived = e.now()
	n := message.(int)
	e.received = append(e.received, fmt.Sprint(e.now(), n))
	if n < 9 {
		e.send((e.id+3)%8, 0, n+1)
		e.send((e.id+5)%8, time.Duration(n)*300*time.Microsecond, n+1)
	}
}

// Actors must receive messages ordered by time, and the same messages with one shard as with four.
func TestSchedulerDeliversInOrder(t *testing.T) {
	var withOneShard string
	for _, shards := range []int{1, 4} {
		s := newScheduler(shards, time.Millisecond)
		var actors []*echoActor
		for range 8 {
			a := &echoActor{}
			s.add(a)
			actors = append(actors, a)
		}
		for _, a := range actors {
			a.schedule(time.Duration(a.id)*100*time.Microsecond, 0)
		}
		s.run(func(now time.Duration) bool { return now > time.Second })
		for _, a := range actors {
			if len(a.received) < 100 || a.outOfOrder > 0 {
				t.Errorf("%d shards: actor %d received %d messages, %d out of order", shards, a.id, len(a.received), a.outOfOrder)
			}
		}
		if shards == 1 {
			withOneShard = fmt.Sprint(actors[3].received)
		} else if got := fmt.Sprint(actors[3].received); got != withOneShard {
			t.Error("the messages that an actor receives depend on the number of shards")
		}
	}
}
