package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// maxTakenByClient is how much a client of the standard library may read of an endless answer: the largest body and the largest head.
const maxTakenByClient = maxResponseSize + maxHeadBytes

// countTraffic counts what a client reads from its connections; what the other end could send depends on the sockets between them.
func countTraffic(client *http.Client) *Traffic {
	traffic := &Traffic{}
	transport := client.Transport.(*answerChecker).Transport
	transport.DialContext = traffic.Dialer(transport.DialContext)
	return traffic
}

// startEndlessServer writes a start and then the same byte again and again to each connection, as long as it is taken.
func startEndlessServer(t *testing.T, start string) netip.AddrPort {
	return rawTarget(t, start, func(conn net.Conn) {
		defer conn.Close()
		more := strings.Repeat("x", 64<<10)
		for sent := 0; sent < 4*endlessBytes; {
			n, err := io.WriteString(conn, more)
			if err != nil {
				return
			}
			sent += n
		}
	})
}

// TestEndlessAnswersToClientsAreGivenUp guards against answers without end that fill the memory of a daemon, or of which the first part
// counts as whole, at the clients of the older interface, of the platform and of other daemons.
func TestEndlessAnswersToClientsAreGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := map[string]string{
		"a head": ok + "X-A: ", "a body": ok + "\r\n", "a failure": "HTTP/1.1 500 No\r\n\r\n", "a stream": ok + "Content-Type: text/event-stream\r\n\r\n",
		"an upgrade": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
	}
	calls := map[string]func(ctx context.Context, to netip.AddrPort) (*Traffic, error){
		"targets": func(ctx context.Context, to netip.AddrPort) (*Traffic, error) {
			client := NewTargetClient()
			traffic := countTraffic(client.pooled)
			_, err := client.SendRequest(ctx, http.MethodGet, to, "/x", nil)
			return traffic, err
		},
		"platform": func(ctx context.Context, to netip.AddrPort) (*Traffic, error) {
			client := NewPlatformClient("http://"+to.String(), "a", DefaultPlatformLimits())
			traffic := countTraffic(client.client)
			_, err := client.attempt(ctx, platformCall{op: "get object", method: http.MethodGet, path: proto.PathObjects})
			return traffic, err
		},
		"daemons": func(ctx context.Context, to netip.AddrPort) (*Traffic, error) {
			links := NewLinks(LinksConfig{Self: "a", SharedKey: "k", Log: hclog.NewNullLogger(), Resolve: func(vm proto.VM) (proto.Alive, bool) {
				return proto.Alive{VM: vm, Peer: to}, true
			}})
			defer links.Close()
			traffic := countTraffic(links.client)
			_, _, err := links.OpenTunnel(ctx, "b", netip.MustParseAddrPort("10.0.0.1:80"))
			return traffic, err
		},
	}
	for client, call := range calls {
		for part, head := range heads {
			t.Run(part+" to the client of "+client, func(t *testing.T) {
				to := startEndlessServer(t, head)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				traffic, err := call(ctx, to)
				if err == nil {
					t.Error("the first part counts as an answer")
				}
				if read, _ := traffic.Totals(); read > maxTakenByClient {
					t.Errorf("%d bytes were read, want at most %d", read, maxTakenByClient)
				}
			})
		}
	}
}
