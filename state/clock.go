package state

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// minDrift is by how much the time of day must have moved against the steady clock before the clock looks whether the VM
// was suspended. The look is a call to the kernel, which each reading of the clock is spared; a suspension that is shorter
// leaves leases and windows off by less than this.
const minDrift = 10 * time.Millisecond

// Clock is the clock of a daemon. Its time goes on while the VM is suspended, when the steady clock that Go measures times by stands
// still, and no change of the time of day moves it. So leases, ages and windows, on which other daemons count, are as old as they are
// for these.
//
// Its timers are of the steady clock; those whose time has come during a suspension fire once it is noticed, which is when the
// time is next asked for.
type Clock struct {
	clockwork.Clock
	// uptime is the time since the start of the VM, suspensions included.
	uptime func() (time.Duration, error)
	// drift is how much the time of day has gained on the steady clock, from a moment on that stays the same.
	drift func() time.Duration

	// wallStart is the time of day at the clock's start, without a reading of the steady clock, and began that reading.
	wallStart, monoStart time.Time
	uptimeAtStart        time.Duration
	driftAtStart         time.Duration

	mu        sync.Mutex
	lastDrift time.Duration
	suspended time.Duration
	timers    map[*clockTimer]bool
}

// ClockOption changes a Clock at construction.
type ClockOption func(*Clock)

// WithSources has the clock measure by another steady clock, uptime and drift than those of the VM; tests use it.
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
	// Without an uptime the clock is the steady one.
	if uptime, err := c.uptime(); err == nil {
		c.uptimeAtStart = uptime
	}
	return c
}

// readUptime reads the time since the VM's start, suspensions included.
func readUptime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time, which goes on while the VM is suspended.
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

// now is the time as far as suspensions are known; the lock is held.
func (c *Clock) now() time.Time {
	return c.wallStart.Add(c.Clock.Now().Sub(c.monoStart) + c.suspended)
}

// checkSuspension finds out whether the VM was suspended since it last looked, and tells whether it was; the lock is held.
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
	// The steady clock is read last, so that a delay between the two readings does not count as a suspension.
	suspended := uptime - c.uptimeAtStart - c.Clock.Now().Sub(c.monoStart)
	if suspended-c.suspended < minDrift/2 {
		return false
	}
	c.suspended = suspended
	return true
}

// WallTime returns the time of day, by which others date what they send. It follows changes of that, and is no measure of how
// much time has passed.
func (c *Clock) WallTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallStart.Add(c.Clock.Now().Sub(c.monoStart) + c.drift() - c.driftAtStart)
}

// Suspended returns for how long the VM was suspended since the clock's start, as far as that was noticed.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// Since returns the time that has passed since a moment.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left until a moment.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// clockTimer is a timer that fires at a moment of the clock, whatever the VM does meanwhile.
type clockTimer struct {
	clock *Clock
	due   time.Time
	fire  func()
	// channel is nil for a timer that calls a function.
	channel chan time.Time
	inner   clockwork.Timer
}

// AfterFunc calls a function after a time, which may be in a goroutine that must not wait.
func (c *Clock) AfterFunc(d time.Duration, fn func()) clockwork.Timer {
	return c.startTimer(d, &clockTimer{clock: c, fire: fn})
}

// NewTimer returns a timer that sends the time after a time.
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

// After returns a channel that gets the time after a time.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep waits for a time.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

func (c *Clock) startTimer(d time.Duration, t *clockTimer) clockwork.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.due = c.now().Add(d)
	c.timers[t] = true
	t.inner = c.Clock.AfterFunc(d, t.expire)
	return t
}

// expire fires the timer if it is due; it may have been stopped, or set to a later moment, just now.
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

// fireDue fires the timers whose time came while the VM was suspended.
func (c *Clock) fireDue() {
	c.mu.Lock()
	now := c.now()
	for t := range c.timers {
		t.inner.Reset(max(0, t.due.Sub(now)))
	}
	c.mu.Unlock()
}

// Chan returns the channel of a timer that has one.
func (t *clockTimer) Chan() <-chan time.Time { return t.channel }

// Stop keeps the timer from firing, and tells whether it did.
func (t *clockTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	t.inner.Stop()
	return pending
}

// Reset has the timer fire after another time, and tells whether it was still to fire.
func (t *clockTimer) Reset(d time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := t.clock.timers[t]
	t.clock.timers[t] = true
	t.due = t.clock.now().Add(d)
	t.inner.Reset(d)
	return pending
}
