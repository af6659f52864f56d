// Package fleet plays a scenario in simulated time. The decisions of replicas are those of the same routing.Router
// with the same settings and classification as the program's, engines are the model that the fake engines run
// (package enginemodel), clients draw as those of a scenario on sockets do, and the five rules are checked by the
// same package audit. Engines change role by package roles with the view of package planner. It opens no sockets and
// reads no clock.
//
// It differs from sockets in these points: links take the same time whatever they carry, and the work of a replica
// takes none beside it; a client that reads slowly delays nobody but itself; load reports, by which no replica
// decides, and outdated events of the endpoint list, which replicas ignore, are not sent; planners see what was
// answered half an interval before, and a replica that was cut off from the API server reconnects after an evenly
// distributed time up to that of its longest backoff.
package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// Decider makes a replica's decisions: routing.Router, or for comparisons something simpler.
type Decider interface {
	Step(now time.Duration, events []routing.Event) []routing.Action
}

// Options say how a scenario is played.
type Options struct {
	Seed   uint64        // of everything but the clients' draws, which are the scenario's
	Link   time.Duration // latency from one actor to another; 0 = 250 us
	Jitter time.Duration // mean of what is added to it at random; 0 = 50 us
	Shards int           // parts that run in parallel; the result is the same; 0 = 1
	Audit  bool          // check the rules, which keeps a record of all events
	// Traffic is played in place of the scenario's drawn sessions, where it is given.
	Traffic []scenario.RecordedRequest
	// Oracles give replicas knowledge that they can't have.
	Oracles Oracles
	// Settings are the replicas', in place of those that the scenario makes; kinds and classes must have the same names.
	Settings *config.Settings
	// Decider makes a replica's decider; nil = routing.New.
	Decider func(s routing.Config, seed uint64) (Decider, error)
}

const (
	defaultLink   = 250 * time.Microsecond
	defaultJitter = 50 * time.Microsecond
)

// withDefaults fills in what the zero value means.
func (o Options) withDefaults() Options {
	o.Link, o.Jitter = cmp.Or(o.Link, defaultLink), cmp.Or(o.Jitter, defaultJitter)
	o.Shards = max(o.Shards, 1)
	if o.Decider == nil {
		o.Decider = func(s routing.Config, seed uint64) (Decider, error) { return routing.New(s, seed) }
	}
	return o
}

// Run plays a scenario.
func Run(s *scenario.Scenario, o Options) (*Result, error) {
	f, err := newFleet(s, o.withDefaults())
	if err != nil {
		return nil, err
	}
	for _, r := range f.replicas {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	if err := f.addPlanners(); err != nil {
		return nil, err
	}
	f.apiServer.begin()
	f.clients.begin()
	f.scheduler.run(f.isOver)
	return f.result(), nil
}

// fleet holds the actors of one run and what they have in common, which is not changed during the run.
type fleet struct {
	scenario  *scenario.Scenario
	options   Options
	settings  *config.Settings
	config    routing.Config
	scheduler *scheduler

	clients   *clients
	apiServer *apiServer
	engines   []*engine
	replicas  []*replica
	planners  []*plannerProcess
}

func newFleet(s *scenario.Scenario, o Options) (*fleet, error) {
	f := &fleet{scenario: s, options: o, scheduler: newScheduler(o.Shards, o.Link)}
	var err error
	if f.settings, err = s.Settings(0); err != nil {
		return nil, err
	}
	if o.Settings != nil {
		if err := checkNames(f.settings, o.Settings); err != nil {
			return nil, err
		}
		f.settings = o.Settings
	}
	f.config = f.settings.RoutingConfig()
	if err := o.Oracles.check(o.Shards); err != nil {
		return nil, err
	}
	o.Oracles.adapt(&f.config)
	f.addActors()
	return f, nil
}

// addActors creates all actors but the planners. Their order decides that of simultaneous events.
func (f *fleet) addActors() {
	f.clients = newClients(f)
	f.scheduler.add(f.clients)
	f.apiServer = newAPIServer(f)
	f.scheduler.add(f.apiServer)
	for i := range f.scenario.Kinds {
		for n := range f.scenario.Kinds[i].Count {
			e := newEngine(f, &f.scenario.Kinds[i], n)
			f.scheduler.add(e)
			f.engines = append(f.engines, e)
		}
	}
	for i := range f.scenario.Replicas {
		r := newReplica(f, i)
		f.scheduler.add(r)
		f.replicas = append(f.replicas, r)
	}
	f.allowRoleChanges()
}

func (f *fleet) addPlanners() error {
	if f.scenario.Planner == nil {
		return nil
	}
	for i := range max(f.scenario.Planner.Count, 1) {
		p := &plannerProcess{fleet: f, rnd: f.newRand(firstPlannerStream + uint64(i))}
		f.scheduler.add(p)
		f.planners = append(f.planners, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// settleSlack is for messages under way when the states of the last session must have been released.
	settleSlack = 300 * time.Millisecond
	// maxOvertime bounds how long a run goes on after the scenario's length, for what is still open.
	maxOvertime = time.Minute
)

// isOver ends a run once all sessions have ended and their states must have been released.
func (f *fleet) isOver(now time.Duration) bool {
	length, settle := f.scenario.Length, f.scenario.Service.StateTTL+settleSlack
	if now > length+maxOvertime {
		return true
	}
	return now > length+settle && f.clients.open == 0 && now > f.clients.lastEnd+settle
}

// A NamesError is returned where other settings do not have the names of the scenario's.
type NamesError struct {
	What          string // classes, kinds of engine or tenants
	Got, Scenario []string
}

func (e *NamesError) Error() string {
	return fmt.Sprintf("fleet: the settings' %s are %v, the scenario's are %v, in this order", e.What, e.Got, e.Scenario)
}

// checkNames returns a *NamesError where other settings don't fit a scenario.
func checkNames(own, other *config.Settings) error {
	names := func(s *config.Settings) [3][]string {
		var names [3][]string
		for _, c := range s.Classes {
			names[0] = append(names[0], c.Name)
		}
		for _, k := range s.Kinds {
			names[1] = append(names[1], k.Name)
		}
		for _, t := range s.Tenants {
			names[2] = append(names[2], t.Name)
		}
		return names
	}
	want, got := names(own), names(other)
	for i, what := range []string{"classes", "kinds of engine", "tenants"} {
		if !slices.Equal(want[i], got[i]) {
			return &NamesError{what, got[i], want[i]}
		}
	}
	return nil
}

// The streams of the actors' random generators; those of engines, replicas and planners count up from the first.
const (
	clientStream       = 1
	apiServerStream    = 2
	firstEngineStream  = 1000
	firstReplicaStream = 1 << 20
	firstPlannerStream = 1 << 30
)

// newRand returns the random generator of one actor.
func (f *fleet) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.options.Seed, stream))
}

// hop draws the latency of one link.
func (f *fleet) hop(rnd *rand.Rand) time.Duration {
	return f.options.Link + time.Duration(rnd.ExpFloat64()*float64(f.options.Jitter))
}

// connectHops is how many links a new connection with its first message takes.
const connectHops = 3
