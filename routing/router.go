// Package routing decides for one front of a service with separate readers (prefill) and writers (decode):
// where a request is read and answered, when it is held, repeated or given up. Interface: api.go; what is
// remembered: state.go. The decisions: here the step, attempts and final answers; in admission.go what is
// held, released and refused; in placing.go where a request is read and written; in room.go caps, memory and
// cold budgets; in health.go the list of servers and which of them are put aside.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	beat     = 20 * time.Millisecond  // how often a router that holds or parks requests looks again
	idleBeat = 200 * time.Millisecond // and how often one that only waits for servers' words does

	// Holding and release.
	starveAfter  = 2 * time.Second        // a held request this old may be promoted ...
	promoteEvery = 4                      // ... but at most every so many releases
	burstLeast   = 2.0                    // least burst of a tenant within its share
	readCap      = 6                      // own reads at a reader
	readBound    = 300 * time.Millisecond // own prompt tokens waiting at a reader, as reading time there
	evenParts    = 1.3                    // home to more even parts of the requests, a reader passes some on
	slowFrom     = 1.5                    // a reader so many times slower than the mean passes some on
	homedPrior   = 1.0                    // requests that each is taken to be home to before any is seen
	homedFor     = 30 * time.Second       // how long they count
	homesPart    = 3.0                    // readers for a prefix, for each even part of the requests
	keysFade     = 20 * time.Second       // counts of prefixes seen are halved this often
	spillMost    = 2                      // servers of the hash order that may read a prefix
	memoryShare  = 0.95                   // part of its share of a writer's memory that a front fills
	outGuess     = 0.4                    // expected answer, as a part of the most it may be
	coldPart     = 0.5                    // of its budget, the part that a cold server is sent ...
	coldMost     = 0.7                    // ... but at most this of its even part of what it can do
	mixedWeight  = 0.6                    // what a mixed server can write or read, against others
	keptMax      = 20000                  // remembered prefixes and sessions a server

	// Health: failures, and work done for the time that work was out, against peers of the role.
	failGain    = 0.25                    // weight of the newest outcome
	failsFor    = 30 * time.Second        // how long failures and slow answers count
	slowGain    = 0.6                     // weight of the newest
	failBad     = 0.4                     // a server failing this part is put aside
	memory      = 5 * time.Second         // how long work done counts
	judgeEvery  = 100 * time.Millisecond  // between looks at all servers; a failure is looked at at once
	silentLeast = 1000 * time.Millisecond // no word for so long ...
	silentFor   = 6.0                     // ... and so many times the usual is silence
	backFirst   = 500 * time.Millisecond  // first pause before a trial
	backMost    = 8 * time.Second         // longest pause
	goneFor     = 4 * failsFor            // a server gone for so long with no attempt out is forgotten
	sparse      = 20 * time.Second        // an outcome after so long without one weighs nearly two thirds
	slowWriter  = 4.0                     // first tokens so many times the mean: asked after the others
	onTrust     = 0.3                     // failing share that a server comes back with
	fullPause   = 150 * time.Millisecond  // a server that turned a request away has no room for so long

	// Refusing on arrival where answers come late by and large.
	shedBack  = 1.5             // an answer in time raises what is admitted by it
	turnedFor = 2 * time.Second // nothing more is admitted so long after a server turned work away
	shedGain  = 0.45            // change of the part admitted in a second
	shedMost  = 0.9
	feltMost  = 3 * time.Second // an answer in time speaks for so long, a late one for 1 s
	lackMost  = 6.0             // what is worth little for its work is refused so many times more
	worthGain = 0.02            // weight of the newest request in that mean
	jamFrom   = 0.1             // from this part on what has missed its aim is given up

	// Time-outs and final answers.
	readLeast  = 800 * time.Millisecond  // least time-out of a read
	firstLeast = 1500 * time.Millisecond // least time-out of a writer's first token
	patience   = 8.0                     // time-outs, as a multiple of the usual time ...
	keen       = 4.0                     // ... and where another attempt can then still be in time
	margin     = 30 * time.Millisecond   // final answers of held requests come this long before Due
	pauseLeast = 200 * time.Millisecond  // least advised wait
	parkPart   = 0.5                     // part of the release time that a read state may wait for a writer
	connects   = 5                       // a connection may take this part of it to come up meanwhile
)

