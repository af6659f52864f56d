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

// RoleSample holds the numbers of engines by role and the demand at one step of a planner.
type RoleSample struct {
	At                          time.Duration
	Prefill, Decode, Changing   int     // numbers of engines
	PrefillDemand, DecodeDemand float64 // requested work, in units of one engine's capacity
	Commands                    uint64  // issued since the start of the run
}

// Messages between planners, replicas and the API server.
type (
	lostWorkRequest struct{ from int32 }
	lostWorkReply   struct {
		replica     string
		lostByStage [2]float64 // replica.lostByStage
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
		accepted    bool
	}
	// plannerMemory is the learned state that a planner saves, so that it survives a restart; ok = one was saved.
	plannerMemory struct {
		savedAt time.Duration
		memory  roles.Memory
		saved   bool
	}
)

// Messages that a planner schedules for itself; generation is that of the process that scheduled them.
type (
	plannerPoll struct{ generation int }
	plannerStep struct{ generation int }
)

// onViewRequest sends a planner the assignments, the listed engines and the saved memory.
func (s *apiServer) onViewRequest(m viewRequest) {
	if s.partitioned {
		return
	}
	view := planner.View{Assignments: s.assignments, Listings: map[string]planner.Listing{}}
	for i, e := range s.fleet.engines {
		if entry := &s.engines[i]; e.role.params != nil && !entry.unlisted {
			view.Listings[e.name] = planner.Listing{Locality: fmt.Sprint(e.cell), Up: entry.up && !entry.draining}
		}
	}
	s.send(m.from, s.fleet.linkDelay(s.linkRnd), viewReply{view, s.plannerMemory})
}

// onAssignmentsWrite stores a planner's assignments, unless they are based on an outdated version.
func (s *apiServer) onAssignmentsWrite(m assignmentsWrite) {
	if s.partitioned {
		return
	}
	stored, err := s.assignments.Write(m.assignments)
	if err == nil {
		s.storeAssignments(stored)
	}
	s.send(m.from, s.fleet.linkDelay(s.linkRnd), assignmentsWritten{stored, err == nil})
}

// storeAssignments replaces the assignments and sends the replicas every engine whose entry changed.
func (s *apiServer) storeAssignments(assignments roles.Assignments) {
	previous := s.assignments
	s.assignments = assignments
	for i, e := range s.fleet.engines {
		if assignments.Entries[e.name] != previous.Entries[e.name] {
			s.sendChange(i)
		}
	}
}

// forceRole simulates an operator who forces an engine into the other role, regardless of the planner's decisions.
func (s *apiServer) forceRole(engine string) {
	if assignments, err := s.assignments.SwitchStage(engine, "forced by the scenario"); err == nil {
		assignments.Version++
		s.storeAssignments(assignments)
	}
}

func (s *apiServer) signalPlanners(signal string) {
	for _, p := range s.fleet.planners {
		s.send(p.id, s.fleet.linkDelay(s.linkRnd), processSignal{signal})
	}
}

// plannerProcess is the actor of one planner.
type plannerProcess struct {
	actorBase
	fleet *fleet
	rnd   *rand.Rand

	process           processState
	planner           *roles.Planner
	lostWorkEstimator planner.LostWorkEstimator
	cellByLocality    map[string]int // numbers assigned to localities
	savedAt           time.Duration  // time of the latest saveMemory, or the start of the process
	memoryRestored    bool           // whether restoreMemory was done in this process
	roleSamples       []RoleSample

	// Replies to the latest poll.
	statuses     map[string]planner.Status
	lostRequests map[string][2]float64
	viewReply    *viewReply
}

const (
	// memoryInterval is how often a planner saves its memory at the API server, as the real process does.
	memoryInterval         = 30 * time.Second
	defaultPlannerInterval = time.Second
)

func (p *plannerProcess) start() error {
	var err error
	if p.planner, err = roles.New(p.fleet.scenario.Planner.Settings()); err != nil {
		return err
	}
	p.process.generation++
	p.process.up, p.memoryRestored, p.savedAt = true, false, p.now()
	p.cellByLocality, p.lostWorkEstimator = map[string]int{}, planner.NewLostWorkEstimator()
	p.schedule(time.Duration(p.rnd.Float64()*float64(p.interval())), plannerPoll{p.process.generation})
	return nil
}

func (p *plannerProcess) interval() time.Duration {
	return cmp.Or(p.fleet.scenario.Planner.Interval, defaultPlannerInterval)
}

func (p *plannerProcess) receive(message any) {
	switch m := message.(type) {
	case processSignal:
		p.onSignal(m.signal)
	case plannerPoll:
		if p.process.up && m.generation == p.process.generation {
			p.poll()
		}
	case viewReply:
		p.viewReply = &m
	case statusReply:
		if p.statuses != nil {
			p.statuses[m.engine] = m.status
		}
	case lostWorkReply:
		if p.lostRequests != nil {
			p.lostRequests[m.replica] = m.lostByStage
		}
	case plannerStep:
		if p.process.up && m.generation == p.process.generation && p.viewReply != nil {
			p.step()
		}
	case assignmentsWritten:
		if p.process.up && m.accepted {
			p.sendCommands(m.assignments)
		}
	}
}

