// Package fleet runs a scenario in simulated time. It opens no sockets and reads no clock. It shares its components
// with the scenarios on sockets: replicas use routing.Router with the program's settings and request classification,
// engines use the model of the fake engines (package enginemodel), clients draw their sessions from package scenario,
// and package audit checks the five rules. Engines change role with package roles and the view of package planner.
//
// A simulated scenario differs from one on sockets as follows:
//   - The latency of a link does not depend on the size of the message, and replicas use no processing time.
//   - A client that reads slowly delays only itself.
//   - Load reports are not sent, because no replica uses them for its decisions. Outdated events of the endpoint list
//     are not sent either, because replicas ignore them.
//   - A planner uses the replies to a poll half an interval after it sent the poll.
//   - After a partition from the API server, a replica reconnects after a random time that is uniformly distributed up
//     to its longest backoff, or up to the length of the partition if that is shorter.
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

// Decider makes the routing decisions of a replica. It is routing.Router, or a simpler baseline for comparison.
type Decider interface {
	Step(now time.Duration, events []routing.Event) []routing.Action
}

// Options configure a run.
type Options struct {
	Seed        uint64        // of the draws that the scenario's own seed does not determine, such as latencies
	LinkLatency time.Duration // minimum latency from one actor to another; 0 = 250 us
	Jitter      time.Duration // mean of the exponentially distributed addition to LinkLatency; 0 = 50 us
	Shards      int           // number of goroutines that run actors; the result does not depend on it; 0 = 1
	Audit       bool          // record all events and check the rules on them
	// Traffic is replayed instead of the scenario's generated sessions; nil = use those.
	Traffic []scenario.RecordedRequest
	// Oracles give replicas knowledge that real replicas can't have.
	Oracles Oracles
	// Settings replace the replica settings that the scenario generates; nil = use those. Their classes, kinds and
	// tenants must have the scenario's names, in the same order.
	Settings *config.Settings
	// Decider creates the Decider of a replica; nil = routing.New.
	Decider func(s routing.Config, seed uint64) (Decider, error)
}

const (
	defaultLinkLatency = 250 * time.Microsecond
	defaultJitter      = 50 * time.Microsecond
)

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults() Options {
	o.LinkLatency, o.Jitter = cmp.Or(o.LinkLatency, defaultLinkLatency), cmp.Or(o.Jitter, defaultJitter)
	o.Shards = max(o.Shards, 1)
	if o.Decider == nil {
		o.Decider = func(s routing.Config, seed uint64) (Decider, error) { return routing.New(s, seed) }
	}
	return o
}

// Run simulates a scenario.
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
	f.apiServer.start()
	f.clients.start()
	f.scheduler.run(f.isOver)
	return f.result(), nil
}

// fleet holds the actors of one run and the data that they share, which is immutable during the run.
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
	f := &fleet{scenario: s, options: o, scheduler: newScheduler(o.Shards, o.LinkLatency)}
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
	if err := o.Oracles.validate(o.Shards); err != nil {
		return nil, err
	}
	o.Oracles.adaptConfig(&f.config)
	f.addActors()
	return f, nil
}

// addActors creates all actors except the planners. Simultaneous events are delivered in the order of the actors.
func (f *fleet) addActors() {
	f.clients = newClients(f)
	f.scheduler.add(f.clients)
	f.apiServer = newAPIServer(f)
	f.scheduler.add(f.apiServer)
	for i := range f.scenario.EngineKinds {
		for n := range f.scenario.EngineKinds[i].Count {
			e := newEngine(f, &f.scenario.EngineKinds[i], n)
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
	// finalReleaseSlack is added to the state TTL at the end of a run, for messages that are still in flight.
	finalReleaseSlack = 300 * time.Millisecond
	// maxExtraTime limits how long a run waits for open sessions after the scenario's length.
	maxExtraTime = time.Minute
)

// isOver reports whether the run is complete: all sessions have ended and the TTL of their read states is over, or
// maxExtraTime has passed.
func (f *fleet) isOver(now time.Duration) bool {
	length, releaseWait := f.scenario.Length, f.scenario.Service.StateTTL+finalReleaseSlack
	if now > length+maxExtraTime {
		return true
	}
	return now > length+releaseWait && f.clients.openSessions == 0 && now > f.clients.lastSessionEnd+releaseWait
}

// NamesError reports that Options.Settings don't have the scenario's names.
type NamesError struct {
	Setting          string // classes, kinds of engine or tenants
	Actual, Required []string
}

func (e *NamesError) Error() string {
	return fmt.Sprintf("fleet: settings have %s %v, but the scenario requires %v in this order",
		e.Setting, e.Actual, e.Required)
}

// checkNames returns a *NamesError if the names in other settings differ from those in the scenario's own.
func checkNames(scenarioSettings, settings *config.Settings) error {
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
	required, actual := names(scenarioSettings), names(settings)
	for i, setting := range []string{"classes", "kinds of engine", "tenants"} {
		if !slices.Equal(required[i], actual[i]) {
			return &NamesError{setting, actual[i], required[i]}
		}
	}
	return nil
}

// Streams of the actors' random generators. Engines, replicas and planners use consecutive streams from the first one
// of their type.
const (
	clientStream       = 1
	apiServerStream    = 2
	firstEngineStream  = 1000
	firstReplicaStream = 1 << 20
	firstPlannerStream = 1 << 30
)

// newRand returns the random generator for a stream; each actor has a stream of its own.
func (f *fleet) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.options.Seed, stream))
}

// linkDelay draws the latency of a message over one link.
func (f *fleet) linkDelay(rnd *rand.Rand) time.Duration {
	return f.options.LinkLatency + time.Duration(rnd.ExpFloat64()*float64(f.options.Jitter))
}

// connectHops is the number of link delays until the first message on a new connection arrives.
const connectHops = 3
