package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"emberlead/proto"
	"emberlead/serve"
)

// Exit codes of all commands.
const (
	ExitSuccess  = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// exitError carries an exit code. If its message is empty, nothing is printed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

func usageError(format string, args ...any) error {
	return withExitCode(ExitUsage, newError("usage", proto.KindInvalid, format, args...))
}

// errSilent ends a command whose output already contains everything that the user needs.
var errSilent = errors.New("")

// Main runs the command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := newRootCommand(stdout, stderr)
	return exitCode(app.Run(ctx, args), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitSuccess
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, "emberlead:", text)
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	switch proto.KindOf(err) {
	case proto.KindInvalid:
		return ExitUsage
	case proto.KindConflict:
		return ExitConflict
	case proto.KindUnknown:
		return ExitUnknown
	case "":
		return ExitUsage
	}
	return ExitFailure
}

func newRootCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "emberlead",
		Usage:                 "serve multi-stage model pipelines that are declared in files",
		Version:               serve.Version,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return withExitCode(ExitUsage, err)
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("no command is named %q, see emberlead --help", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
		Commands: []*cli.Command{
			serveCommand(), relayCommand(), linkKeysCommand(), traceCommand(), lagCommand(), lossesCommand(), checkCommand(), applyCommand(), configCommand(), stopCommand(), statusCommand(),
			callCommand(), demoCommand(), fakeCommand(), trialCommand(), docsCommand(),
		},
	}
}

func newLogger(level string, asJSON bool, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "emberlead", Level: hclog.LevelFromString(level), JSONFormat: asJSON, Output: out})
}
