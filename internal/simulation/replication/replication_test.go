package replication

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
)

func TestRunBoundsParallelCallsAndJoinsErrors(t *testing.T) {
	var running, peak, calls atomic.Int32
	err := Run(20, 3, func(i int) error {
		calls.Add(1)
		if n := running.Add(1); n > peak.Load() {
			peak.Store(n)
		}
		running.Add(-1)
		if i%10 == 4 {
			return fmt.Errorf("number %d", i)
		}
		return nil
	})
	if calls.Load() != 20 || peak.Load() > 3 {
		t.Errorf("%d calls, %d at once", calls.Load(), peak.Load())
	}
	if err == nil || err.Error() != "number 4\nnumber 14" {
		t.Errorf("%v", err)
	}
	if err := Run(2, 0, func(int) error { return nil }); err != nil || errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("%v", err)
	}
}
