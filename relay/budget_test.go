package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func TestTheSlackIsDividedBetweenDaemons(t *testing.T) {
	b := NewBudget(0.2, 50, 10*time.Second)
	spent := 0
	for b.Spend(start, 5) {
		spent++
	}
	if want := int(budgetShare * 50 / 5); spent != want {
		t.Errorf("%d attempts from the slack, want %d", spent, want)
	}
	for range 100 {
		b.Asked(start)
	}
	earned := 0
	for b.Spend(start, 5) {
		earned++
	}
	if want := int(budgetShare * 0.2 * 100); earned != want {
		t.Errorf("%d attempts earned by 100 requests, want %d", earned, want)
	}
	if b.Spend(start.Add(9*time.Second), 5) {
		t.Error("the window has not passed, yet more may be spent")
	}
	if !b.Spend(start.Add(11*time.Second), 5) {
		t.Error("nothing may be spent after the window")
	}
}

// TestDaemonsTogetherKeepTheBudget lets daemons spend whenever they may and counts every span of the window's length.
func TestDaemonsTogetherKeepTheBudget(t *testing.T) {
	const daemons, ratio, slack, window = 6, 0.2, 52.0, 10 * time.Second
	r := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = NewBudget(ratio, slack, window)
		}
		var asked, spent []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
			b := budgets[r.IntN(daemons)]
			busy := at%(12*time.Second) < 6*time.Second
			if busy || r.IntN(10) == 0 {
				b.Asked(start.Add(at))
				asked = append(asked, at)
			}
			if b.Spend(start.Add(at), daemons) {
				spent = append(spent, at)
			}
		}
		for end := window; end < 40*time.Second; end += 500 * time.Millisecond {
			most := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				most = max(most, within(asked, end-back-window, end-back))
			}
			if got := within(spent, end-window, end); float64(got) > ratio*float64(most)+slack {
				t.Fatalf("%d further attempts until %s, with %d requests", got, end, most)
			}
		}
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
