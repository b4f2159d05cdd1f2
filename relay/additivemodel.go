package relay

// additiveModel estimates how much each of several components contributes to a sum, such as the fixed time of a call and the times of
// its pieces, by observing sums. It is robust: outliers are clamped, and estimates stay within a factor of their priors.
type additiveModel[K comparable] struct {
	// prior returns the initial estimate, which must be positive.
	prior func(K) float64
	// learningRate is the fraction of the error of an observation that is adopted at once, outlierFactor is the factor from which an
	// observation is an outlier, and maxDeviation is the factor by which an estimate may differ from its prior.
	learningRate, outlierFactor, maxDeviation float64

	values map[K]float64
}

// estimate returns the estimate for one component.
func (l *additiveModel[K]) estimate(key K) float64 {
	if v, ok := l.values[key]; ok {
		return v
	}
	return l.prior(key)
}

// sum returns the expected sum for the given amounts of each component.
func (l *additiveModel[K]) sum(amounts map[K]float64) float64 {
	sum := 0.0
	for key, amount := range amounts {
		sum += amount * l.estimate(key)
	}
	return sum
}

// observe updates the estimates with an observed sum. The error is distributed over the components by their contributions, so that a
// component that is observed in many combinations converges whatever the others are (normalized least mean squares).
func (l *additiveModel[K]) observe(amounts map[K]float64, sum float64) {
	expected, square := 0.0, 0.0
	for key, amount := range amounts {
		part := amount * l.estimate(key)
		expected += part
		square += part * part
	}
	if square == 0 {
		return
	}
	sum = min(l.outlierFactor*expected, max(expected/l.outlierFactor, sum))
	step := l.learningRate * (sum - expected) / square
	if l.values == nil {
		l.values = map[K]float64{}
	}
	for key, amount := range amounts {
		value, prior := l.estimate(key), l.prior(key)
		value *= 1 + step*amount*value
		l.values[key] = min(l.maxDeviation*prior, max(prior/l.maxDeviation, value))
	}
}

// set overwrites an estimate with one from another source.
func (l *additiveModel[K]) set(key K, value float64) {
	if l.values == nil {
		l.values = map[K]float64{}
	}
	prior := l.prior(key)
	l.values[key] = min(l.maxDeviation*prior, max(prior/l.maxDeviation, value))
}
