package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"emberlead/proto"
	"emberlead/wire"
)

func stopCommand() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "plan stops of VMs",
		Commands: []*cli.Command{
			{
				Name: "plan", Usage: "plan the stop of a VM", ArgsUsage: "VM",
				Flags: serverFlags(
					&cli.StringFlag{Name: "at", Required: true, Usage: "`TIME` as RFC 3339, or a duration from now such as 10m"},
					&cli.BoolFlag{Name: "force", Usage: "plan it even if a pool is left without a target"},
				),
				Action: func(ctx context.Context, c *cli.Command) error {
					at, err := parseStopTime(c.String("at"), time.Now())
					if err != nil {
						return err
					}
					return planStop(ctx, c, proto.StopPlan{At: at, Force: c.Bool("force")})
				},
			},
			{
				Name: "cancel", Usage: "cancel the planned stop of a VM", ArgsUsage: "VM", Flags: serverFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return planStop(ctx, c, proto.StopPlan{})
				},
			},
			{Name: "list", Usage: "list the planned stops", Flags: serverFlags(), Action: listStops},
		},
	}
}

func parseStopTime(text string, now time.Time) (time.Time, error) {
	if wait, err := time.ParseDuration(text); err == nil {
		return now.Add(wait), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usageError("--at must be a time such as 2026-01-31T22:00:00Z or a duration such as 10m")
	}
	return at, nil
}

func planStop(ctx context.Context, c *cli.Command, plan proto.StopPlan) error {
	if c.Args().Len() != 1 {
		return usageError("%s takes one VM", c.Name)
	}
	plan.VM = proto.VM(c.Args().First())
	plan.ID = uuid.NewString()
	body, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	return sendChange(ctx, c, "stop of "+string(plan.VM), wire.PathStops, body, plan.ID)
}

func listStops(ctx context.Context, c *cli.Command) error {
	var s wire.ConfigStatus
	if _, err := callOperatorAPI(ctx, c, http.MethodGet, wire.PathStops, nil, &s); err != nil {
		return err
	}
	return printResult(c, s.Stops, func(w io.Writer) {
		printRow(w, "VM", "AT", "IN")
		for _, plan := range s.Stops {
			printRow(w, plan.VM, plan.At.Format(time.RFC3339), time.Until(plan.At).Round(time.Second))
		}
	})
}
