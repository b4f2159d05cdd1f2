package wire

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

// unreadBody is larger than what sockets buffer.
const unreadBody = 16 << 20

// socketError returns the pending error of a connection, which a target sees that waits for news of it.
func socketError(conn net.Conn) (code int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { code, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return code
}

// TestTargetThatDoesNotReadNoticesCancel guards against targets that work on canceled requests: the end of the connection stood
// behind a part of the request that they had not read.
func TestTargetThatDoesNotReadNoticesCancel(t *testing.T) {
	for _, carried := range []bool{false, true} {
		t.Run(map[bool]string{false: "own connection", true: "carried"}[carried], func(t *testing.T) {
			accepted, noticed := make(chan struct{}), make(chan struct{})
			to := rawTarget(t, "", func(conn net.Conn) {
				close(accepted)
				for range 500 {
					if socketError(conn) != 0 {
						close(noticed)
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
			clock := clockwork.NewRealClock()
			transport := NewTargetTransport(clock)
			if carried {
				transport = carriedTransport(t, to)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				_, _ = transport.Send(ctx, to, &relay.TargetRequest{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, unreadBody)})
			}()
			<-accepted
			time.Sleep(50 * time.Millisecond)
			canceledAt := time.Now()
			cancel()
			select {
			case <-noticed:
				if took := time.Since(canceledAt); took > maxWorkAfterCancel {
					t.Errorf("the target noticed the end after %s", took)
				}
			case <-time.After(4 * time.Second):
				t.Error("the target does not notice the end")
			}
		})
	}
}

// carriedTransport returns a transport whose connections another daemon carries.
func carriedTransport(t *testing.T, to netip.AddrPort) *TargetTransport {
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", to.String())
	}
	carrier := NewLinks(LinksConfig{Self: "b", SharedKey: "k", Log: hclog.NewNullLogger(), Tunnels: TunnelConfig{
		Dial: dial, MaxOpen: 1, IsTarget: func(netip.AddrPort) bool { return true }, TrustsLinks: func(context.Context) bool { return true },
	}})
	user := newTestLinks(t, "a", map[proto.VM]string{"b": serveTestLinks(t, carrier)}, nil)
	paths := relay.NewPaths("r/z", clockwork.NewRealClock(), hclog.NewNullLogger(), oneCarrier{}, addressSet{to: true})
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	return NewTargetTransport(clockwork.NewRealClock(), WithDialer(refuse), WithPaths(paths, user.OpenTunnel))
}
