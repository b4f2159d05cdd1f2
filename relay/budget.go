package relay

import (
	"sync"
	"time"
)

const (
	// budgetSteps is how many steps the window of a budget is counted in. A step held in part counts against the budget:
	// with 40 of them, this leaves one attempt in 40 unused.
	budgetSteps = 40
	// budgetSpread is by how much the times between the decision to try again and the arrival at the target may differ:
	// attempts that were decided that much more than a window apart may arrive within one. They arrive within
	// milliseconds over an open connection, and within a fraction of a second over a new one to a busy target.
	budgetArrivalSpread = 500 * time.Millisecond
	// budgetLead is the part of a window by which requests may come before the attempts that they earn: an attempt follows
	// its request, and a daemon without a share of the slack could make none otherwise.
	budgetLeadSteps = budgetSteps / 20
	// budgetRemembers is how many steps are remembered: a window, its lead, and the steps in which attempts may still
	// arrive.
	budgetHistorySteps = 2 * budgetSteps
)

// RetryBudgetConfig are the terms of the retry budget, for all daemons together: in any window no more further attempts than
// the ratio of a window's requests plus the slack.
type RetryBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetryBudget limits how often requests to one pool go to a further target. What the ratio allows, each daemon earns by its
// own requests, so that no daemon has to know of another; the slack is divided between the daemons.
type RetryBudget struct {
	mu    sync.Mutex
	terms RetryBudgetConfig
	// began is the start of the first step. Steps are counted on the steady clock, which no change of the time moves.
	startedAt     time.Time
	earned, spent stepCounter
}

// NewRetryBudget returns a budget of which nothing is spent.
func NewRetryBudget(now time.Time, terms RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{terms: terms, startedAt: now}
}

func (b *RetryBudget) stepLength() time.Duration { return b.terms.Window / budgetSteps }

func (b *RetryBudget) step(now time.Time) int64 { return int64(now.Sub(b.startedAt) / b.stepLength()) }

// RecordRequest counts one request from a caller.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned.add(b.step(now))
}

// RetryBudgetState is what a budget had when a further attempt was asked for, in the window that leaves it least.
type RetryBudgetState struct {
	Allowed float64
	Spent   int
}

// Spend takes one further attempt out of the budget, or tells that none is left; share is this daemon's part of the
// slack, from 0 to 1.
func (b *RetryBudget) Spend(now time.Time, share float64) (RetryBudgetState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, left := b.evaluate(now, share)
	if left {
		b.spent.add(b.step(now))
	}
	return state, left
}

// Available tells whether a further attempt is left in the budget.
func (b *RetryBudget) Available(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, left := b.evaluate(now, share)
	return left
}

func (b *RetryBudget) evaluate(now time.Time, share float64) (state RetryBudgetState, left bool) {
	step := b.step(now)
	b.earned.advance(step)
	b.spent.advance(step)
	state = b.tightest(b.spent.latest, share)
	return state, float64(state.Spent+1) <= state.Allowed
}

// tightest looks at all windows that an attempt in the latest step may fall into and returns the one that leaves it least.
// Only the requests of the window itself count: those before it may have been another daemon's, which spent what they
// earned before it died, and so the allowances of all daemons add up whoever gets the requests.
func (b *RetryBudget) tightest(latest int64, share float64) RetryBudgetState {
	spread := int64((budgetArrivalSpread + b.stepLength() - 1) / b.stepLength())
	var tightest RetryBudgetState
	for first := latest - budgetSteps; first <= latest; first++ {
		s := RetryBudgetState{
			Allowed: b.terms.Ratio*float64(b.countRequests(first, latest)) + b.terms.Slack*share,
			Spent:   b.spent.between(first-spread, latest),
		}
		if first == latest-budgetSteps || s.Allowed-float64(s.Spent) < tightest.Allowed-float64(tightest.Spent) {
			tightest = s
		}
	}
	return tightest
}

// requests returns how many requests count for a window that begins within a step: those in it or in one that begins
// somewhat earlier, whichever has more, without the steps that they hold in part.
func (b *RetryBudget) countRequests(first, latest int64) int {
	from := first - budgetLeadSteps
	return max(b.earned.between(first+1, latest), b.earned.between(from+1, min(latest, from+budgetSteps-1)))
}

// stepTotals counts events by steps, of which it remembers those of the last few windows.
type stepCounter struct {
	// totals holds how many events there were up to the end of each step.
	cumulative [budgetHistorySteps]int
	latest     int64
}

// advance begins a step; one before the latest counts as that.
func (t *stepCounter) advance(step int64) {
	total := t.cumulative[t.latest%budgetHistorySteps]
	t.latest = max(t.latest, step-budgetHistorySteps)
	for t.latest < step {
		t.latest++
		t.cumulative[t.latest%budgetHistorySteps] = total
	}
}

func (t *stepCounter) add(step int64) {
	t.advance(step)
	t.cumulative[t.latest%budgetHistorySteps]++
}

// between returns how many events there were from the first step to the last.
func (t *stepCounter) between(first, last int64) int {
	if last < first {
		return 0
	}
	return t.countUpTo(last) - t.countUpTo(first-1)
}

func (t *stepCounter) countUpTo(step int64) int {
	if step < 0 {
		return 0
	}
	return t.cumulative[min(step, t.latest)%budgetHistorySteps]
}
