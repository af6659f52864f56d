// Package enginemodel is one engine in simulated time: slots, a queue, memory, kept texts, steps that read prompts and
// write tokens, a cold start and falling over. It has no clock and no goroutines: Advance moves it, Next says
// when something is due. The stand-in on sockets and the laboratory drive the same model.
package enginemodel

import (
	"container/list"
	"math"
	"slices"
	"time"
)

// Params describe an engine. Rates are a second at full capacity.
type Params struct {
	CanPrefill, CanDecode bool
	Slots                 int     // requests at once
	MaxQueued             int     // more may wait
	Memory                float64 // tokens
	PrefillRate           float64 // prompt tokens
	Chunk                 float64 // prompt tokens of one step
	Step                  time.Duration
	StepStream            time.Duration // and so much more for each running stream
	FetchRate             float64       // state tokens fetched from a reader
	CacheTokens           float64       // tokens of kept texts
	SlowStartFrom         float64       // part of its capacity at its start
	SlowStartFor          time.Duration
	OverloadFactor        float64 // cold and sent more than so many times its present capacity ...
	OverloadAfter         time.Duration
	StateTTL              time.Duration // a read state that nobody fetches is dropped after this
}

// Job is a request at an engine.
type Job struct {
	ID         string
	Prompt     float64
	Prefix     string // name of the shared beginning, "" = none
	PrefixLen  float64
	Session    string
	Out        int     // tokens that it will answer
	ReadOnly   bool    // leave the state for a writer
	FetchState float64 // tokens of a state to fetch instead of reading; 0 = read here
	Quiet      bool    // Token is called for the first token only: steps that only write quiet jobs are taken many at once

	Token func(n int)        // the n-th token is out, from 1; never called for a ReadOnly job
	Done  func(kept float64) // ended well
	Begun func()             // it runs from here on; may be nil
	Lost  func()             // the engine fell over or was reset
	kept  float64            // found kept
	left  float64            // prompt tokens to read
	out   int                // tokens written
	fetch time.Duration      // state is here at, when fetching
	state jobState
}

type jobState uint8

const (
	waiting jobState = iota
	fetching
	reading
	writing
	ended
)

// Engine is one engine. The zero value is not ready; use New.
type Engine struct {
	p       Params
	now     time.Duration
	start   time.Duration
	slow    float64
	queue   []*Job
	running []*Job
	states  map[string]*state
	used    float64
	stepEnd time.Duration // of the running step; 0 = none
	step    stepWork
	many    int           // steps taken at once, all alike; stepEnd is the last one's
	stepFor time.Duration // of one of them
	kept    map[string]*list.Element
	keptLRU *list.List
	keptSum float64
	down    bool
	sent    []sending // in the last window, while cold
	work    Work
}

// Work is what an engine has done and lost at each stage since its start, in seconds of the whole engine at full
// capacity; of writing, the part of its slots in use over time. Waiting is of what is queued now.
type Work struct {
	ReadDone, ReadWaiting, ReadLost    float64
	WriteDone, WriteWaiting, WriteLost float64
	Reads, Writes                      float64 // prompts read and answers ended
}

// Work tells what was done up to now.
func (e *Engine) Work() Work {
	w := e.work
	w.ReadWaiting, w.WriteWaiting = e.waits(0)
	return w
}

// waits is the work of the jobs that are here and not begun, or being read, and so much reading beside it.
func (e *Engine) waits(beside float64) (read, write float64) {
	read = beside
	for _, list := range [2][]*Job{e.queue, e.running} {
		for _, j := range list {
			switch j.state {
			case waiting:
				r, w := e.needs(j)
				read, write = read+r, write+w
			case reading:
				read += j.left / e.p.PrefillRate
			}
		}
	}
	return read, write
}

// needs is the work of a job that has not begun.
func (e *Engine) needs(j *Job) (read, write float64) {
	if j.FetchState == 0 {
		read = max(j.Prompt-e.found(j), 0) / e.p.PrefillRate
	}
	if !j.ReadOnly {
		step := e.p.Step + e.p.StepStream*time.Duration(e.p.Slots)
		write = float64(j.Out) * step.Seconds() / float64(max(e.p.Slots, 1))
	}
	return read, write
}

type state struct {
	tokens float64
	until  time.Duration
}

type stepWork struct {
	read   *Job
	tokens float64
	write  []*Job
}

type sending struct {
	at   time.Duration
	work float64 // seconds of the engine at full capacity
}

type text struct {
	key    string
	tokens float64
}

