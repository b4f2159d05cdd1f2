package proto

import (
	"errors"
	"testing"
)

type otherPackage struct{}

func (otherPackage) Package() string { return "other" }

// Instances of the generic error type for different packages must be distinct types for errors.As.
func TestErrorTypesOfPackagesAreDistinct(t *testing.T) {
	cause := errors.New("it broke")
	var err error = &OpError[otherPackage]{Op: "read", Kind: KindUnavailable, Err: cause}
	if got, want := err.Error(), "other: read: unavailable: it broke"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	var own *Error
	if errors.As(err, &own) {
		t.Error("errors.As matched an error of another package")
	}
	if !errors.Is(err, cause) || KindOf(err) != KindUnavailable {
		t.Errorf("the cause is not in the chain, or kind %q is wrong", KindOf(err))
	}
}
