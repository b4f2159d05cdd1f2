package proto

import (
	"fmt"
	"strconv"
	"time"
)

// RequestDigest identifies a request by caller, method, host, path and body. It is the same on every daemon and under
// every ID that the request arrives with.
type RequestDigest uint64

// String returns the digest in the form used in logs.
func (d RequestDigest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// RunName identifies one run of a target. A target may restart under the same ID.
type RunName string

// RunName returns the name of this run of the target.
func (t *RelayTarget) RunName() RunName {
	if t.StartedAt.IsZero() {
		return RunName(t.ID)
	}
	return RunName(t.ID + "@" + strconv.FormatInt(t.StartedAt.UnixMilli(), 10))
}

// TargetEnd reports that a run of a target ended, and which requests it was processing.
type TargetEnd struct {
	Run RunName `cbor:"1,keyasint"`
	// Reporter is the daemon that observed the end, and Age the time between the observation and the message.
	Reporter VM            `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"`
	// Requests lists the requests that the target was processing.
	Requests []RequestDigest `cbor:"4,keyasint"`
	// Answered means that other targets have answered the requests since, so this end does not count against them.
	Answered bool `cbor:"5,keyasint,omitempty"`
}

// TargetEnds reports ends of targets to other daemons.
type TargetEnds struct {
	Ends []TargetEnd `cbor:"1,keyasint"`
	// AsOf is the sender's wall clock time to which the ages refer, if the message is stored for others to read; zero
	// if it is sent directly.
	AsOf time.Time `cbor:"2,keyasint,omitzero"`
}
