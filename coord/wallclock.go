package coord

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// WallClock is a clock that also tells the time of day, which its own time need not follow when that is set.
type WallClock interface {
	clockwork.Clock
	// WallTime returns the time by which callers date what they send.
	WallTime() time.Time
}

// wallTime is the time that the dates of callers' keys are set against.
func wallTime(clock clockwork.Clock) time.Time {
	if dated, ok := clock.(WallClock); ok {
		return dated.WallTime()
	}
	return clock.Now()
}