func (p *plannerProcess) onSignal(signal string) {
	switch {
	case signal == signalStopPlanner:
		p.process.up = false
	case !p.process.up:
		if err := p.start(); err != nil { // can't happen: the same settings were accepted at the first start
			panic(err)
		}
	}
}

// poll requests the state of the API server, the engines and the replicas. The step half an interval later uses the
// replies that have arrived.
func (p *plannerProcess) poll() {
	p.statuses, p.lostRequests, p.viewReply = map[string]planner.Status{}, map[string][2]float64{}, nil
	p.send(p.fleet.apiServer.id, p.fleet.linkDelay(p.rnd), viewRequest{p.id})
	for _, e := range p.fleet.engines {
		p.send(e.id, connectHops*p.fleet.linkDelay(p.rnd), statusRequest{p.id})
	}
	for _, r := range p.fleet.replicas {
		p.send(r.id, connectHops*p.fleet.linkDelay(p.rnd), lostWorkRequest{p.id})
	}
	p.schedule(p.interval()/2, plannerStep{p.process.generation})
	p.schedule(p.interval(), plannerPoll{p.process.generation})
}

// step applies the engines' statuses, plans, and writes the assignments if they changed.
func (p *plannerProcess) step() {
	now := epoch + p.now()
	p.restoreMemory(now)
	assignments, changed := p.viewReply.view.Assignments, false
	for _, id := range assignments.Names() {
		if status, ok := p.statuses[id]; ok {
			var applied bool
			assignments, applied = assignments.ApplyStatus(id, status.StatusReport, now)
			changed = changed || applied
		}
	}
	replicas := p.lostWorkReports(now)
	plan := p.planner.Step(now, planner.Engines(p.viewReply.view, p.statuses, p.cellByLocality, now, now, now), replicas)
	// Changes that can't be applied are planned again at the next step.
	assignments, appliedPlan, _ := assignments.ApplyPlan(plan)
	if changed || len(appliedPlan.Reverts)+len(appliedPlan.Changes) > 0 {
		p.send(p.fleet.apiServer.id, p.fleet.linkDelay(p.rnd), assignmentsWrite{p.id, assignments})
	} else {
		p.sendCommands(assignments)
	}
	p.recordSample(plan, assignments)
	p.saveMemory()
}

// restoreMemory restores the memory that an earlier process saved. It has an effect once per process.
func (p *plannerProcess) restoreMemory(now time.Duration) {
	if p.memoryRestored {
		return
	}
	p.memoryRestored = true
	if m := p.viewReply.memory; m.saved {
		_ = p.planner.Restore(m.memory, p.now()-m.savedAt, now) // an invalid memory is ignored, as by the real process
	}
}

// saveMemory saves the memory at the API server once per memoryInterval.
func (p *plannerProcess) saveMemory() {
	if p.now()-p.savedAt < memoryInterval {
		return
	}
	p.savedAt = p.now()
	if memory, ok := p.planner.Memory(); ok {
		p.send(p.fleet.apiServer.id, p.fleet.linkDelay(p.rnd), plannerMemory{p.now(), memory, true})
	}
}

// lostWorkReports converts the replicas' counts of requests rejected or failed before their first token to reports for
// the planner.
func (p *plannerProcess) lostWorkReports(now time.Duration) []roles.Replica {
	prefillCost, decodeCost := planner.MeanCosts(p.statuses)
	var replicas []roles.Replica
	for _, name := range slices.Sorted(maps.Keys(p.lostRequests)) {
		counts := planner.LostCounts{Prefill: p.lostRequests[name][0], Decode: p.lostRequests[name][1]}
		report := *p.lostWorkEstimator.Update(name, counts, now, prefillCost, decodeCost)
		replicas = append(replicas, roles.Replica{ID: name, Report: &report})
	}
	return replicas
}

// sendCommands sends every pending command to its engine. It is repeated until the engine confirms the command.
func (p *plannerProcess) sendCommands(assignments roles.Assignments) {
	commands := map[string]roles.Command{}
	for _, command := range assignments.PendingCommands() {
		commands[command.ID] = command
	}
	for _, e := range p.fleet.engines {
		if command, ok := commands[e.name]; ok {
			p.send(e.id, connectHops*p.fleet.linkDelay(p.rnd), roleCommand{command})
		}
	}
}

func (p *plannerProcess) recordSample(plan roles.Plan, assignments roles.Assignments) {
	serving, changing := assignments.CountServing()
	p.roleSamples = append(p.roleSamples, RoleSample{
		At: p.now(), PrefillDemand: plan.PrefillDemand, DecodeDemand: plan.DecodeDemand,
		Commands: assignments.LastCommandNumber, Prefill: serving[roles.Prefill], Decode: serving[roles.Decode],
		Changing: changing,
	})
}
