package sched

import (
	"time"

	"emberlead/state"
)

const (
	// intakeFrom is the pressure from which the intake of requests is limited, and intakeUntil the one below which it no longer is.
	intakeFrom, intakeUntil = 0.8, 0.65
	// intakeTarget is how much of the processor or the link the admitted requests may take.
	intakeTarget = 0.85
	// usageHalfLife is the half-life of the use and the delay from which the pressure is taken.
	usageHalfLife = 150 * time.Millisecond
	// costHalfLife is the half-life of what is known of the cost of requests, which goes on for some time after their admission.
	costHalfLife = 5 * time.Second
	// minCostRequests is the number of recent requests from which their cost is known.
	minCostRequests = 1.0
	// longDelay is the delay of work at which the pressure is 1 and the rate shrinks, and shortDelay the one below which it grows.
	longDelay, shortDelay = 30 * time.Millisecond, 10 * time.Millisecond
	// rateShrink and rateGrowth are the factors on the rate in each rateInterval, and minIntakeFactor is the least of them together.
	rateShrink, rateGrowth = 0.9, 1.15
	rateInterval           = 100 * time.Millisecond
	minIntakeFactor        = 0.2
	// minIntakeRate is the lowest rate, in requests per second: only requests can show that there is room again.
	minIntakeRate = 1.0
	// intakeBurst is for how long unused admissions accumulate, of which minIntakeBurst always may. intakeDebt is how far requests over open
	// connections may be ahead of the rate: they have been read, while new connections can be closed unread.
	intakeBurst, intakeDebt = 100 * time.Millisecond, 300 * time.Millisecond
	minIntakeBurst          = 2.0
	// elsewhereRetryAfter is the Retry-After while other daemons have room, and minRoomRetryAfter and maxRoomRetryAfter bound the one
	// until this daemon has.
	elsewhereRetryAfter                  = 50 * time.Millisecond
	minRoomRetryAfter, maxRoomRetryAfter = 300 * time.Millisecond, 2 * time.Second
	// acceptInterval is for how long no connection may be accepted at most: a daemon that is ready takes connections.
	acceptInterval = 500 * time.Millisecond
	// roomFraction is the fraction of the other daemons that must have room for connections to be closed.
	roomFraction = 0.5
)

// Usage is how much of its VM a daemon used in a period.
type Usage struct {
	// Processor, Received and Sent are fractions of what the processor and the link can do; 0 if that is unknown.
	Processor, Received, Sent float64
	// Delay is a high quantile of the time for which work that could run waited for the processor, and LinkDelay how long messages waited
	// on the link.
	Delay, LinkDelay time.Duration
}

// intakeResource is what requests need of a VM.
type intakeResource struct {
	// level is the recent use, and total the use over the time for which requests are counted.
	level float64
	total state.DecayingSum
	// cost is the use of one request.
	cost float64
}

// Intake decides which requests a daemon takes so that it can serve them with the processor and the link that it has. What a
// request costs is learned from the use of both, so that the limit is known when connections come that exceed it; the delay of
// work corrects it. Its user must hold a lock.
type Intake struct {
	// resources are the processor and both directions of the link, and requests counts the admitted requests.
	resources [3]intakeResource
	requests  state.DecayingSum
	// delay is how long work or messages wait, in seconds, as of observedAt.
	delay      float64
	observedAt time.Time
	// limited is set while the pressure is high, and elsewhere while other daemons have room.
	limited, elsewhere bool
	// rate is the number of requests per second that can be served, by their cost and the correction factor.
	rate, factor float64
	// tokens is the number of requests that may be admitted at once, as of refilledAt; negative if too many were.
	tokens     float64
	refilledAt time.Time
	// acceptedAt is when a connection was last accepted.
	acceptedAt time.Time
}

// Observe records the usage since the previous observation and the pressures that other daemons told. It is called several times
// a second.
func (i *Intake) Observe(now time.Time, u Usage, others []float64) {
	elapsed := now.Sub(i.observedAt)
	if i.observedAt.IsZero() {
		elapsed, i.factor = 0, 1
	}
	i.observedAt = now
	weight := 1 - state.DecayFactor(elapsed, usageHalfLife)
	for n, use := range [...]float64{u.Processor, u.Received, u.Sent} {
		r := &i.resources[n]
		r.level += weight * (use - r.level)
		r.total.Add(now, costHalfLife, use*elapsed.Seconds())
	}
	i.delay += weight * (max(u.Delay, u.LinkDelay).Seconds() - i.delay)
	i.adjustFactor(elapsed)
	i.elsewhere = haveRoom(others)
	pressure := i.Pressure()
	i.limited = pressure >= intakeFrom || i.limited && pressure >= intakeUntil
	i.learnCosts(now)
	i.refill(now)
	i.rate = i.currentRate()
}

