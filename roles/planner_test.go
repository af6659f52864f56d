package roles

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlansRespectBounds draws fleets with pinned engines, loads, failures and faulty reports. Each plan must change
// only flexible engines, respect the dwell time and the limit of concurrent changes unless a stage has no engine, and
// leave each stage an engine if two engines can serve.
func TestPlansRespectBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		config := Config{MinDwell: 30 * time.Second, MaxConcurrent: 0.2}
		p := newPlanner(t, config)
		for range 80 {
			load := rapid.Float64Range(0, float64(2*len(fleet.engines))).Draw(t, "load")
			share := rapid.Float64Range(0, 1).Draw(t, "prefill share")
			fleet.advance(load*share, load*(1-share))
			drawFault(t, fleet)
			before := slices.Clone(fleet.engines)
			stageEmpty := fleet.count(Both) == 0 &&
				(countTargets(before, Prefill) == 0 || countTargets(before, Decode) == 0)
			plan := p.Step(fleet.now, fleet.engines, nil)
			fleet.apply(plan, time.Duration(rapid.IntRange(1, 20).Draw(t, "change time"))*time.Second)
			checkChanges(t, fleet, before, plan, config, stageEmpty)
			checkStagesCovered(t, fleet, plan)
		}
	})
}

// drawFleet draws a fleet in which some engines are pinned or can serve one stage only.
func drawFleet(t *rapid.T) *simulatedFleet {
	fleet := newSimulatedFleet(
		rapid.IntRange(1, 12).Draw(t, "prefill engines"), rapid.IntRange(1, 12).Draw(t, "decode engines"))
	for i := range fleet.engines {
		e := &fleet.engines[i]
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			e.Pinned = true
		case 1:
			e.CanDecode = e.Role == Decode
			e.CanPrefill = e.Role == Prefill
		}
	}
	return fleet
}

// drawFault draws an engine and injects a fault into it with a probability of about one half.
func drawFault(t *rapid.T, fleet *simulatedFleet) {
	e := &fleet.engines[rapid.IntRange(0, len(fleet.engines)-1).Draw(t, "engine")]
	switch rapid.IntRange(0, 12).Draw(t, "fault") {
	case 0:
		e.Ready = !e.Ready
		e.Target = e.Role
	case 1:
		e.Report = nil
	case 2:
		e.Report.Prefill.Done = math.NaN()
	case 3:
		e.Report.At -= time.Minute
	case 4:
		e.Report.Decode.Waiting = math.Inf(1)
	case 5:
		e.Report = &Report{At: fleet.now}
	}
}

// checkChanges checks a plan's changes against the engines as they were before it was applied.
func checkChanges(t *rapid.T, fleet *simulatedFleet, before []Engine, plan Plan, config Config, stageEmpty bool) {
	changing := 0
	for i := range fleet.engines {
		if fleet.engines[i].changing() {
			changing++
		}
	}
	limit := max(1, int(config.MaxConcurrent*float64(len(fleet.engines))))
	for _, change := range plan.Changes {
		var old Engine
		if i := slices.IndexFunc(before, func(e Engine) bool { return e.ID == change.ID }); i >= 0 {
			old = before[i]
		}
		dwelt := fleet.now - old.ChangedAt
		switch {
		case !old.flexible() || !old.Ready || old.changing():
			t.Fatalf("engine %+v must not change: %+v", old, change)
		case !stageEmpty && old.ChangedAt > 0 && dwelt < config.MinDwell:
			t.Fatalf("%s is changed again after %v: %s", change.ID, dwelt, change.Reason)
		case !stageEmpty && changing > limit:
			t.Fatalf("%d engines changing at once: %+v", changing, plan)
		}
	}
}

// checkStagesCovered checks that each stage has an engine after a plan if two engines can serve.
func checkStagesCovered(t *rapid.T, fleet *simulatedFleet, plan Plan) {
	available := 0
	for i := range fleet.engines {
		if e := &fleet.engines[i]; e.Ready && e.flexible() && !e.changing() {
			available++
		}
	}
	stageEmpty := countTargets(fleet.engines, Both) == 0 &&
		(countTargets(fleet.engines, Prefill) == 0 || countTargets(fleet.engines, Decode) == 0)
	if available >= 2 && stageEmpty {
		t.Fatalf("a stage has no engine: plan %+v, engines %+v", plan, fleet.engines)
	}
}

// countTargets counts the engines that are in a role or changing to it.
func countTargets(engines []Engine, role Role) (n int) {
	for _, e := range engines {
		if (e.Ready || e.changing()) && e.Target == role {
			n++
		}
	}
	return n
}

