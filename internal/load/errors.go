package load

import "errors"

// ErrPlan marks errors of the plan itself: nothing was sent.
var ErrPlan = errors.New("the plan can't be carried out")

// planError is a fault of a plan, with the text of what is wrong.
type planError struct{ error }

// Is reports that every plan error is an ErrPlan.
func (planError) Is(target error) bool { return target == ErrPlan }

// Unwrap returns what is wrong.
func (e planError) Unwrap() error { return e.error }
