package serve

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/state"
)

var clockStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newSuspendableClock returns the clock of a VM and a function that suspends the VM. Its steady clock stands still
// during a suspension.
func newSuspendableClock() (*state.Clock, *clockwork.FakeClock, func(time.Duration)) {
	steady := clockwork.NewFakeClockAt(clockStart)
	var suspended atomic.Int64
	clock := state.NewClock(state.WithSources(steady,
		func() (time.Duration, error) {
			return time.Hour + steady.Now().Sub(clockStart) + time.Duration(suspended.Load()), nil
		},
		func() time.Duration { return time.Duration(suspended.Load()) },
	))
	return clock, steady, func(d time.Duration) { suspended.Add(int64(d)) }
}

// TestStateExpiresDuringSuspension suspends a VM for longer than some state is valid that other daemons, or the limits
// that all daemons share, rely on. A daemon that does not notice the suspension would go on using the state. Each state
// is checked to be valid before, so that it is the suspension that ends it.
func TestStateExpiresDuringSuspension(t *testing.T) {
	const window = 10 * time.Second
	timing := coord.ShareTiming{Window: window, Lease: 10 * time.Minute, MaxReadAge: 2 * time.Minute}
	target := proto.RelayTarget{ID: "t", Pool: "p", Zone: "z", Slots: 1}
	scenarios := []struct {
		name    string
		suspend time.Duration
		// setUp prepares the state and returns a function that reports whether it is valid.
		setUp func(clock *state.Clock, steady *clockwork.FakeClock) (isValid func() bool)
	}{
		{"share of common limits, by this daemon's row", timing.Lease, func(clock *state.Clock, steady *clockwork.FakeClock) func() bool {
			c := coord.NewShareTracker("vm", timing)
			c.Start(clock.Now(), true)
			c.RowWritten(clock.Now(), 0)
			steady.Advance(window)
			return func() bool {
				// The rows are read at once when the VM resumes; only its own row is old.
				c.ObserveRows(clock.Now(), clock.Now(), 0, nil)
				return c.Share(clock.Now()).Usable
			}
		}},
		{"share of common limits, by the rows of other daemons", timing.MaxReadAge, func(clock *state.Clock, steady *clockwork.FakeClock) func() bool {
			c := coord.NewShareTracker("vm", timing)
			c.Start(clock.Now(), true)
			c.RowWritten(clock.Now(), 0)
			steady.Advance(window)
			c.ObserveRows(clock.Now(), clock.Now(), 0, nil)
			return func() bool { return c.Share(clock.Now()).Usable }
		}},
		{"age of the copy of a store table", maxStateAge, func(clock *state.Clock, _ *clockwork.FakeClock) func() bool {
			v := &tableFreshness{}
			v.confirm(clock.Now())
			return func() bool {
				age, known := v.age(clock.Now())
				return known && age <= maxStateAge
			}
		}},
		{"age that is sent to other daemons", maxStateAge, func(clock *state.Clock, _ *clockwork.FakeClock) func() bool {
			v := &tableFreshness{}
			v.confirm(clock.Now())
			return func() bool { return v.ownAge(clock.Now()) <= maxStateAge }
		}},
		{"wait for a lapsed entry", 3 * time.Second, func(clock *state.Clock, _ *clockwork.FakeClock) func() bool {
			f := relay.NewFleet(func(string) {})
			f.ApplyChanges(clock.Now(), []relay.FleetChange{{ID: "t", Version: proto.Revision{Version: 1}, Target: target}})
			f.MarkStoreDown(clock.Now())
			f.ApplyChanges(clock.Now(), []relay.FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Removed: true}})
			f.MarkStoreUp(clock.Now())
			return func() bool {
				f.Sweep(clock.Now())
				return f.Size("p") == 1
			}
		}},
		{"earned retry budget", window + time.Second, func(clock *state.Clock, steady *clockwork.FakeClock) func() bool {
			b := relay.NewRetryBudget(clock.Now(), relay.RetryBudgetConfig{Ratio: 0.2, Window: window})
			for range 100 {
				b.RecordRequest(clock.Now())
			}
			steady.Advance(time.Second / 4)
			return func() bool {
				_, ok := b.Spend(clock.Now(), 0)
				return ok
			}
		}},
		{"ends of targets that ran a request", time.Hour + time.Second, func(clock *state.Clock, _ *clockwork.FakeClock) func() bool {
			c := relay.NewCrashTracker("vm", clock, hclog.NewNullLogger(), nil)
			for _, run := range []proto.RunName{"a", "b", "c"} {
				c.RecordEnd(run, clock.Now(), []proto.RequestDigest{1})
			}
			return func() bool {
				c.Sweep()
				_, refused := c.Blocks(1)
				return refused
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock, steady, suspend := newSuspendableClock()
			isValid := s.setUp(clock, steady)
			if !isValid() {
				t.Fatal("the state is not valid before the suspension")
			}
			suspend(s.suspend + time.Millisecond)
			if isValid() {
				t.Error("the state is still valid after the suspension")
			}
		})
	}
}
