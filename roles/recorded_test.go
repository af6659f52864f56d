package roles

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/golden"
)

// digest is a hash of formatted text.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) addf(format string, args ...any) {
	d.Write(fmt.Appendf(nil, format, args...)) // a hash never returns an error
}

func (d digest) String() string { return fmt.Sprintf("%x", d.Sum(nil)[:12]) }

// encodePlan returns a plan in a form that does not depend on the names of types and fields. Times are in nanoseconds.
// Reasons are left out.
func encodePlan(p Plan) string {
	var b strings.Builder
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "change %s %d;", c.ID, int(c.Target))
	}
	for _, id := range p.Reverts {
		fmt.Fprintf(&b, "back %s;", id)
	}
	fmt.Fprintf(&b, "%v %.9g %.9g %d %d %d %d %d", p.Trusted, p.PrefillDemand, p.DecodeDemand,
		p.WantedPrefillEngines, int64(p.Lookback), p.Engines, p.UntrustedReports, int64(p.ChangeTime))
	return b.String()
}

// recordedFleet configures one recorded run of a planner for a fleet whose load and engines change at random.
type recordedFleet struct {
	name                          string
	prefillEngines, decodeEngines int
	steps                         int
	faults                        bool // engines fail, recover, restart and are pinned, and some changes take too long
}

// run returns the digest of all plans and their numbers of changes and reverts.
func (f recordedFleet) run(t *testing.T) (sum string, changes, reverts int) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(f.prefillEngines), uint64(f.decodeEngines)))
	fleet := newSimulatedFleet(f.prefillEngines, f.decodeEngines)
	planner := newPlanner(t, Config{MinDwell: 20 * time.Second})
	d := newDigest()
	prefill, decode := float64(f.prefillEngines)*0.7, float64(f.decodeEngines)*0.7
	for step := range f.steps {
		if step%90 == 0 {
			all := float64(f.prefillEngines + f.decodeEngines)
			share := random.Float64()
			prefill, decode = all*share*0.8, all*(1-share)*0.8
		}
		if f.faults {
			f.injectFault(random, fleet, step)
		}
		fleet.advance(prefill, decode)
		replicas := []Replica{{ID: "a", Report: &Report{At: fleet.now, Prefill: StageLoad{Lost: float64(step) * 0.01}}}}
		plan := planner.Step(fleet.now, fleet.engines, replicas)
		d.addf("%s\n", encodePlan(plan))
		changeTime := 6 * time.Second
		if f.faults && random.IntN(8) == 0 {
			changeTime = 3 * time.Minute
		}
		fleet.apply(plan, changeTime)
		changes, reverts = changes+len(plan.Changes), reverts+len(plan.Reverts)
	}
	addMemory(t, d, planner)
	return d.String(), changes, reverts
}

// injectFault changes the state of one engine at every seventh step.
func (f recordedFleet) injectFault(random *rand.Rand, fleet *simulatedFleet, step int) {
	if step%7 != 0 {
		return
	}
	e := &fleet.engines[random.IntN(len(fleet.engines))]
	switch random.IntN(4) {
	case 0:
		e.Ready = !e.Ready
	case 1:
		e.Pinned = !e.Pinned
	case 2:
		e.CanPrefill = !e.CanPrefill || !e.CanDecode
	case 3:
		fleet.totals[e.ID].Prefill.Done = 0 // its process has restarted
	}
}

// addMemory adds the planner's memory, in its stored form, to the digest.
func addMemory(t *testing.T, d digest, planner *Planner) {
	t.Helper()
	memory, ok := planner.Memory()
	text, err := json.Marshal(memory)
	if err != nil {
		t.Fatal(err)
	}
	d.addf("%v %s\n", ok, text)
}

// recordedTable returns the table that random operations start from.
func recordedTable() Assignments {
	table := Assignments{Entries: map[string]Assignment{}}
	for i := range 9 {
		e := flexibleAssignment(Role(i % 3))
		e.CanPrefill, e.CanDecode = i != 7, i != 8
		table.Entries[fmt.Sprintf("e%d", i)] = e
	}
	return table
}

// applyRandom applies a random operation to one engine's entry. It returns the new table, and whether a status report
// changed it.
func applyRandom(random *rand.Rand, table Assignments, id string, now time.Duration) (Assignments, bool, error) {
	var next Assignments
	var err error
	switch random.IntN(6) {
	case 0:
		next, err = table.Start(id, Role(random.IntN(3)), "asked")
	case 1:
		next, err = table.Revert(id, "called off")
	case 2:
		next, err = table.SwitchStage(id, "turned")
	case 3:
		next, err = table.Edit(id, func(e *Assignment) { e.Pinned = random.IntN(3) == 0 })
	default:
		e := table.Entries[id]
		status := StatusReport{CommandNumber: e.CommandNumber, Role: Role(random.IntN(3)), Serving: random.IntN(3) > 0}
		if random.IntN(2) == 0 {
			status.Role = e.Target
		}
		next, changed := table.ApplyStatus(id, status, now)
		return next, changed, nil
	}
	return next, false, err
}

// runAssignments applies random operations to a table and returns the digest of its stored forms.
func runAssignments(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	table := recordedTable()
	d := newDigest()
	now := time.Duration(0)
	for range 600 {
		now += time.Second
		id := fmt.Sprintf("e%d", random.IntN(10))
		next, changed, err := applyRandom(random, table, id, now)
		if err == nil {
			table, err = table.Write(next)
		}
		text, marshalErr := json.Marshal(table)
		if marshalErr != nil {
			t.Fatal(marshalErr)
		}
		commands, marshalErr := json.Marshal(table.PendingCommands())
		if marshalErr != nil {
			t.Fatal(marshalErr)
		}
		serving, changing := table.CountServing()
		d.addf("%v %v %s %s %v %d\n", changed, err != nil, text, commands, serving, changing)
	}
	return d.String()
}

// TestRecordedPlans compares digests of the planner's plans, its stored memory and the assignment table with recorded
// ones. The encoding holds no names of types or fields, so a different digest means a different decision. The golden
// file must not be updated by a change that is not meant to change decisions.
func TestRecordedPlans(t *testing.T) {
	var got strings.Builder
	for _, f := range []recordedFleet{
		{"small", 2, 3, 1500, false},
		{"small with faults", 3, 3, 1500, true},
		{"middle", 8, 12, 1500, false},
		{"middle with faults", 12, 8, 1500, true},
		{"large with faults", 40, 50, 900, true},
	} {
		sum, changes, reverts := f.run(t)
		fmt.Fprintf(&got, "%s: %s, %d changes, %d called off\n", f.name, sum, changes, reverts)
	}
	for seed := range uint64(3) {
		fmt.Fprintf(&got, "assignments %d: %s\n", seed, runAssignments(t, seed))
	}
	golden.Check(t, "plans.txt", got.String())
}
