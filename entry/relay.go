package entry

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/serve"
	"emberlead/state"
	"emberlead/wire"
)

// logFlushTimeout is how long a terminating process waits for its log to be read.
const logFlushTimeout = 100 * time.Millisecond

// linkKeyEnv is the environment variable that may hold the key for the links between daemons.
const linkKeyEnv = "EMBERLEAD_LINK_KEY"

// Names of the flags for the certificates between daemons.
const (
	flagLinkCertificate    = "link-certificate"
	flagLinkCertificateKey = "link-certificate-key"
	flagLinkAuthority      = "link-authority"
	flagLinkRevoked        = "link-revoked"
)

func relayCommand() *cli.Command {
	zones := relay.DefaultZoneCosts()
	return &cli.Command{
		Name:  "relay",
		Usage: "run one daemon on the users' platform; it reads the settings file that the platform names in " + platform.SettingsEnv,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "`LEVEL` of the log: debug, info, warn or error"},
			&cli.StringFlag{Name: "link-key", Sources: cli.EnvVars(linkKeyEnv), Usage: "`KEY` that daemons show each other; without one it is the store's address"},
			&cli.StringFlag{Name: flagLinkCertificate, Sources: cli.EnvVars("EMBERLEAD_LINK_CERTIFICATE"), Usage: "`FILE` with this daemon's certificate, by which others know it; with it the links are encrypted"},
			&cli.StringFlag{Name: flagLinkCertificateKey, Sources: cli.EnvVars("EMBERLEAD_LINK_CERTIFICATE_KEY"), Usage: "`FILE` with the certificate's key"},
			&cli.StringFlag{Name: flagLinkAuthority, Sources: cli.EnvVars("EMBERLEAD_LINK_AUTHORITY"), Usage: "`FILE` with the certificates of the authorities that other daemons' certificates may come from"},
			&cli.StringFlag{Name: flagLinkRevoked, Sources: cli.EnvVars("EMBERLEAD_LINK_REVOKED"), Usage: "`FILE` with the authorities' lists of revoked certificates, if there are any"},
			&cli.DurationFlag{Name: "zone-cost", Value: zones.PerRequest, Usage: "`DELAY` that a target in another availability zone counts for"},
			&cli.DurationFlag{Name: "zone-megabyte-cost", Value: zones.PerMegabyte, Usage: "`DELAY` that a megabyte of inputs from another zone counts for; higher where such bytes are dear"},
		},
		Action: runRelay,
	}
}

func runRelay(ctx context.Context, c *cli.Command) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	sink := serve.NewLogSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{Name: "emberlead", Level: hclog.LevelFromString(c.String("log-level")), JSONFormat: true, Output: sink}).With("vm", settings.VM)
	options := []serve.RelayOption{
		serve.WithZoneCosts(relay.ZoneCosts{PerRequest: c.Duration("zone-cost"), PerMegabyte: c.Duration("zone-megabyte-cost")}),
	}
	if key := c.String("link-key"); key != "" {
		options = append(options, serve.WithLinkKey(key))
	}
	credentials, err := linkCredentials(c)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if credentials != nil {
		options = append(options, serve.WithLinkCredentials(credentials))
	}
	return serve.NewRelay(settings, state.NewClock(), log, sink, options...).Run(ctx)
}

// linkCredentials loads the certificates for the links between daemons. It returns nil if no flag is set.
func linkCredentials(c *cli.Command) (*wire.Credentials, error) {
	files := wire.CredentialFiles{
		Certificate: c.String(flagLinkCertificate), Key: c.String(flagLinkCertificateKey),
		Authority: c.String(flagLinkAuthority), Revoked: c.String(flagLinkRevoked),
	}
	if files == (wire.CredentialFiles{}) {
		return nil, nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, newError("read credentials", proto.KindInvalid, "--%s, --%s and --%s go together", flagLinkCertificate, flagLinkCertificateKey, flagLinkAuthority)
	}
	return wire.LoadCredentials(files)
}
