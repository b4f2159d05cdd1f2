package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"emberlead/fakes"
	"emberlead/proto"
	"emberlead/wire"
)

func fakeCommand() *cli.Command {
	return &cli.Command{
		Name: "fake", Usage: "run stand-ins for trials by hand",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "stand in for the platform's table service, object store, VM list and weight store",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "loopback `ADDRESS`"},
					&cli.StringFlag{Name: "write-address", Usage: "`FILE` to write the address to"},
					&cli.StringSliceFlag{Name: "vm", Usage: "`NAME=PEER-ADDRESS@ZONE` of an entry VM on the list, may be repeated"},
				},
				Action: runFakePlatform,
			},
			{
				Name: "targets", Usage: "stand in for every target of a configuration file", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "any-port", Usage: "listen on free ports instead of the file's"},
					&cli.StringFlag{Name: "write-file", Usage: "`FILE` to write the configuration with the addresses in use to"},
					&cli.Uint64Flag{Name: "seed", Value: 1},
				},
				Action: runFakeTargets,
			},
			{
				Name: "fault", Usage: "change the faults of a stand-in", ArgsUsage: "FILE TARGET",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "set", Value: "{}", Usage: "`JSON` such as {\"slow\":5}, {\"failing\":0.3} or {\"hanging\":true}"}},
				Action: setTargetFault,
			},
			{
				Name: "outage", Usage: "change the faults of the platform's stand-in", ArgsUsage: "URL",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "set", Value: "{}", Usage: "`JSON` such as {\"down\":true}, {\"downFor\":\"5s\"} or {\"loseAnswers\":2}"}},
				Action: setPlatformFault,
			},
			{Name: "runs", Usage: "show how often each stage ran at a stand-in", ArgsUsage: "FILE TARGET", Action: showRuns},
		},
	}
}

func parseLoopback(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		return address, usageError("%q is not a loopback address with a port", text)
	}
	return address, nil
}

// parseVM parses NAME=PEER-ADDRESS@ZONE.
func parseVM(text string) (proto.VMEntry, error) {
	name, rest, ok := strings.Cut(text, "=")
	peer, zone, okZone := strings.Cut(rest, "@")
	address, err := netip.ParseAddrPort(peer)
	if !ok || !okZone || err != nil {
		return proto.VMEntry{}, usageError("%q is not NAME=PEER-ADDRESS@ZONE", text)
	}
	return proto.VMEntry{VM: proto.VM(name), Zone: proto.Zone(zone), Peer: address, Entry: true}, nil
}

func runFakePlatform(ctx context.Context, c *cli.Command) error {
	address, err := parseLoopback(c.String("listen"))
	if err != nil {
		return err
	}
	store := fakes.NewStore()
	for _, text := range c.StringSlice("vm") {
		entry, err := parseVM(text)
		if err != nil {
			return err
		}
		store.SetVM(entry)
	}
	server, err := fakes.Serve(address, fakes.NewPlatform(store).Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	if err := writeFileAtomically(c.String("write-address"), []byte("http://"+server.Address.String())); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "platform on", server.Address)
	<-ctx.Done()
	return nil
}

func runFakeTargets(ctx context.Context, c *cli.Command) error {
	_, data, err := readFileArgument(c)
	if err != nil {
		return err
	}
	file, faults := proto.ReadFile(data)
	if len(faults) > 0 {
		return withExitCode(ExitFailure, newError("read file", proto.KindInvalid, "%v", faults))
	}
	targets, err := fakes.StartTargets(file, c.Uint64("seed"), c.Bool("any-port"))
	if err != nil {
		return err
	}
	defer targets.Close()
	body, err := targets.EncodeFile()
	if err != nil {
		return err
	}
	if err := writeFileAtomically(c.String("write-file"), body); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, len(targets.Targets), "targets are up")
	<-ctx.Done()
	return nil
}

// callTarget sends a request to the fake of a target from a configuration file.
func callTarget(ctx context.Context, c *cli.Command, method, path string, body []byte) ([]byte, error) {
	if c.Args().Len() != 2 {
		return nil, usageError("%s takes a file and a target", c.Name)
	}
	data, err := os.ReadFile(c.Args().Get(0))
	if err != nil {
		return nil, withExitCode(ExitUsage, &Error{Op: "read file", Kind: proto.KindNotFound, Err: err})
	}
	file, faults := proto.ReadFile(data)
	if len(faults) > 0 {
		return nil, withExitCode(ExitFailure, newError("read file", proto.KindInvalid, "%v", faults))
	}
	for _, pool := range file.Pools {
		for _, target := range pool.Targets {
			if target.Name == c.Args().Get(1) {
				return wire.NewTargetClient().SendRequest(ctx, method, target.Address, path, body)
			}
		}
	}
	return nil, usageError("the file has no target %q", c.Args().Get(1))
}

func setTargetFault(ctx context.Context, c *cli.Command) error {
	_, err := callTarget(ctx, c, http.MethodPost, "/fault", []byte(c.String("set")))
	return err
}

func setPlatformFault(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError("outage takes the platform's URL")
	}
	address, err := parseLoopback(strings.TrimPrefix(c.Args().First(), "http://"))
	if err != nil {
		return err
	}
	_, err = wire.NewTargetClient().SendRequest(ctx, http.MethodPost, address, "/fault", []byte(c.String("set")))
	return err
}

func showRuns(ctx context.Context, c *cli.Command) error {
	data, err := callTarget(ctx, c, http.MethodGet, "/runs", nil)
	if err != nil {
		return err
	}
	var runs map[string]int
	if err := json.Unmarshal(data, &runs); err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		fmt.Fprintln(c.Root().Writer, key, runs[key])
	}
	return nil
}

// writeFileAtomically writes a temporary file and renames it, so that a reader never sees partial contents.
func writeFileAtomically(path string, data []byte) error {
	if path == "" {
		return nil
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return &Error{Op: "write file", Kind: proto.KindUnavailable, Err: err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &Error{Op: "write file", Kind: proto.KindUnavailable, Err: err}
	}
	return nil
}
