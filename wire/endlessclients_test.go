package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// maxTakenByClient is how much a client of the standard library may take of an endless answer: the largest body, and what the sockets hold.
const maxTakenByClient = maxResponseSize + 12<<20

// startEndlessServer writes a start and then the same byte again and again to each connection, as long as it is taken.
func startEndlessServer(t *testing.T, start string) (to netip.AddrPort, taken *atomic.Int64) {
	taken = &atomic.Int64{}
	return rawTarget(t, start, func(conn net.Conn) {
		defer conn.Close()
		more := strings.Repeat("x", 64<<10)
		for taken.Load() < 4*endlessBytes {
			n, err := io.WriteString(conn, more)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), taken
}

// TestEndlessAnswersToClientsAreGivenUp guards against answers without end that fill the memory of a daemon, or of which the first part
// counts as whole, at the clients of the older interface, of the platform and of other daemons.
func TestEndlessAnswersToClientsAreGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := map[string]string{
		"a head": ok + "X-A: ", "a body": ok + "\r\n", "a failure": "HTTP/1.1 500 No\r\n\r\n", "a stream": ok + "Content-Type: text/event-stream\r\n\r\n",
		"an upgrade": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
	}
	calls := map[string]func(ctx context.Context, to netip.AddrPort) error{
		"targets": func(ctx context.Context, to netip.AddrPort) error {
			_, err := NewTargetClient().SendRequest(ctx, http.MethodGet, to, "/x", nil)
			return err
		},
		"platform": func(ctx context.Context, to netip.AddrPort) error {
			_, err := NewPlatformClient("http://"+to.String(), "a", DefaultPlatformLimits()).attempt(ctx, platformCall{op: "get object", method: http.MethodGet, path: proto.PathObjects})
			return err
		},
		"daemons": func(ctx context.Context, to netip.AddrPort) error {
			links := NewLinks(LinksConfig{Self: "a", SharedKey: "k", Log: hclog.NewNullLogger(), Resolve: func(vm proto.VM) (proto.Alive, bool) {
				return proto.Alive{VM: vm, Peer: to}, true
			}})
			defer links.Close()
			_, _, err := links.OpenTunnel(ctx, "b", netip.MustParseAddrPort("10.0.0.1:80"))
			return err
		},
	}
	for client, call := range calls {
		for part, head := range heads {
			t.Run(part+" to the client of "+client, func(t *testing.T) {
				to, taken := startEndlessServer(t, head)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				if err := call(ctx, to); err == nil {
					t.Error("the first part counts as an answer")
				}
				if n := taken.Load(); n > maxTakenByClient {
					t.Errorf("%d bytes were taken, want at most %d", n, maxTakenByClient)
				}
			})
		}
	}
}
