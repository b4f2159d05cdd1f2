package sched

import "time"

const (
	// rushFactor is how many times as many requests as the other daemons a daemon must have open, and rushMinOpen how many
	// at least, for its load to count as uneven.
	rushFactor, rushMinOpen = 2, 8
	// rushOpenFraction is the fraction of the requests that a daemon may have open from which it is saturated.
	rushOpenFraction = 0.75
	// The closed share of new connections grows by rushStep and rushGrowth with each observation of a saturated daemon, and
	// shrinks by rushDecay with each other one.
	rushStep, rushGrowth, rushDecay = 0.1, 1.3, 0.05
	// rushMaxShare is the largest closed share, and rushMinInterval how long no connection may be accepted at most: a daemon
	// that is ready takes connections.
	rushMaxShare    = 0.9
	rushMinInterval = 500 * time.Millisecond
)

// RushLoad is the load of a daemon as of an observation.
type RushLoad struct {
	// Open is the number of requests in progress, and MaxOpen the number from which more are refused.
	Open, MaxOpen int64
	// OthersOpen is the mean number of the other daemons; negative if none was heard.
	OthersOpen float64
	// Refused is the number of requests that were refused since the previous observation for limits of this daemon alone.
	Refused int64
}

// Rush decides which new connections a daemon closes before it reads from them, when it gets more of them than its limits of requests
// allow while others have room: what it reads it must serve, and callers whose request was not read try another daemon. Intake decides by
// what its processor and link can carry.
type Rush struct {
	share      float64
	uneven     bool
	maxOpen    int64
	acceptedAt time.Time
}

// Observe records the load. It is called several times a second.
func (r *Rush) Observe(l RushLoad) {
	r.maxOpen = l.MaxOpen
	r.uneven = l.OthersOpen >= 0 && l.Open >= rushMinOpen && float64(l.Open) > rushFactor*l.OthersOpen
	if r.uneven && (l.Refused > 0 || r.full(l.Open)) {
		r.share = min(rushMaxShare, r.share*rushGrowth+rushStep)
		return
	}
	r.share = max(0, r.share-rushDecay)
}

// Share returns the share of new connections that is closed.
func (r *Rush) Share() float64 { return r.share }

// Closes reports whether to close a new connection, by a random number from 0 to 1.
func (r *Rush) Closes(now time.Time, open int64, random float64) bool {
	if (random < r.share || r.uneven && r.full(open)) && now.Sub(r.acceptedAt) < rushMinInterval {
		return true
	}
	r.acceptedAt = now
	return false
}

func (r *Rush) full(open int64) bool { return float64(open) >= rushOpenFraction*float64(r.maxOpen) }
