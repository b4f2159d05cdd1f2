package relay

import "emberlead/proto"

// source provides the package name for the errors of this package.
type source struct{}

// Package returns the name of this package.
func (source) Package() string { return "relay" }

// Error is the error type of this package.
type Error = proto.OpError[source]

func newError(op string, kind proto.Kind, format string, args ...any) error {
	return proto.NewOpError[source](op, kind, format, args...)
}
