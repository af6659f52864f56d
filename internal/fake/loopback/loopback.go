// Package loopback picks addresses for processes that end and come back under the same one.
//
// Its state, the ports that this process has given out, is guarded by a mutex; it starts no goroutines.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below those that systems give to outgoing connections (32768 and up on Linux), one of which could
// otherwise hold the port while its owner is down, or be handed to two listeners one after another.
const (
	firstPort = 20000
	ports     = 12000
	// maxAttempts bounds the search; it fails only where nearly all ports are in use.
	maxAttempts = 1000
)

// ErrNoFreePort is returned when no port was free.
var ErrNoFreePort = errors.New("loopback: no free port from 20000 to 31999")

var (
	mu    sync.Mutex
	given = map[int]bool{} // ports, guarded by mu
)

// Address returns a free loopback address that this process has not given out before.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := firstPort + rand.IntN(ports)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if given[port] {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use by another process
		}
		if err := listener.Close(); err != nil {
			continue
		}
		given[port] = true
		return addr, nil
	}
	return "", ErrNoFreePort
}
