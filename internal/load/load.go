// Package load sends a day's clients (internal/lab/scene) at running fronts and measures what they see. Arrivals are open:
// each session begins at its time, however slow the answers are, and latencies count from the time at which a request
// should have been sent, so a server that stalls can't hide it by holding the senders up (coordinated omission). It judges
// no rules and starts no servers.
package load

import (
	"brackenbend/internal/audit"
	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Plan says what is sent, and where.
type Plan struct {
	Day      *scenario.Day
	Fronts   []string // host:port; each try goes to one of them by lot
	Model    string
	Length   time.Duration // how long sessions begin
	Most     int           // requests at once; more are counted as not begun; 0 = 2000
	Anywhere bool          // else only loopback addresses are taken
	Progress func(done float64, open int)
}

// Bounds of a run.
const (
	mostLength = time.Hour
	mostOpen   = 20000
)

func (p *Plan) check() error {
	switch {
	case len(p.Fronts) == 0:
		return errors.New("load: no front is named; write host:port")
	case p.Length < time.Second || p.Length > mostLength:
		return fmt.Errorf("load: a length of %v; from 1s to %v", p.Length, mostLength)
	case p.Most < 1 || p.Most > mostOpen:
		return fmt.Errorf("load: %d requests at once; from 1 to %d", p.Most, mostOpen)
	}
	for _, f := range p.Fronts {
		host, _, err := net.SplitHostPort(f)
		if err != nil {
			return fmt.Errorf("load: front %q: %w; write host:port", f, err)
		}
		if ip := net.ParseIP(host); !p.Anywhere && (ip == nil || !ip.IsLoopback()) && host != "localhost" {
			return fmt.Errorf("load: front %q is not a loopback address; if the load is meant for it, say so (--anywhere)", f)
		}
	}
	return nil
}

// Class is what clients of one class saw. Times are in microseconds.
type Class struct {
	scenario.Row
	First *hdrhistogram.Histogram `json:"-"` // from when it should have been sent to the first token
	Gap   *hdrhistogram.Histogram `json:"-"` // between tokens
	Whole *hdrhistogram.Histogram `json:"-"` // to the end of answers that were served
}

// Report is what came of a run.
type Report struct {
	Length   time.Duration
	Took     time.Duration
	Classes  []Class
	Tenants  []scenario.Row
	Service  float64
	Course   []scenario.Second
	Kinds    map[string]int // ends of tries: served, refused, failed ...
	Tokens   int64
	NotBegun int           // sessions past the bound of requests at once
	Behind   time.Duration // the latest that a session began after its time: of the sender itself
}

// histogram holds 1 us to 5 min with two digits.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 2)
}

type run struct {
	p       *Plan
	began   time.Time
	mu      sync.Mutex
	mood    scenario.Mood
	score   *scenario.Score
	classes []Class
	kinds   map[string]int
	tokens  atomic.Int64
	open    atomic.Int64
}

// Run sends until the plan's time is over and every session has ended. On ctx's end no session begins or goes on.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if p.Most == 0 {
		p.Most = 2000
	}
	if err := p.check(); err != nil {
		return nil, planError{err}
	}
	r := &run{p: &p, began: time.Now(), mood: scenario.Calm(), score: p.Day.Score(), kinds: map[string]int{}}
	for range p.Day.Classes {
		r.classes = append(r.classes, Class{First: histogram(), Gap: histogram(), Whole: histogram()})
	}
	var sessions, moods sync.WaitGroup
	mctx, stop := context.WithCancel(ctx)
	defer stop()
	moods.Add(1)
	go func() { defer moods.Done(); r.moods(mctx) }()
	rep := &Report{Length: p.Length}
	arrivals := p.Day.Arrivals()
	for at := r.began; ; {
		at = at.Add(arrivals.Gap(r.feel()))
		if at.Sub(r.began) > p.Length || !until(ctx, at) {
			break
		}
		rep.Behind = max(rep.Behind, time.Since(at))
		s := arrivals.Next(r.feel())
		if r.open.Load() >= int64(p.Most) {
			rep.NotBegun++
			continue
		}
		r.open.Add(1)
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			defer r.open.Add(-1)
			r.converse(ctx, s, at)
		}()
	}
	sessions.Wait()
	stop()
	moods.Wait()
	rep.Took = time.Since(r.began)
	rows, tenants := r.score.Rows()
	for i, row := range rows {
		r.classes[i].Row = row
	}
	rep.Classes, rep.Tenants, rep.Service, rep.Course, rep.Kinds, rep.Tokens = r.classes, tenants, r.score.Service(), r.score.Course, r.kinds, r.tokens.Load()
	return rep, nil
}

