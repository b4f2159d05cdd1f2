package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

var testBudgetConfig = RetryBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// spendAll takes all attempts that a budget has left.
func spendAll(b *RetryBudget, at time.Time, share float64) int {
	spent := 0
	for {
		if _, ok := b.Spend(at, share); !ok {
			return spent
		}
		spent++
	}
}

func TestRetryBudgetDividesSlack(t *testing.T) {
	b := NewRetryBudget(start, testBudgetConfig)
	if spent := spendAll(b, start, 0.2); spent != 10 {
		t.Errorf("%d attempts from the slack, want 10", spent)
	}
	for range 100 {
		b.RecordRequest(start)
	}
	if earned := spendAll(b, start, 0.2); earned != 20 {
		t.Errorf("%d attempts earned by 100 requests, want 20", earned)
	}
	if state, ok := b.Spend(start.Add(9*time.Second), 0.2); ok {
		t.Errorf("an attempt was allowed before the window had passed: %+v", state)
	}
	if state, ok := b.Spend(start.Add(13*time.Second), 0.2); !ok {
		t.Errorf("no attempt was allowed after the window: %+v", state)
	}
}

func TestRetryBudgetWithoutShareOfSlack(t *testing.T) {
	b := NewRetryBudget(start, testBudgetConfig)
	for range 100 {
		b.RecordRequest(start)
	}
	if spent := spendAll(b, start, 0); spent != 20 {
		t.Errorf("%d attempts earned by 100 requests, want 20", spent)
	}
}

// Guards against a daemon that keeps its allowance when its callers move to other daemons, which earn by the same
// requests from then on.
func TestRetryBudgetIgnoresEarlierRequests(t *testing.T) {
	b := NewRetryBudget(start, testBudgetConfig)
	for range 100 {
		b.RecordRequest(start)
	}
	if state, ok := b.Spend(start.Add(5*time.Second), 0); ok {
		t.Errorf("an attempt was allowed five seconds after the last request: %+v", state)
	}
}

// Guards against attempts that are allowed twice if the clock goes back, as it may between processors.
func TestRetryBudgetClockGoesBack(t *testing.T) {
	b := NewRetryBudget(start, testBudgetConfig)
	later := start.Add(20 * time.Second)
	spendAll(b, later, 1)
	if state, ok := b.Spend(later.Add(-2*time.Second), 1); ok {
		t.Errorf("an attempt was allowed after the clock went back: %+v", state)
	}
}

// Daemons spend whenever they may, and attempts arrive up to budgetArrivalSpread later. Every span of the window's
// length is checked.
func TestRetryBudgetHoldsAcrossDaemons(t *testing.T) {
	for seed := range uint64(60) {
		h := newBudgetSimulation(seed)
		for h.at < budgetSimulationTime {
			h.step(h.random.IntN(len(h.budgets)))
		}
		h.check(t)
	}
}

// Most daemons die repeatedly while many attempts fail. What they spent still counts, although the daemons that start,
// or that get the requests of the dead ones, know nothing of it.
func TestRetryBudgetHoldsAcrossRestarts(t *testing.T) {
	for seed := range uint64(60) {
		h := newBudgetSimulation(seed)
		for h.at < budgetSimulationTime {
			if h.random.IntN(400) == 0 {
				h.restart(h.random.Float64())
			}
			h.step(h.random.IntN(len(h.budgets)))
		}
		h.check(t)
	}
}

const (
	budgetSimulationTime = 40 * time.Second
	budgetSimulationStep = 5 * time.Millisecond
)

// budgetSimulation simulates daemons that spend as much as they may.
type budgetSimulation struct {
	config  RetryBudgetConfig
	random  *rand.Rand
	at      time.Duration
	budgets []*RetryBudget
	// shareFrom holds the times from which on the daemons have a share of the slack.
	shareFrom          []time.Duration
	requests, arrivals []time.Duration
}

func newBudgetSimulation(seed uint64) *budgetSimulation {
	const daemons = 6
	h := &budgetSimulation{
		config: RetryBudgetConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}, random: rand.New(rand.NewPCG(3, seed)),
		budgets: make([]*RetryBudget, daemons), shareFrom: make([]time.Duration, daemons),
	}
	for i := range h.budgets {
		h.budgets[i] = NewRetryBudget(start, h.config)
	}
	return h
}

// step sends a request to a daemon, more often in some spans than in others, and requests an attempt there.
func (h *budgetSimulation) step(daemon int) {
	now := start.Add(h.at)
	b := h.budgets[daemon]
	if busy := h.at%(12*time.Second) < 6*time.Second; busy || h.random.IntN(10) == 0 {
		b.RecordRequest(now)
		h.requests = append(h.requests, h.at)
	}
	share := 0.0
	if h.at >= h.shareFrom[daemon] {
		share = 1 / float64(len(h.budgets))
	}
	if _, ok := b.Spend(now, share); ok {
		h.arrivals = append(h.arrivals, h.at+time.Duration(h.random.Int64N(int64(budgetArrivalSpread))))
	}
	h.at += budgetSimulationStep
}

// restart restarts a part of the daemons, without a share until what they spent is out of the window.
func (h *budgetSimulation) restart(part float64) {
	for i := range h.budgets {
		if h.random.Float64() < part {
			h.budgets[i] = NewRetryBudget(start.Add(h.at), h.config)
			h.shareFrom[i] = h.at + h.config.Window + budgetArrivalSpread
		}
	}
}

func (h *budgetSimulation) check(t *testing.T) {
	t.Helper()
	window := h.config.Window
	for end := window; end < budgetSimulationTime; end += 100 * time.Millisecond {
		most := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			most = max(most, within(h.requests, end-back-window, end-back))
		}
		if got := within(h.arrivals, end-window, end); float64(got) > h.config.Ratio*float64(most)+h.config.Slack {
			t.Fatalf("%d further attempts until %s, with %d requests", got, end, most)
		}
	}
}

// Far more attempts are requested than are allowed, at an even rate.
func TestRetryBudgetIsUsedAtSteadyLoad(t *testing.T) {
	const daemons, length = 6, 60 * time.Second
	config := RetryBudgetConfig{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	budgets := make([]*RetryBudget, daemons)
	for i := range budgets {
		budgets[i] = NewRetryBudget(start, config)
	}
	requests, spent := 0, 0
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		b := budgets[requests%daemons]
		b.RecordRequest(start.Add(at))
		requests++
		if _, ok := b.Spend(start.Add(at), 1.0/daemons); ok {
			spent++
		}
	}
	allowed := config.Ratio*float64(requests) + config.Slack*float64(length/config.Window)
	if used := float64(spent) / allowed; used < 0.9 {
		t.Errorf("%d of %.0f allowed attempts were made, %.2f of them", spent, allowed, used)
	}
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
