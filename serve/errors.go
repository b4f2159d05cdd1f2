package serve

import "emberlead/proto"

// source names this package in its errors.
type source struct{}

// Package returns the name of the package.
func (source) Package() string { return "serve" }

// Error is the error type of this package.
type Error = proto.OpError[source]

func newError(op string, kind proto.Kind, format string, args ...any) error {
	return proto.NewOpError[source](op, kind, format, args...)
}
