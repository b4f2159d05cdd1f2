package relay

// linear learns what each of several things adds to a sum from sums that are observed, such as what a call and each of
// its pieces take. It starts from a prior for each, and is robust: an observation that is far off counts as one at the
// bound, and no estimate leaves its prior by more than a factor.
type linear[K comparable] struct {
	// prior is the figure that an estimate starts from; it must be above 0.
	prior func(K) float64
	// learn is the part of an observation's error that is taken over at once, odd the factor from which one is an
	// outlier, and spread the factor by which an estimate may leave its prior.
	learn, odd, spread float64

	value map[K]float64
}

// of returns the estimate for one thing.
func (l *linear[K]) of(key K) float64 {
	if v, ok := l.value[key]; ok {
		return v
	}
	return l.prior(key)
}

// sum returns the expected sum for such amounts of each thing.
func (l *linear[K]) sum(amounts map[K]float64) float64 {
	sum := 0.0
	for key, amount := range amounts {
		sum += amount * l.of(key)
	}
	return sum
}

// observe takes in a sum. Its error is divided among the estimates by what each contributed, so that one seen in many
// mixes settles whatever the others are (normalised least squares).
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

// set takes over an estimate from elsewhere.
func (l *linear[K]) set(key K, value float64) {
	if l.value == nil {
		l.value = map[K]float64{}
	}
	prior := l.prior(key)
	l.value[key] = min(l.spread*prior, max(prior/l.spread, value))
}
