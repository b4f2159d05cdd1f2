package state

import (
	"math"
	"time"
)

// DecayingSum is a sum that loses half of its value in each half-life.
type DecayingSum struct {
	value     float64
	lastAdded time.Time
}

// Add decays the sum to the given time and adds an amount.
func (d *DecayingSum) Add(now time.Time, halfLife time.Duration, amount float64) {
	d.value = d.Value(now, halfLife) + amount
	if now.After(d.lastAdded) {
		d.lastAdded = now
	}
}

// DecayFactor returns the fraction that is left after the given age.
func DecayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// Value returns the sum at the given time; a time before the last addition counts as the time of that addition.
func (d *DecayingSum) Value(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 || !now.After(d.lastAdded) {
		return d.value
	}
	return d.value * DecayFactor(now.Sub(d.lastAdded), halfLife)
}

// Mean is an exponentially weighted mean with its mean absolute deviation.
type Mean struct {
	count     int
	mean      float64
	deviation float64
}

const meanWindow = 32

// Add adds a sample; the first meanWindow samples have equal weight.
func (m *Mean) Add(sample float64) {
	m.count++
	weight := 1 / float64(min(m.count, meanWindow))
	m.deviation += weight * (math.Abs(sample-m.mean) - m.deviation)
	m.mean += weight * (sample - m.mean)
	if m.count == 1 {
		m.deviation = sample / 2
	}
}

// Count returns the number of samples.
func (m *Mean) Count() int { return m.count }

// Mean returns the weighted mean.
func (m *Mean) Mean() float64 { return m.mean }

// Deviation returns the weighted mean absolute deviation.
func (m *Mean) Deviation() float64 { return m.deviation }

// Bucket is a token bucket that is refilled by events instead of by time.
type Bucket struct {
	tokens   float64
	capacity float64
}

// NewBucket returns a full bucket of the given capacity.
func NewBucket(capacity float64) Bucket { return Bucket{tokens: capacity, capacity: capacity} }

// Deposit adds a fraction of a token.
func (b *Bucket) Deposit(fraction float64) { b.tokens = min(b.capacity, b.tokens+fraction) }

// Take removes one token if there is one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
