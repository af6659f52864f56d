// Package scenariorun plays scripted days (internal/lab/scene) on sockets: a register and engines (stand-ins in this process),
// fronts (processes of their own), clients, and what goes wrong. What passed on the sockets is recorded and judged by
// internal/audit; no front is asked.
package scenariorun

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/loopback"
	"brackenbend/internal/simulation/scenario"
)

// Options say how a day is run.
type Options struct {
	Binary  string    // brackenbend itself, for the fronts
	Env     []string  // beside this process' environment
	WorkDir string    // for settings, lists and logs of the fronts
	Log     io.Writer // what happens, line by line; nil = nothing
	// Foreseen is the work of an earlier run of the day: roles then follow the cheapest course for it, each change begun as
	// long ahead as it takes, in place of the planner's.
	Foreseen []RoleSample
}

// run is a day under way.
type run struct {
	d       *scenario.Scenario
	o       Options
	rec     *audit.Record
	reg     *apiserver.Server
	fronts  []*process
	engines []*engine.Server
	kindOf  map[*engine.Server]string
	rnd     *rand.Rand // the script's; clients have their own

	mu       sync.Mutex
	listed   map[string]bool // engines that the register may list
	draining map[string]bool
	mood     scenario.Conditions
	deaths   []string               // fronts that ended by themselves
	faulty   map[*engine.Server]int // faults set, so that overlapping ones end in order
	planners *planners              // nil where roles stay
}

// process is a front's process.
type process struct {
	name, addr, file string
	admin            string // where planners ask; "" = nowhere
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
}

// Run plays a day and judges it.
func Run(ctx context.Context, d *scenario.Scenario, o Options) (*Report, error) {
	if err := d.CheckRunnable(); err != nil {
		return nil, err
	}
	r := &run{
		d: d, o: o, rec: audit.NewRecord(), rnd: rand.New(rand.NewPCG(uint64(d.Seed), 1)), kindOf: map[*engine.Server]string{},
		listed: map[string]bool{}, draining: map[string]bool{}, mood: scenario.NormalConditions(), faulty: map[*engine.Server]int{},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	if r.planners != nil {
		r.planners.start()
		defer r.planners.stop()
	}
	stopLag := r.watchLag()
	t := newTraffic(r)
	began := time.Now()
	script := make(chan struct{})
	go func() { defer close(script); r.script(ctx, began) }()
	t.play(ctx, began)
	<-script
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	time.Sleep(d.Service.StateTTL + 300*time.Millisecond) // states of the last requests are let go, or are breaches
	if r.planners != nil {
		r.planners.stop()
	}
	for _, p := range r.fronts {
		r.end(p, syscall.SIGTERM)
	}
	return r.report(t, stopLag()), nil
}

// watchLag measures by how much a short sleep oversleeps at worst: on a machine without CPU to spare, what the
// sockets show lags by as much, and times between two of them can't be judged more finely.
func (r *run) watchLag() (stop func() time.Duration) {
	quit, worst := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		lag := time.Duration(0)
		for {
			select {
			case <-quit:
				worst <- lag
				return
			default:
			}
			at := time.Now()
			time.Sleep(5 * time.Millisecond)
			lag = max(lag, time.Since(at)-5*time.Millisecond)
		}
	}()
	return func() time.Duration { close(quit); return <-worst }
}

func (r *run) logf(format string, a ...any) {
	if r.o.Log != nil {
		fmt.Fprintf(r.o.Log, "%7.2fs  "+format+"\n", append([]any{r.rec.Now().Seconds()}, a...)...)
	}
}

// start brings up register, engines and fronts.
func (r *run) start() error {
	var err error
	if r.reg, err = apiserver.Start("127.0.0.1:0", r.rec); err != nil {
		return err
	}
	window := time.Minute
	for _, c := range r.d.Classes {
		window = max(window, c.DedupWindow)
	}
	group := &engine.DedupGroup{Window: window}
	shift := r.shifting()
	for _, k := range r.d.Kinds {
		for i := range k.Count {
			cfg := engine.Config{
				Name: fmt.Sprintf("%s-%d", k.Name, i+1), Kind: k.Name, Zone: "zone-1", Cell: fmt.Sprintf("cell-%d", i%2),
				Params: r.d.EngineParams(&k), PlainVLLM: r.d.EngineProtocol == "vllm", CanCancel: r.d.Service.CanCancel, Group: group, Record: r.rec, Changed: r.listEngine,
			}
			if k.ChangesRole {
				shift.join(&cfg, k.ServedRole())
			}
			addr, err := loopback.Address()
			if err != nil {
				return err
			}
			s, err := engine.Start(cfg, addr, false)
			if err != nil {
				return err
			}
			r.engines = append(r.engines, s)
			r.kindOf[s] = k.Name
		}
	}
	if shift.kinds != nil && r.d.Planner != nil {
		r.planners = newPlanners(r)
	}
	for i := range r.d.Replicas {
		p, err := r.newFront(i)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, p)
		if err := r.launch(p); err != nil {
			return err
		}
	}
	return nil
}

