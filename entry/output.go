package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const (
	outputJSON  = "json"
	outputTable = "table"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: outputTable, Usage: "`FORMAT` of the output: json or table", Validator: func(s string) error {
		if s != outputJSON && s != outputTable {
			return usageError("--output must be json or table")
		}
		return nil
	}}
}

// printResult writes a value as one line of JSON, or as the table that the given function writes.
func printResult(c *cli.Command, value any, table func(w io.Writer)) error {
	out := c.Root().Writer
	if c.String("output") == outputJSON {
		return json.NewEncoder(out).Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func printRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
