package proto

import (
	"cmp"
	"strconv"
)

// Revision is a moment in the history of the platform's store. A store that is restored from a copy begins a new era, and
// gives out again the versions that it gave to changes which the copy lacks; so a version alone does not tell which of two
// changes is newer, nor that two are the same.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the restorations of the store; 0 if the store does not tell.
	Era uint64
	// Version is the store's own count of changes.
	Version uint64
}

// Compare returns -1, 0 or 1 as the revision is before another one, the same or after it.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// After tells whether the revision is newer than another one.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero tells whether the revision is before all others.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the version, after the era and a colon where the store tells of eras.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version, 10)
	if r.Era == 0 {
		return version
	}
	return strconv.FormatUint(r.Era, 10) + ":" + version
}

// MarshalText writes the revision as String does, for logs and metrics.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Latest returns the newer of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
