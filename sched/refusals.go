package sched

import (
	"time"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// refusalTTL is how long a refused request is remembered. Callers come back within a third of their time.
	refusalTTL = 10 * time.Second
	// maxRefusals limits the number of remembered refused requests.
	maxRefusals = 50_000
	// retryFraction is the fraction of a request's remaining slack within which its caller is told to come back.
	retryFraction = 0.7
)

// Refusal is what is remembered of a refused request.
type Refusal struct {
	// First is when the request was first refused, and Counted when it last counted as demand.
	First, Counted time.Time
}

// Refusals remembers refused requests, so that those that return are recognized.
type Refusals struct {
	byDigest map[proto.RequestDigest]Refusal
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals { return &Refusals{byDigest: map[proto.RequestDigest]Refusal{}} }

// Take returns and forgets the refusal of a request. It is credited to one retry only, since other callers may send the
// same request.
func (r *Refusals) Take(digest proto.RequestDigest) (refusal Refusal, known bool) {
	refusal, known = r.byDigest[digest]
	delete(r.byDigest, digest)
	return refusal, known
}

// Record remembers a refusal, unless the request is remembered already.
func (r *Refusals) Record(digest proto.RequestDigest, refusal Refusal) {
	if _, known := r.byDigest[digest]; known || len(r.byDigest) >= maxRefusals {
		return
	}
	r.byDigest[digest] = refusal
}

// Sweep forgets requests that were refused too long ago.
func (r *Refusals) Sweep(now time.Time) {
	for digest, refusal := range r.byDigest {
		if now.Sub(refusal.Counted) > refusalTTL {
			delete(r.byDigest, digest)
		}
	}
}

// UnitInterval maps a hash to a number from 0 to 1.
func UnitInterval(hash uint64) float64 { return float64(hash%10_000) / 10_000 }

// RetryAfter returns when the caller of a refused request should come back, shortest at the earliest. Callers refused
// together are spread over the time in which they can still meet their goals.
func RetryAfter(seed uint64, slack, shortest time.Duration) time.Duration {
	spread := max(0, time.Duration(retryFraction*float64(slack))-shortest)
	return shortest + time.Duration(UnitInterval(state.Mix(seed))*float64(spread))
}
