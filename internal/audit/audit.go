// Package audit judges the five rules from a record of what passed on the sockets of clients, engines and the
// register. It asks no front anything and imports nothing of it.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind says what an event is.
type Kind string

// The events. In brackets the fields that count beside At.
const (
	Sent           Kind = "sent"     // client wrote a whole request [Try, Effect, Class, Front, Until]
	Unsent         Kind = "unsent"   // client could not write it whole: not taken [Try]
	Answer         Kind = "answer"   // client has its final answer whole [Try, Result]
	ConnectionCut  Kind = "cut"      // the connection ended before a final answer [Try]
	ExtraBytes     Kind = "extra"    // bytes came after the final answer [Try]
	ClientLeft     Kind = "hung up"  // client left by itself [Try]
	ReplicaStarted Kind = "front up" // [Front]
	ReplicaKilled  Kind = "front killed"
	NotifiedGone   Kind = "told"       // the register wrote to a front that an engine drains or is gone [Front, Engine]
	NotifiedReady  Kind = "told ready" // ... or is ready
	Arrived        Kind = "arrive"     // a new read or write reached an engine [Engine, Front, Request, Write]
	Ended          Kind = "end"        // the engine is through with it [Engine, Request]
	Executed       Kind = "run"        // it took effect [Engine, Request, Try, Effect, Class]
	Deduplicated   Kind = "repeat"     // a repeat was dropped by the engines' group
	StateHeld      Kind = "held"       // a read state waits at a reader [Engine, Request]
	StateReleased  Kind = "let go"     // it is gone from there: fetched, released, expired, or the engine died
	Overloaded     Kind = "fell over"  // a cold engine was pushed over [Engine]
	EngineStarted  Kind = "engine up"
	EngineStopped  Kind = "engine off"
)

// Class is how a class may be repeated.
type Class string

// The three effects.
const (
	Idempotent        Class = "safe"
	IdempotentWithKey Class = "keyed"
	NotIdempotent     Class = "unsafe"
)

// Event is one line of the record.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     Kind          `json:"kind"`
	Replica  string        `json:"front,omitempty"`
	Engine   string        `json:"engine,omitempty"`
	Request  string        `json:"request,omitempty"` // the id on the engines' sockets: front's run, number, attempt
	Decode   bool          `json:"write,omitempty"`
	Attempt  string        `json:"try,omitempty"`    // one request of a client
	Intent   string        `json:"effect,omitempty"` // what its tries have in common
	Class    Class         `json:"class,omitempty"`
	Result   string        `json:"result,omitempty"` // served, refused, turned (never taken), failed, broken, invalid
	Deadline time.Duration `json:"until,omitempty"`  // the client's time
}

// Record collects events from many goroutines.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	events []Event
}

// NewRecord begins a record now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now is the record's time; 0 for a nil record, which keeps nothing.
func (r *Record) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add stamps and keeps an event.
func (r *Record) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events are all events so far, by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace time.Duration
	StateTTL   time.Duration
	// Slack is added to what is measured between two sockets: what one shows may lag by so much.
	Slack time.Duration
}

// RuleResult is the judgement on one rule.
type RuleResult struct {
	Rule       string   `json:"rule"`
	Checks     int      `json:"checks"`
	Violations []string `json:"breaches"`
	WorstCase  string   `json:"worst,omitempty"` // the nearest to a breach, where that is a time
}

func (v *RuleResult) breach(at time.Duration, format string, a ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf("%.3fs: ", at.Seconds())+fmt.Sprintf(format, a...))
}

// Check judges a whole record. A rule that was never checked counts as a breach of the audit itself only to
// the caller: Checks is 0.
func Check(events []Event, lim Limits) []RuleResult {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return []RuleResult{oneAnswer(events), onceOnly(events), drains(events, lim), cold(events), pinned(events, lim)}
}

// killed makes a function that tells whether the front was killed in the span.
func killed(events []Event) func(front string, from, to time.Duration) bool {
	kills := map[string][]time.Duration{}
	for _, e := range events {
		if e.Kind == ReplicaKilled {
			kills[e.Replica] = append(kills[e.Replica], e.At)
		}
	}
	return func(front string, from, to time.Duration) bool {
		return slices.ContainsFunc(kills[front], func(at time.Duration) bool { return at >= from && at <= to })
	}
}