// New makes the decisions' state for one front; fronts of a service get seeds of their own.
func New(s Config, seed uint64) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s.Replicas = max(s.Replicas, 1)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, 2)
	s.MaxRetryAfter = cmp.Or(s.MaxRetryAfter, time.Second)
	s.StateTTL = cmp.Or(s.StateTTL, 300*time.Millisecond)
	s.SlowStartFrom = cmp.Or(s.SlowStartFrom, 0.25)
	r := &Router{
		set: s, salt: seed, byID: map[EndpointID]*server{}, reqs: map[RequestID]*request{},
		keys: map[uint64]float64{}, newTokens: make([]float64, len(s.Classes)), readPace: 1e-4,
		limits: make([]due, len(s.Classes)), homeCount: map[uint64]int{}, shape: 1, firstTime: 0.3,
	}
	for _, t := range s.Tenants {
		rate := t.QuotaPerS / float64(s.Replicas)
		r.tenants = append(r.tenants, bucket{level: max(2*rate, burstLeast), rate: rate})
	}
	return r, nil
}

// Step takes what happened at now, in order, and returns what to do, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	dt := (now - r.now).Seconds()
	r.now, r.out = now, nil
	for i := range r.tenants {
		t := &r.tenants[i]
		t.level = min(t.level+t.rate*dt, max(2*t.rate, burstLeast))
	}
	for _, ev := range events {
		r.handle(ev)
	}
	r.expireStates()
	if r.now >= r.judgeAt {
		r.judge()
	}
	if r.set.PollEndpoints && r.now >= r.askAt {
		r.emit(FetchEndpoints{})
		r.askAt = r.now + max(r.set.PollInterval/2, time.Second)
	}
	parked := r.parked
	r.parked = nil
	for _, q := range parked {
		r.place(q)
	}
	r.dispatch()
	r.sleep()
	return r.out
}

// sleep asks for the next wake-up, unless one that is as early is on its way.
func (r *Router) sleep() {
	after := idleBeat
	if len(r.held)+len(r.parked) > 0 {
		after = beat
	} else if len(r.reqs) == 0 && !r.set.PollEndpoints {
		return
	}
	if len(r.expiries) > 0 {
		after = min(after, max(r.expiries[0].at-r.now, 0)+time.Millisecond)
	}
	if r.wakeAt <= r.now || r.now+after < r.wakeAt {
		r.wakeAt = r.now + after
		r.emit(SetTimer{After: after, Tag: 1})
	}
}

func (r *Router) emit(a Action) { r.out = append(r.out, a) }

func (r *Router) handle(ev Event) {
	switch ev := ev.(type) {
	case EndpointList:
		r.list(ev)
	case Request:
		r.arrive(ev)
	case FirstToken:
		r.first(ev)
	case Outcome:
		r.outcome(ev)
	case Shutdown:
		r.ending = true // what still comes is refused too
		for _, id := range slices.Sorted(maps.Keys(r.reqs)) {
			if q := r.reqs[id]; !q.ended && !q.started {
				r.finish(q, r.no(q, 0, ReasonShutdown))
			}
		}
	case ClientDisconnected:
		if q := r.reqs[ev.Request]; q != nil && !q.ended {
			r.finish(q, nil)
		}
	}
}