// New starts an engine at now; cold tells whether it begins cold.
func New(p Params, now time.Duration, cold bool) *Engine {
	e := &Engine{p: p, now: now, slow: 1, states: map[string]*state{}, kept: map[string]*list.Element{}, keptLRU: list.New()}
	e.start = now
	if !cold {
		e.start = now - p.SlowStartFor
	}
	return e
}

// SetSlow makes every step so many times slower.
func (e *Engine) SetSlow(factor float64) {
	e.cut()
	e.slow = max(factor, 1e-3)
}

// Forget drops all kept texts.
func (e *Engine) Forget() {
	clear(e.kept)
	e.keptLRU.Init()
	e.keptSum = 0
}

// Down tells that the engine fell over.
func (e *Engine) Down() bool { return e.down }

// Present is the part of its capacity that the engine has now.
func (e *Engine) Present() float64 {
	age := e.now - e.start
	if e.p.SlowStartFor <= 0 || age >= e.p.SlowStartFor {
		return 1
	}
	return e.p.SlowStartFrom + (1-e.p.SlowStartFrom)*float64(age)/float64(e.p.SlowStartFor)
}

// Load is what the engine reports: share of slots in use, requests waiting, share of memory held.
func (e *Engine) Load() (util, queue, memory float64) {
	return float64(len(e.running)) / float64(max(e.p.Slots, 1)), float64(len(e.queue)), e.used / e.p.Memory
}

// Submit takes a job, or turns it away before it ran.
func (e *Engine) Submit(now time.Duration, j *Job) bool {
	e.Advance(now)
	if e.down || len(e.queue) >= e.p.MaxQueued && len(e.running) >= e.p.Slots || j.Prompt > e.p.Memory {
		read, write := e.needs(j)
		e.work.ReadLost, e.work.WriteLost = e.work.ReadLost+read, e.work.WriteLost+write
		return false
	}
	e.burden(j)
	if e.down {
		return false
	}
	j.state = waiting
	e.queue = append(e.queue, j)
	e.admit()
	e.begin()
	return true
}

// burden counts what a cold engine is sent and lets it fall over.
func (e *Engine) burden(j *Job) {
	if e.Present() >= 1 || e.p.OverloadFactor <= 0 || e.p.OverloadAfter <= 0 {
		e.sent = nil
		return
	}
	read, write := e.needs(j)
	e.sent = append(e.sent, sending{e.now, read + write})
	e.sent = slices.DeleteFunc(e.sent, func(s sending) bool { return e.now-s.at > e.p.OverloadAfter })
	sum, most := 0.0, 0.0
	for _, s := range e.sent {
		sum += s.work
		most = max(most, s.work)
	}
	// one request alone tips nothing over, however heavy
	if sum-most > e.p.OverloadFactor*e.Present()*e.p.OverloadAfter.Seconds() {
		e.down = true
		e.Reset()
	}
}

// Reset ends all work and forgets everything, as a crash does.
func (e *Engine) Reset() {
	jobs := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue, e.stepEnd, e.used, e.many = nil, nil, 0, 0, 0
	clear(e.states)
	e.Forget()
	for _, j := range jobs {
		j.state = ended
		if j.Lost != nil {
			j.Lost()
		}
	}
}

// Cancel ends a job; what it held is free at once.
func (e *Engine) Cancel(now time.Duration, j *Job) {
	e.Advance(now)
	if j.state == ended {
		return
	}
	e.remove(j)
	e.admit()
	e.begin()
}

func (e *Engine) remove(j *Job) {
	e.cut()
	is := func(o *Job) bool { return o == j }
	if n := len(e.queue); n > 0 {
		e.queue = slices.DeleteFunc(e.queue, is)
	}
	if n := len(e.running); n > 0 {
		e.running = slices.DeleteFunc(e.running, is)
		if len(e.running) < n {
			e.used -= j.memory()
		}
	}
	if e.step.read == j {
		e.step.read = nil
	}
	e.step.write = slices.DeleteFunc(e.step.write, is)
	j.state = ended
}

func (j *Job) memory() float64 { return j.Prompt + float64(j.out) }

// Hold keeps a read state for a writer. Submit's ReadOnly jobs do it by themselves.
func (e *Engine) hold(j *Job) { e.states[j.ID] = &state{j.Prompt, e.now + e.p.StateTTL} }

// Take hands a state over, or lets go of it; false when there is none.
func (e *Engine) Take(now time.Duration, id string) (tokens float64, ok bool) {
	e.Advance(now)
	s := e.states[id]
	if s == nil {
		return 0, false
	}
	delete(e.states, id)
	e.used -= s.tokens
	e.admit()
	e.begin()
	return s.tokens, true
}

