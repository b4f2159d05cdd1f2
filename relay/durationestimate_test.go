package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestDurationEstimateUpperBound(t *testing.T) {
	noise := rand.New(rand.NewPCG(5, 6))
	var times durationEstimates[string]
	const prior = 300 * time.Millisecond
	if got := times.upperBound("a", prior); got != prior {
		t.Errorf("the upper bound without observations is %v", got)
	}
	sample := func(mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * (0.6 + 0.8*noise.Float64()))
	}
	for _, mean := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		for range 30 {
			times.observe("a", prior, sample(mean))
		}
		enough := 0
		for range 200 {
			if sample(mean) <= times.upperBound("a", prior) {
				enough++
			}
		}
		if upperBound := times.upperBound("a", prior); enough < 180 || upperBound > 2*mean {
			t.Errorf("mean %v: the upper bound %v is sufficient for %d of 200", mean, upperBound, enough)
		}
	}
	before := times.upperBound("a", prior)
	times.observe("a", prior, time.Hour)
	if got := times.upperBound("a", prior); got > 2*before {
		t.Errorf("an outlier of one hour changed the upper bound from %v to %v", before, got)
	}
	if got := times.upperBound("b", prior); got != prior {
		t.Errorf("the upper bound of another key is %v", got)
	}
}