// send starts an attempt and books what it takes.
func (r *Router) send(q *request, s *server, write bool) {
	a := attempt{s: s, out: true, quiet: true, write: write, at: r.now}
	a.charge = q.memoryNeed()
	if q.reader == nil {
		a.unread = r.unread(q, s)
	}
	r.age(s)
	r.ask(q, s)
	if s.n++; s.bad { // a trial is out
		r.reshape()
	}
	s.tokens += a.charge
	s.unread += a.unread
	a.ahead = s.unread
	if r.cold(s) {
		s.sends = append(s.sends, r.now)
	}
	q.att = append(q.att, a)
	q.out++
	q.read = q.read || !write
	connect := r.set.StateTTL / connects * time.Duration(b2f(q.reader != nil))
	r.emit(Send{q.ID, s.ID, r.timeout(q, &a), connect, q.window(r.now)})
}

// timeout bounds an attempt that another could still replace; 0 lets it run until the client leaves. Another
// replaces it sooner where it can be in time: a guard against requests swallowed by a server that is well.
func (r *Router) timeout(q *request, a *attempt) time.Duration {
	usual, least, more := a.ahead*max(r.readPace, a.s.pace1), readLeast, 2
	if a.write {
		usual, least, more = usual+r.firstTime, firstLeast, 1
	}
	if r.shed > jamFrom {
		return max(q.aimAt()-r.now, margin)
	}
	if r.set.MaxAttempts-len(q.att) < more || a.write && q.class.Idempotency != Idempotent {
		return 0
	}
	limit := max(least, seconds(patience*usual))
	if last := q.aimAt() - r.now - seconds(2*(usual+r.firstTime)); last > seconds(keen*usual) {
		limit = min(limit, last)
	}
	return limit
}

func (r *Router) first(ev FirstToken) {
	q := r.reqs[ev.Request]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.att) {
		return
	}
	a := &q.att[ev.Attempt]
	q.started, q.reader = true, nil
	r.feel(q, r.now > q.aimAt())
	if a.s.role == RoleDecode {
		a.s.slow += slowGain * (ev.Elapsed.Seconds()/r.firstTime - a.s.slow)
		r.firstTime += 0.05 * (ev.Elapsed.Seconds() - r.firstTime)
	}
	if a.unread > 0 {
		r.stale = true
		r.paced(a, ev.Elapsed)
		r.compare(a, a.ahead, ev.Elapsed)
	}
	r.hear(a, true)
	r.learn(a.s, q, false, failGain, ev.Elapsed.Seconds() < patience*r.firstTime+0.5)
}

// outcome ends an attempt: books out what it took, judges its server, and decides what comes next.
func (r *Router) outcome(ev Outcome) {
	q := r.reqs[ev.Request]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.att) || !q.att[ev.Attempt].out {
		return
	}
	a := &q.att[ev.Attempt]
	r.settle(q, a, ev)
	switch {
	case q.ended:
		if ev.Result == PrefillDone || a.write && q.read && !q.started && !a.off { // nobody will fetch it
			r.emit(ReleaseState{q.ID})
		}
	case ev.RequestDone || ev.Result == Served:
		r.finish(q, nil)
	case ev.Result == PrefillDone:
		q.reader = a.s
		r.holdState(q)
		r.place(q)
	default:
		r.again(q, a, ev)
	}
	if q.ended && q.out == 0 {
		delete(r.reqs, q.ID)
	}
}

// settle books an attempt out and learns from its outcome.
func (r *Router) settle(q *request, a *attempt, ev Outcome) {
	s := a.s
	r.age(s)
	if r.stale = true; s.bad {
		r.reshape()
	}
	a.out = false
	q.out--
	s.n--
	s.tokens = max(s.tokens-a.charge, 0)
	r.hear(a, ev.Result != TimedOut && ev.Result != Cancelled && ev.Result != ConnectFailed)
	switch ev.Result {
	case PrefillDone:
		r.readDone(q, a, ev)
	case Served:
		s.count++
	case EngineError, ConnectionReset, RequestIncomplete: // one connection may break under a server that is well
		r.learn(s, q, true, failGain, false)
	case TimedOut:
		r.compare(a, a.ahead, ev.Elapsed)
		s.slow += slowGain * (patience - s.slow)
		r.learn(s, q, r.now < q.Deadline || a.at+time.Second < r.now, failGain, false)
		if a.write {
			r.firstTime += 0.02 * (ev.Elapsed.Seconds() - r.firstTime)
		}
	case ConnectFailed:
		r.learn(s, q, true, 2*failGain, false)
	case Rejected:
		if !ev.StateMissing {
			s.full, r.turnedAt = r.now+fullPause, r.now
			r.turned(s, q, true)
		}
	}
	mayHaveRun := slices.Contains([]Result{EngineError, TimedOut, ConnectionReset, Cancelled}, ev.Result)
	if a.write && mayHaveRun && !q.ran {
		q.ran, q.ranOn, q.ranAt = true, s, a.at
	}
}

