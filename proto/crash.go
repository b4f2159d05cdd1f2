package proto

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// RequestDigest identifies a request by caller, method, host, path and body, or a part of prompts by its ID. It is the
// same on every daemon and under every ID that the request arrives with.
type RequestDigest uint64

// partBit is set in the digests of parts of prompts, and only in these.
const partBit RequestDigest = 1 << 63

// NewRequestDigest returns the digest of a request with a hash.
func NewRequestDigest(hash uint64) RequestDigest { return RequestDigest(hash) &^ partBit }

// NewPartDigest returns the digest of a part of prompts with a hash.
func NewPartDigest(hash uint64) RequestDigest { return RequestDigest(hash) | partBit }

// IsPart reports whether the digest is that of a part of prompts.
func (d RequestDigest) IsPart() bool { return d&partBit != 0 }

// String returns the digest in the form used in logs.
func (d RequestDigest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// RunName identifies one run of a target. A target may restart under the same ID.
type RunName string

// probePrefix begins the names under which probes of a part of prompts are counted in place of runs. No ID of a target
// begins with a space.
const probePrefix = " probe "

// ProbeName returns the name under which the nth probe of a part of prompts is counted.
func ProbeName(n int) RunName { return RunName(probePrefix + strconv.Itoa(n)) }

// IsProbe reports whether the name is that of a probe.
func (n RunName) IsProbe() bool { return strings.HasPrefix(string(n), probePrefix) }

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
