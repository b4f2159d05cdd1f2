package relay

import (
	"fmt"

	"github.com/pkg/errors"

	"emberlead/proto"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind proto.Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind.
func (e *Error) ErrorKind() proto.Kind { return e.Kind }

func fault(op string, kind proto.Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}