// again decides after a failed attempt: another, or the final answer at once.
func (r *Router) again(q *request, a *attempt, ev Outcome) {
	// Without its state a request is read anew, where attempts are left for that and the writing.
	last := r.set.DecodeCanPrefill && len(q.att)+2 > r.set.MaxAttempts
	waits := a.write && q.reader != nil && (!ev.StateMissing || last)
	if r.stateSpent(q) && !ev.Result.NeverExecuted() && ev.Result != EngineError {
		waits = false // the writer has said nothing all the while, and the state was released
	}
	reason := r.exhausted(q)
	if reason == ReasonNone && q.ran && (q.class.Idempotency == NotIdempotent || q.class.Idempotency == IdempotentWithKey && !waits) {
		reason = ReasonMayHaveRun
	}
	switch {
	case reason != ReasonNone:
		r.finish(q, r.no(q, len(r.held), reason))
	case waits:
		if ev.Result == Rejected || ev.Result == EngineError { // the write arrived, and the state waited for it
			r.holdState(q)
		}
		r.place(q)
	default:
		if q.reader != nil && !ev.StateMissing {
			r.emit(ReleaseState{q.ID})
		}
		q.reader = nil
		r.hold(q)
	}
}

// exhausted tells why no further attempt of q can be of use; NoReason: one can.
func (r *Router) exhausted(q *request) Reason {
	switch {
	case r.now >= q.Deadline:
		return ReasonDeadline
	case len(q.att) >= r.set.MaxAttempts:
		return ReasonAttemptsExhausted
	case r.jammed(q):
		return ReasonObjectiveMissed
	}
	return ReasonNone
}

// no is the final answer to a request that is given up: a refusal where trying again is harmless, else a
// failure. A client's own repeat of an unsafe request can't be told from one after a lost answer, and is
// failed on arrival; so a refusal of one is handed up by the client, and its user asks anew.
func (r *Router) no(q *request, waiting int, reason Reason) Action {
	risky := q.ran || slices.ContainsFunc(q.att, func(a attempt) bool { return a.out && a.write })
	if risky && (q.class.Idempotency == NotIdempotent || q.class.Idempotency == IdempotentWithKey && q.class.DedupScope != DedupAll) {
		return Fail{q.ID, false, reason}
	}
	wait := min(max(pauseLeast, time.Duration(waiting)*10*time.Millisecond), r.set.MaxRetryAfter)
	return Reject{q.ID, wait, q.class.Idempotency == NotIdempotent, reason}
}

// finish is the one place where a request ends. It answers, calls off what is out and lets go of what is
// held.
func (r *Router) finish(q *request, answer Action) {
	q.ended = true
	if !q.started && !q.shed { // given up counts as late, however soon: else a storm of refusals looks well
		r.feel(q, answer != nil || r.now > q.aimAt())
	}
	if answer != nil {
		r.emit(answer)
	}
	for i := range q.att {
		if q.att[i].out && !q.started && r.set.CanCancel {
			q.att[i].off = true
			r.emit(Cancel{q.ID, i})
		}
	}
	if q.read && !q.started {
		r.emit(ReleaseState{q.ID})
	}
	r.unhold(q)
	r.parked = without(r.parked, q)
	if q.out == 0 {
		delete(r.reqs, q.ID)
	}
}
