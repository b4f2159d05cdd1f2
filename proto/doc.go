// Package proto holds the typed messages, identifiers, file formats and error outcomes that every other package shares.
package proto