func until(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// moods carries out the day's happenings that are the clients' own.
func (r *run) moods(ctx context.Context) {
	all := r.p.Day.Moods()
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		for len(all) > 0 && time.Since(r.began) >= all[0].At {
			r.mu.Lock()
			all[0].Do(&r.mood)
			r.mu.Unlock()
			all = all[1:]
		}
		if r.p.Progress != nil {
			r.p.Progress(min(time.Since(r.began).Seconds()/r.p.Length.Seconds(), 1), int(r.open.Load()))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *run) feel() *scenario.Mood {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mood
	return &m
}

// converse is one session; its first request should be sent at a time.
func (r *run) converse(ctx context.Context, s *scenario.Session, at time.Time) {
	c := &r.p.Day.Classes[s.Class]
	t := client.Try{
		Class: audit.Class(c.Effect), ClassName: c.Name, Session: s.Key, MaxTokens: int(c.Answer) * 3, Stream: s.Stream,
		Wait: c.Deadline, System: s.Beginning.Words(), Model: r.p.Model,
	}
	if s.Tenant >= 0 {
		t.Tenant = r.p.Day.Tenants[s.Tenant].Name
	}
	for {
		for len(t.Turns) < len(s.Turns) {
			t.Turns = append(t.Turns, s.Turns[len(t.Turns)].Words())
		}
		t.Answer = s.Answer
		kind := r.ask(ctx, s, t, at)
		more, pause := s.More(kind, time.Since(r.began) > r.p.Length, r.feel())
		at = time.Now().Add(pause)
		if !more || !until(ctx, at) {
			return
		}
	}
}

// ask sends one request with its client's retries.
func (r *run) ask(ctx context.Context, s *scenario.Session, t client.Try, at time.Time) string {
	t.Effect, t.HangUp, t.Marked = fmt.Sprintf("%d.%d", s.ID, s.Turn), s.HangUp, s.Marked
	if t.Class == audit.Keyed {
		t.Key = fmt.Sprintf("load-%d-%s", r.began.UnixNano(), t.Effect)
	}
	if s.Slow {
		t.SlowBy = scenario.ReadsSlowly
	}
	for {
		front := r.p.Fronts[s.Front(len(r.p.Fronts))]
		t.ID, t.Repeats = fmt.Sprintf("%s/%d", t.Effect, s.Tries), s.Repeats
		var gaps []time.Duration
		var last time.Time
		t.Token = func() {
			now := time.Now()
			if !last.IsZero() && len(gaps) < 10000 {
				gaps = append(gaps, now.Sub(last))
			}
			last = now
		}
		late := time.Since(at) // of this try; earlier ones and their pauses are part of what the client waits
		res := client.Do(&t, front, front, nil)
		if res.First > 0 {
			res.First += late
		}
		again, pause := s.After(res.Kind, res.HandUp, res.Wait, time.Since(at))
		r.count(s, &res, gaps, time.Since(at), !again, at)
		if !again || !until(ctx, time.Now().Add(pause)) {
			return res.Kind
		}
	}
}

func (r *run) count(s *scenario.Session, res *client.Result, gaps []time.Duration, whole time.Duration, ended bool, at time.Time) {
	r.tokens.Add(int64(res.Tokens))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[res.Kind]++
	c := &r.classes[s.Class]
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
	}
	for _, g := range gaps {
		record(c.Gap, g)
	}
	if !ended {
		return
	}
	if res.First > 0 {
		record(c.First, res.First)
	}
	if res.Kind == "served" {
		record(c.Whole, whole)
	}
	r.score.Add(s, at.Sub(r.began), res.Kind, res.First)
}
