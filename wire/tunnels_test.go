package wire

import (
	"context"
	"errors"
	"io"
	"iter"
	"maps"
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

// oneCarrier is a fleet of two daemons, the other of which carries.
type oneCarrier struct{}

func (oneCarrier) Carriers() []relay.Carrier { return []relay.Carrier{{VM: "b", Zone: "r/z"}} }
func (oneCarrier) Count() int                { return 2 }

// addressSet holds the addresses of all targets.
type addressSet map[netip.AddrPort]bool

func (s addressSet) Addresses() iter.Seq[netip.AddrPort] { return maps.Keys(s) }
func (s addressSet) AddressCount() int                   { return len(s) }

// tunnelTest has a daemon whose own link to a target fails, and another daemon that carries connections for it.
type tunnelTest struct {
	transport *TargetTransport
	carrier   *Links
	server    *httptest.Server
	links     *Links
	paths     *relay.Paths
}

func newTunnelTest(t *testing.T, to netip.AddrPort, config TunnelConfig) *tunnelTest {
	t.Helper()
	known := map[netip.AddrPort]bool{to: true}
	config.IsTarget = func(a netip.AddrPort) bool { return known[a] }
	if config.TrustsLinks == nil {
		config.TrustsLinks = func(context.Context) bool { return true }
	}
	if config.Dial == nil {
		config.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", to.String())
		}
	}
	x := &tunnelTest{}
	x.carrier = NewLinks(LinksConfig{Self: "b", SharedKey: "k", Log: hclog.NewNullLogger(), Tunnels: config})
	x.server = httptest.NewServer(x.carrier.Handler())
	t.Cleanup(func() {
		x.server.CloseClientConnections()
		x.server.Close()
	})
	links := NewLinks(LinksConfig{Self: "a", SharedKey: "k", Log: hclog.NewNullLogger(), Resolve: func(vm proto.VM) (proto.Alive, bool) {
		return proto.Alive{VM: vm, Peer: addressOf(x.server.URL)}, true
	}})
	t.Cleanup(links.Close)
	x.links = links
	clock := clockwork.NewRealClock()
	x.paths = relay.NewPaths("r/z", clock, hclog.NewNullLogger(), oneCarrier{}, addressSet(known))
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	x.transport = NewTargetTransport(clock, WithDialer(refuse), WithPaths(x.paths, links.OpenTunnel))
	return x
}

// serveConns handles each connection to the address that it returns.
func serveConns(t *testing.T, handle func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// rawTarget answers the first request of each connection with bytes, and then ends the connection as told.
func rawTarget(t *testing.T, answer string, end func(net.Conn)) netip.AddrPort {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, answer)
		end(conn)
	})
}

func endOrderly(conn net.Conn) { _ = conn.Close() }

func resetConn(conn net.Conn) {
	time.Sleep(50 * time.Millisecond) // The answer is read before the reset.
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// waitForClose leaves the connection open until the other end closes it.
func waitForClose(closed chan struct{}) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}
}

const unframedAnswer = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody"

func TestTunnelIsReused(t *testing.T) {
	target, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) { return okResponse(r.Header.Get(headerID), "ok"), false })
	x := newTunnelTest(t, to, TunnelConfig{MaxOpen: 1})
	for _, id := range []string{"a", "b", "c"} {
		if body, err := sendOnce(t, x.transport, to, newTargetRequest(id, "q")); body != "ok" || err != nil {
			t.Fatalf("%s: %q, %v", id, body, err)
		}
	}
	if conns, requests := target.counts(); conns != 1 || requests != 3 {
		t.Errorf("%d connections for %d requests", conns, requests)
	}
	if x.paths.UsesLink(to) {
		t.Error("the link is used although another daemon reached the target and this one did not")
	}
}

// TestTunnelEndsAsItsTargetDid guards against delivering an answer as whole that was cut off by its target or by the carrying daemon.
func TestTunnelEndsAsItsTargetDid(t *testing.T) {
	scenarios := []struct {
		name  string
		end   func(x *tunnelTest) func(net.Conn)
		whole bool
	}{
		{"target closes", func(*tunnelTest) func(net.Conn) { return endOrderly }, true},
		{"target resets", func(*tunnelTest) func(net.Conn) { return resetConn }, false},
		{"carrier ends", func(x *tunnelTest) func(net.Conn) {
			return func(net.Conn) {
				time.Sleep(50 * time.Millisecond)
				x.carrier.tunnels.closeAll()
			}
		}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var x *tunnelTest
			to := rawTarget(t, unframedAnswer, func(conn net.Conn) { s.end(x)(conn) })
			x = newTunnelTest(t, to, TunnelConfig{MaxOpen: 1})
			body, err := sendOnce(t, x.transport, to, newTargetRequest("a", "q"))
			if body != "body" || (err == nil) != s.whole || errors.Is(err, io.EOF) {
				t.Errorf("%q, %v, want whole %v", body, err, s.whole)
			}
		})
	}
}

// TestTunnelClosesWithItsCaller guards against targets that work on for callers that have left.
func TestTunnelClosesWithItsCaller(t *testing.T) {
	closed := make(chan struct{})
	to := rawTarget(t, "", waitForClose(closed))
	x := newTunnelTest(t, to, TunnelConfig{MaxOpen: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var sendErr *relay.SendError
	if _, err := x.transport.Send(ctx, to, newTargetRequest("a", "q")); !errors.As(err, &sendErr) || !sendErr.Written {
		t.Errorf("error %v, want one that says the request may have been sent", err)
	}
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Error("the connection to the target is still open")
	}
}

// TestTunnelThatIsNotOpenedSentNothing covers the reasons why a daemon does not carry a connection.
func TestTunnelThatIsNotOpenedSentNothing(t *testing.T) {
	refuse := func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	scenarios := []struct {
		name   string
		config TunnelConfig
		other  bool
		// doubtful is set if the target may be sound.
		doubtful bool
	}{
		{"too many tunnels", TunnelConfig{MaxOpen: 0}, false, true},
		{"address of no target", TunnelConfig{MaxOpen: 1}, true, true},
		{"carrier does not reach the target", TunnelConfig{MaxOpen: 1, Dial: refuse}, false, false},
		{"carrier doubts its own links", TunnelConfig{MaxOpen: 1, Dial: refuse, TrustsLinks: func(context.Context) bool { return false }}, false, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			target, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) { return okResponse(r.Header.Get(headerID), "ok"), false })
			known := to
			if s.other {
				known = netip.MustParseAddrPort("127.0.0.1:1")
			}
			x := newTunnelTest(t, known, s.config)
			_, err := sendOnce(t, x.transport, to, newTargetRequest("a", "q"))
			var sendErr *relay.SendError
			var linkErr *relay.LinkError
			if !errors.As(err, &sendErr) || sendErr.Written || errors.As(err, &linkErr) != s.doubtful {
				t.Errorf("error %v, want one that says that nothing was sent, doubtful %v", err, s.doubtful)
			}
			if conns, _ := target.counts(); conns != 0 {
				t.Errorf("%d connections to the target", conns)
			}
			if open := x.carrier.TunnelCounts().Open; open != 0 {
				t.Errorf("%d tunnels are open", open)
			}
		})
	}
}
