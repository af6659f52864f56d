package routing

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "record the digests of the current code")

// recordedRun is the configuration of a run that drives one Router at a load far above its capacity, so that many
// requests are queued, and records a digest of its actions. Endpoints take a random time for each attempt and fail
// some.
type recordedRun struct {
	name             string
	seed             int64
	mixedEndpoints   int
	endpointsRestart bool // random endpoints restart
	endpointsFail    bool // one prefill and one decode endpoint fail for 3 s
	endpointMemory   float64
	objective        time.Duration
	rate             float64 // requests per second
	prefixes         int     // number of shared prefixes; 0 = none
	steps            int
	replicas         int
	prefillEndpoints int
	stateTTL         time.Duration
}

// Settings common to all recorded runs.
const (
	recordedDecodeEndpoints = 6
	recordedStart           = time.Hour
	recordedFailingFrom     = recordedStart + time.Second
	recordedFailingTo       = recordedStart + 4*time.Second
)

// recordedRuns returns all runs with a state TTL that slow decodes exceed, and all with one that none exceeds.
func recordedRuns() []recordedRun {
	return append(recordedRunsWithTTL(500*ms, ""), recordedRunsWithTTL(100*time.Second, "long release, ")...)
}

// recordedRunsWithTTL returns two runs, with different seeds, of each configuration.
func recordedRunsWithTTL(stateTTL time.Duration, namePrefix string) []recordedRun {
	base := recordedRun{
		stateTTL: stateTTL, endpointMemory: 60000, objective: 3 * time.Second, rate: 400, prefixes: 12, steps: 2500,
		replicas: 1, prefillEndpoints: 6,
	}
	var runs []recordedRun
	add := func(name string, change func(*recordedRun)) {
		for seed := range int64(2) {
			run := base
			run.name, run.seed = fmt.Sprintf("%s%s %d", namePrefix, name, seed), seed+1
			change(&run)
			runs = append(runs, run)
		}
	}
	// The names appear in testdata/orders.txt.
	add("plain", func(*recordedRun) {})
	add("long waits", func(run *recordedRun) { run.objective = 20 * time.Second })
	add("mixed", func(run *recordedRun) { run.mixedEndpoints = 3 })
	add("only mixed", func(run *recordedRun) { run.mixedEndpoints, run.prefillEndpoints = 6, 0 })
	add("cold", func(run *recordedRun) { run.endpointsRestart = true })
	add("bad", func(run *recordedRun) { run.endpointsFail, run.objective = true, 10*time.Second })
	add("bad, cold, mixed", func(run *recordedRun) {
		run.endpointsFail, run.endpointsRestart, run.mixedEndpoints = true, true, 2
	})
	add("short of memory", func(run *recordedRun) { run.endpointMemory, run.objective = 9000, 10*time.Second })
	add("memory unknown", func(run *recordedRun) { run.endpointMemory = 0 })
	add("one hot prefix", func(run *recordedRun) {
		run.prefixes, run.prefillEndpoints, run.objective = 1, 12, 8*time.Second
	})
	add("no prefix", func(run *recordedRun) { run.prefixes = 0 })
	add("many fronts", func(run *recordedRun) {
		run.replicas, run.rate, run.prefillEndpoints, run.endpointsRestart = 40, 40, 20, true
	})
	return runs
}

// recording is the state of a recorded run while it executes.
type recording struct {
	recordedRun
	rnd       *rand.Rand
	router    *Router
	now       time.Duration
	listed    []Endpoint
	kinds     map[EndpointID]int
	queue     eventQueue
	inFlight  map[RequestID][]bool // by attempt
	done      map[RequestID]bool
	digest    hash.Hash
	actions   int
	maxQueued int // most requests queued at once
}

