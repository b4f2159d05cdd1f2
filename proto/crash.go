package proto

import (
	"fmt"
	"strconv"
	"time"
)

// RequestDigest names a request by caller, method, host, path and body, so that it is the same under each id that the
// request comes with, at each daemon.
type RequestDigest uint64

// String returns the digest as the log shows it.
func (d RequestDigest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// RunName names one run of a target, which may start again under its id.
type RunName string

// RunName returns the name of the target's run.
func (t *RelayTarget) RunName() RunName {
	if t.StartedAt.IsZero() {
		return RunName(t.ID)
	}
	return RunName(t.ID + "@" + strconv.FormatInt(t.StartedAt.UnixMilli(), 10))
}

// TargetEnd tells that a run of a target ended, and which requests were at work there.
type TargetEnd struct {
	Run RunName `cbor:"1,keyasint"`
	// By is the daemon that saw it, and Age how long before the message it did.
	Reporter VM            `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
	// Requests were at work there.
	Requests []RequestDigest `cbor:"4,keyasint"`
	// Answered says that other targets have answered the requests since, so that the end does not count against them.
	Answered bool `cbor:"5,keyasint,omitempty"`
}

// TargetEnds tells other daemons of ends of targets.
type TargetEnds struct {
	Ends []TargetEnd `cbor:"1,keyasint"`
	// AsOf is the sender's time of day at which the ages hold, if they are kept for others to read; zero if they are told at
	// once.
	AsOf time.Time `cbor:"2,keyasint,omitzero"`
}
