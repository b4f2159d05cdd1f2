// Package examples embeds the configuration files of the two deployments that the project is built for.
package examples

import "embed"

// Files contains the example configuration files, by name.
//
//go:embed *.json
var Files embed.FS
