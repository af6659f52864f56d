// Package replication runs the replications of an experiment in parallel.
package replication

import (
	"errors"
	"sync"
)

// Run calls do for 0 to n-1, up to parallel of them at once (at least one), and joins their errors in the order of the
// numbers. It returns once all calls have returned.
func Run(n, parallel int, do func(i int) error) error {
	errs := make([]error, n)
	slots := make(chan struct{}, max(parallel, 1))
	var running sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			errs[i] = do(i)
		})
	}
	running.Wait()
	return errors.Join(errs...)
}
