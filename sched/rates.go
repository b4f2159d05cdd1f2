package sched

import (
	"math"
	"time"

	"emberlead/state"
)

const (
	// rateStep is the fraction by which more work is admitted than a pool does if nothing waits, and less if the queue is
	// twice as long as intended. With stages that take a second, a larger one makes the load oscillate.
	rateStep = 0.15
	// minRateFactor limits how far the admitted rate may drop below the capacity of the pool.
	minRateFactor = 0.7
	// floorFraction is the fraction of the admitted rate that is reserved for all ranks, whatever the demand of higher
	// ones: urgent requests go first, but the least urgent are not refused for as long as more urgent ones arrive.
	floorFraction = 0.5
	// floorStep is the floor of a rank relative to that of the next higher one. With equal floors chance would decide
	// which of two ranks at their floors is served more, since these have few requests.
	floorStep = 0.8
)

// RateFactor returns the admitted rate of a pool relative to its capacity: more than 1 while its queue is shorter than
// intended, and less while it is longer.
func RateFactor(queue, intended time.Duration) float64 {
	excess := float64(queue)/float64(intended) - 1
	return max(minRateFactor, 1-rateStep*excess)
}

// RankFloors returns the least admitted fraction of each rank's demand, from the reserved part of the rate. It decreases
// from rank to rank.
func RankFloors(demand []float64, rate float64) []float64 {
	floors, step, sum := make([]float64, len(demand)), 1.0, 0.0
	for r := range demand {
		floors[r] = step
		sum += step * demand[r]
		step *= floorStep
	}
	for r := range floors {
		floors[r] = min(1, floors[r]*floorFraction*rate/sum)
	}
	return floors
}

const (
	// slowHalfLife and fastHalfLife are the half-lives of the two sums from which a rate is estimated. The fast sum alone
	// varies too much by chance, and with the slow one alone a burst is noticed a second late.
	slowHalfLife, fastHalfLife = time.Second, 250 * time.Millisecond
	// significantDeviations is by how many standard deviations of the fast estimate the two must differ for the fast one
	// to be used.
	significantDeviations = 3
)

// rateEstimate estimates a number of events per second.
type rateEstimate struct{ slow, fast state.DecayingSum }

func (r *rateEstimate) add(now time.Time, amount float64) {
	r.slow.Add(now, slowHalfLife, amount)
	r.fast.Add(now, fastHalfLife, amount)
}

// perSecond returns the rate, given for how long events have been observed.
func (r *rateEstimate) perSecond(now time.Time, observed time.Duration) float64 {
	slow := sumRate(&r.slow, now, slowHalfLife, observed)
	fast := sumRate(&r.fast, now, fastHalfLife, observed)
	deviation := math.Sqrt(max(slow, fast) * math.Ln2 / (2 * fastHalfLife.Seconds()))
	if math.Abs(fast-slow) > significantDeviations*deviation {
		return fast
	}
	return slow
}

// sumRate converts a decaying sum to a rate. A sum that was begun lately lacks what came before.
func sumRate(sum *state.DecayingSum, now time.Time, halfLife, observed time.Duration) float64 {
	covered := 1 - state.DecayFactor(observed, halfLife)
	if covered <= 0 {
		return 0
	}
	return sum.Value(now, halfLife) * math.Ln2 / halfLife.Seconds() / covered
}