func newRecording(t *testing.T, run recordedRun) *recording {
	t.Helper()
	config := testConfig()
	config.Replicas, config.StateTTL = run.replicas, run.stateTTL
	config.Kinds = []Kind{{RolePrefill, 200000}, {RoleDecode, run.endpointMemory}, {RoleMixed, run.endpointMemory}}
	config.Tenants = []Tenant{{QuotaPerS: run.rate / 2 * float64(run.replicas)}, {QuotaPerS: 5}}
	for i := range config.Classes {
		config.Classes[i].LatencyObjective, config.Classes[i].LateWeight = run.objective, 0.9
	}
	rec := &recording{
		recordedRun: run,
		rnd:         rand.New(rand.NewSource(run.seed)),
		router:      newTestRouter(t, config, uint64(run.seed)),
		now:         recordedStart,
		kinds:       map[EndpointID]int{},
		inFlight:    map[RequestID][]bool{},
		done:        map[RequestID]bool{},
		digest:      sha256.New(),
	}
	for i := range run.prefillEndpoints + recordedDecodeEndpoints + run.mixedEndpoints {
		kind := 1
		if i < run.prefillEndpoints {
			kind = 0
		} else if i >= run.prefillEndpoints+recordedDecodeEndpoints {
			kind = 2
		}
		e := Endpoint{ID: EndpointID(10 + 3*i), Kind: kind, Zone: i % 2, Cell: i % 3, State: EndpointReady}
		rec.listed = append(rec.listed, e)
		rec.kinds[e.ID] = kind
	}
	return rec
}

// schedule adds an event after a delay.
func (rec *recording) schedule(after time.Duration, event Event) {
	rec.queue.push(rec.now+after, event)
}

// execute executes the run and returns its line for the file of recorded digests.
func (rec *recording) execute() string {
	rec.step(EndpointList{Scope: ListFull, Endpoints: rec.listed})
	for i := range rec.steps {
		rec.now += time.Duration(rec.rnd.ExpFloat64() / rec.rate * float64(time.Second))
		rec.deliverDue()
		events := []Event{rec.drawArrival(RequestID(i + 1))}
		rec.step(append(events, rec.drawListChanges(i)...)...)
	}
	return fmt.Sprintf("%s: %x, %d actions, %d held at most",
		rec.name, rec.digest.Sum(nil)[:12], rec.actions, rec.maxQueued)
}

// deliverDue steps the router once for each time at which events are due.
func (rec *recording) deliverDue() {
	arrivalAt := rec.now
	for rec.queue.due(arrivalAt) {
		rec.now = rec.queue.events[0].at
		var events []Event
		for rec.queue.due(rec.now) {
			if event := rec.complete(rec.queue.pop().event); event != nil {
				events = append(events, event)
			}
		}
		if len(events) > 0 {
			rec.step(events...)
		}
	}
	rec.now = arrivalAt
}

// complete fills in an event that is due; nil if it no longer applies because of earlier events.
func (rec *recording) complete(event Event) Event {
	switch event := event.(type) {
	case Outcome:
		if !rec.inFlight[event.Request][event.Attempt] {
			return nil
		}
		rec.inFlight[event.Request][event.Attempt] = false
		event.RequestDone = event.Result == Served
		rec.done[event.Request] = rec.done[event.Request] || event.RequestDone
		return event
	case FirstToken:
		if rec.done[event.Request] || !rec.inFlight[event.Request][event.Attempt] {
			return nil
		}
	case ClientDisconnected:
		if rec.done[event.Request] {
			return nil
		}
		rec.done[event.Request] = true
	}
	return event
}

// step steps the router, adds its actions to the digest and performs them.
func (rec *recording) step(events ...Event) {
	for _, a := range rec.router.Step(rec.now, events) {
		rec.actions++
		_, _ = fmt.Fprintf(rec.digest, "%d %s\n", rec.now, encodeAction(a)) // a hash returns no error
		rec.perform(a)
	}
	rec.maxQueued = max(rec.maxQueued, len(rec.router.queue.waiting))
}

// perform schedules the events that follow from an action.
func (rec *recording) perform(a Action) {
	switch a := a.(type) {
	case Send:
		rec.send(a)
	case Cancel:
		rec.schedule(2*ms, Outcome{Request: a.Request, Attempt: a.Attempt, Result: Canceled, Elapsed: 2 * ms})
	case Reject:
		rec.done[a.Request] = true
	case Fail:
		rec.done[a.Request] = true
	case SetTimer:
		rec.schedule(a.After, Timer{a.Tag})
	}
}

