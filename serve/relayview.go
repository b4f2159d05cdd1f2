package serve

import (
	"sync"
	"time"
)

// view says until when a daemon's copy of a table of the store is known to be right.
type view struct {
	mu sync.Mutex
	// confirmed is the latest moment as of which the store told this daemon what is in the table; zero if it never did.
	confirmed time.Time
}

// confirm notes that the store told what was in the table at a moment.
func (v *view) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// age returns how long ago the copy was last known to be right, and false if it never was.
func (v *view) age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmed), !v.confirmed.IsZero()
}
