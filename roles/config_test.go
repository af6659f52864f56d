package roles

import (
	"math"
	"testing"
)

func TestNewRefusesInvalidConfig(t *testing.T) {
	for _, c := range []Config{{MinDwell: -1}, {MaxConcurrent: 2}, {MaxConcurrent: math.NaN()}, {WarmUp: -1}} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

func TestParseRoleInvertsString(t *testing.T) {
	for role := Prefill; role <= Both; role++ {
		if got, err := ParseRole(role.String()); got != role || err != nil {
			t.Errorf("%v: %v %v", role, got, err)
		}
	}
	if _, err := ParseRole("unknown"); err == nil {
		t.Error("an unknown role was accepted")
	}
}
