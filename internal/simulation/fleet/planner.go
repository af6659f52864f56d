package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// RoleSample is how the engines that change role were assigned at a step of the planner.
type RoleSample struct {
	At                          time.Duration
	Prefill, Decode, Changing   int     // engines
	PrefillDemand, DecodeDemand float64 // work requested, in engines
	Commands                    uint64  // so far
}

// Messages between planners, replicas and the API server.
type (
	lostWorkRequest struct{ from int32 }
	lostWorkReply   struct {
		replica string
		lost    [2]float64
	}
	viewRequest struct{ from int32 }
	viewReply   struct {
		view   planner.View
		memory plannerMemory
	}
	assignmentsWrite struct {
		from        int32
		assignments roles.Assignments
	}
	assignmentsWritten struct {
		assignments roles.Assignments
		ok          bool
	}
	// plannerMemory is what a planner learned, and when it saved it.
	plannerMemory struct {
		at     time.Duration
		memory roles.Memory
		ok     bool
	}
)

// Messages of a planner to itself; run is that of the process which sent it.
type (
	plannerPoll struct{ run int }
	plannerStep struct{ run int }
)

func (s *apiServer) onViewRequest(m viewRequest) {
	if s.cut {
		return
	}
	view := planner.View{Assignments: s.assignments, Listings: map[string]planner.Listing{}}
	for i, e := range s.fleet.engines {
		if listed := &s.engines[i]; e.role.params != nil && !listed.unlisted {
			view.Listings[e.name] = planner.Listing{Locality: fmt.Sprint(e.cell), Up: listed.up && !listed.draining}
		}
	}
	s.send(m.from, s.fleet.hop(s.linkRnd), viewReply{view, s.plannerMemory})
}

func (s *apiServer) onAssignmentsWrite(m assignmentsWrite) {
	if s.cut {
		return
	}
	stored, err := s.assignments.Write(m.assignments)
	if err == nil {
		s.store(stored)
	}
	s.send(m.from, s.fleet.hop(s.linkRnd), assignmentsWritten{stored, err == nil})
}

// store replaces the assignments, and notifies the replicas of what that changes.
func (s *apiServer) store(assignments roles.Assignments) {
	before := s.assignments
	s.assignments = assignments
	for i, e := range s.fleet.engines {
		if assignments.Entries[e.name] != before.Entries[e.name] {
			s.sendChange(i)
		}
	}
}

// forceRole is an operator who forces an engine into the other role, whatever a planner decides.
func (s *apiServer) forceRole(engine string) {
	if assignments, err := s.assignments.SwitchStage(engine, "forced by the day"); err == nil {
		assignments.Version++
		s.store(assignments)
	}
}

func (s *apiServer) signalPlanners(what string) {
	for _, p := range s.fleet.planners {
		s.send(p.id, s.fleet.hop(s.linkRnd), processSignal{what})
	}
}

// plannerProcess is the process of one planner.
type plannerProcess struct {
	actorBase
	fleet *fleet
	rnd   *rand.Rand

	process  processState
	planner  *roles.Planner
	lostWork planner.LostWorkEstimator
	places   map[string]int
	savedAt  time.Duration // when its memory was saved
	recalled bool          // the memory of the process before
	samples  []RoleSample

	// Answers of the present interval.
	statuses map[string]planner.Status
	lost     map[string][2]float64
	view     *viewReply
}

const (
	// memoryInterval is how often a planner saves what it learned at the API server, as the real process does.
	memoryInterval         = 30 * time.Second
	defaultPlannerInterval = time.Second
)

func (p *plannerProcess) start() error {
	var err error
	if p.planner, err = roles.New(p.fleet.scenario.Planner.Settings()); err != nil {
		return err
	}
	p.process.run++
	p.process.up, p.recalled, p.savedAt = true, false, p.now()
	p.places, p.lostWork = map[string]int{}, planner.NewLostWorkEstimator()
	p.schedule(time.Duration(p.rnd.Float64()*float64(p.interval())), plannerPoll{p.process.run})
	return nil
}

func (p *plannerProcess) interval() time.Duration {
	return cmp.Or(p.fleet.scenario.Planner.Interval, defaultPlannerInterval)
}

func (p *plannerProcess) receive(message any) {
	switch m := message.(type) {
	case processSignal:
		p.onSignal(m.what)
	case plannerPoll:
		if p.process.up && m.run == p.process.run {
			p.poll()
		}
	case viewReply:
		p.view = &m
	case statusReply:
		if p.statuses != nil {
			p.statuses[m.engine] = m.status
		}
	case lostWorkReply:
		if p.lost != nil {
			p.lost[m.replica] = m.lost
		}
	case plannerStep:
		if p.process.up && m.run == p.process.run && p.view != nil {
			p.step()
		}
	case assignmentsWritten:
		if p.process.up && m.ok {
			p.sendCommands(m.assignments)
		}
	}
}

