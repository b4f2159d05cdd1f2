package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"emberlead/coord"
	"emberlead/proto"
	"emberlead/wire"
)

func readFileArgument(c *cli.Command) (string, []byte, error) {
	if c.Args().Len() != 1 {
		return "", nil, usageError("%s takes one file", c.Name)
	}
	path := c.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return path, nil, withExitCode(ExitUsage, &Error{Op: "read file", Kind: proto.KindNotFound, Err: err})
	}
	return path, data, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "name every fault of a configuration file", ArgsUsage: "FILE",
		Flags: serverFlags(&cli.BoolFlag{Name: "against", Usage: "check against the files in force at the server too"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, data, err := readFileArgument(c)
			if err != nil {
				return err
			}
			_, faults := proto.ReadFile(data)
			if len(faults) == 0 && c.Bool("against") {
				var answer coord.ApplyResult
				if _, err := callOperatorAPI(ctx, c, http.MethodPost, wire.PathCheck, data, &answer); err != nil {
					return err
				}
				faults = answer.Faults
			}
			return reportFaults(c, path, faults)
		},
	}
}

// FaultReport is the JSON output of the check command.
type FaultReport struct {
	File   string        `json:"file"`
	Faults []proto.Fault `json:"faults"`
}

func reportFaults(c *cli.Command, path string, faults []proto.Fault) error {
	if faults == nil {
		faults = []proto.Fault{}
	}
	err := printResult(c, FaultReport{File: path, Faults: faults}, func(w io.Writer) {
		for _, f := range faults {
			fmt.Fprintf(w, "%s: %s: %s\n", path, f.Path, f.Reason)
		}
		if len(faults) == 0 {
			fmt.Fprintf(w, "%s: no faults\n", path)
		}
	})
	if err == nil && len(faults) > 0 {
		return withExitCode(ExitFailure, errSilent)
	}
	return err
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put a configuration file in force as a whole", ArgsUsage: "FILE",
		Flags: serverFlags(
			&cli.StringFlag{Name: "base", Usage: "`GENERATION` at which the file was last changed as you know it; another one is a conflict"},
			&cli.StringFlag{Name: "apply-id", Usage: "`ID` of an earlier try, to find out what became of it"},
			&cli.StringFlag{Name: "by", Sources: cli.EnvVars("USER"), Usage: "who applies the file"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, data, err := readFileArgument(c)
			if err != nil {
				return err
			}
			query := url.Values{"by": {c.String("by")}, "applyId": {c.String("apply-id")}}
			if query.Get("applyId") == "" {
				query.Set("applyId", uuid.NewString())
			}
			if base := c.String("base"); base != "" {
				if _, err := strconv.ParseUint(base, 10, 64); err != nil {
					return usageError("--base must be a generation")
				}
				query.Set("base", base)
			}
			return sendChange(ctx, c, path, wire.PathApply+"?"+query.Encode(), data, query.Get("applyId"))
		},
	}
}

func sendChange(ctx context.Context, c *cli.Command, path, endpoint string, body []byte, applyID string) error {
	var applied coord.ApplyResult
	status, err := callOperatorAPI(ctx, c, http.MethodPost, endpoint, body, &applied, http.StatusConflict, http.StatusUnprocessableEntity)
	if err != nil {
		if exitCode(err, io.Discard) == ExitUnknown {
			return withExitCode(ExitUnknown, newError("apply", proto.KindUnknown, "%v; ask again with --apply-id %s", err, applyID))
		}
		return err
	}
	switch status {
	case http.StatusUnprocessableEntity:
		return reportFaults(c, path, applied.Faults)
	case http.StatusConflict:
		return reportConflict(c, path, applied)
	}
	return printResult(c, applied, func(w io.Writer) {
		if applied.Unchanged {
			fmt.Fprintf(w, "%s: already in force since generation %d\n", path, applied.Generation)
			return
		}
		fmt.Fprintf(w, "%s: accepted as generation %d\n", path, applied.Generation)
	})
}

func reportConflict(c *cli.Command, path string, applied coord.ApplyResult) error {
	conflict := applied.Conflict
	err := printResult(c, applied, func(w io.Writer) {
		fmt.Fprintf(w, "%s: conflict: %s was changed by %s at generation %d, your base is %d\n", path, conflict.Name, conflict.By, conflict.Current, conflict.Base)
		for _, line := range conflict.Diff {
			fmt.Fprintln(w, line)
		}
	})
	if err != nil {
		return err
	}
	return withExitCode(ExitConflict, errSilent)
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show the configuration in force", Flags: serverFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var s wire.ConfigStatus
			if _, err := callOperatorAPI(ctx, c, http.MethodGet, wire.PathConfig, nil, &s); err != nil {
				return err
			}
			return printResult(c, s, func(w io.Writer) {
				printRow(w, "generation", s.Generation)
				printRow(w, "FILE", "GENERATION", "BY", "AT", "SHA-256")
				for _, f := range s.Files {
					printRow(w, f.Name, f.Generation, f.By, f.At.Format("2006-01-02 15:04:05"), f.Hash[:12])
				}
			})
		},
	}
}
