package sched

import (
	"math"
	"time"

	"emberlead/state"
)

const (
	// idleFraction is the fraction of the intended queue below which a pool refuses nothing.
	idleFraction = 0.1
	// askFraction is the fraction of the intended queue from which requests ask for decisions. It is less than
	// idleFraction, so that demand is known when the first refusals are due.
	askFraction = 0.02
	// maxQueueFactor is the multiple of the intended queue of engines above which every request is refused.
	maxQueueFactor = 3
	// reportLifetime is how long a report on a queue is used: a busy pool sends several reports per second.
	reportLifetime = 1500 * time.Millisecond
	// intendedWeight is the weight of a report in the intended queue of its pool, which differs between routes.
	intendedWeight = 0.05
	// admittedHalfLife is the half-life of the sum of admitted work that is compared with the rate: about the time that
	// work is on its way through earlier stages, where no queue of the pool shows it. If the rate drops, what was admitted
	// at the higher rate counts as a debt at once.
	admittedHalfLife = 700 * time.Millisecond
	// debtTime is the time within which work admitted beyond the rate is made up for. maxDebt and maxCredit limit such
	// work, and work that was not used, in seconds of the rate.
	debtTime           = 150 * time.Millisecond
	maxDebt, maxCredit = 1.0, 0.05
	// fractionRate is how fast the usable fraction of a stage falls, per second, while its queue is twice as long as
	// intended, and rises while it is empty. minFraction is the least. Other deciders admit requests to the same stages,
	// and a stage may do less than its targets can while result storage is full. With a faster one the load oscillates.
	fractionRate, minFraction = 0.8, 0.2
	// learnedQueue is the queue, relative to the intended one, from which the fraction falls. A decider that is alone keeps
	// the queue shorter.
	learnedQueue = 1.5
	// maxExcess limits the excess of a queue that this counts, relative to the intended queue.
	maxExcess = 2
	// minDebtFactor is the fraction of the rate that is admitted whatever the debt, so that urgent requests are.
	minDebtFactor = 0.3
	// poolLifetime is how long the capacity of a pool is kept without a report.
	poolLifetime = time.Minute
)

// PoolKind tells the pools of stages from those of engines.
type PoolKind uint8

// Kinds of pools.
const (
	// KindStage marks pools whose targets produce pieces. Their work is measured in seconds of target time.
	KindStage PoolKind = iota
	// KindEngines marks pools of engines. Their work is measured in prompt tokens.
	KindEngines
)

// String returns the name of the kind.
func (k PoolKind) String() string {
	if k == KindEngines {
		return "engines"
	}
	return "stage"
}

// PoolLoad is the state of a pool as reported.
type PoolLoad struct {
	Kind PoolKind
	// Capacity is the amount of work that the pool does in a second while it is busy.
	Capacity float64
	// Rate is the amount of work per second to admit, if the pool's daemon decides that itself; otherwise 0.
	Rate float64
	// Queue is how long work waits in the pool, and Intended how long it should while the pool is busy.
	Queue, Intended time.Duration
}

// pool is the newest known state of a pool.
type pool struct {
	load       PoolLoad
	reportedAt time.Time
	// admitted is the work that was admitted.
	admitted state.DecayingSum
	// fraction is the usable fraction of the capacity of a stage as of learnedAt.
	fraction  float64
	learnedAt time.Time
}

// queue returns the length of the queue. What was reported some time ago has drained since.
func (p *pool) queue(now time.Time) time.Duration {
	left := 1 - float64(now.Sub(p.reportedAt))/float64(reportLifetime)
	return time.Duration(min(1, max(0, left)) * float64(p.load.Queue))
}

// isIdle reports whether a queue is so much shorter than intended that its pool refuses nothing.
func isIdle(queue, intended time.Duration) bool {
	return float64(queue) < idleFraction*float64(intended) || intended <= 0
}

// IsBusy reports whether a queue is long enough for requests to ask for decisions.
func IsBusy(queue, intended time.Duration) bool {
	return intended > 0 && float64(queue) >= askFraction*float64(intended)
}

// fill returns the length of the queue relative to the intended one.
func (p *pool) fill(now time.Time) float64 {
	if p.load.Intended <= 0 {
		return 0
	}
	return float64(p.queue(now)) / float64(p.load.Intended)
}

func (p *pool) isIdle(now time.Time) bool { return isIdle(p.queue(now), p.load.Intended) }

// rate returns how much work per second is admitted. Idle engines have no limit, since what they read then shows what
// they were given and not what they can do.
func (p *pool) rate(now time.Time) float64 {
	switch {
	case p.load.Kind == KindEngines && p.isIdle(now) || p.load.Intended <= 0:
		return math.Inf(1)
	case p.load.Rate > 0:
		return p.load.Rate
	}
	return p.fraction * p.load.Capacity * RateFactor(p.queue(now), p.load.Intended)
}

// learnFraction adapts the usable fraction of the capacity to the queue.
func (p *pool) learnFraction(now time.Time) {
	if p.load.Kind == KindStage && p.load.Intended > 0 {
		excess := min(maxExcess, p.fill(now)-learnedQueue)
		p.fraction *= math.Exp(-fractionRate * excess * now.Sub(p.learnedAt).Seconds())
		p.fraction = min(1, max(minFraction, p.fraction))
	}
	p.learnedAt = now
}

// correctedRate returns the rate that makes up for work admitted beyond the rate, given for how long work has been counted.
func (p *pool) correctedRate(now time.Time, observed time.Duration) float64 {
	rate := p.rate(now)
	if math.IsInf(rate, 1) {
		return rate
	}
	window := admittedHalfLife.Seconds() / math.Ln2 * (1 - state.DecayFactor(observed, admittedHalfLife))
	debt := p.admitted.Value(now, admittedHalfLife) - rate*window
	debt = min(maxDebt*rate, max(-maxCredit*rate, debt))
	return max(minDebtFactor*rate, rate-debt/debtTime.Seconds())
}
