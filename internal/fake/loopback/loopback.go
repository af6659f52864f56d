// Package loopback picks addresses for processes that end and come back under the same one. They lie below the
// ports that systems give to outgoing connections (32768 and up on Linux), one of which could otherwise hold the
// port while its owner is down, or be handed to two listeners one after another.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

var (
	mu    sync.Mutex
	taken = map[int]bool{}
)

// Address is a free loopback address that this process has not given out before.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			taken[port] = true
			return addr, nil
		}
	}
	return "", errors.New("loopback: no free port from 20000 to 31999")
}
