package coord

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// fakeWallClock is a clock whose wall clock time is offset.
type fakeWallClock struct {
	*clockwork.FakeClock
	offset time.Duration
}

func (c fakeWallClock) WallTime() time.Time { return c.Now().Add(c.offset) }

// TestKeysAreDatedByWallClock sets the wall clock of a VM after its daemon started: keys of callers with correct clocks
// must count neither as from the future nor as too old.
func TestKeysAreDatedByWallClock(t *testing.T) {
	fake := clockwork.NewFakeClock()
	for _, set := range []time.Duration{0, time.Hour, -time.Hour} {
		if got, want := wallTime(fakeWallClock{fake, set}), fake.Now().Add(set); !got.Equal(want) {
			t.Errorf("offset %v: wall clock time %v, want %v", set, got, want)
		}
	}
	if got := wallTime(fake); !got.Equal(fake.Now()) {
		t.Errorf("wall clock time of a clock that has none: %v", got)
	}
}
