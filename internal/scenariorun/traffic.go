package scenariorun

import (
	"context"
	"fmt"
	"sync"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

// traffic is the day's clients.
type traffic struct {
	r     *run
	began time.Time
	end   time.Time     // no turn begins after it
	open  chan struct{} // bounds clients at once
	wg    sync.WaitGroup
	mu    sync.Mutex
	score *scenario.Score
}

func newTraffic(r *run) *traffic {
	return &traffic{r: r, open: make(chan struct{}, 4000), score: r.d.Score()}
}

// mood is the clients' at present.
func (t *traffic) mood() *scenario.Conditions {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	m := t.r.mood
	return &m
}

// play lets sessions begin at their rate until the day is over, and waits for their ends.
func (t *traffic) play(ctx context.Context, began time.Time) {
	t.began, t.end = began, began.Add(t.r.d.Length)
	arrivals := t.r.d.Arrivals()
	for now := began; ; {
		now = now.Add(arrivals.Gap(t.mood()))
		if now.After(t.end) || !sleepUntil(ctx, now) {
			break
		}
		s := arrivals.Next(t.mood())
		select {
		case t.open <- struct{}{}:
		default: // the bound on clients; this one does not begin
			continue
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-t.open }()
			t.converse(s)
		}()
	}
	t.wg.Wait()
}

func (t *traffic) converse(s *scenario.Session) {
	d := t.r.d
	c := &d.Classes[s.Class]
	try := client.Attempt{
		Class: audit.Class(c.Idempotency), ClassName: c.Name, Session: s.Key, MaxTokens: int(c.AnswerTokens) * 3,
		Stream: s.Stream, Timeout: c.Deadline, System: s.Prefix.Words(),
	}
	if s.Tenant >= 0 {
		try.Tenant = d.Tenants[s.Tenant].Name
	}
	for {
		for len(try.Turns) < len(s.Turns) {
			try.Turns = append(try.Turns, s.Turns[len(try.Turns)].Words())
		}
		try.AnswerTokens = s.Answer
		kind := t.ask(s, try, fmt.Sprintf("%d.%d", s.ID, s.Turn))
		more, pause := s.NextTurn(kind, time.Now().After(t.end), t.mood())
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// ask sends a request with the retries of its client.
func (t *traffic) ask(s *scenario.Session, try client.Attempt, effect string) (kind string) {
	try.Intent, try.DisconnectAfter, try.MarksRetries = effect, s.HangUp, s.MarksRetries
	if try.Class == audit.IdempotentWithKey {
		try.Key = fmt.Sprintf("key-%d-%s", t.r.d.Seed, effect)
	}
	if s.Slow {
		try.ReadDelay = scenario.SlowReadDelay
	}
	began := time.Now()
	for {
		front := t.r.fronts[s.PickReplica(len(t.r.fronts))]
		try.ID, try.Retries = fmt.Sprintf("%s/%d", effect, s.Attempts), s.Retries
		before := time.Since(began)
		res := client.Send(&try, front.name, front.addr, t.r.rec)
		if res.FirstToken > 0 {
			res.FirstToken += before
		}
		again, pause := s.AfterAttempt(res.Kind, res.NoAutoRetry, res.RetryAfter, time.Since(began))
		if !again {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.score.Add(s, began.Sub(t.began), res.Kind, res.FirstToken)
			return res.Kind
		}
		time.Sleep(pause)
	}
}
