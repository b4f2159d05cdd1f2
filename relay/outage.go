package relay

import (
	"time"

	"emberlead/state"
)

// A daemon that has started knows its configuration within some ten milliseconds, or the store is out and no other daemon
// has it either. How long that lasts nobody knows, but most callers come back only once, and one who returns into the
// same outage has lost its request.
const (
	// outagePart is the part of its caller's time after which a request is to be sent again: the last moment that leaves
	// it time to be served, since the first try took next to none, its stages and its answer the other parts.
	outageRetryFraction = 1.0 / 3
	// outageSpread is the part of that time over which callers of the same moment come back, so that the load of an
	// outage does not return in one instant.
	outageSpread = 0.2
	// outageUnknown is when a caller is to come back that does not say how long it waits.
	outageDefaultRetry = 2 * time.Second
	// outageLeast keeps callers with little time from coming back before anything can have changed.
	minOutageRetry = 200 * time.Millisecond
)

// outageWait is when the caller of a request is to come back to a daemon that cannot serve anybody yet.
func outageRetryAfter(r *Request) time.Duration {
	if r.CallerTimeout == 0 {
		return outageDefaultRetry
	}
	spread := 1 - outageSpread*float64(state.Hash(r.ID)%1000)/1000
	return max(minOutageRetry, time.Duration(outageRetryFraction*spread*float64(r.CallerTimeout)))
}
