package wire

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// silenceableProxy is a proxy that forwards connections until it is told to drop everything that is sent over the open
// ones.
type silenceableProxy struct {
	listener     net.Listener
	to           string
	silencedUpTo atomic.Int64 // connections up to this number are silent
	accepted     atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newSilenceableProxy(t *testing.T, to string) *silenceableProxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silenceableProxy{listener: l, to: to}
	t.Cleanup(func() {
		_ = l.Close()
		p.closeConns()
	})
	go p.serve()
	return p
}

func (p *silenceableProxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		number := p.accepted.Add(1)
		to, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.mu.Unlock()
		go p.copy(to, from, number)
		go p.copy(from, to, number)
	}
}

func (p *silenceableProxy) copy(to, from net.Conn, number int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil && number <= p.silencedUpTo.Load() {
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if number <= p.silencedUpTo.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silenceOpenConns makes all open connections silent.
func (p *silenceableProxy) silenceOpenConns() { p.silencedUpTo.Store(p.accepted.Load()) }

// closeConns closes the open connections, as the kernel does with those whose probes are not answered.
func (p *silenceableProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// TestSilentLinkIsReopened guards against a link that stays unusable when the connections between two daemons go silent
// for good while new ones work. The loopback interface acknowledges what the proxy drops, so the test closes the silent
// connections itself; TestDialedConnectionHasKeepAliveOptions checks the options by which the kernel does so.
func TestSilentLinkIsReopened(t *testing.T) {
	var received atomic.Int64
	peer := NewLinks(LinksConfig{
		Self: "b", SharedKey: "k", Log: hclog.NewNullLogger(), Resolve: func(proto.VM) (proto.Alive, bool) { return proto.Alive{}, false },
		Handle: func(context.Context, proto.VM, proto.Message) proto.Message {
			received.Add(1)
			return proto.Done{}
		},
	})
	server := httptest.NewServer(peer.Handler())
	t.Cleanup(server.Close)
	proxy := newSilenceableProxy(t, server.Listener.Addr().String())
	links := NewLinks(LinksConfig{
		Self: "a", SharedKey: "k", Log: hclog.NewNullLogger(), Handle: func(context.Context, proto.VM, proto.Message) proto.Message { return proto.Done{} },
		Resolve: func(proto.VM) (proto.Alive, bool) {
			return proto.Alive{VM: "b", Peer: netip.MustParseAddrPort(proxy.listener.Addr().String())}, true
		},
	})
	t.Cleanup(links.Close)
	sendUntilReceived := func() {
		t.Helper()
		before := received.Load()
		for end := time.Now().Add(20 * time.Second); received.Load() == before; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the other daemon receives nothing")
			}
			links.Send("b", proto.Heartbeat{})
		}
	}
	sendUntilReceived()
	// Data in flight must arrive before the connection goes silent.
	if _, err := links.Call(t.Context(), "b", proto.RoutingAsk{}); err != nil {
		t.Fatal(err)
	}
	proxy.silenceOpenConns()
	called := make(chan error, 1)
	go func() {
		_, err := links.Call(t.Context(), "b", proto.RoutingAsk{})
		called <- err
	}()
	select {
	case err := <-called:
		t.Fatalf("a call over the silent connection ended: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	proxy.closeConns()
	if err := <-called; err == nil {
		t.Error("a call over the silent connection was answered")
	}
	sendUntilReceived()
	if n := proxy.accepted.Load(); n < 2 {
		t.Errorf("%d connections were opened, want at least 2", n)
	}
}