// States is the number of read states held.
func (e *Engine) States() int { return len(e.states) }

// found is how much of the job's prompt is kept.
func (e *Engine) found(j *Job) float64 {
	best := 0.0
	for _, k := range [2]string{"p:" + j.Prefix, "s:" + j.Session} {
		if el := e.kept[k]; el != nil && len(k) > 2 {
			best = max(best, el.Value.(*text).tokens)
		}
	}
	return min(best, j.Prompt)
}

func (e *Engine) keep(key string, tokens float64) {
	if len(key) <= 2 || tokens <= 0 {
		return
	}
	if el := e.kept[key]; el != nil {
		t := el.Value.(*text)
		e.keptSum += tokens - t.tokens
		t.tokens = tokens
		e.keptLRU.MoveToFront(el)
	} else {
		e.kept[key] = e.keptLRU.PushFront(&text{key, tokens})
		e.keptSum += tokens
	}
	for e.keptSum > e.p.CacheTokens && e.keptLRU.Len() > 1 {
		el := e.keptLRU.Back()
		t := el.Value.(*text)
		e.keptSum -= t.tokens
		delete(e.kept, t.key)
		e.keptLRU.Remove(el)
	}
}

// admit moves waiting jobs into slots, in order, while memory lasts.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.p.Slots && !e.down {
		j := e.queue[0]
		if e.used+j.memory() > e.p.Memory && len(e.running)+len(e.states) > 0 {
			return
		}
		e.cut()
		e.queue = e.queue[1:]
		e.used += j.memory()
		e.running = append(e.running, j)
		if j.FetchState > 0 && j.out == 0 {
			j.state = fetching
			j.fetch = e.now + time.Duration(j.FetchState/e.p.FetchRate*float64(time.Second))
		} else {
			j.state = reading
			j.kept = e.found(j)
			j.left = max(j.memory()-j.kept, 1)
		}
		if j.Begun != nil {
			j.Begun()
		}
	}
}

// begin starts a step if none runs and there is something to do.
func (e *Engine) begin() {
	if e.stepEnd != 0 || e.down {
		return
	}
	w := stepWork{}
	var took time.Duration
	for _, j := range e.running {
		switch j.state {
		case writing:
			w.write = append(w.write, j)
		case reading:
			if w.read == nil {
				w.read, w.tokens = j, min(j.left, e.p.Chunk)
			}
		}
	}
	if w.read == nil && len(w.write) == 0 {
		return
	}
	if len(w.write) > 0 {
		took = e.p.Step + e.p.StepStream*time.Duration(len(w.write))
	}
	if w.read != nil {
		took += time.Duration(w.tokens / e.p.PrefillRate * float64(time.Second))
	}
	e.step = w
	e.stepFor = max(time.Duration(float64(took)*e.slow/e.Present()), time.Microsecond)
	e.many = e.alike()
	e.stepEnd = e.now + time.Duration(e.many)*e.stepFor
}

// alike is how many steps will be as the one that begins: until an answer ends or memory runs out, if all that run are
// quiet answers that have begun, and the engine is warm.
func (e *Engine) alike() int {
	n := len(e.step.write)
	if n == 0 || n != len(e.running) || e.Present() < 1 {
		return 1
	}
	many := math.MaxInt
	for _, j := range e.step.write {
		if !j.Quiet || j.out == 0 {
			return 1
		}
		many = min(many, j.Out-j.out)
	}
	return max(min(many, int((e.p.Memory-e.used)/float64(n))), 1)
}

// settle books those of many steps that are over by now.
func (e *Engine) settle() {
	if e.many <= 1 || e.stepEnd == 0 {
		return
	}
	left := int((e.stepEnd - e.now + e.stepFor - 1) / e.stepFor) // the running one included
	if over := e.many - max(left, 1); over > 0 {
		for _, j := range e.step.write {
			j.out += over
		}
		e.used += float64(over * len(e.step.write))
		e.many -= over
	}
}

// cut ends a run of steps after the present one: what follows differs.
func (e *Engine) cut() {
	e.settle()
	if e.many > 1 && e.stepEnd != 0 {
		e.stepEnd -= time.Duration(e.many-1) * e.stepFor
		e.many = 1
	}
}

// Next is when something is due; false when nothing is.
func (e *Engine) Next() (time.Duration, bool) {
	at := time.Duration(math.MaxInt64)
	if e.stepEnd != 0 {
		at = e.stepEnd
	}
	for _, j := range e.running {
		if j.state == fetching {
			at = min(at, j.fetch)
		}
	}
	for _, s := range e.states {
		at = min(at, s.until)
	}
	return at, at != math.MaxInt64
}

