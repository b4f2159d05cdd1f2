package relay

import (
	"time"

	"emberlead/state"
)

// A daemon that has started gets its configuration within some ten milliseconds, unless the store is down and no other daemon has one
// either. The length of the outage is unknown, but most callers retry only once, and a retry into the same outage fails the request.
const (
	// outageRetryFraction is the fraction of the caller's timeout after which the request is to be retried: as late as possible while
	// leaving time for the request to be served. The first try took next to no time; the stages and the answer take the other parts.
	outageRetryFraction = 1.0 / 3
	// outageSpread is the fraction of that time over which simultaneous callers are spread, so that the load of an
	// outage does not return all at once.
	outageSpread = 0.2
	// outageDefaultRetry is the retry time for callers that state no timeout.
	outageDefaultRetry = 2 * time.Second
	// minOutageRetry keeps callers with a short timeout from retrying before anything can have changed.
	minOutageRetry = 200 * time.Millisecond
)

// outageRetryAfter returns when the caller of a request is to retry if the daemon cannot serve anybody yet.
func outageRetryAfter(r *Request) time.Duration {
	if r.CallerTimeout == 0 {
		return outageDefaultRetry
	}
	spread := 1 - outageSpread*float64(state.Hash(r.ID)%1000)/1000
	return max(minOutageRetry, time.Duration(outageRetryFraction*spread*float64(r.CallerTimeout)))
}