// oneAnswer: all that a running front has taken gets exactly one final answer before the client's time is up.
func oneAnswer(events []Event) RuleResult {
	v := RuleResult{Rule: "one final answer in time, nothing after it"}
	type try struct {
		sent, ended Event
		answers     int
	}
	tries := map[string]*try{}
	died := killed(events)
	for _, e := range events {
		switch e.Kind {
		case Sent:
			tries[e.Attempt] = &try{sent: e}
		case Answer, ConnectionCut, ClientLeft, ExtraBytes:
			t := tries[e.Attempt]
			if t == nil { // answered before the whole request was written: a refusal on the way
				t = &try{sent: Event{At: e.At, Deadline: e.At, Replica: e.Replica}}
				tries[e.Attempt] = t
			}
			if e.Kind == ExtraBytes {
				v.breach(e.At, "try %s: bytes after the final answer", e.Attempt)
				continue
			}
			if e.Kind == Answer {
				if t.answers++; t.answers > 1 {
					v.breach(e.At, "try %s: a second final answer (%s)", e.Attempt, e.Result)
				}
			}
			if t.ended.Kind == "" {
				t.ended = e
			}
		}
	}
	var worst time.Duration
	for _, name := range slices.Sorted(maps.Keys(tries)) {
		t := tries[name]
		v.Checks++
		switch t.ended.Kind {
		case ClientLeft:
		case Answer:
			if t.ended.Result != "served" && t.ended.Result != "broken" && t.sent.Deadline > 0 && t.ended.At > t.sent.Deadline {
				v.breach(t.ended.At, "try %s: %s came %v after the client's time", name, t.ended.Result, t.ended.At-t.sent.Deadline)
			}
			if t.ended.Result != "served" && t.ended.Result != "broken" {
				worst = max(worst, t.ended.At-t.sent.At)
			}
		case ConnectionCut:
			if !died(t.sent.Replica, t.sent.At-time.Second, t.ended.At+time.Second) {
				v.breach(t.ended.At, "try %s: the connection ended without an answer, front %s was not killed", name, t.sent.Replica)
			}
		default:
			if !died(t.sent.Replica, t.sent.At-time.Second, t.sent.Deadline+time.Second) {
				v.breach(t.sent.At, "try %s: no answer at all", name)
			}
		}
	}
	v.WorstCase = fmt.Sprintf("slowest refusal or failure %v after the request", worst.Round(time.Millisecond))
	return v
}

// onceOnly: no effect twice over all tries of a client's one intent, and nothing is refused that may have run, in
// this try or in one before.
func onceOnly(events []Event) RuleResult {
	v := RuleResult{Rule: "no effect twice, no refusal of what may have run"}
	ran := map[string]int{}
	ranTry, ranFirst, intent := map[string]Event{}, map[string]Event{}, map[string]string{}
	for _, e := range events {
		if e.Kind == Sent {
			intent[e.Attempt] = e.Intent
		}
		if e.Kind != Executed {
			continue
		}
		v.Checks++
		ranTry[e.Attempt] = e
		if _, ok := ranFirst[e.Intent]; !ok {
			ranFirst[e.Intent] = e
		}
		if ran[e.Intent]++; e.Class != Idempotent && ran[e.Intent] > 1 {
			v.breach(e.At, "%s effect %s ran %d times, last at %s as %s", e.Class, e.Intent, ran[e.Intent], e.Engine, e.Request)
		}
	}
	for _, e := range events {
		if e.Kind != Answer || e.Result != "refused" {
			continue
		}
		v.Checks++
		if r, ok := ranTry[e.Attempt]; ok && r.Class == NotIdempotent {
			v.breach(e.At, "try %s of an unsafe class was refused, it had run at %s", e.Attempt, r.Engine)
		} else if r, ok := ranFirst[intent[e.Attempt]]; ok && r.Class == NotIdempotent && r.At < e.At {
			v.breach(e.At, "try %s of an unsafe class was refused, try %s of it had run at %s", e.Attempt, r.Attempt, r.Engine)
		}
	}
	return v
}

