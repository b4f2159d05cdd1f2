package relay

import (
	"sync"
	"time"
)

const (
	// budgetSteps is the number of steps of a budget's window. One that is partly in the window counts against the
	// budget: with 40 steps, one attempt in 40 stays unused.
	budgetSteps = 40
	// budgetArrivalSpread is by how much the delay from the decision to retry to the arrival at the target may vary:
	// attempts decided this much more than a window apart may arrive within one window. They arrive within milliseconds
	// over an open connection, and within a fraction of a second over a new one to a busy target.
	budgetArrivalSpread = 500 * time.Millisecond
	// budgetLeadSteps is by how many steps requests may precede the attempts that they earn: an attempt follows its
	// request, and without a share of the slack a daemon could not make any otherwise.
	budgetLeadSteps = budgetSteps / 20
	// budgetHistorySteps is the number of kept steps: a window, its lead, and those in which attempts may still arrive.
	budgetHistorySteps = 2 * budgetSteps
)

// RetryBudgetConfig bounds the retries of all daemons together: within any window, at most Ratio times the requests of
// the window plus Slack.
type RetryBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetryBudget limits how often requests to one pool go to a further target. Each daemon earns the part from the ratio
// by its own requests, without knowing of the others; the slack is divided between them.
type RetryBudget struct {
	mu     sync.Mutex
	config RetryBudgetConfig
	// startedAt is the start of the first step. Steps are measured on the monotonic clock, so changes of the wall clock
	// do not affect them.
	startedAt       time.Time
	received, spent stepCounter
}

// NewRetryBudget returns a budget without any spent attempts.
func NewRetryBudget(now time.Time, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, startedAt: now}
}

func (b *RetryBudget) stepLength() time.Duration { return b.config.Window / budgetSteps }

func (b *RetryBudget) step(now time.Time) int64 { return int64(now.Sub(b.startedAt) / b.stepLength()) }

// RecordRequest counts one request from a caller.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received.add(b.step(now))
}

// RetryBudgetState is the state of a budget when an attempt was requested, in the window that leaves the fewest.
type RetryBudgetState struct {
	Allowed float64
	Spent   int
}

// Spend takes one further attempt, or returns false if none is left. share is this daemon's part of the slack, from 0 to 1.
func (b *RetryBudget) Spend(now time.Time, share float64) (RetryBudgetState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, left := b.evaluate(now, share)
	if left {
		b.spent.add(b.step(now))
	}
	return state, left
}

// Available reports whether the budget has a further attempt left.
func (b *RetryBudget) Available(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, left := b.evaluate(now, share)
	return left
}

func (b *RetryBudget) evaluate(now time.Time, share float64) (state RetryBudgetState, left bool) {
	step := b.step(now)
	b.received.advance(step)
	b.spent.advance(step)
	state = b.tightest(b.spent.latest, share)
	return state, float64(state.Spent+1) <= state.Allowed
}

// tightest checks all windows that an attempt in the latest step may fall into, and returns the one that leaves the
// fewest attempts. Only requests within the window count: earlier ones may have gone to another daemon that spent what
// they earned before it died. All daemons' allowances thus add up to the budget, whichever daemon gets the requests.
func (b *RetryBudget) tightest(latest int64, share float64) RetryBudgetState {
	spread := int64((budgetArrivalSpread + b.stepLength() - 1) / b.stepLength())
	var tightest RetryBudgetState
	for first := latest - budgetSteps; first <= latest; first++ {
		s := RetryBudgetState{
			Allowed: b.config.Ratio*float64(b.countRequests(first, latest)) + b.config.Slack*share,
			Spent:   b.spent.between(first-spread, latest),
		}
		if first == latest-budgetSteps || s.Allowed-float64(s.Spent) < tightest.Allowed-float64(tightest.Spent) {
			tightest = s
		}
	}
	return tightest
}

// countRequests returns how many requests count for a window that begins within a step: those in that window or in one
// that begins somewhat earlier, whichever has more. Steps that are only partly in a window are not counted.
func (b *RetryBudget) countRequests(first, latest int64) int {
	from := first - budgetLeadSteps
	return max(b.received.between(first+1, latest), b.received.between(from+1, min(latest, from+budgetSteps-1)))
}

// stepCounter counts events per step and keeps the last few windows.
type stepCounter struct {
	// cumulative holds the number of events up to the end of each step.
	cumulative [budgetHistorySteps]int
	latest     int64
}

// advance moves on to a step; an earlier step than the latest is treated as the latest.
func (c *stepCounter) advance(step int64) {
	total := c.cumulative[c.latest%budgetHistorySteps]
	c.latest = max(c.latest, step-budgetHistorySteps)
	for c.latest < step {
		c.latest++
		c.cumulative[c.latest%budgetHistorySteps] = total
	}
}

func (c *stepCounter) add(step int64) {
	c.advance(step)
	c.cumulative[c.latest%budgetHistorySteps]++
}

// between returns the number of events from the first step to the last, inclusive.
func (c *stepCounter) between(first, last int64) int {
	if last < first {
		return 0
	}
	return c.countUpTo(last) - c.countUpTo(first-1)
}

func (c *stepCounter) countUpTo(step int64) int {
	if step < 0 {
		return 0
	}
	return c.cumulative[min(step, c.latest)%budgetHistorySteps]
}
