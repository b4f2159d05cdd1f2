package proto

import (
	"cmp"
	"strconv"
)

// Revision is a point in the history of the platform's store. A store that is restored from a copy begins a new era and
// reuses the versions of the changes that the copy lacks. So a version alone shows neither which of two changes is
// newer nor whether two changes are the same.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the restores of the store; 0 if the store does not report eras.
	Era uint64
	// Version is the store's own change counter.
	Version uint64
}

// Compare returns -1, 0 or 1 if the revision is older than, equal to or newer than the other one.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// After reports whether the revision is newer than the other one.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether the revision is older than all others.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the version, preceded by the era and a colon if the store reports eras.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version, 10)
	if r.Era == 0 {
		return version
	}
	return strconv.FormatUint(r.Era, 10) + ":" + version
}

// MarshalText returns the same text as String, for logs and metrics.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Latest returns the newer of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
