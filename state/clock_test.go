package state

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

var clockStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeVM is a VM that can be suspended and whose wall clock can be changed.
type fakeVM struct {
	monotonic  *clockwork.FakeClock
	suspended  atomic.Int64
	wallOffset atomic.Int64
	reads      atomic.Int64
}

func newFakeVM() (*fakeVM, *Clock) {
	vm := &fakeVM{monotonic: clockwork.NewFakeClockAt(clockStart)}
	return vm, NewClock(WithSources(vm.monotonic,
		func() (time.Duration, error) {
			vm.reads.Add(1)
			return time.Hour + vm.monotonic.Now().Sub(clockStart) + time.Duration(vm.suspended.Load()), nil
		},
		func() time.Duration { return time.Duration(vm.suspended.Load() + vm.wallOffset.Load()) },
	))
}

func (vm *fakeVM) suspend(d time.Duration) { vm.suspended.Add(int64(d)) }

func (vm *fakeVM) setWallClock(d time.Duration) { vm.wallOffset.Add(int64(d)) }

func TestTimeContinuesWhileSuspended(t *testing.T) {
	scenarios := []struct {
		name   string
		happen func(vm *fakeVM)
		passed time.Duration
	}{
		{"nothing", func(*fakeVM) {}, 0},
		{"time passes", func(vm *fakeVM) { vm.monotonic.Advance(time.Second) }, time.Second},
		{"the VM is suspended", func(vm *fakeVM) { vm.suspend(7 * time.Second) }, 7 * time.Second},
		{"time passes before and after a suspension", func(vm *fakeVM) {
			vm.monotonic.Advance(time.Second)
			vm.suspend(7 * time.Second)
			vm.monotonic.Advance(time.Second)
		}, 9 * time.Second},
		{"the wall clock is set forward", func(vm *fakeVM) { vm.setWallClock(time.Hour) }, 0},
		{"the wall clock is set back", func(vm *fakeVM) { vm.setWallClock(-time.Hour) }, 0},
		{"the VM is suspended and the wall clock is set back further", func(vm *fakeVM) {
			vm.suspend(7 * time.Second)
			vm.setWallClock(-time.Minute)
		}, 7 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			vm, clock := newFakeVM()
			before := clock.Now()
			for n := range 3 {
				s.happen(vm)
				if passed := clock.Since(before); passed != time.Duration(n+1)*s.passed {
					t.Errorf("%v passed, want %v", passed, time.Duration(n+1)*s.passed)
				}
			}
		})
	}
}

// TestWallTimeFollowsWallClock changes the wall clock and suspends the VM.
func TestWallTimeFollowsWallClock(t *testing.T) {
	vm, clock := newFakeVM()
	vm.monotonic.Advance(time.Second)
	vm.suspend(time.Minute)
	vm.setWallClock(-time.Hour)
	if got, want := clock.WallTime(), clockStart.Add(time.Second+time.Minute-time.Hour); !got.Equal(want) {
		t.Errorf("the wall clock time is %v, want %v", got, want)
	}
	if got, want := clock.Now(), clockStart.Add(time.Second+time.Minute); !got.Equal(want) {
		t.Errorf("the time is %v, want %v", got, want)
	}
}

func TestUptimeIsReadOnlyAfterDrift(t *testing.T) {
	vm, clock := newFakeVM()
	atStart := vm.reads.Load()
	for range 1000 {
		vm.monotonic.Advance(time.Millisecond)
		clock.Now()
	}
	if n := vm.reads.Load() - atStart; n != 0 {
		t.Errorf("%d reads of the uptime", n)
	}
	vm.suspend(time.Second)
	clock.Now()
	clock.Now()
	if n := vm.reads.Load() - atStart; n != 1 {
		t.Errorf("%d reads of the uptime after a suspension, want one", n)
	}
}

func TestTimersFireAfterSuspension(t *testing.T) {
	vm, clock := newFakeVM()
	fired := make(chan string, 10)
	note := func(name string) func() { return func() { fired <- name } }
	clock.AfterFunc(5*time.Second, note("due"))
	clock.AfterFunc(time.Minute, note("later"))
	clock.AfterFunc(5*time.Second, note("stopped")).Stop()
	again := clock.AfterFunc(5*time.Second, note("set later"))
	again.Reset(time.Minute)
	channel := clock.NewTimer(5 * time.Second)
	vm.suspend(10 * time.Second)
	clock.Now()
	if name := <-fired; name != "due" {
		t.Errorf("%s fired first", name)
	}
	<-channel.Chan()
	if channel.Stop() {
		t.Error("a timer that has fired counts as set")
	}
	vm.monotonic.Advance(40 * time.Second)
	select {
	case name := <-fired:
		t.Errorf("%s fired after 50 s", name)
	case <-time.After(20 * time.Millisecond):
	}
	vm.monotonic.Advance(10 * time.Second)
	names := map[string]bool{<-fired: true, <-fired: true}
	if !names["later"] || !names["set later"] {
		t.Errorf("fired: %v", names)
	}
}

// TestRealClock only checks that the clock's sources work on this system.
func TestRealClock(t *testing.T) {
	clock := NewClock()
	if clock.uptimeAtStart == 0 {
		t.Error("the kernel does not report its uptime")
	}
	before := clock.Now()
	clock.Sleep(time.Millisecond)
	if passed := clock.Since(before); passed < time.Millisecond || clock.Suspended() != 0 {
		t.Errorf("%v passed, suspended for %v", passed, clock.Suspended())
	}
	if d := time.Until(clock.Now()); d.Abs() > time.Minute {
		t.Errorf("the time is off by %v", d)
	}
}
