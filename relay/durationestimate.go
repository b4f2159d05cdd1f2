package relay

import (
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of the newest observation. About twenty observations count, which a route with ten
	// requests per second yields in two seconds.
	estimateWeight = 0.1
	// estimateDeviations is how many mean deviations the upper bound is above the mean. About 19 of 20 observations are below it.
	estimateDeviations = 2
	// maxOutlierFactor limits an observation to this multiple of the upper bound.
	maxOutlierFactor = 3
)

// durationEstimate learns the mean of a duration and its variation.
type durationEstimate struct{ mean, deviation float64 }

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

// durationEstimates holds a durationEstimate for each key.
type durationEstimates[K comparable] struct {
	mu        sync.Mutex
	estimates map[K]*durationEstimate
}

// observe records a duration. prior is the expected upper bound, from which the first estimate of a key is derived.
func (t *durationEstimates[K]) observe(key K, prior, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(key, prior).observe(took)
}

// mean returns the average duration, or half of prior without observations.
func (t *durationEstimates[K]) mean(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.estimates[key]; known != nil {
		return time.Duration(known.mean)
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
		if t.estimates == nil {
			t.estimates = map[K]*durationEstimate{}
		}
		// The deviation is initialized such that the upper bound equals the prior.
		known = &durationEstimate{mean: float64(prior) / 2, deviation: float64(prior) / 2 / estimateDeviations}
		t.estimates[key] = known
	}
	return known
}
