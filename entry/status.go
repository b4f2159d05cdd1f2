package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"emberlead/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show how a daemon is and how it sees the others", Flags: serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var s wire.Status
			if _, err := callOperatorAPI(ctx, c, http.MethodGet, wire.PathStatus, nil, &s); err != nil {
				return err
			}
			return printResult(c, s, func(w io.Writer) { statusTable(w, &s) })
		},
	}
}

func statusTable(w io.Writer, s *wire.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	printRow(w, "vm", fmt.Sprintf("%s in %s, version %s", s.VM, s.Zone, s.Version))
	printRow(w, "state", ready)
	printRow(w, "generation", s.Generation)
	printRow(w, "requests in progress", s.OpenRequests)
	printRow(w, "store last read", s.LastStoreRead.Format("15:04:05"))
	printRow(w, "claims kept", fmt.Sprintf("%d in %d slots, %d ready, roster %d", s.Claims.Claims, s.Claims.Slots, s.Claims.Ready, s.Claims.Epoch))
	printRow(w, "links", fmt.Sprintf("%d, %d messages sent, %d received, %d dropped", s.Links.Links, s.Links.Sent, s.Links.Received, s.Links.Dropped))
	printRow(w, "")
	printRow(w, "DAEMON", "ZONE", "PEER", "STOPPING")
	for _, d := range s.Daemons {
		printRow(w, d.VM, d.Zone, d.Peer, d.Stopping)
	}
	printRow(w, "")
	printRow(w, "POOL", "TARGET", "VM", "INFLIGHT", "EXPECTED", "LIMIT", "SLOWNESS", "STATE")
	for _, p := range s.Pools {
		for _, t := range p.Targets {
			state := "open"
			switch {
			case t.Leaving:
				state = "leaving"
			case t.Ejected:
				state = "ejected"
			}
			printRow(w, p.Pool, t.Target, t.VM, t.Inflight, fmt.Sprintf("%.1f", t.Expected), fmt.Sprintf("%.1f", t.Limit), fmt.Sprintf("%.2f", t.Slowness), state)
		}
	}
}
