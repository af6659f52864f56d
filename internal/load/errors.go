package load

import "errors"

// ErrInvalidPlan matches, by errors.Is, every error of Run that is due to an invalid plan. No request was sent then.
var ErrInvalidPlan = errors.New("load: invalid plan")

// planError wraps the error of a plan's check so that it also matches ErrInvalidPlan.
type planError struct{ error }

// Is implements the interface that errors.Is looks for.
func (planError) Is(target error) bool { return target == ErrInvalidPlan }

// Unwrap returns the error of the check.
func (e planError) Unwrap() error { return e.error }
