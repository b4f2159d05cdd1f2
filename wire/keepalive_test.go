package wire

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestDialedConnectionHasKeepAliveOptions reads the socket options back, since a connection on the loopback interface
// cannot be made silent.
func TestDialedConnectionHasKeepAliveOptions(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(time.Second).DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name          string
		level, option int
		want          int
	}{
		{"probes enabled", syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{"seconds before the first probe", syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 1},
		{"seconds between probes", syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 1},
		{"number of probes", syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 2},
		{"milliseconds without an acknowledgment", syscall.IPPROTO_TCP, tcpUserTimeout, 1200},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := raw.Control(func(fd uintptr) {
				if got, err := syscall.GetsockoptInt(int(fd), s.level, s.option); err != nil || got != s.want {
					t.Errorf("option is %d, %v, want %d", got, err, s.want)
				}
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
}
