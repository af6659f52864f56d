package scenariorun

import (
	"fmt"
	"sync"
	"time"

	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/loopback"
)

// minDedupWindow is the shortest time for which engines drop repeated requests with an idempotency key; the window of a
// class may be longer.
const minDedupWindow = time.Minute

// engineFleet holds the engines of a scenario and how the API server lists them.
type engineFleet struct {
	api     *apiserver.Server
	engines []*engine.Server // complete before the first fault

	mu           sync.Mutex
	unlisted     map[string]bool        // engines that the API server doesn't list
	draining     map[string]bool        // engines that it lists as draining
	activeFaults map[*engine.Server]int // number of faults in force
}

func newEngineFleet(api *apiserver.Server) *engineFleet {
	return &engineFleet{
		api:          api,
		unlisted:     map[string]bool{},
		draining:     map[string]bool{},
		activeFaults: map[*engine.Server]int{},
	}
}

// startEngines starts the engines of all kinds in the scenario.
func (r *run) startEngines(roleChange *roleChangeConfig) error {
	dedupWindow := minDedupWindow
	for _, class := range r.scenario.Classes {
		dedupWindow = max(dedupWindow, class.DedupWindow)
	}
	dedupScope := &engine.DedupScope{Window: dedupWindow}
	for _, kind := range r.scenario.EngineKinds {
		for i := range kind.Count {
			cfg := engine.Config{
				Name:            fmt.Sprintf("%s-%d", kind.Name, i+1),
				Kind:            kind.Name,
				Zone:            "zone-1",
				Cell:            fmt.Sprintf("cell-%d", i%2),
				Params:          r.scenario.EngineParams(&kind),
				PlainVLLM:       r.scenario.EngineProtocol == "vllm",
				CanCancel:       r.scenario.Service.CanCancel,
				DedupScope:      dedupScope,
				Record:          r.record,
				OnProcessChange: r.engines.updateEntry,
			}
			if kind.ChangesRole {
				roleChange.configure(&cfg, kind.InitialRole())
			}
			if err := r.engines.start(cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *engineFleet) start(cfg engine.Config) error {
	addr, err := loopback.Address()
	if err != nil {
		return err
	}
	server, err := engine.Start(cfg, addr, false)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, server)
	return nil
}

func (f *engineFleet) close() {
	for _, server := range f.engines {
		server.Close()
	}
}

// updateEntry updates the API server's entry of an engine to its present state. It is also called when an engine's
// process starts or ends.
func (f *engineFleet) updateEntry(server *engine.Server) {
	info := server.Info()
	f.mu.Lock()
	unlisted, draining := f.unlisted[info.Name], f.draining[info.Name]
	f.mu.Unlock()
	if unlisted {
		f.api.Remove(info.Name)
		return
	}
	f.api.Set(apiserver.Entry{
		Name: info.Name, Kind: info.Kind, Zone: info.Zone, Cell: info.Cell, Address: info.Address, UID: info.UID,
		Ready: info.Up, Draining: draining, Started: info.Started,
	})
}

// setUnlisted removes an engine from the API server's list, or adds it again.
func (f *engineFleet) setUnlisted(server *engine.Server, unlisted bool) {
	f.setFlag(server, f.unlisted, unlisted)
}

// setDraining sets whether the API server lists an engine as draining.
func (f *engineFleet) setDraining(server *engine.Server, draining bool) {
	f.setFlag(server, f.draining, draining)
}

// setFlag sets the value of an engine in f.unlisted or f.draining and updates its entry at the API server.
func (f *engineFleet) setFlag(server *engine.Server, flags map[string]bool, value bool) {
	name := server.Info().Name
	f.mu.Lock()
	flags[name] = value
	f.mu.Unlock()
	f.updateEntry(server)
}

// addActiveFaults adds n to the number of faults in force on an engine; n is negative when they end.
func (f *engineFleet) addActiveFaults(server *engine.Server, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeFaults[server] += n
}

// healthy returns the engines of a kind ("" = any) that run, have no fault in force and don't drain.
func (f *engineFleet) healthy(kind string) []*engine.Server {
	var healthy []*engine.Server
	for _, server := range f.engines {
		info := server.Info()
		f.mu.Lock()
		available := f.activeFaults[server] == 0 && !f.draining[info.Name]
		f.mu.Unlock()
		if (kind == "" || info.Kind == kind) && info.Up && available {
			healthy = append(healthy, server)
		}
	}
	return healthy
}
