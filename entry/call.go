package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"emberlead/proto"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "send one request by hand", ArgsUsage: "WORKSPACE SERVICE [JSON]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: "http://127.0.0.1:7001", Sources: cli.EnvVars("EMBERLEAD_CALLERS"), Usage: "`URL` of a daemon's callers' listener"},
			&cli.StringFlag{Name: "key", Required: true, Sources: cli.EnvVars("EMBERLEAD_KEY"), Usage: "workspace's bearer `KEY`"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "UUID of version 7, or \"new\""},
			&cli.StringFlag{Name: "timeout", Usage: "`DURATION` after which the answer is of no use"},
			&cli.BoolFlag{Name: "not-repeatable", Usage: "the request may run at most once"},
			&cli.BoolFlag{Name: "stream", Usage: "print the answer as it is generated"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, c *cli.Command) error {
	if n := c.Args().Len(); n < 2 || n > 3 {
		return usageError("call takes a workspace, a service and the input as JSON")
	}
	input := c.Args().Get(2)
	if input == "" {
		input = "{}"
	}
	url := fmt.Sprintf("%s/v1/workspaces/%s/services/%s/requests", c.String("server"), c.Args().Get(0), c.Args().Get(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(input))
	if err != nil {
		return usageError("%v", err)
	}
	if err := setCallHeaders(c, req.Header); err != nil {
		return err
	}
	resp, err := newDaemonClient().Do(req)
	if err != nil {
		return withExitCode(ExitUnknown, &Error{Op: "call", Kind: proto.KindUnknown, Err: err})
	}
	defer resp.Body.Close()
	fmt.Fprintln(c.Root().ErrWriter, resp.Status, "request", resp.Header.Get(proto.HeaderRequestID), "generation", resp.Header.Get(proto.HeaderGeneration))
	if _, err := io.Copy(c.Root().Writer, resp.Body); err != nil {
		return withExitCode(ExitUnknown, &Error{Op: "call", Kind: proto.KindUnknown, Err: err})
	}
	fmt.Fprintln(c.Root().Writer)
	if resp.StatusCode != http.StatusOK {
		return withExitCode(ExitFailure, errSilent)
	}
	return nil
}

func setCallHeaders(c *cli.Command, h http.Header) error {
	h.Set("Authorization", "Bearer "+c.String("key"))
	h.Set("Content-Type", "application/json")
	if c.Bool("stream") {
		h.Set("Accept", "text/event-stream")
	}
	if c.Bool("not-repeatable") {
		h.Set(proto.HeaderRepeatable, "false")
	}
	if timeout := c.String("timeout"); timeout != "" {
		h.Set(proto.HeaderTimeout, timeout)
	}
	key := c.String("idempotency-key")
	if key == "new" {
		generated, err := uuid.NewV7()
		if err != nil {
			return &Error{Op: "make key", Kind: proto.KindUnavailable, Err: err}
		}
		key = generated.String()
		fmt.Fprintln(c.Root().ErrWriter, "Idempotency-Key", key)
	}
	if key != "" {
		h.Set(proto.HeaderKey, key)
	}
	return nil
}
