package wire

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/relay"
)

// TestLateDaemonTrustsItsLinks guards against a daemon that takes its own lateness for the failure of its links, and has other daemons
// carry connections when it has the least time for more work.
func TestLateDaemonTrustsItsLinks(t *testing.T) {
	const lateness = 300 * time.Millisecond
	scenarios := []struct {
		name     string
		ownDelay time.Duration
		carried  bool
	}{
		{"late itself", lateness, false},
		{"not late itself", 0, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, to := newScriptedTarget(t, func(_, _ int, r *http.Request) (string, bool) {
				return okResponse(r.Header.Get(headerID), "ok"), false
			})
			x := newTunnelTest(t, to, TunnelConfig{MaxOpen: 1})
			slow := func(ctx context.Context, network, address string) (net.Conn, error) {
				select {
				case <-time.After(lateness):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			x.paths = relay.NewPaths("r/z", clockwork.NewRealClock(), hclog.NewNullLogger(), oneCarrier{}, addressSet{to: true})
			x.transport = NewTargetTransport(clockwork.NewRealClock(), WithDialer(slow), WithPaths(x.paths, x.links.OpenTunnel), WithOwnDelay(func() time.Duration { return s.ownDelay }))
			if body, err := sendOnce(t, x.transport, to, newTargetRequest("a", "q")); body != "ok" || err != nil {
				t.Fatalf("%q, %v", body, err)
			}
			if carried := x.paths.Stats().Carried > 0; carried != s.carried {
				t.Errorf("carried by another daemon %t, want %t", carried, s.carried)
			}
		})
	}
}
