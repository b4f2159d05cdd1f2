// Package proto defines the messages, identifiers, file formats and error types that the other packages share.
package proto
