package roles

import (
	"errors"
	"testing"
	"time"
)

// flexibleAssignment returns the entry of an engine that serves a role and may be given any other.
func flexibleAssignment(role Role) Assignment {
	return Assignment{Role: role, Target: role, Serving: true, CanPrefill: true, CanDecode: true}
}

// mixedTable returns a table with a flexible engine, a pinned one, and two that can serve one stage only.
func mixedTable() Assignments {
	pinned := flexibleAssignment(Prefill)
	pinned.Pinned = true
	return Assignments{Entries: map[string]Assignment{
		"flexible":     flexibleAssignment(Prefill),
		"pinned":       pinned,
		"prefill only": {Role: Prefill, Target: Prefill, Serving: true, CanPrefill: true},
		"decode only":  {Role: Decode, Target: Decode, Serving: true, CanDecode: true},
	}}
}

// startFlexible starts a change of the engine "flexible" in mixedTable.
func startFlexible(t *testing.T, table Assignments, to Role) Assignments {
	t.Helper()
	next, err := table.Start("flexible", to, "test")
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestStartRefusesWithTypedErrors(t *testing.T) {
	table := mixedTable()
	for _, c := range []struct {
		id   string
		to   Role
		want error
	}{
		{"unknown", Decode, ErrUnknownEngine},
		{"flexible", Prefill, ErrSameRole},
		{"pinned", Decode, ErrRoleNotAllowed},
		{"prefill only", Decode, ErrRoleNotAllowed},
		{"prefill only", Both, ErrRoleNotAllowed},
		{"decode only", Prefill, ErrRoleNotAllowed},
	} {
		if _, err := table.Start(c.id, c.to, ""); !errors.Is(err, c.want) {
			t.Errorf("%s to %v: %v, want %v", c.id, c.to, err, c.want)
		}
	}
	pending := startFlexible(t, table, Decode)
	if _, err := pending.Start("flexible", Both, ""); !errors.Is(err, ErrChangePending) {
		t.Errorf("second command to a changing engine: %v, want %v", err, ErrChangePending)
	}
	if _, err := table.Revert("flexible", ""); !errors.Is(err, ErrSameRole) {
		t.Errorf("revert without a pending change: %v, want %v", err, ErrSameRole)
	}
}

func TestStartLeavesItsReceiverUnchanged(t *testing.T) {
	table := mixedTable()
	startFlexible(t, table, Decode)
	if got := table.Entries["flexible"].Target; got != Prefill {
		t.Errorf("Start changed the target in its receiver to %v", got)
	}
}

// TestAddingAStageKeepsServing checks that an engine that changes to Both goes on serving its old role meanwhile.
func TestAddingAStageKeepsServing(t *testing.T) {
	next := startFlexible(t, mixedTable(), Both)
	if e := next.Entries["flexible"]; !e.Serving || e.Role != Prefill || len(next.PendingCommands()) != 1 {
		t.Errorf("entry %+v, %d commands", e, len(next.PendingCommands()))
	}
	s := EngineState{Role: Prefill, Target: Both}
	if !s.Serves(Prefill) || s.Serves(Decode) || s.Serves(Both) || s.StatusReport().Serving {
		t.Errorf("%+v serves prefill %v, decode %v, both %v, reports %+v",
			s, s.Serves(Prefill), s.Serves(Decode), s.Serves(Both), s.StatusReport())
	}
}

// TestRevertIsConfirmedByItsOwnReportOnly checks that a late report of the reverted command changes nothing.
func TestRevertIsConfirmedByItsOwnReportOnly(t *testing.T) {
	pending := startFlexible(t, mixedTable(), Decode)
	reverted, err := pending.Revert("flexible", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, changed := reverted.ApplyStatus("flexible",
		StatusReport{CommandNumber: 1, Role: Decode, Serving: true}, 0); changed {
		t.Error("a report of the reverted command changed the table")
	}
	report := StatusReport{CommandNumber: 2, Role: Prefill, Serving: true}
	confirmed, changed := reverted.ApplyStatus("flexible", report, time.Second)
	e := confirmed.Entries["flexible"]
	if !changed || !e.Serving || e.Role != Prefill || e.ChangedAt != time.Second {
		t.Errorf("changed %v: %+v", changed, e)
	}
}

// TestApplyPlanAppliesAllowedChanges checks that changes are applied one by one, and that a refused change is returned
// with its error and leaves the table as it is.
func TestApplyPlanAppliesAllowedChanges(t *testing.T) {
	table := Assignments{Entries: map[string]Assignment{
		"a": flexibleAssignment(Prefill), "b": flexibleAssignment(Prefill), "c": flexibleAssignment(Decode),
	}}
	next, done, refused := table.ApplyPlan(Plan{
		Reverts: []string{"a"},
		Changes: []Change{
			{ID: "a", Target: Decode}, {ID: "b", Target: Decode}, {ID: "x", Target: Prefill}, {ID: "c", Target: Prefill},
		},
	})
	if len(done.Reverts) != 0 || len(done.Changes) != 2 {
		t.Errorf("done %+v", done)
	}
	if len(refused) != 2 || !errors.Is(refused["b"], ErrLastOfStage) || !errors.Is(refused["x"], ErrUnknownEngine) {
		t.Errorf("refused %v", refused)
	}
	serving, changing := next.CountServing()
	if changing != 2 || serving != [3]int{1, 0, 0} || len(table.PendingCommands()) != 0 {
		t.Errorf("%v serving, %d changing, %d commands in the receiver", serving, changing, len(table.PendingCommands()))
	}
	if n, err := next.SwitchStage("b", "test"); err != nil || n.Entries["b"].Target != Decode {
		t.Errorf("%+v %v", n.Entries["b"], err)
	}
	if _, err := table.SwitchStage("c", "test"); !errors.Is(err, ErrLastOfStage) {
		t.Errorf("switching the last decode engine: %v", err)
	}
}
