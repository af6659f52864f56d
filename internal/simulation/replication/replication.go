// Package replication runs the replications of an experiment in parallel.
package replication

import (
	"errors"
	"sync"
)

// Run calls do with 0 to n-1, at most parallel of the calls at once (1 if parallel is smaller). After all calls have
// returned, it returns their errors joined in the order of the numbers.
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
