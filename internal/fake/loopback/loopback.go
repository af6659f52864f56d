// Package loopback picks loopback addresses for processes that restart under the same address, and listens for engines
// that hang.
//
// A mutex guards its state, the ports that it has returned. The package starts no goroutines.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below the ephemeral range (32768 and up on Linux). From that range, an outgoing connection could occupy
// the port while its owner is down, or the system could assign it to two listeners one after another.
const (
	firstPort = 20000
	portCount = 12000
	// maxAttempts bounds the search, which fails only if nearly all ports are in use.
	maxAttempts = 1000
)

// ErrNoFreePort is returned by Address if it finds no free port.
var ErrNoFreePort = errors.New("loopback: no free port from 20000 to 31999")

var (
	mu       sync.Mutex
	reserved = map[int]bool{} // ports returned by Address; guarded by mu
)

// Address returns a free loopback address that it has not returned before in this process.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := firstPort + rand.IntN(portCount)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if reserved[port] {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use by another process
		}
		if err := listener.Close(); err != nil {
			continue
		}
		reserved[port] = true
		return addr, nil
	}
	return "", ErrNoFreePort
}
