package coord

import (
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/state"
)

// wallTime returns the wall clock time, against which the timestamps in callers' keys are compared.
func wallTime(clock clockwork.Clock) time.Time { return state.WallTime(clock) }