// Advance moves the engine to now.
func (e *Engine) Advance(now time.Duration) {
	for !e.down {
		at, ok := e.Next()
		if !ok || at > now {
			break
		}
		e.pass(max(e.now, at))
		for id, s := range e.states {
			if s.until <= e.now {
				delete(e.states, id)
				e.used -= s.tokens
			}
		}
		for _, j := range e.running {
			if j.state == fetching && j.fetch <= e.now {
				j.state = writing
			}
		}
		if e.stepEnd != 0 && e.stepEnd <= e.now {
			e.settle()
			e.stepEnd = 0
			e.endStep()
		}
		e.admit()
		e.begin()
	}
	e.pass(max(e.now, now))
	e.settle()
}

// pass moves the clock and counts the slots in use by answers.
func (e *Engine) pass(to time.Duration) {
	if to > e.now && e.p.CanDecode {
		n := 0
		for _, j := range e.running {
			if !j.ReadOnly && j.state != reading {
				n++
			}
		}
		e.work.WriteDone += (to - e.now).Seconds() * float64(n) / float64(max(e.p.Slots, 1))
	}
	e.now = to
}

func (e *Engine) endStep() {
	w := e.step
	e.step = stepWork{}
	if j := w.read; j != nil {
		e.work.ReadDone += w.tokens / e.p.PrefillRate
		if j.left -= w.tokens; j.left <= 0 {
			e.read(j)
		}
	}
	for _, j := range slices.Clone(w.write) {
		if j.state != writing {
			continue
		}
		j.out++
		e.used++
		n := j.out
		if n >= j.Out {
			e.work.Writes++
			e.keep("s:"+j.Session, j.memory())
			e.remove(j)
		}
		if j.Token != nil && (n == 1 || !j.Quiet) {
			j.Token(n)
		}
		if n >= j.Out && j.Done != nil {
			j.Done(j.kept)
		}
	}
	for e.used > e.p.Memory && e.evict() {
	}
}

// read ends the reading of a prompt.
func (e *Engine) read(j *Job) {
	e.work.Reads++
	e.keep("p:"+j.Prefix, j.PrefixLen)
	e.keep("s:"+j.Session, j.Prompt)
	if !j.ReadOnly {
		j.state = writing
		return
	}
	e.remove(j)
	e.used += j.Prompt // the state takes the job's place
	e.hold(j)
	if j.Done != nil {
		j.Done(j.kept)
	}
}

// evict sends the newest answer back into the queue, to be read anew; false when there is none.
func (e *Engine) evict() bool {
	for i := len(e.running) - 1; i > 0; i-- {
		j := e.running[i]
		if j.state != writing {
			continue
		}
		e.remove(j)
		j.state, j.FetchState = waiting, 0
		e.queue = append([]*Job{j}, e.queue...)
		return true
	}
	return false
}

// Holds tells whether a read state waits under this id.
func (e *Engine) Holds(id string) bool { return e.states[id] != nil }

// Ahead is the reading, in seconds of the whole engine at full capacity, that is to be done until a job's prompt would be
// read if it came now, its own included.
func (e *Engine) Ahead(j *Job) float64 {
	own, _ := e.needs(j)
	all, _ := e.waits(own)
	return all
}

// Near tells that a cold engine with j would have been sent more than a part of what tips it over.
func (e *Engine) Near(j *Job, part float64) bool {
	if e.Present() >= 1 || e.p.OverloadFactor <= 0 || e.p.OverloadAfter <= 0 {
		return false
	}
	read, write := e.needs(j)
	sum := read + write
	for _, s := range e.sent {
		if e.now-s.at <= e.p.OverloadAfter {
			sum += s.work
		}
	}
	return sum > part*e.p.OverloadFactor*e.Present()*e.p.OverloadAfter.Seconds()
}

// Working is the number of jobs that wait or run.
func (e *Engine) Working() int { return len(e.queue) + len(e.running) }

// Drop lets go of a read state; it may be called from a job's Done.
func (e *Engine) Drop(id string) {
	if s := e.states[id]; s != nil {
		delete(e.states, id)
		e.used -= s.tokens
	}
}

// Become takes other parameters while it works: those of a role that adds a stage.
func (e *Engine) Become(now time.Duration, p Params) {
	e.Advance(now)
	e.cut()
	e.p = p
	e.admit()
	e.begin()
}

// Resume goes on from the totals of the engine before a change of role: its process lives on.
func (e *Engine) Resume(w Work) {
	w.ReadWaiting, w.WriteWaiting = 0, 0
	e.work = w
}
