package wire

import (
	"net"
	"syscall"
	"time"
)

// Parameters of the check that the other end of an open connection is still reachable. The network may drop everything
// that is sent on an old connection, permanently and without an error, while new connections work.
const (
	// maxUnacknowledged is how long data may stay unacknowledged before the connection counts as dead; a lost packet is
	// retransmitted about three times in this period. News of targets and configuration must arrive within two seconds,
	// so a watch of the store whose connection went silent must fail in less time.
	maxUnacknowledged = 1200 * time.Millisecond
	// probeInterval is the pause before the first probe and between probes on an idle connection, the shortest that
	// operating systems support.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes that end a connection on systems without the option for unacknowledged data; with
	// it, the first unanswered probe after maxUnacknowledged does.
	maxProbes = 2
)

// tcpUserTimeout is the TCP_USER_TIMEOUT socket option, which bounds how long data may stay unacknowledged, in
// milliseconds; the standard library defines it for no system.
const tcpUserTimeout = 18

// NewDialer returns a dialer whose connections fail on their own when the other end stops responding; timeout bounds
// opening a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets the option on a socket before it is connected. A system without the option relies on the probes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(maxUnacknowledged.Milliseconds()))
	})
}
