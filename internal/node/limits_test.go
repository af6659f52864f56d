package node

import (
	"fmt"
	"testing"
)

func TestResourceLimitsFitConfiguredLimits(t *testing.T) {
	for _, sockets := range []int{minSockets, 256, 1024} {
		for _, megabytes := range []int64{32, 192} {
			t.Run(fmt.Sprintf("%d sockets, %d MB", sockets, megabytes), func(t *testing.T) {
				memory := megabytes << 20
				l := (&Config{Sockets: sockets, Memory: memory, Cores: 0.4}).ResourceLimits()
				if l.MaxClientConns+l.MaxEngineConns+reservedSockets > sockets || l.MaxClientConns < sockets/3 {
					t.Errorf("connections: %+v", l)
				}
				if l.Procs != 1 {
					t.Errorf("%d processors", l.Procs)
				}
				if l.SoftHeapLimit >= memory || int64(l.HeapFloor) >= l.SoftHeapLimit {
					t.Errorf("heap: %+v", l)
				}
				if l.MaxBufferedBodyBytes >= l.SoftHeapLimit || l.MaxBufferedBodyBytes < maxMessageBytes {
					t.Errorf("bodies: %+v", l)
				}
			})
		}
	}
}
