package spread

import "emberlead/proto"

type errorPackage struct{}

// Package returns the name of the package.
func (errorPackage) Package() string { return "spread" }

// Error is the error of a failed operation of this package.
type Error = proto.OpError[errorPackage]

func newError(op string, kind proto.Kind, format string, args ...any) error {
	return proto.NewOpError[errorPackage](op, kind, format, args...)
}