// listEngine tells the register what runs; it is called when an engine's process starts or ends.
func (r *run) listEngine(s *engine.Server) {
	in := s.Info()
	r.mu.Lock()
	if _, known := r.listed[in.Name]; !known {
		r.listed[in.Name] = true
	}
	show, drain := r.listed[in.Name], r.draining[in.Name]
	r.mu.Unlock()
	if !show {
		r.reg.Remove(in.Name)
		return
	}
	r.reg.Set(apiserver.Entry{
		Name: in.Name, Kind: in.Kind, Zone: in.Zone, Cell: in.Cell, Address: in.Address, UID: in.UID,
		Ready: in.Up, Draining: drain, Started: in.Started,
	})
}

// newFront writes a front's settings.
func (r *run) newFront(i int) (*process, error) {
	addr, err := loopback.Address()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%d", i+1)
	p := &process{name: name, addr: addr, file: filepath.Join(r.o.WorkDir, name+".xml")}
	if r.planners != nil {
		if p.admin, err = loopback.Address(); err != nil {
			return nil, err
		}
	}
	return p, os.WriteFile(p.file, []byte(r.d.ReplicaXML(i, p.name, p.addr, p.admin, r.reg.URL(), filepath.Join(r.o.WorkDir, p.name+".list.json"))), 0o644)
}

// launch starts a front's process; its log goes to a file beside its settings.
func (r *run) launch(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(strings.TrimSuffix(p.file, ".xml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(r.o.Binary, "serve", "-c", p.file)
	cmd.Env = append(os.Environ(), r.o.Env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	r.rec.Add(audit.Event{Kind: audit.ReplicaStarted, Replica: p.name})
	go func(done chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		byItself := p.cmd == cmd
		p.mu.Unlock()
		if byItself {
			r.fell(p, err)
		}
		close(done)
	}(p.ended)
	return nil
}

// fell books a front whose process ended though nobody ended it, with what it last wrote.
func (r *run) fell(p *process, err error) {
	text, _ := os.ReadFile(strings.TrimSuffix(p.file, ".xml") + ".log")
	if i := max(strings.LastIndex(string(text), "\npanic:"), strings.LastIndex(string(text), "\nfatal error:")); i >= 0 {
		text = text[i+1:]
	} else {
		text = text[max(0, len(text)-1000):]
	}
	r.mu.Lock()
	r.deaths = append(r.deaths, fmt.Sprintf("%.3fs: %s ended by itself (%v): %.3000s", r.rec.Now().Seconds(), p.name, err, text))
	r.mu.Unlock()
}

// end signals a front's process and waits for its end.
func (r *run) end(p *process, sig syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if sig == syscall.SIGKILL {
		r.rec.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: p.name})
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		r.logf("%s did not end by itself", p.name)
		r.rec.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: p.name})
		_ = cmd.Process.Kill()
		<-ended
	}
}

// ready waits until every front answers.
func (r *run) ready(ctx context.Context) error {
	limit := time.Now().Add(30 * time.Second)
	for _, p := range r.fronts {
		for {
			c, err := net.DialTimeout("tcp", p.addr, time.Second)
			if err == nil {
				c.Close()
				break
			}
			select {
			case <-p.ended:
				return fmt.Errorf("day: %s ended at its start; see %s", p.name, strings.TrimSuffix(p.file, ".xml")+".log")
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(20 * time.Millisecond):
			}
			if time.Now().After(limit) {
				return fmt.Errorf("day: %s does not answer", p.name)
			}
		}
	}
	time.Sleep(300 * time.Millisecond) // the first list
	return nil
}

func (r *run) close() {
	for _, p := range r.fronts {
		r.end(p, syscall.SIGKILL)
	}
	for _, s := range r.engines {
		s.Close()
	}
	if r.reg != nil {
		r.reg.Close()
	}
}
