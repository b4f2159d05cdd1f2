package proto

import (
	"math"
	"time"
)

// TargetNotice is what a run of a target has said of itself in its answers.
type TargetNotice struct {
	Target string  `cbor:"1,keyasint"`
	Run    RunName `cbor:"2,keyasint"`
	// Leaving says that the run is about to end.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Limit is how many requests a second the target takes from all daemons together, if it is Limited.
	Limit    float64 `cbor:"4,keyasint,omitempty"`
	HasLimit bool    `cbor:"5,keyasint,omitempty"`
	// Change counts the changes of the limit: the newest holds.
	LimitVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Valid tells whether the notice names a limit that can be kept, or none.
func (n *TargetNotice) Valid() bool {
	return !n.HasLimit || n.Limit >= 0 && !math.IsInf(n.Limit, 0)
}

// TargetNotices tells other daemons what targets have said of themselves.
type TargetNotices struct {
	Notices []TargetNotice `cbor:"1,keyasint"`
}

// PermitAsk asks the daemon that places the requests of a pool whether to send one to a target that names a limit.
type PermitAsk struct {
	Pool string `cbor:"1,keyasint"`
	// Notice is what the asker knows of the target.
	Notice TargetNotice `cbor:"2,keyasint"`
}

// PermitAnswer says whether to send a request, and if not, when to ask again.
type PermitAnswer struct {
	Granted    bool          `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}
