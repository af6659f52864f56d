package roles

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
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

// recordedRun is what a run of a planner left.
type recordedRun struct {
	digest           string   // of all plans
	decisions        []string // the plans that change or revert a role, one line each
	changes, reverts int
	memory           Memory
}

// run plays the fleet.
func (f recordedFleet) run(t *testing.T) (run recordedRun) {
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
		encoded := encodePlan(plan)
		d.addf("%s\n", encoded)
		if len(plan.Changes)+len(plan.Reverts) > 0 {
			run.decisions = append(run.decisions, fmt.Sprintf("%s, step %d: %s", f.name, step, encoded))
		}
		changeTime := 6 * time.Second
		if f.faults && random.IntN(8) == 0 {
			changeTime = 3 * time.Minute
		}
		fleet.apply(plan, changeTime)
		run.changes, run.reverts = run.changes+len(plan.Changes), run.reverts+len(plan.Reverts)
	}
	var ok bool
	if run.memory, ok = planner.Memory(); !ok {
		t.Fatalf("%s: the planner has no memory", f.name)
	}
	run.digest = d.String()
	return run
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

// maxRelativeDifference is how far a learned number of a run may be from the recorded one, relative to it. In a step of
// a run a number passes through at most operationsPerStep additions, products and exponentials of positive terms.
// math.Exp is correct to less than one unit in the last place, but not to the same last bit on every processor.
func (f recordedFleet) maxRelativeDifference() float64 {
	const (
		operationsPerStep = 8
		unitInLastPlace   = 0x1p-52
	)
	return float64(f.steps) * operationsPerStep * unitInLastPlace
}

// alignLearned replaces the learned numbers of a memory that are within the relative bound of the recorded ones by
// these.
func alignLearned(memory, recorded *Memory, bound float64) {
	align := func(number, recorded *float64) {
		if math.Abs(*number-*recorded) <= bound*math.Abs(*recorded) {
			*number = *recorded
		}
	}
	align(&memory.ChangeSeconds, &recorded.ChangeSeconds)
	for i := range min(len(memory.Experts), len(recorded.Experts)) {
		expert, recordedExpert := &memory.Experts[i], &recorded.Experts[i]
		align(&expert.Loss, &recordedExpert.Loss)
		for j := range min(len(expert.History), len(recordedExpert.History)) {
			sample, recordedSample := &expert.History[j], &recordedExpert.History[j]
			align(&sample.Prefill, &recordedSample.Prefill)
			align(&sample.Decode, &recordedSample.Decode)
			align(&sample.Seconds, &recordedSample.Seconds)
		}
	}
}

// checkLearned compares what the planners learned with testdata/learned.json: the learned numbers within their bound,
// times, counts and everything else exactly.
func checkLearned(t *testing.T, fleets []recordedFleet, learned []Memory) {
	t.Helper()
	const file = "testdata/learned.json"
	if golden.Updating() {
		text, err := json.Marshal(learned)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, filepath.Base(file), string(text)+"\n")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var recorded []Memory
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	if len(recorded) != len(fleets) {
		t.Fatalf("%s has %d fleets, want %d", file, len(recorded), len(fleets))
	}
	for i, f := range fleets {
		alignLearned(&learned[i], &recorded[i], f.maxRelativeDifference())
		if !reflect.DeepEqual(learned[i], recorded[i]) {
			t.Errorf("%s: learned\n%+v\nrecorded\n%+v", f.name, learned[i], recorded[i])
		}
	}
}

// TestRecordedPlans compares the planner's plans and the assignment table with recorded digests, the plans that change
// roles also with recorded lines, and what the planner has learned with the recorded memory. The encoding holds no
// names of types or fields, so a different digest means a different decision. The golden files must not be updated by a
// change that is not meant to change decisions.
func TestRecordedPlans(t *testing.T) {
	fleets := []recordedFleet{
		{"small", 2, 3, 1500, false},
		{"small with faults", 3, 3, 1500, true},
		{"middle", 8, 12, 1500, false},
		{"middle with faults", 12, 8, 1500, true},
		{"large with faults", 40, 50, 900, true},
	}
	var got strings.Builder
	var decisions []string
	var learned []Memory
	for _, f := range fleets {
		run := f.run(t)
		fmt.Fprintf(&got, "%s: %s, %d changes, %d called off\n", f.name, run.digest, run.changes, run.reverts)
		decisions, learned = append(decisions, run.decisions...), append(learned, run.memory)
	}
	for seed := range uint64(3) {
		fmt.Fprintf(&got, "assignments %d: %s\n", seed, runAssignments(t, seed))
	}
	golden.Check(t, "plans.txt", got.String())
	golden.Check(t, "decisions.txt", strings.Join(decisions, "\n")+"\n")
	checkLearned(t, fleets, learned)
}
