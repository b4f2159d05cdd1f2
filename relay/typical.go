package relay

import (
	"sync"
	"time"
)

const (
	// typicalWeight is the weight of the newest observation: some twenty count, which a route of ten requests a second
	// gives in two seconds.
	typicalWeight = 0.1
	// typicalDeviations is how many mean deviations above the mean what is nearly always enough lies: about 19 of 20.
	typicalDeviations = 2
	// typicalOdd is how many times what is nearly always enough an observation counts for at most.
	typicalOdd = 3
)

// typical learns how long something takes, and how much that varies.
type typical struct{ mean, deviation float64 }

func (t *typical) observe(took time.Duration) {
	value := min(float64(took), typicalOdd*float64(t.most()))
	off := value - t.mean
	t.mean += typicalWeight * off
	t.deviation += typicalWeight * (max(off, -off) - t.deviation)
}

// most is what is nearly always enough.
func (t *typical) most() time.Duration {
	return time.Duration(t.mean + typicalDeviations*t.deviation)
}

// typicals learns how long the same kind of thing takes for each of several keys.
type typicals[K comparable] struct {
	mu   sync.Mutex
	keys map[K]*typical
}

// observe takes in how long it took; prior is what was expected before anything was observed.
func (t *typicals[K]) observe(key K, prior, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(key, prior).observe(took)
}

// mean is how long it takes on average, and half of the prior before anything was observed.
func (t *typicals[K]) mean(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.keys[key]; known != nil {
		return time.Duration(known.mean)
	}
	return prior / 2
}

// most is what is nearly always enough, and the prior before anything was observed.
func (t *typicals[K]) most(key K, prior time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.keys[key]; known != nil {
		return known.most()
	}
	return prior
}

func (t *typicals[K]) at(key K, prior time.Duration) *typical {
	known := t.keys[key]
	if known == nil {
		if t.keys == nil {
			t.keys = map[K]*typical{}
		}
		// Half of the prior is taken to be its spread.
		known = &typical{mean: float64(prior) / 2, deviation: float64(prior) / 2 / typicalDeviations}
		t.keys[key] = known
	}
	return known
}
