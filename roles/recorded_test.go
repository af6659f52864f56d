package roles

import (
	"brackenbend/internal/golden"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// encodePlan writes a plan in a form of its own, which stays the same when types and fields are renamed. Times are
// nanoseconds; the texts of reasons are for logs and are left out.
func encodePlan(p Plan) string {
	var b strings.Builder
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "change %s %d;", c.ID, int(c.Target))
	}
	for _, id := range p.Reverts {
		fmt.Fprintf(&b, "back %s;", id)
	}
	fmt.Fprintf(&b, "%v %.9g %.9g %d %d %d %d %d", p.Trusted, p.Reading, p.Writing, p.Readers, int64(p.Lookback), p.Engines,
		p.UntrustedReports, int64(p.ChangeTime))
	return b.String()
}

// recordedFleet is one run of a planner over a fleet whose load, engines and reports change at random.
type recordedFleet struct {
	name             string
	readers, writers int
	steps            int
	faults           bool // engines die, come back, are pinned, report nothing, and changes take too long
}

// play returns the digest of all plans and how many changes and reversals they held.
func (f recordedFleet) play(t *testing.T) (digest string, changes, reversals int) {
	random := rand.New(rand.NewPCG(uint64(f.readers), uint64(f.writers)))
	fleet := newTown(f.readers, f.writers)
	planner := newPlanner(t, Config{MinDwell: 20 * time.Second})
	h := sha256.New()
	reading, writing := float64(f.readers)*0.7, float64(f.writers)*0.7
	for step := range f.steps {
		if step%90 == 0 {
			all := float64(f.readers + f.writers)
			part := random.Float64()
			reading, writing = all*part*0.8, all*(1-part)*0.8
		}
		if f.faults {
			f.disturb(random, fleet, step)
		}
		fleet.work(reading, writing)
		fronts := []Replica{{ID: "a", Report: &Report{At: fleet.now, Read: Stage{Lost: float64(step) * 0.01}}}}
		plan := planner.Step(fleet.now, fleet.engines, fronts)
		fmt.Fprintf(h, "%s\n", encodePlan(plan))
		takes := 6 * time.Second
		if f.faults && random.IntN(8) == 0 {
			takes = 3 * time.Minute
		}
		fleet.obey(plan, takes)
		changes, reversals = changes+len(plan.Changes), reversals+len(plan.Reverts)
	}
	recordMemory(t, h, planner)
	return fmt.Sprintf("%x", h.Sum(nil)[:12]), changes, reversals
}

// disturb changes one engine of the fleet now and then.
func (f recordedFleet) disturb(random *rand.Rand, fleet *town, step int) {
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
		fleet.totals[e.ID].Read.Done = 0 // its process began anew
	}
}

// recordMemory adds what the planner would store, in its stored form.
func recordMemory(t *testing.T, h hash.Hash, planner *Planner) {
	t.Helper()
	memory, ok := planner.Memory()
	text, err := json.Marshal(memory)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(h, "%v %s\n", ok, text)
}

// playAssignments gives random orders and status reports to an assignment table and returns the digest of its stored
// forms.
func playAssignments(t *testing.T, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	table := Assignments{Entries: map[string]Assignment{}}
	for i := range 9 {
		role := Role(i % 3)
		table.Entries[fmt.Sprintf("e%d", i)] = Assignment{Role: role, Target: role, Serving: true, CanPrefill: i != 7, CanDecode: i != 8}
	}
	h := sha256.New()
	now := time.Duration(0)
	for range 600 {
		now += time.Second
		id := fmt.Sprintf("e%d", random.IntN(10))
		next, changed, err := table, false, error(nil)
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
			word := StatusReport{Order: e.Order, Role: Role(random.IntN(3)), Serving: random.IntN(3) > 0}
			if random.IntN(2) == 0 {
				word.Role = e.Target
			}
			next, changed = table.ApplyStatus(id, word, now)
		}
		if err == nil {
			table, err = table.Write(next)
		}
		text, failed := json.Marshal(table)
		if failed != nil {
			t.Fatal(failed)
		}
		tells, failed := json.Marshal(table.PendingCommands())
		if failed != nil {
			t.Fatal(failed)
		}
		open, closed := table.CountServing()
		fmt.Fprintf(h, "%v %v %s %s %v %d\n", changed, err != nil, text, tells, open, closed)
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:12])
}

// TestRecordedPlans compares the planner's plans, its stored memory and the assignment table with those of the code
// that recorded them. The encoding holds no name of a type or field, so a digest that differs is a decision that
// differs: a change that is not meant to change decisions must never write the file anew.
func TestRecordedPlans(t *testing.T) {
	var got []string
	for _, f := range []recordedFleet{
		{"small", 2, 3, 1500, false},
		{"small with faults", 3, 3, 1500, true},
		{"middle", 8, 12, 1500, false},
		{"middle with faults", 12, 8, 1500, true},
		{"large with faults", 40, 50, 900, true},
	} {
		digest, changes, reversals := f.play(t)
		got = append(got, fmt.Sprintf("%s: %s, %d changes, %d called off", f.name, digest, changes, reversals))
	}
	for seed := range uint64(3) {
		got = append(got, fmt.Sprintf("assignments %d: %s", seed, playAssignments(t, seed)))
	}
	text := strings.Join(got, "\n") + "\n"
	golden.Check(t, "plans.txt", text)
}
