// Command emberlead serves multi-stage model pipelines; see README.md.
package main

import (
	"os"

	"emberlead/entry"
)

func main() {
	os.Exit(entry.Main(os.Args, os.Stdout, os.Stderr))
}
