package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CopyAge tells how long ago the configuration in force was known to be the newest one; false if it never was.
type CopyAge func(now time.Time) (age time.Duration, known bool)

// routingAge is what a CopyAge told for an unknown route or key.
type routingAge struct {
	age   time.Duration
	known bool
}

func (a *routingAge) String() string {
	if !a.known {
		return "unknown"
	}
	return formatDuration(a.age)
}

// Bounds of the histogram of ages, in microseconds.
const (
	minAgeMicros = 1
	maxAgeMicros = int64(10 * time.Minute / time.Microsecond)
	ageDigits    = 2
)

// UnknownStats tells of the requests for a route or with a key that the configuration in force does not have.
type UnknownStats struct {
	// Rejected counts those that were answered for good, and Deferred those that were refused with a retry time.
	Rejected int64 `json:"rejected"`
	Deferred int64 `json:"deferred"`
	// AgeMillis tells how long before the answer the configuration was known to be the newest one.
	AgeMillis map[string]float64 `json:"ageMillis"`
}

// unknownCounts counts requests for unknown routes and with unknown keys.
type unknownCounts struct {
	mu                 sync.Mutex
	rejected, deferred int64
	ages               *hdrhistogram.Histogram
}

func (c *unknownCounts) record(fail *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fail.retryAfter > 0 {
		c.deferred++
	} else {
		c.rejected++
	}
	if !fail.routingAge.known {
		return
	}
	if c.ages == nil {
		c.ages = hdrhistogram.New(minAgeMicros, maxAgeMicros, ageDigits)
	}
	// The value is within the bounds, so that recording it cannot fail.
	_ = c.ages.RecordValue(min(maxAgeMicros, max(minAgeMicros, fail.routingAge.age.Microseconds())))
}

func (c *unknownCounts) stats() UnknownStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return UnknownStats{Rejected: c.rejected, Deferred: c.deferred, AgeMillis: quantilesMillis(c.ages)}
}

// unknownFailure returns the failure of a request whose route or key is not in the configuration. It is final only if that configuration is
// known to be the newest: a newer one may have what the request needs, and a caller who comes back in a moment, or to another daemon, is
// served.
func (s *Server) unknownFailure(status int, reason string) *failure {
	now := s.clock.Now()
	age, known := s.routingAge(now)
	var fail *failure
	switch {
	case s.tables.Outdated(now):
		fail = &failure{status: http.StatusServiceUnavailable, retryAfter: outdatedRetryAfter, reason: reason + ", but a newer configuration is on its way", kind: refusedOutdated}
	case s.maxRoutingAge > 0 && (!known || age > s.maxRoutingAge):
		fail = &failure{status: http.StatusServiceUnavailable, retryAfter: unconfirmedRetryAfter, reason: reason + ", but there may be a newer configuration", kind: refusedUnconfirmed}
	default:
		fail = &failure{status: status, reason: reason, kind: refusedUnknown}
	}
	fail.routingAge = &routingAge{age, known}
	return fail
}
