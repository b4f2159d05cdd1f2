package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// headReadAhead is how much of what follows a head may be read together with it.
const headReadAhead = readBufferSize

// headTooLarge is the answer to a request whose head is larger than the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// CallerConns applies limits that may change at any time to the connections of callers. A server of the standard library
// reads its limits without a lock, so they cannot change while it runs.
type CallerConns struct {
	clock  clockwork.Clock
	limits func() proto.CallerLimits
}

// NewCallerConns returns the limits of connections, which are asked for with each request.
func NewCallerConns(clock clockwork.Clock, limits func() proto.CallerLimits) *CallerConns {
	return &CallerConns{clock: clock, limits: limits}
}

// Limit makes a server apply the limits, and returns the listener that it has to serve.
func (c *CallerConns) Limit(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = c.onState
	withConn := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = context.WithValue(withConn(ctx, conn), callerConnKey{}, conn)
		if caller, ok := conn.(*callerConn); ok {
			ctx, caller.ahead.leave = context.WithCancel(ctx)
		}
		return ctx
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			conn.endHead()
			r.Body = conn.ahead.begin(r)
			defer conn.ahead.finish()
		}
		handler.ServeHTTP(w, r)
	})
	return &callerListener{listener, c}
}

type callerConnKey struct{}

type callerListener struct {
	net.Listener
	conns *CallerConns
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, conns: l.conns, ahead: newReadAhead(conn)}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	conns *CallerConns
	ahead *readAhead

	mu sync.Mutex
	// inHead is set while a head is awaited or read, and headLeft is how much of it may still be read.
	inHead   bool
	headLeft int
	// timer closes the connection if the caller takes too long.
	timer clockwork.Timer
}

// onState is called when a connection opens, begins to send a request, waits for the next one, and closes.
func (c *CallerConns) onState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	limits := c.limits()
	switch state {
	case http.StateNew, http.StateActive:
		caller.awaitHead(limits.MaxHeaderBytes, limits.HeaderTimeout, state == http.StateNew)
	case http.StateIdle:
		caller.awaitHead(limits.MaxHeaderBytes, limits.IdleTimeout, true)
	case http.StateClosed, http.StateHijacked:
		caller.endHead()
		caller.ahead.leave()
	}
}

// awaitHead limits the next head, and the time until the caller has sent more of it. begins is set if nothing of it was read.
func (c *callerConn) awaitHead(maxBytes int, timeout time.Duration, begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begins {
		c.inHead, c.headLeft = true, maxBytes+headReadAhead
	}
	if !c.inHead {
		return
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = c.conns.clock.AfterFunc(timeout, func() { _ = c.Close() })
}

// endHead ends the limits, as the head was read.
func (c *callerConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// Read answers heads that are too large, and fails then.
func (c *callerConn) Read(p []byte) (int, error) {
	left, limited := c.headRoom()
	if !limited {
		return c.ahead.Read(p)
	}
	if left <= 0 {
		_, _ = c.Conn.Write([]byte(headTooLarge)) // The caller may be gone.
		return 0, newError("read request", proto.KindTooLarge, "its head is too large")
	}
	n, err := c.ahead.Read(p[:min(len(p), left)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headLeft -= n
	return n, err
}

func (c *callerConn) headRoom() (left int, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headLeft, c.inHead
}
