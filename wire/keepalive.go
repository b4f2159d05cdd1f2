package wire

import (
	"net"
	"syscall"
	"time"
)

// Figures of the check that the other end of an open connection is still there. A path may swallow what is sent on an
// old connection for good and give no error, while new connections work.
const (
	// quietMost is how long bytes may stay unacknowledged before the connection counts as dead, in which time a lost
	// packet is sent again some three times. News of targets and configuration must arrive within two seconds, so a
	// watch of the store that went silent must not outlast that.
	quietMost = 1200 * time.Millisecond
	// quietProbe is the pause before and between probes on a connection without traffic, the least that systems know.
	quietProbe = time.Second
	// quietProbes is how many probes without an answer end a connection.
	quietProbes = 2
)

// tcpUserTimeout is the option that bounds how long bytes may stay unacknowledged, in milliseconds; the standard
// library names it for no system.
const tcpUserTimeout = 18

// NewDialer returns a dialer whose connections fail by themselves when their other end falls silent; timeout bounds the
// opening of one.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: quietProbe, Interval: quietProbe, Count: quietProbes},
		Control:         boundSilence,
	}
}

// boundSilence sets the bound on a socket that is about to be connected. A system without the option has the probes.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(quietMost.Milliseconds()))
	})
}
