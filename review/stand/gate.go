package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// valve is open except for the times for which it is shut.
type valve struct {
	mu   sync.Mutex
	open chan struct{}
}

func newValve() *valve {
	v := &valve{open: make(chan struct{})}
	close(v.open)
	return v
}

// shut shuts the valve for a time.
func (v *valve) shut(d time.Duration) {
	v.mu.Lock()
	open := make(chan struct{})
	v.open = open
	v.mu.Unlock()
	time.Sleep(d)
	close(open)
}

// wait waits until the valve is open.
func (v *valve) wait() {
	v.mu.Lock()
	open := v.open
	v.mu.Unlock()
	<-open
}

// waitOr waits until the valve is open or the context ends.
func (v *valve) waitOr(ctx context.Context) error {
	v.mu.Lock()
	open := v.open
	v.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gate is a proxy before a target. While its valve is shut, it holds what arrives in either direction, as a network does that is cut for
// a moment, and passes it on later.
type gate struct {
	*valve
	listener net.Listener
	target   string
}

func newGate(target string) (*gate, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{valve: newValve(), listener: listener, target: target}
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) close() { _ = g.listener.Close() }

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
