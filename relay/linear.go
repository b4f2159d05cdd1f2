package relay

// linear estimates how much each of several components contributes to a sum, such as the fixed time of a call and the
// times of its pieces, by observing sums. It is robust: outliers are clamped, and estimates stay within a factor of
// their priors.
type linear[K comparable] struct {
	// prior returns the initial estimate, which must be positive.
	prior func(K) float64
	// learn is the fraction of the error of an observation that is adopted at once, odd is the factor from which an
	// observation is an outlier, and spread is the factor by which an estimate may differ from its prior.
	learn, odd, spread float64

	value map[K]float64
}

// of returns the estimate for one component.
func (l *linear[K]) of(key K) float64 {
	if v, ok := l.value[key]; ok {
		return v
	}
	return l.prior(key)
}

// sum returns the expected sum for the given amounts of each component.
func (l *linear[K]) sum(amounts map[K]float64) float64 {
	sum := 0.0
	for key, amount := range amounts {
		sum += amount * l.of(key)
	}
	return sum
}

// observe updates the estimates with an observed sum. The error is distributed over the components by their
// contributions, so that a component that is observed in many combinations converges whatever the others are
// (normalized least mean squares).
func (l *linear[K]) observe(amounts map[K]float64, sum float64) {
	expected, square := 0.0, 0.0
	for key, amount := range amounts {
		part := amount * l.of(key)
		expected += part
		square += part * part
	}
	if square == 0 {
		return
	}
	sum = min(l.odd*expected, max(expected/l.odd, sum))
	step := l.learn * (sum - expected) / square
	if l.value == nil {
		l.value = map[K]float64{}
	}
	for key, amount := range amounts {
		value, prior := l.of(key), l.prior(key)
		value *= 1 + step*amount*value
		l.value[key] = min(l.spread*prior, max(prior/l.spread, value))
	}
}

// set overwrites an estimate with one from another source.
func (l *linear[K]) set(key K, value float64) {
	if l.value == nil {
		l.value = map[K]float64{}
	}
	prior := l.prior(key)
	l.value[key] = min(l.spread*prior, max(prior/l.spread, value))
}
