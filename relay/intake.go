package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Intake decides which requests a daemon serves with the processor and the link that it has.
type Intake interface {
	// Admit decides whether to serve a request that was read, or else when its caller should come back. fresh is set for the first
	// request of a connection.
	Admit(fresh bool) (retryAfter time.Duration, admitted bool)
	// Spreads reports whether callers should send their next requests to other daemons.
	Spreads() bool
}

// connectionKey is the key of a connection's state in the context of its requests.
type connectionKey struct{}

// WithConnection returns a context for the requests of a connection, by which the first one is known.
func WithConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Bool))
}

// isFresh reports whether a request is the first one of its connection.
func isFresh(ctx context.Context) bool {
	used, ok := ctx.Value(connectionKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// refuseOverload refuses a request that the daemon has no room for.
func (s *Server) refuseOverload(w http.ResponseWriter, r *http.Request) *failure {
	if s.intake == nil {
		return nil
	}
	if s.intake.Spreads() {
		w.Header().Set("Connection", "close")
	}
	retryAfter, admitted := s.intake.Admit(isFresh(r.Context()))
	if admitted {
		return nil
	}
	return &failure{status: http.StatusServiceUnavailable, retryAfter: retryAfter, reason: "the daemon has more requests than its processor or link can carry", kind: refusedOverload}
}
