package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a daemon's connections carry.
type Traffic struct{ received, sent atomic.Int64 }

// Totals returns the bytes that were received and sent since the start.
func (t *Traffic) Totals() (received, sent int64) { return t.received.Load(), t.sent.Load() }

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countedListener{l, t} }

// Dialer returns a function that opens connections that are counted.
func (t *Traffic) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{socketConn{conn}, t}, nil
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{socketConn{conn}, l.traffic}, nil
}

type countedConn struct {
	socketConn
	traffic *Traffic
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// lingerer is a connection whose unsent data can be discarded when it is closed.
type lingerer interface {
	SetLinger(seconds int) error
}

// discardUnsent makes the end of a connection a reset, which the other end notices even if it has not read all before.
func discardUnsent(conn any) {
	if own, ok := conn.(lingerer); ok {
		_ = own.SetLinger(0) // The connection may be closed already.
	}
}