// TestSteadyWorkConverges checks that under steady work the changes end, at a split whose cost is near the minimum.
func TestSteadyWorkConverges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 6 {
		engines := 4 + random.IntN(20)
		load, share := (0.2+0.6*random.Float64())*float64(engines), 0.2+0.6*random.Float64()
		prefill, decode := load*share, load*(1-share)
		t.Run(fmt.Sprintf("%d engines, work %.2f and %.2f", engines, prefill, decode), func(t *testing.T) {
			checkConverges(t, engines, prefill, decode)
		})
	}
}

func checkConverges(t *testing.T, engines int, prefill, decode float64) {
	t.Helper()
	fleet := newSimulatedFleet(engines/2, engines-engines/2)
	p := newPlanner(t, Config{})
	late := map[Role]int{}
	for second := range 1800 {
		fleet.advance(prefill, decode)
		for _, change := range fleet.planAndApply(p, 8*time.Second).Changes {
			if second > 1200 {
				late[change.Target]++
			}
		}
	}
	if late[Prefill]+late[Decode] > 1 {
		t.Errorf("changes by target role after 20 minutes of steady work: %v", late)
	}
	least := math.Inf(1)
	for prefillEngines := 1; prefillEngines < engines; prefillEngines++ {
		least = min(least, Cost(prefill, decode, prefillEngines, engines-prefillEngines))
	}
	cost := Cost(prefill, decode, fleet.count(Prefill), fleet.count(Decode))
	if cost > least+0.02*float64(engines) {
		t.Errorf("%d prefill engines cost %.2f engines, the minimum is %.2f", fleet.count(Prefill), cost, least)
	}
}

// TestUntrustedReportsCauseNoChanges checks that missing, stale, frozen and invalid reports cause no changes.
func TestUntrustedReportsCauseNoChanges(t *testing.T) {
	const frozenName = "frozen"
	for name, corrupt := range map[string]func(fleet *simulatedFleet, e *Engine){
		"missing": func(_ *simulatedFleet, e *Engine) { e.Report = nil },
		"stale":   func(_ *simulatedFleet, e *Engine) { e.Report.At -= time.Minute },
		frozenName: func(fleet *simulatedFleet, e *Engine) {
			e.Report = &Report{At: fleet.now, Prefill: StageLoad{Done: 7, Waiting: 9}}
		},
		"not a number":    func(_ *simulatedFleet, e *Engine) { e.Report.Prefill.Waiting = math.NaN() },
		"infinite":        func(_ *simulatedFleet, e *Engine) { e.Report.Decode.Lost = math.Inf(1) },
		"negative":        func(_ *simulatedFleet, e *Engine) { e.Report.Decode.Waiting = -1 },
		"from the future": func(_ *simulatedFleet, e *Engine) { e.Report.At += time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newSimulatedFleet(2, 8)
			p := newPlanner(t, Config{})
			for second := range 200 {
				fleet.advance(6, 1)
				for i := range fleet.engines {
					corrupt(fleet, &fleet.engines[i])
				}
				plan := p.Step(fleet.now, fleet.engines, nil)
				detected := name != frozenName || second > 30 // unchanged reports are trusted until frozenAfter has passed
				if len(plan.Changes) > 0 && detected {
					t.Errorf("changes from untrusted reports: %+v", plan.Changes)
				}
			}
		})
	}
}

// TestTrustedReportsCauseChanges is the counterpart of TestUntrustedReportsCauseNoChanges, with valid reports of the
// same fleet and work.
func TestTrustedReportsCauseChanges(t *testing.T) {
	fleet := newSimulatedFleet(2, 8)
	p, changes := newPlanner(t, Config{}), 0
	for range 200 {
		fleet.advance(6, 1)
		changes += len(fleet.planAndApply(p, 8*time.Second).Changes)
	}
	if changes == 0 || fleet.count(Prefill) < 5 {
		t.Errorf("%d changes, %d prefill engines for the work of 6", changes, fleet.count(Prefill))
	}
}

// TestRemainingEngineOfTwoTakesBothRoles checks that when one of two engines fails, the other takes both roles at once.
// When the failed engine is back, each has a single role again after the dwell time.
func TestRemainingEngineOfTwoTakesBothRoles(t *testing.T) {
	for failed := range 2 {
		t.Run(fmt.Sprintf("engine %d fails", failed), func(t *testing.T) {
			fleet := newSimulatedFleet(1, 1)
			p := newPlanner(t, Config{MinDwell: 30 * time.Second})
			run := func(seconds int) {
				for range seconds {
					fleet.advance(0.3, 0.3)
					fleet.planAndApply(p, 2*time.Second)
				}
			}
			run(40)
			fleet.engines[failed].Ready = false
			run(5)
			if fleet.count(Both) != 1 {
				t.Fatalf("the remaining engine does not serve both stages: %+v", fleet.engines)
			}
			fleet.engines[failed].Ready = true
			run(10)
			if fleet.count(Both) != 1 {
				t.Errorf("the remaining engine changed again within its dwell time: %+v", fleet.engines)
			}
			run(60)
			if fleet.count(Prefill) != 1 || fleet.count(Decode) != 1 {
				t.Errorf("roles after the failed engine is back: %+v", fleet.engines)
			}
		})
	}
}

