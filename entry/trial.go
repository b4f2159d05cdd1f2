package entry

import (
	"context"

	"github.com/urfave/cli/v3"

	"emberlead/trial"
)

func trialCommand() *cli.Command {
	return &cli.Command{
		Name: "trial", Usage: "compare policies under a virtual clock and print a table for each case",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "case", Usage: "`NAME` of a case, may be repeated; all if left out"},
			&cli.StringSliceFlag{Name: "deployment", Value: []string{"venture", "institute"}, Usage: "venture or institute, may be repeated"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, name := range c.StringSlice("deployment") {
				if err := trial.Compare(c.Root().Writer, name, trial.Seeds, c.StringSlice("case")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
