package coord

import "emberlead/proto"

// source names this package in its errors.
type source struct{}

// Package returns the package name used in errors.
func (source) Package() string { return "coord" }

// Error is the error type of this package.
type Error = proto.OpError[source]

func newError(op string, kind proto.Kind, format string, args ...any) error {
	return proto.NewOpError[source](op, kind, format, args...)
}
