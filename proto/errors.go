package proto

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies an error so that callers can branch on it.
type Kind string

// Error kinds of this package.
const (
	KindInvalid  Kind = "invalid"
	KindMismatch Kind = "mismatch"
	KindTooLarge Kind = "tooLarge"
	KindNotFound Kind = "notFound"
	// KindConflict means that a condition of a transaction did not hold.
	KindConflict Kind = "conflict"
	// KindUnavailable means that nothing was done.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that a write may or may not have taken effect.
	KindUnknown Kind = "unknown"
	// KindDenied means that the other side rejected the credentials or the epoch.
	KindDenied Kind = "denied"
)

// KindedError is implemented by the error types of all packages, so that callers can branch on kinds across packages.
type KindedError interface{ ErrorKind() Kind }

// KindOf returns the kind of the first error in the chain that has one, or "".
func KindOf(err error) Kind {
	var kinded KindedError
	if errors.As(err, &kinded) {
		return kinded.ErrorKind()
	}
	return ""
}

// Package identifies the package that an OpError belongs to.
type Package interface{ Package() string }

// OpError is the error of a failed operation. Each package declares its own instance as Error; P makes the types distinct.
type OpError[P Package] struct {
	Op   string
	Kind Kind
	Err  error
}

// NewOpError returns an error whose cause is the formatted text.
func NewOpError[P Package](op string, kind Kind, format string, args ...any) error {
	return &OpError[P]{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Error returns the package, operation, kind and cause on one line.
func (e *OpError[P]) Error() string {
	var pkg P
	return fmt.Sprintf("%s: %s: %s: %v", pkg.Package(), e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *OpError[P]) Unwrap() error { return e.Err }

// ErrorKind returns the error kind.
func (e *OpError[P]) ErrorKind() Kind { return e.Kind }

// source identifies this package in its errors.
type source struct{}

// Package returns the name of the package.
func (source) Package() string { return "proto" }

// Error is the error type of this package.
type Error = OpError[source]

func newError(op string, kind Kind, format string, args ...any) error {
	return NewOpError[source](op, kind, format, args...)
}
