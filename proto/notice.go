package proto

import (
	"math"
	"time"
)

// TargetNotice holds what a run of a target has announced about itself in its responses.
type TargetNotice struct {
	Target string  `cbor:"1,keyasint"`
	Run    RunName `cbor:"2,keyasint"`
	// Leaving means that the run is about to end.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Limit is the number of requests per second that the target accepts from all daemons together, if HasLimit is set.
	Limit    float64 `cbor:"4,keyasint,omitempty"`
	HasLimit bool    `cbor:"5,keyasint,omitempty"`
	// LimitVersion counts the changes of the limit; the highest version applies.
	LimitVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Valid reports whether the notice has a usable limit or none.
func (n *TargetNotice) Valid() bool {
	return !n.HasLimit || n.Limit >= 0 && !math.IsInf(n.Limit, 0)
}

// TargetNotices forwards target notices to other daemons.
type TargetNotices struct {
	Notices []TargetNotice `cbor:"1,keyasint"`
}

// PermitAsk asks the daemon that places the requests of a pool for permission to send a request to a target with a limit.
type PermitAsk struct {
	Pool string `cbor:"1,keyasint"`
	// Notice is the newest notice of the target that the sender has.
	Notice TargetNotice `cbor:"2,keyasint"`
}

// PermitAnswer tells whether to send the request and, if not, when to ask again.
type PermitAnswer struct {
	Granted    bool          `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}
