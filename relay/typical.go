package relay

import (
	"sync"
	"time"
)

const (
	// typicalWeight is the weight of the newest observation: some twenty count, which a route of ten requests a second
	// gives in two seconds.
	estimateWeight = 0.1
	// typicalDeviations is how many mean deviations above the mean what is nearly always enough lies: about 19 of 20.
	estimateDeviations = 2
	// typicalOdd is how many times what is nearly always enough an observation counts for at most.
	maxOutlierFactor = 3
)

// typical learns how long something takes, and how much that varies.
type durationEstimate struct{ mean, deviation float64 }

func (t *durationEstimate) observe(took time.Duration) {
	value := min(float64(took), maxOutlierFactor*float64(t.upperBound()))
	off := value - t.mean
	t.mean += estimateWeight * off
	t.deviation += estimateWeight * (max(off, -off) - t.deviation)
}

// most is what is nearly always enough.
func (t *durationEstimate) upperBound() time.Duration {
	return time.Duration(t.mean + estimateDeviations*t.deviation)
}

// typicals learns how long the same kind of thing takes for each of several keys.
type durationEstimates[K comparable] struct {
	mu   sync.Mutex
	keys map[K]*durationEstimate
}

// observe takes in how long it took; prior is what was expected before anything was observed.
func (t *durationEstimates[K]) observe(key K, prior, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(key, prior).observe(took)
}

// mean is how long it takes on average, and half of the prior before anything was observed.
func (t *durationEstimates[K]) mean(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.keys[key]; known != nil {
		return time.Duration(known.mean)
	}
	return prior / 2
}

// most is what is nearly always enough, and the prior before anything was observed.
func (t *durationEstimates[K]) upperBound(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.keys[key]; known != nil {
		return known.upperBound()
	}
	return prior
}

func (t *durationEstimates[K]) at(key K, prior time.Duration) *durationEstimate {
	known := t.keys[key]
	if known == nil {
		if t.keys == nil {
			t.keys = map[K]*durationEstimate{}
		}
		// Half of the prior is taken to be its spread.
		known = &durationEstimate{mean: float64(prior) / 2, deviation: float64(prior) / 2 / estimateDeviations}
		t.keys[key] = known
	}
	return known
}
