package proto

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classes an error so that callers of a package can branch on it.
type Kind string

// Kinds of the errors of this package.
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
	// KindDenied means that the other side refused the credentials or the epoch.
	KindDenied Kind = "denied"
)

// Classed is what every package's error type implements, so that callers can branch on kinds across packages.
type Classed interface{ ErrorKind() Kind }

// KindOf returns the kind of the first error in the chain that has one, or "".
func KindOf(err error) Kind {
	var classed Classed
	if errors.As(err, &classed) {
		return classed.ErrorKind()
	}
	return ""
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("proto: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fault(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// ErrorKind returns the kind.
func (e *Error) ErrorKind() Kind { return e.Kind }
