package state

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// minDrift is how far the wall clock must have moved against the monotonic clock before the clock checks whether the VM
// was suspended. The check is a system call, which this avoids on every other reading of the clock. A shorter
// suspension makes leases and windows wrong by less than this.
const minDrift = 10 * time.Millisecond

// Clock is the clock of a daemon. Its time continues while the VM is suspended, when the monotonic clock that Go uses
// to measure durations stops, and it is unaffected by changes of the wall clock. So leases, ages and windows that other
// daemons rely on are as old here as they are for those daemons.
//
// Its timers run on the monotonic clock. Timers that came due during a suspension fire once the suspension is noticed,
// which happens the next time the clock is read.
type Clock struct {
	clockwork.Clock
	// uptime returns the time since the VM booted, including suspensions.
	uptime func() (time.Duration, error)
	// drift returns how far the wall clock has gained on the monotonic clock since a fixed moment.
	drift func() time.Duration

	// wallStart is the wall clock time at the clock's start, without a monotonic reading, and monoStart is the monotonic reading.
	wallStart, monoStart time.Time
	uptimeAtStart        time.Duration
	driftAtStart         time.Duration

	mu        sync.Mutex
	lastDrift time.Duration
	suspended time.Duration
	timers    map[*clockTimer]bool
}

// ClockOption configures a Clock.
type ClockOption func(*Clock)

// WithSources replaces the VM's monotonic clock, uptime and drift; tests use it.
func WithSources(monotonic clockwork.Clock, uptime func() (time.Duration, error), drift func() time.Duration) ClockOption {
	return func(c *Clock) { c.Clock, c.uptime, c.drift = monotonic, uptime, drift }
}

// NewClock returns the clock of this process.
func NewClock(options ...ClockOption) *Clock {
	monoStart := time.Now()
	c := &Clock{
		Clock: clockwork.NewRealClock(), uptime: readUptime, timers: map[*clockTimer]bool{},
		drift: func() time.Duration {
			now := time.Now()
			return now.Round(0).Sub(monoStart.Round(0)) - now.Sub(monoStart)
		},
	}
	for _, option := range options {
		option(c)
	}
	c.monoStart = c.Clock.Now()
	c.wallStart = c.monoStart.Round(0)
	c.driftAtStart = c.drift()
	c.lastDrift = c.driftAtStart
	// Without an uptime, the clock follows the monotonic clock.
	if uptime, err := c.uptime(); err == nil {
		c.uptimeAtStart = uptime
	}
	return c
}

// readUptime reads the time since the VM booted, including suspensions.
func readUptime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time, which continues while the VM is suspended.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	resumed := c.checkSuspension()
	now := c.now()
	c.mu.Unlock()
	if resumed {
		c.fireDue()
	}
	return now
}

// now returns the time according to the suspensions known so far; c.mu must be held.
func (c *Clock) now() time.Time {
	return c.wallStart.Add(c.Clock.Now().Sub(c.monoStart) + c.suspended)
}

// checkSuspension determines whether the VM was suspended since the last check, and reports whether it was; c.mu must be held.
func (c *Clock) checkSuspension() bool {
	drift := c.drift()
	if (drift - c.lastDrift).Abs() < minDrift {
		return false
	}
	c.lastDrift = drift
	uptime, err := c.uptime()
	if err != nil {
		return false
	}
	// The monotonic clock is read last, so that a delay between the two readings does not count as a suspension.
	suspended := uptime - c.uptimeAtStart - c.Clock.Now().Sub(c.monoStart)
	if suspended-c.suspended < minDrift/2 {
		return false
	}
	c.suspended = suspended
	return true
}

// WallTime returns the wall clock time, by which others timestamp what they send. It follows changes of the wall clock
// and does not measure how much time has passed.
func (c *Clock) WallTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallStart.Add(c.Clock.Now().Sub(c.monoStart) + c.drift() - c.driftAtStart)
}

// WallTime returns the wall clock time of a clock that also tells it, such as a Clock, and the time of any other clock.
// Only what other processes timestamp by their wall clocks is compared with it.
func WallTime(clock clockwork.Clock) time.Time {
	if wall, ok := clock.(interface{ WallTime() time.Time }); ok {
		return wall.WallTime()
	}
	return clock.Now()
}

// Suspended returns how long the VM was suspended since the clock's start, as far as that was noticed.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// Since returns the time elapsed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// clockTimer is a timer that fires at a time of the clock, even if the VM is suspended in between.
type clockTimer struct {
	clock *Clock
	due   time.Time
	fire  func()
	// channel is nil for a timer that calls a function.
	channel chan time.Time
	inner   clockwork.Timer
}

// AfterFunc calls a function after a duration; the function may run in a goroutine that must not block.
func (c *Clock) AfterFunc(d time.Duration, fn func()) clockwork.Timer {
	return c.startTimer(d, &clockTimer{clock: c, fire: fn})
}

// NewTimer returns a timer that sends the time on its channel after a duration.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &clockTimer{clock: c, channel: make(chan time.Time, 1)}
	t.fire = func() {
		select {
		case t.channel <- c.Now():
		default:
		}
	}
	return c.startTimer(d, t)
}

// After returns a channel that receives the time after a duration.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep blocks for a duration.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

func (c *Clock) startTimer(d time.Duration, t *clockTimer) clockwork.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.due = c.now().Add(d)
	c.timers[t] = true
	t.inner = c.Clock.AfterFunc(d, t.expire)
	return t
}

// expire fires the timer if it is due; it may just have been stopped or reset.
func (t *clockTimer) expire() {
	c := t.clock
	c.mu.Lock()
	left := t.due.Sub(c.now())
	pending := c.timers[t]
	switch {
	case !pending:
	case left > 0:
		t.inner.Reset(left)
	default:
		delete(c.timers, t)
	}
	c.mu.Unlock()
	if pending && left <= 0 {
		t.fire()
	}
}

// fireDue fires the timers that came due while the VM was suspended.
func (c *Clock) fireDue() {
	c.mu.Lock()
	now := c.now()
	for t := range c.timers {
		t.inner.Reset(max(0, t.due.Sub(now)))
	}
	c.mu.Unlock()
}

// Chan returns the timer's channel, or nil for a timer that calls a function.
func (t *clockTimer) Chan() <-chan time.Time { return t.channel }

// Stop prevents the timer from firing and reports whether it was still pending.
func (t *clockTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	t.inner.Stop()
	return pending
}

// Reset restarts the timer with a new duration and reports whether it was still pending.
func (t *clockTimer) Reset(d time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := t.clock.timers[t]
	t.clock.timers[t] = true
	t.due = t.clock.now().Add(d)
	t.inner.Reset(d)
	return pending
}
