package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// gate stops the reads of an engine's connections while the engine hangs. What has arrived meanwhile stays in the
// buffers of the system, as with a process that is stopped.
type gate struct {
	mu    sync.Mutex
	shut  chan struct{} // closed when the engine runs again; nil = it runs
	conns map[net.Conn]bool
}

func newGate() *gate { return &gate{conns: map[net.Conn]bool{}} }

func (g *gate) hang() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

// run ends the hang. It returns how many bytes had arrived on each connection that has unread ones.
func (g *gate) run() (unread []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if n := arrivedBytes(c); n > 0 {
			unread = append(unread, n)
		}
	}
	close(g.shut)
	g.shut = nil
	return unread
}

// arrivedBytes returns how many bytes of a connection wait in the system's receive buffer.
func arrivedBytes(c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	const fionread = 0x541b
	raw.Control(func(fd uintptr) { //nolint:errcheck // a closed connection has none
		var available int32
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, fionread, uintptr(unsafe.Pointer(&available))); errno == 0 {
			n = int(available)
		}
	})
	return n
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.mu.Lock()
	l.gate.conns[c] = true
	l.gate.mu.Unlock()
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	c.gate.mu.Lock()
	shut := c.gate.shut
	c.gate.mu.Unlock()
	if shut != nil {
		<-shut
	}
	return c.Conn.Read(p)
}

func (c gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// likeKaraganda turns the settings into those of a deployment like karaganda-main on its new machines (engines/sites):
// its classes and memory, writers that read a prompt when there is no state, clients that ask for the rest of a stream.
func likeKaraganda(s map[string]any) {
	for i, c := range []struct {
		name       string
		deadlineUs int
	}{{"enquiry", 5000000}, {"order", 15000000}} {
		class := s["Classes"].([]any)[i].(map[string]any)
		class["Name"], class["Deadline"], class["Promise"] = c.name, c.deadlineUs, 1200000
	}
	family := s["FamilyInfo"].(map[string]any)
	family["KvTokens"], family["LocalRead"] = []float64{632000, 990000}, true
	family["Release"], family["Resume"] = 1000000, true
	family["TokenAim"] = []float64{73000, 73000}
	s["Caps"].(map[string]any)["AttemptsCap"] = 4
	invariants := s["Invariants"].(map[string]any)
	invariants["OverloadFactor"], invariants["TipAfter"] = 4, 1500000
}

// hungWriter: one of two writers hangs for some seconds; clients with long prompts leave early.
func hungWriter(env *environment) (result, error) {
	const (
		requests     = 8
		promptTokens = 55000 // 220,000 bytes
		patience     = 1200 * time.Millisecond
		hang         = 4 * time.Second
		allowed      = 100 * time.Millisecond // from the client's close to the begin of an attempt
	)
	var (
		mu     sync.Mutex
		left   = map[string]time.Time{}
		class  = map[string]string{}
		late   = map[string]time.Duration{}
		unsafe int
	)
	g := newGate()
	f, err := startFleet(env.record, 2, 2, func(e *engine) {
		e.readTime, e.events, e.localRead = 20*time.Millisecond, 50, true
		id := e.ID
		if id == "s-w1" {
			e.listen = func(l net.Listener) net.Listener { return gatedListener{l, g} }
		}
		e.arrived = func(request string) {
			mu.Lock()
			defer mu.Unlock()
			at, gone := left[request]
			if since := time.Since(at); gone && since > allowed {
				late[request] = since
				if class[request] == "order" {
					unsafe++
				}
				env.record.printf("%s: the last byte of %s, class %s, comes %.2f s after its client has closed", id, request,
					class[request], since.Seconds())
			}
		}
	})
	if err != nil {
		return result{}, err
	}
	n, err := f.startNode(env, "n1", 1, likeKaraganda)
	if err != nil {
		return result{}, err
	}
	defer n.kill()
	time.Sleep(time.Second)
	if env.trouble {
		g.hang()
		env.record.printf("s-w1 hangs for %v", hang)
	}
	var all sync.WaitGroup
	for i := range requests {
		q := request{
			id: fmt.Sprintf("c41103aa5c7e2d%02d", i), class: []string{"enquiry", "order"}[i/2%2],
			deadline:     []time.Duration{5 * time.Second, 15 * time.Second}[i/2%2],
			promptTokens: promptTokens,
		}
		class[q.id] = q.class
		all.Go(func() {
			ctx, leave := context.WithCancel(context.Background())
			timer := time.AfterFunc(patience, func() {
				mu.Lock()
				left[q.id] = time.Now()
				mu.Unlock()
				leave()
			})
			defer timer.Stop()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			a := q.send(ctx, client, n.listen, nil)
			env.record.printf("client: %s, class %s: status %d, after %.2f s: %v", q.id, q.class, a.status, a.took.Seconds(), a.err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(hang - requests*100*time.Millisecond - patience)
	if env.trouble {
		env.record.printf("s-w1 runs again; bytes that had come to it on each connection: %v", g.run())
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	longest := time.Duration(0)
	for _, d := range late {
		longest = max(longest, d)
	}
	return result{len(late) > 0, fmt.Sprintf(
		"%d attempts began over %v after their clients had closed, the latest %.2f s after it; %d of them must never run twice",
		len(late), allowed, longest.Seconds(), unsafe)}, nil
}