// learnCosts learns what a request costs. The use of a daemon that is behind is that of requests which it took before.
func (i *Intake) learnCosts(now time.Time) {
	requests := i.requests.Value(now, costHalfLife)
	if requests < minCostRequests || i.delay > longDelay.Seconds() && i.rate > 0 {
		return
	}
	for n := range i.resources {
		r := &i.resources[n]
		r.cost = r.total.Value(now, costHalfLife) / requests
	}
}

// haveRoom reports whether enough daemons have room, by their pressures.
func haveRoom(pressures []float64) bool {
	room := 0
	for _, pressure := range pressures {
		if pressure < intakeFrom {
			room++
		}
	}
	return room > 0 && float64(room) >= roomFraction*float64(len(pressures))
}

// adjustFactor corrects the rate by the delay.
func (i *Intake) adjustFactor(elapsed time.Duration) {
	steps := min(1, elapsed.Seconds()/rateInterval.Seconds())
	switch {
	case i.delay > longDelay.Seconds():
		i.factor = max(minIntakeFactor, i.factor*(1-steps*(1-rateShrink)))
	case i.delay < shortDelay.Seconds():
		i.factor = min(1, i.factor*(1+steps*(rateGrowth-1)))
	}
}

// Pressure returns how much of the scarcest part of its VM the daemon uses; work waits from 1 on.
func (i *Intake) Pressure() float64 {
	pressure := i.delay / longDelay.Seconds()
	for n := range i.resources {
		pressure = max(pressure, i.resources[n].level)
	}
	return pressure
}

// Delay returns how late the daemon is with everything: 0 unless its work or its messages wait for long.
func (i *Intake) Delay() time.Duration {
	if i.delay < longDelay.Seconds() {
		return 0
	}
	return time.Duration(i.delay * float64(time.Second))
}

// currentRate returns how many requests a second can be served; 0 if that is unknown.
func (i *Intake) currentRate() float64 {
	rate := 0.0
	for n := range i.resources {
		cost := i.resources[n].cost
		if possible := intakeTarget / cost; cost > 0 && (rate == 0 || possible < rate) {
			rate = possible
		}
	}
	if rate == 0 {
		return 0
	}
	return max(minIntakeRate, i.factor*rate)
}

// Limits reports whether the intake is limited at present.
func (i *Intake) Limits() bool { return i.limited && i.rate > 0 }

// Rate returns how many requests a second can be served; 0 if that is unknown.
func (i *Intake) Rate() float64 { return i.rate }

// Spreads reports whether callers should go to other daemons, which have room, with their next requests.
func (i *Intake) Spreads() bool { return i.Limits() && i.elsewhere }

func (i *Intake) refill(now time.Time) {
	i.tokens = min(i.burst(), i.tokens+i.rate*now.Sub(i.refilledAt).Seconds())
	i.refilledAt = now
}

func (i *Intake) burst() float64 { return max(minIntakeBurst, i.rate*intakeBurst.Seconds()) }

// Closes reports whether to close a new connection before anything is read from it, as its request cannot be served here while other
// daemons have room.
func (i *Intake) Closes(now time.Time) bool {
	if !i.Spreads() {
		i.acceptedAt = now
		return false
	}
	i.refill(now)
	if i.tokens < 1 && now.Sub(i.acceptedAt) < acceptInterval {
		return true
	}
	i.tokens--
	i.acceptedAt = now
	return false
}

// Admit decides whether to serve a request that was read, or else when its caller should come back. fresh is set for the first
// request of a connection. While no other daemon has room, what was read is refused only once work waits for long.
func (i *Intake) Admit(now time.Time, fresh bool) (retryAfter time.Duration, admitted bool) {
	if i.Limits() && !(fresh && i.elsewhere) {
		i.refill(now)
		least := 1.0
		if !fresh {
			least -= i.rate * intakeDebt.Seconds()
		}
		if i.tokens < least && (i.elsewhere || i.Delay() > 0) {
			return i.retryAfter(least), false
		}
		i.tokens = max(i.tokens-1, -i.rate*intakeDebt.Seconds())
	}
	i.requests.Add(now, costHalfLife, 1)
	return 0, true
}

// retryAfter returns when there is a given number of tokens again, unless other daemons have room.
func (i *Intake) retryAfter(tokens float64) time.Duration {
	if i.elsewhere {
		return elsewhereRetryAfter
	}
	wait := time.Duration((tokens - i.tokens) / i.rate * float64(time.Second))
	return max(minRoomRetryAfter, min(maxRoomRetryAfter, wait))
}
