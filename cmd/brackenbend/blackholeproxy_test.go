package main

import (
	"net"
	"sync"
	"testing"
)

// blackholeProxy passes bytes between a node and one engine, and can drop them: connections stay open and silent, as
// those to a machine that the network no longer reaches.
type blackholeProxy struct {
	net.Listener

	mu              sync.Mutex
	dropNew         bool                  // new connections are silent too
	silentOnReply   bool                  // open connections become silent once the engine has replied on one
	acceptedCount   int                   // connections that the node has made
	silent          map[net.Conn]struct{} // connections from the node whose bytes are dropped
	openConnections map[net.Conn]struct{} // connections from the node
}

// newBlackholeProxy starts a proxy before an engine; it ends with the test.
func newBlackholeProxy(t *testing.T, engineAddress string) *blackholeProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &blackholeProxy{
		Listener:        l,
		silent:          map[net.Conn]struct{}{},
		openConnections: map[net.Conn]struct{}{},
	}
	t.Cleanup(func() { l.Close() })
	go p.serve(engineAddress)
	return p
}

func (p *blackholeProxy) serve(engineAddress string) {
	for {
		client, err := p.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", engineAddress)
		if err != nil {
			client.Close()
			continue
		}
		p.add(client)
		go p.forward(client, client, upstream)
		go p.forward(client, upstream, client)
	}
}

func (p *blackholeProxy) add(client net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections[client] = struct{}{}
	p.acceptedCount++
	if p.dropNew {
		p.silent[client] = struct{}{}
	}
}

// forward copies from one side to the other, and drops what comes while the connection from the node is silent.
func (p *blackholeProxy) forward(client, from, to net.Conn) {
	defer func() {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.openConnections, client)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isSilent(client) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		if from != client {
			p.replied()
		}
	}
}

// dropOpen makes the connections that are open silent.
func (p *blackholeProxy) dropOpen() { p.drop(false) }

// dropAll makes the connections that are open silent, and all new ones, too.
func (p *blackholeProxy) dropAll() { p.drop(true) }

func (p *blackholeProxy) drop(dropNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropNew = dropNew
	for client := range p.openConnections {
		p.silent[client] = struct{}{}
	}
}

func (p *blackholeProxy) isSilent(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silent[client]
	return silent
}

// dropOpenAfterReply makes the connections that are open silent as soon as the engine has replied once more on one of
// them.
func (p *blackholeProxy) dropOpenAfterReply() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentOnReply = true
}

func (p *blackholeProxy) replied() {
	p.mu.Lock()
	silence := p.silentOnReply
	p.silentOnReply = false
	p.mu.Unlock()
	if silence {
		p.dropOpen()
	}
}

// accepted is how many connections the node has made.
func (p *blackholeProxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptedCount
}
