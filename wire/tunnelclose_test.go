package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/relay"
)

// maxWorkAfterCancel is how long a target may work on a request that was canceled.
const maxWorkAfterCancel = 400 * time.Millisecond

// TestCanceledRequestEndsAtTargetOfLostTunnel guards against targets that work on canceled requests until a lost connection
// to the daemon that carries them is noticed.
func TestCanceledRequestEndsAtTargetOfLostTunnel(t *testing.T) {
	scenarios := []struct {
		testName string
		// lost is up to which connection to the carrier all are silent.
		lost   int64
		relays []proto.VM
	}{
		{"no connection is lost", 0, nil},
		{"the connection of the tunnel is lost", 1, nil},
		{"all connections to the carrier are lost", 1 << 30, []proto.VM{"c"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			closed := make(chan struct{})
			to := rawTarget(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\ndata", waitForClose(closed))
			dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", to.String())
			}
			carrier := NewLinks(LinksConfig{Self: "b", SharedKey: "k", Log: hclog.NewNullLogger(), Tunnels: TunnelConfig{
				Dial: dial, MaxOpen: 1, IsTarget: func(netip.AddrPort) bool { return true }, TrustsLinks: func(context.Context) bool { return true },
			}})
			carrierServer := serveTestLinks(t, carrier)
			proxy := newSilenceableProxy(t, addressOf(carrierServer).String())
			relayServer := serveTestLinks(t, newTestLinks(t, "c", map[proto.VM]string{"b": carrierServer}, nil))
			user := newTestLinks(t, "a", map[proto.VM]string{"b": "http://" + proxy.listener.Addr().String(), "c": relayServer}, s.relays)
			clock := clockwork.NewRealClock()
			paths := relay.NewPaths("r/z", clock, hclog.NewNullLogger(), oneCarrier{}, addressSet{to: true})
			refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
			transport := NewTargetTransport(clock, WithDialer(refuse), WithPaths(paths, user.OpenTunnel))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if _, err := transport.Send(ctx, to, &relay.TargetRequest{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}); err != nil {
				t.Fatal(err)
			}
			proxy.silencedUpTo.Store(s.lost)
			canceledAt := time.Now()
			cancel()
			select {
			case <-closed:
				if took := time.Since(canceledAt); took > maxWorkAfterCancel {
					t.Errorf("the target worked on for %s", took)
				}
			case <-time.After(5 * time.Second):
				t.Error("the target works on")
			}
		})
	}
}

func serveTestLinks(t *testing.T, l *Links) (url string) {
	t.Helper()
	server := httptest.NewServer(l.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// newTestLinks returns links to daemons at the given URLs.
func newTestLinks(t *testing.T, self proto.VM, urls map[proto.VM]string, relays []proto.VM) *Links {
	t.Helper()
	l := NewLinks(LinksConfig{
		Self: self, SharedKey: "k", Log: hclog.NewNullLogger(), Tunnels: TunnelConfig{Relays: func(proto.VM) []proto.VM { return relays }},
		Resolve: func(vm proto.VM) (proto.Alive, bool) {
			return proto.Alive{VM: vm, Peer: addressOf(urls[vm]), Protocol: proto.PeerProtocolTunnelClose}, true
		},
	})
	t.Cleanup(l.Close)
	return l
}