func (p *plannerProcess) onSignal(what string) {
	switch {
	case what == signalStopPlanner:
		p.process.up = false
	case !p.process.up:
		if err := p.start(); err != nil { // the same settings were accepted before
			panic(err)
		}
	}
}

// poll asks all others for their state; what is answered within half an interval is used.
func (p *plannerProcess) poll() {
	p.statuses, p.lost, p.view = map[string]planner.Status{}, map[string][2]float64{}, nil
	p.send(p.fleet.apiServer.id, p.fleet.hop(p.rnd), viewRequest{p.id})
	for _, e := range p.fleet.engines {
		p.send(e.id, connectHops*p.fleet.hop(p.rnd), statusRequest{p.id})
	}
	for _, r := range p.fleet.replicas {
		p.send(r.id, connectHops*p.fleet.hop(p.rnd), lostWorkRequest{p.id})
	}
	p.schedule(p.interval()/2, plannerStep{p.process.run})
	p.schedule(p.interval(), plannerPoll{p.process.run})
}

// step applies what was answered, plans and writes the assignments.
func (p *plannerProcess) step() {
	now := epoch + p.now()
	p.recall(now)
	assignments, changed := p.view.view.Assignments, false
	for _, id := range assignments.Names() {
		if status, ok := p.statuses[id]; ok {
			var applied bool
			assignments, applied = assignments.ApplyStatus(id, status.StatusReport, now)
			changed = changed || applied
		}
	}
	replicas := p.reports(now)
	plan := p.planner.Step(now, planner.Engines(p.view.view, p.statuses, p.places, now, now, now), replicas)
	assignments, done, _ := assignments.ApplyPlan(plan) // what is not applied is planned again
	if changed || len(done.Reverts)+len(done.Changes) > 0 {
		p.send(p.fleet.apiServer.id, p.fleet.hop(p.rnd), assignmentsWrite{p.id, assignments})
	} else {
		p.sendCommands(assignments)
	}
	p.sample(plan, assignments)
	p.save()
}

// recall takes over the memory of the process before, once.
func (p *plannerProcess) recall(now time.Duration) {
	if p.recalled {
		return
	}
	p.recalled = true
	if m := p.view.memory; m.ok {
		_ = p.planner.Restore(m.memory, p.now()-m.at, now) // an invalid memory is ignored, as by the real process
	}
}

// save saves the memory at the API server, each memoryInterval.
func (p *plannerProcess) save() {
	if p.now()-p.savedAt < memoryInterval {
		return
	}
	p.savedAt = p.now()
	if memory, ok := p.planner.Memory(); ok {
		p.send(p.fleet.apiServer.id, p.fleet.hop(p.rnd), plannerMemory{p.now(), memory, true})
	}
}

// reports returns what the replicas lacked capacity for.
func (p *plannerProcess) reports(now time.Duration) []roles.Replica {
	read, write := planner.MeanCosts(p.statuses)
	var replicas []roles.Replica
	for _, name := range slices.Sorted(maps.Keys(p.lost)) {
		counts := planner.LostCounts{Prefill: p.lost[name][0], Decode: p.lost[name][1]}
		report := *p.lostWork.Update(name, counts, now, read, write)
		replicas = append(replicas, roles.Replica{ID: name, Report: &report})
	}
	return replicas
}

// sendCommands repeats every command that is pending.
func (p *plannerProcess) sendCommands(assignments roles.Assignments) {
	commands := map[string]roles.Command{}
	for _, command := range assignments.PendingCommands() {
		commands[command.ID] = command
	}
	for _, e := range p.fleet.engines {
		if command, ok := commands[e.name]; ok {
			p.send(e.id, connectHops*p.fleet.hop(p.rnd), roleCommand{command})
		}
	}
}

func (p *plannerProcess) sample(plan roles.Plan, assignments roles.Assignments) {
	serving, changing := assignments.CountServing()
	p.samples = append(p.samples, RoleSample{
		At: p.now(), PrefillDemand: plan.PrefillDemand, DecodeDemand: plan.DecodeDemand,
		Commands: assignments.LastCommandNumber,
		Prefill:  serving[roles.Prefill], Decode: serving[roles.Decode], Changing: changing,
	})
}