// drains: nothing new to an engine later than the grace after the front was told.
func drains(events []Event, lim Limits) RuleResult {
	v := RuleResult{Rule: "drains are kept"}
	told := map[string]time.Duration{}
	var worst time.Duration
	for _, e := range events {
		key := e.Replica + " to " + e.Engine
		switch e.Kind {
		case NotifiedGone:
			if _, ok := told[key]; !ok {
				told[key] = e.At
			}
		case NotifiedReady:
			delete(told, key)
		case ReplicaKilled: // its next process is told anew
			for k := range told {
				if strings.HasPrefix(k, e.Replica+" to ") {
					delete(told, k)
				}
			}
		case Arrived:
			v.Checks++
			if at, ok := told[key]; ok {
				worst = max(worst, e.At-at)
				if e.At-at > lim.DrainGrace+lim.Slack {
					v.breach(e.At, "%s sent %s to %s %v after it was told", e.Replica, e.Request, e.Engine, e.At-at)
				}
			}
		}
	}
	v.WorstCase = fmt.Sprintf("latest arrival %v after the front was told, %v allowed", worst.Round(time.Millisecond), lim.DrainGrace)
	return v
}

// cold: no engine that has just started is pushed over.
func cold(events []Event) RuleResult {
	v := RuleResult{Rule: "no cold engine is pushed over"}
	for _, e := range events {
		switch e.Kind {
		case EngineStarted:
			v.Checks++
		case Overloaded:
			v.breach(e.At, "engine %s fell over", e.Engine)
		}
	}
	return v
}

// base is a request's id without its attempt.
func base(id string) string {
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		return id[:i]
	}
	return id
}

// run is the part of a request's id that names the front's process.
func run(id string) string {
	r, _, _ := strings.Cut(id, "-")
	return r
}

// pinned: state held for a request with no attempt out is taken or let go within the release time.
func pinned(events []Event, lim Limits) RuleResult {
	v := RuleResult{Rule: "nothing stays pinned"}
	type life struct {
		out   int
		held  map[string]bool // attempts whose state waits
		since time.Duration   // no attempt is out and something is held
		front string
	}
	lives := map[string]*life{}
	runs := map[string]string{} // a front's run -> front
	dead := map[string]bool{}   // runs that were killed; what they held is nobody's
	down := map[string]bool{}   // fronts that are down now
	var worst time.Duration
	check := func(id string, l *life, now time.Duration) {
		if l.since < 0 || dead[run(id)] {
			return
		}
		took := now - l.since
		worst = max(worst, took)
		if took > lim.StateTTL+lim.Slack {
			v.breach(now, "state of %s was held %v with no attempt out", id, took.Round(time.Millisecond))
		}
	}
	for _, e := range events {
		switch e.Kind {
		case ReplicaStarted:
			down[e.Replica] = false
		case ReplicaKilled:
			down[e.Replica] = true
			for r, f := range runs {
				dead[r] = dead[r] || f == e.Replica
			}
		}
		if !slices.Contains([]Kind{Arrived, Ended, StateHeld, StateReleased}, e.Kind) || e.Request == "" {
			continue
		}
		id := base(e.Request)
		l := lives[id]
		if l == nil {
			l = &life{held: map[string]bool{}, since: -1}
			lives[id] = l
		}
		idle := l.out == 0 && len(l.held) > 0
		switch e.Kind {
		case Arrived:
			l.out++
			runs[run(id)] = e.Replica
			dead[run(id)] = dead[run(id)] || down[e.Replica] // it was on its way when its front died
		case Ended:
			l.out--
		case StateHeld:
			v.Checks++
			l.held[e.Request] = true
		case StateReleased:
			delete(l.held, e.Request)
		}
		now := l.out == 0 && len(l.held) > 0
		switch {
		case now && !idle:
			l.since = e.At
		case idle && !now:
			check(id, l, e.At)
			l.since = -1
		}
	}
	if n := len(events); n > 0 {
		for id, l := range lives {
			if l.out == 0 && len(l.held) > 0 {
				check(id, l, events[n-1].At)
			}
		}
	}
	slices.Sort(v.Violations)
	v.WorstCase = fmt.Sprintf("longest held with no attempt out %v, %v allowed", worst.Round(time.Millisecond), lim.StateTTL)
	return v
}