// TestEmptyStageIsCoveredAtOnce checks that if all prefill engines fail, a decode engine changes within its dwell time.
func TestEmptyStageIsCoveredAtOnce(t *testing.T) {
	fleet := newSimulatedFleet(3, 5)
	p := newPlanner(t, Config{MinDwell: time.Hour})
	for i := range fleet.engines {
		fleet.engines[i].ChangedAt = fleet.now
	}
	for range 3 {
		for i := range 3 {
			fleet.engines[i].Ready = false
		}
		fleet.advance(2, 2)
		fleet.planAndApply(p, time.Second)
	}
	if fleet.count(Prefill) != 1 || fleet.count(Decode) != 4 {
		t.Errorf("%+v", fleet.engines)
	}
}

// TestEngineIdleAfterChangeGetsOldRoleBack checks that an engine that confirms its new role but is idle in it gets its
// old role back and a cooldown.
func TestEngineIdleAfterChangeGetsOldRoleBack(t *testing.T) {
	fleet := newSimulatedFleet(4, 4)
	p := newPlanner(t, Config{MinDwell: 30 * time.Second})
	idle := &fleet.engines[0]
	idle.ChangedAt = fleet.now
	returnedAt := time.Duration(0)
	for range 300 {
		before := *fleet.totals[idle.ID]
		fleet.advance(2, 2)
		if idle.Role == Prefill {
			fleet.totals[idle.ID].Prefill = before.Prefill
			idle.Report.Prefill = before.Prefill
		}
		for _, change := range fleet.planAndApply(p, time.Second).Changes {
			if change.ID != idle.ID {
				continue
			}
			if change.Target == Decode {
				returnedAt = fleet.now
			} else if fleet.now-returnedAt < 4*time.Minute {
				t.Fatalf("the idle engine was changed again after %v: %+v", fleet.now-returnedAt, change)
			}
		}
	}
	if returnedAt == 0 {
		t.Error("the idle engine never got its old role back")
	}
}

// TestOverdueChangeIsReverted checks that an engine that never confirms its change is commanded back and gets a
// cooldown.
func TestOverdueChangeIsReverted(t *testing.T) {
	const timeout = 20 * time.Second
	fleet := newSimulatedFleet(2, 8)
	p := newPlanner(t, Config{ChangeTimeout: timeout, MinDwell: 10 * time.Second})
	startedAt, reverts := map[string]time.Duration{}, 0
	for range 120 {
		fleet.advance(6, 1)
		plan := fleet.planAndApply(p, time.Hour)
		for _, id := range plan.Reverts {
			reverts++
			if took := fleet.now - startedAt[id]; took < timeout || took > timeout+5*time.Second {
				t.Errorf("%s was reverted after %v", id, took)
			}
		}
		for _, change := range plan.Changes {
			if _, twice := startedAt[change.ID]; twice {
				t.Errorf("%s was commanded again during its cooldown", change.ID)
			}
			startedAt[change.ID] = fleet.now
		}
	}
	if reverts == 0 {
		t.Error("no change was reverted")
	}
}

// TestPlansDoNotDependOnEngineOrder checks that two planners that get the engines in opposite orders decide the same.
func TestPlansDoNotDependOnEngineOrder(t *testing.T) {
	fleet := newSimulatedFleet(3, 7)
	first, second := newPlanner(t, Config{}), newPlanner(t, Config{})
	for i := range 300 {
		fleet.advance(2+3*math.Sin(float64(i)/40), 3)
		reversed := slices.Clone(fleet.engines)
		slices.Reverse(reversed)
		plan, same := first.Step(fleet.now, fleet.engines, nil), second.Step(fleet.now, reversed, nil)
		if !reflect.DeepEqual(plan, same) {
			t.Fatalf("%+v\n%+v", plan, same)
		}
		fleet.apply(plan, 5*time.Second)
	}
}

// BenchmarkStep measures one step. A planner does about one step a second.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{16, 74, 740, 7400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := newSimulatedFleet(engines/2, engines-engines/2)
			p := newPlanner(b, Config{})
			for i := range b.N {
				b.StopTimer()
				fleet.now += time.Second
				for j := range fleet.engines {
					report := fleet.totals[fleet.engines[j].ID]
					report.At = fleet.now
					report.Prefill.Done += 0.5 + 0.2*math.Sin(float64(i)/50)
					report.Decode.Done += 0.5
					fleet.engines[j].Report = report
				}
				b.StartTimer()
				p.Step(fleet.now, fleet.engines, nil)
			}
		})
	}
}
