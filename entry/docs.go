package entry

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"emberlead/serve"
)

func docsCommand() *cli.Command {
	return &cli.Command{
		Name: "docs", Usage: "write the generated pages and schemas", Hidden: true,
		Flags: []cli.Flag{&cli.StringFlag{Name: "dir", Value: "docs", Usage: "`DIRECTORY` to write to"}},
		Action: func(_ context.Context, c *cli.Command) error {
			pages, err := serve.GenerateDocs()
			if err != nil {
				return err
			}
			for name, data := range pages {
				if err := os.WriteFile(filepath.Join(c.String("dir"), name), data, 0o644); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
