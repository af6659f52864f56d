// Package replication plays many courses side by side, a few at once.
package replication

import (
	"errors"
	"sync"
)

// Run calls do for 0 to n-1, atOnce of them at once (one where it is less), and joins their errors in the order of the numbers.
func Run(n, atOnce int, do func(i int) error) error {
	errs := make([]error, n)
	room := make(chan struct{}, max(atOnce, 1))
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; wg.Done() }()
			errs[i] = do(i)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}
