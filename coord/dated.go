package coord

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// DatedClock is a clock that also tells the time of day, which its own time need not follow when that is set.
type DatedClock interface {
	clockwork.Clock
	// TimeOfDay returns the time by which callers date what they send.
	TimeOfDay() time.Time
}

// timeOfDay is the time that the dates of callers' keys are set against.
func timeOfDay(clock clockwork.Clock) time.Time {
	if dated, ok := clock.(DatedClock); ok {
		return dated.TimeOfDay()
	}
	return clock.Now()
}