// send draws the outcome of an attempt and schedules its events.
func (rec *recording) send(a Send) {
	attempt := len(rec.inFlight[a.Request])
	rec.inFlight[a.Request] = append(rec.inFlight[a.Request], true)
	outcome := Outcome{Request: a.Request, Attempt: attempt, Endpoint: a.Endpoint, Result: Served}
	took := time.Duration(20+rec.rnd.Intn(200)) * ms
	if rec.kinds[a.Endpoint] == 0 {
		outcome.Result, outcome.CachedTokens = PrefillDone, float64(rec.rnd.Intn(500))
	} else {
		took *= 4
	}
	switch draw := rec.rnd.Intn(60); {
	case rec.failsNow(a.Endpoint) || draw == 0:
		outcome.Result, took = EngineError, took/10
	case draw == 1:
		outcome.Result, took = Rejected, took/10
	case draw == 2:
		outcome.Result, outcome.StateMissing, took = Rejected, true, took/10
	case draw == 3 && a.Timeout > 0:
		outcome.Result, took = TimedOut, a.Timeout
	}
	outcome.Elapsed = took
	if outcome.Result == Served {
		rec.schedule(took/4, FirstToken{
			Request: a.Request, Attempt: attempt, Endpoint: a.Endpoint, Elapsed: took / 4,
		})
	}
	rec.schedule(took, outcome)
}

// failsNow reports whether an endpoint currently fails all attempts.
func (rec *recording) failsNow(id EndpointID) bool {
	return rec.endpointsFail && rec.now > recordedFailingFrom && rec.now < recordedFailingTo &&
		(id == 10 || id == EndpointID(10+3*rec.prefillEndpoints))
}

// drawArrival draws a request, and for some requests a later disconnect of the client.
func (rec *recording) drawArrival(id RequestID) Event {
	promptTokens := 200 + rec.rnd.ExpFloat64()*900
	if rec.rnd.Intn(50) == 0 {
		promptTokens *= 8
	}
	req := Request{
		ID:              id,
		Class:           rec.rnd.Intn(3),
		Tenant:          rec.rnd.Intn(2),
		Session:         uint64(rec.rnd.Intn(500)),
		PromptTokens:    float64(int(promptTokens)),
		MaxOutputTokens: float64(50 + rec.rnd.Intn(400)),
		Deadline:        rec.now + rec.objective + time.Duration(rec.rnd.Intn(3000))*ms,
	}
	if rec.prefixes > 0 && rec.rnd.Intn(10) > 1 {
		req.Prefix = 1000 + uint64(rec.rnd.ExpFloat64()*float64(rec.prefixes)/4)
		req.PrefixTokens = promptTokens / 2
	}
	if rec.rnd.Intn(30) == 0 {
		rec.schedule(time.Duration(rec.rnd.Intn(2000))*ms, ClientDisconnected{id})
	}
	return req
}

// drawListChanges draws the changes of the endpoint list that accompany an arrival.
func (rec *recording) drawListChanges(arrival int) (events []Event) {
	change := func(e Endpoint) EndpointList {
		return EndpointList{Scope: ListChanges, Endpoints: []Endpoint{e}}
	}
	if rec.endpointsRestart && arrival%700 == 699 {
		e := rec.listed[rec.rnd.Intn(len(rec.listed))]
		e.StartedAt = rec.now
		events = append(events, change(e))
	}
	if arrival%900 == 800 { // an endpoint drains, and is ready again 2 s later
		e := rec.listed[rec.rnd.Intn(len(rec.listed))]
		e.State = EndpointDraining
		events = append(events, change(e))
		e.State = EndpointReady
		rec.schedule(2*time.Second, change(e))
	}
	return events
}

// TestRecordedActions compares digests of the actions of the recorded runs with recorded digests. The encoding of an
// action holds no type or field names, so a different digest means different decisions. Record the digests anew with
// -update only for a change that is meant to change decisions.
func TestRecordedActions(t *testing.T) {
	const file = "testdata/orders.txt"
	if *update {
		var b strings.Builder
		for _, run := range recordedRuns() {
			b.WriteString(newRecording(t, run).execute() + "\n")
		}
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	for i, run := range recordedRuns() {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			if got := newRecording(t, run).execute(); got != want[i] {
				t.Errorf("got  %s\nwant %s", got, want[i])
			}
		})
	}
}
