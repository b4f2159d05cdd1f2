package relay

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// estimateWeight is the weight of the newest observation. About twenty observations count, which a route with ten
	// requests per second yields in two seconds.
	estimateWeight = 0.1
	// estimateDeviations is how many mean deviations the upper bound is above the mean. About 19 of 20 observations are below it.
	estimateDeviations = 2
	// maxOutlierFactor limits an observation to this multiple of the upper bound.
	maxOutlierFactor = 3
	// estimateTTL is for how long a mean holds without an observation. After that it approaches that of its prior from above, with
	// estimateHalfLife: requests are refused by it, and then nothing corrects it.
	estimateTTL      = 10 * time.Second
	estimateHalfLife = 5 * time.Second
)

// durationEstimate learns the mean of a duration and its variation.
type durationEstimate struct {
	mean, deviation float64
	// prior is the expected upper bound, and observedAt when a duration was last observed.
	prior      time.Duration
	observedAt time.Time
}

func (e *durationEstimate) observe(took time.Duration) {
	value := min(float64(took), maxOutlierFactor*float64(e.upperBound()))
	difference := value - e.mean
	e.mean += estimateWeight * difference
	e.deviation += estimateWeight * (max(difference, -difference) - e.deviation)
}

// upperBound returns a duration that is nearly always sufficient.
func (e *durationEstimate) upperBound() time.Duration {
	return time.Duration(e.mean + estimateDeviations*e.deviation)
}

// aged returns the estimate as it holds at a time.
func (e *durationEstimate) aged(now time.Time) durationEstimate {
	estimate := *e
	age := now.Sub(e.observedAt) - estimateTTL
	if age <= 0 || e.upperBound() <= e.prior {
		return estimate
	}
	fresh := newDurationEstimate(e.prior)
	weight := math.Exp2(-age.Seconds() / estimateHalfLife.Seconds())
	estimate.mean = fresh.mean + weight*(e.mean-fresh.mean)
	estimate.deviation = fresh.deviation + weight*(e.deviation-fresh.deviation)
	return estimate
}

// newDurationEstimate returns an estimate without observations, whose upper bound equals the prior.
func newDurationEstimate(prior time.Duration) durationEstimate {
	return durationEstimate{mean: float64(prior) / 2, deviation: float64(prior) / 2 / estimateDeviations, prior: prior}
}

// durationEstimates holds a durationEstimate for each key.
type durationEstimates[K comparable] struct {
	clock     clockwork.Clock
	mu        sync.Mutex
	estimates map[K]*durationEstimate
}

func newDurationEstimates[K comparable](clock clockwork.Clock) *durationEstimates[K] {
	return &durationEstimates[K]{clock: clock, estimates: map[K]*durationEstimate{}}
}

// observe records a duration. prior is the expected upper bound, from which the first estimate of a key is derived.
func (t *durationEstimates[K]) observe(key K, prior, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	known := t.at(key, prior)
	if aged := known.aged(now); took <= aged.upperBound() {
		*known = aged
	}
	known.observe(took)
	known.observedAt = now
}

// mean returns the average duration, or half of prior without observations. It ages.
func (t *durationEstimates[K]) mean(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.estimates[key]; known != nil {
		aged := known.aged(t.clock.Now())
		return time.Duration(aged.mean)
	}
	return prior / 2
}

// upperBound returns a duration that is nearly always sufficient, or prior without observations.
func (t *durationEstimates[K]) upperBound(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.estimates[key]; known != nil {
		return known.upperBound()
	}
	return prior
}

func (t *durationEstimates[K]) at(key K, prior time.Duration) *durationEstimate {
	known := t.estimates[key]
	if known == nil {
		estimate := newDurationEstimate(prior)
		known = &estimate
		t.estimates[key] = known
	}
	return known
}
