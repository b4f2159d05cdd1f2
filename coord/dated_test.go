package coord

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// datedClock is a clock beside a time of day that was set.
type datedClock struct {
	*clockwork.FakeClock
	set time.Duration
}

func (c datedClock) TimeOfDay() time.Time { return c.Now().Add(c.set) }

// TestKeysAreDatedByTheTimeOfDay has the time of day of a VM be set after its daemon started: keys of callers whose clocks are
// right are neither from the future nor too old.
func TestKeysAreDatedByTheTimeOfDay(t *testing.T) {
	fake := clockwork.NewFakeClock()
	for _, set := range []time.Duration{0, time.Hour, -time.Hour} {
		if got, want := timeOfDay(datedClock{fake, set}), fake.Now().Add(set); !got.Equal(want) {
			t.Errorf("set by %v: dated %v, want %v", set, got, want)
		}
	}
	if got := timeOfDay(fake); !got.Equal(fake.Now()) {
		t.Errorf("a clock without a time of day dates %v", got)
	}
}
