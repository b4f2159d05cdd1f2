package main

import (
	"net"
	"sync"
	"time"
)

// gate is a proxy before a target. While it is shut, it holds what arrives in either direction, as a network does that is cut for a
// moment, and passes it on later.
type gate struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{}
}

func newGate(target string) (*gate, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, target: target, open: make(chan struct{})}
	close(g.open)
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) close() { _ = g.listener.Close() }

// shut holds everything for a time.
func (g *gate) shut(d time.Duration) {
	g.mu.Lock()
	open := make(chan struct{})
	g.open = open
	g.mu.Unlock()
	time.Sleep(d)
	close(open)
}

// wait waits until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.carry(conn)
	}
}

func (g *gate) carry(caller net.Conn) {
	defer caller.Close()
	g.wait()
	target, err := net.Dial("tcp4", g.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		g.copy(target, caller)
		_ = target.Close()
	}()
	g.copy(caller, target)
}

func (g *gate) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
