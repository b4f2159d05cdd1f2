package coord

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// WallClock is a clock that also tells the wall clock time, which can be set independently of the clock's own time.
type WallClock interface {
	clockwork.Clock
	// WallTime returns the wall clock time, by which callers timestamp what they send.
	WallTime() time.Time
}

// wallTime returns the wall clock time, against which the timestamps in callers' keys are compared.
func wallTime(clock clockwork.Clock) time.Time {
	if dated, ok := clock.(WallClock); ok {
		return dated.WallTime()
	}
	return clock.Now()
}
