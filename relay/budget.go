package relay

import (
	"sync"
	"time"
)

// budgetSteps is how many steps the window of a budget is counted in; finer steps track a sliding window more closely.
const budgetSteps = 20

// budgetShare is the part of the allowance that is used, since other daemons count their shares at slightly other times.
const budgetShare = 0.8

// Budget limits how often requests to one pool go to a further target. Each daemon keeps to its share: the ratio of
// its own requests, and an equal part of the slack.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	step   time.Duration
	asked  [budgetSteps]float64
	spent  [budgetSteps]float64
	latest int64
}

// NewBudget returns a budget of ratio times the requests of a window plus slack, both for all daemons together.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, step: window / budgetSteps}
}

func (b *Budget) advance(now time.Time) int {
	step := now.UnixNano() / int64(b.step)
	for b.latest < step {
		if step-b.latest > budgetSteps {
			b.latest = step - budgetSteps
		}
		b.latest++
		b.asked[b.latest%budgetSteps] = 0
		b.spent[b.latest%budgetSteps] = 0
	}
	return int(b.latest % budgetSteps)
}

// Asked counts one request from a caller.
func (b *Budget) Asked(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[b.advance(now)]++
}

// Spend takes one further attempt out of the budget, or tells that none is left; members is the number of daemons.
func (b *Budget) Spend(now time.Time, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if total(b.spent[:])+1 > budgetShare*(b.ratio*total(b.asked[:])+b.slack/float64(max(1, members))) {
		return false
	}
	b.spent[i]++
	return true
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}
