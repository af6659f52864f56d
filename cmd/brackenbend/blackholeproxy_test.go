package main

import (
	"net"
	"sync"
	"testing"
)

// blackholeProxy forwards bytes between a node and one engine, and can drop them: the connections then stay open and
// silent, like connections to a machine that the network no longer reaches.
type blackholeProxy struct {
	net.Listener

	mu                sync.Mutex
	dropNew           bool                  // new connections are silent from the start
	silentOnReply     bool                  // open connections become silent after the next reply of the engine
	acceptedCount     int                   // connections that the node has made
	silentConnections map[net.Conn]struct{} // connections from the node whose bytes are dropped
	openConnections   map[net.Conn]struct{} // connections from the node
}

// newBlackholeProxy starts a proxy in front of an engine. It is closed when the test ends.
func newBlackholeProxy(t *testing.T, engineAddress string) *blackholeProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &blackholeProxy{
		Listener:          l,
		silentConnections: map[net.Conn]struct{}{},
		openConnections:   map[net.Conn]struct{}{},
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
		p.silentConnections[client] = struct{}{}
	}
}

// forward copies bytes from one connection to another, and drops them while client, the connection from the node, is
// silent.
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
			p.onReply()
		}
	}
}

// dropOpen makes all open connections silent.
func (p *blackholeProxy) dropOpen() { p.drop(false) }

// dropAll makes all open connections and all new ones silent.
func (p *blackholeProxy) dropAll() { p.drop(true) }

func (p *blackholeProxy) drop(dropNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropNew = dropNew
	for client := range p.openConnections {
		p.silentConnections[client] = struct{}{}
	}
}

func (p *blackholeProxy) isSilent(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silentConnections[client]
	return silent
}

// dropOpenAfterReply makes all open connections silent as soon as the engine has replied on one of them.
func (p *blackholeProxy) dropOpenAfterReply() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentOnReply = true
}

func (p *blackholeProxy) onReply() {
	p.mu.Lock()
	dropNow := p.silentOnReply
	p.silentOnReply = false
	p.mu.Unlock()
	if dropNow {
		p.dropOpen()
	}
}

// accepted returns the number of connections that the node has made.
func (p *blackholeProxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptedCount
}
