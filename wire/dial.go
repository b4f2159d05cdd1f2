package wire

import (
	"context"
	"net"
	"time"
)

// linkDialAttemptTimeout bounds one attempt to connect to another daemon. The SYN packet is lost when the other VM is
// not powered on yet or the network drops packets, and the kernel retransmits it only after one second, during which
// the other daemon does nothing for this one. 200 ms are several times the latency between regions.
const linkDialAttemptTimeout = 200 * time.Millisecond

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withRetry returns a dialFunc that dials again when an attempt got no answer within the given time, until the context
// ends. A refused connection is an answer.
func (dial dialFunc) withRetry(attemptTimeout time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for {
			conn, timedOut, err := dial.attempt(ctx, attemptTimeout, network, address)
			if !timedOut || ctx.Err() != nil {
				return conn, err
			}
		}
	}
}

// attempt dials once and reports whether that failed because no answer arrived in time.
func (dial dialFunc) attempt(ctx context.Context, attemptTimeout time.Duration, network, address string) (conn net.Conn, timedOut bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	conn, err = dial(ctx, network, address)
	return conn, err != nil && ctx.Err() != nil, err
}
