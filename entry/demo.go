package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"emberlead/demo"
	"emberlead/examples"
	"emberlead/proto"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole deployment in this process, with callers and faults",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: "deployment", Value: "venture", Usage: "venture, institute or a configuration `FILE`"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "number of entry daemons"},
			&cli.StringSliceFlag{Name: "fault", Usage: "`NAME[@OFFSET]` of a fault, may be repeated: " + fmt.Sprint(demo.FaultNames)},
			&cli.StringFlag{Name: "log", Value: "off", Usage: "`LEVEL` of the daemons' log"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	o := demo.Options{
		Deployment: c.String("deployment"), Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
		Rate: c.Float("rate"), Entries: c.Int("entries"), Progress: c.Root().Writer,
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(c.String("log")), Output: c.Root().ErrWriter}),
	}
	if o.Duration <= 0 || o.Rate <= 0 || o.Entries < 1 || o.Entries > 64 {
		return usageError("--duration and --rate must be positive, --entries from 1 to 64")
	}
	for _, text := range c.StringSlice("fault") {
		f, err := demo.ParseFault(text, o.Duration)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		o.Faults = append(o.Faults, f)
	}
	file, err := readDeployment(o.Deployment)
	if err != nil {
		return err
	}
	o.File = file
	report, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	report.WriteTable(c.Root().Writer)
	if c.String("output") == outputJSON {
		if err := json.NewEncoder(c.Root().Writer).Encode(report); err != nil {
			return err
		}
	}
	if !report.GuaranteesHold() {
		return withExitCode(ExitFailure, errSilent)
	}
	return nil
}

// readDeployment reads the example with the given name or, if there is none, the file at that path.
func readDeployment(name string) (*proto.File, error) {
	data, err := examples.Files.ReadFile(name + ".json")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, withExitCode(ExitUsage, &Error{Op: "read deployment", Kind: proto.KindNotFound, Err: err})
	}
	file, faults := proto.ReadFile(data)
	if len(faults) == 0 {
		faults = proto.EmptySnapshot().CheckFile(file)
	}
	if len(faults) > 0 {
		return nil, withExitCode(ExitFailure, newError("read deployment", proto.KindInvalid, "%s: %v", name, faults))
	}
	return file, nil
}
