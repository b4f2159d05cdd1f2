package entry

import (
	"context"

	"github.com/urfave/cli/v3"

	"emberlead/serve"
	"emberlead/wire"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry daemon until it is stopped",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` of settings, see docs/Settings.md"},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	settings, err := serve.LoadSettings(c.String("settings"))
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	t := settings.Traces
	provider, err := wire.NewTracerProvider(ctx, t.Exporter, t.Endpoint, t.Fraction)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	wire.SetTracerProvider(provider)
	defer func() { _ = provider.Shutdown(context.WithoutCancel(ctx)) }()
	log := newLogger(settings.Log.Level, settings.Log.JSON, c.Root().ErrWriter).With("vm", settings.VM)
	daemon, err := serve.New(settings, serve.WithLog(log))
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
