package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestDurationEstimateUpperBound(t *testing.T) {
	noise := rand.New(rand.NewPCG(5, 6))
	times := newDurationEstimates[string](clockwork.NewFakeClock())
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

// TestEstimateAgesWithoutObservations guards against requests that are refused for good by an estimate learned during a disturbance:
// none of them runs, so nothing corrects it.
func TestEstimateAgesWithoutObservations(t *testing.T) {
	const (
		prior  = 300 * time.Millisecond
		normal = 200 * time.Millisecond
		slow   = 8 * time.Second
	)
	clock := clockwork.NewFakeClock()
	times := newDurationEstimates[string](clock)
	for range 100 {
		times.observe("a", prior, slow)
	}
	learned := times.mean("a", prior)
	if learned < slow/2 {
		t.Fatalf("the mean is %s", learned)
	}
	clock.Advance(estimateTTL)
	if got := times.mean("a", prior); got != learned {
		t.Errorf("the mean is %s while it holds, want %s", got, learned)
	}
	clock.Advance(12 * estimateHalfLife)
	if got := times.mean("a", prior); got > prior {
		t.Errorf("the mean is %s after a minute without observations", got)
	}
	if got := times.upperBound("a", prior); got < slow/2 {
		t.Errorf("the upper bound is %s, by which attempts are hedged", got)
	}
	times.observe("a", prior, normal)
	if got := times.mean("a", prior); got > prior {
		t.Errorf("the mean is %s after a request that was not slow", got)
	}
}

// TestEstimateOfRareRequestsIsKept observes a slow request every minute.
func TestEstimateOfRareRequestsIsKept(t *testing.T) {
	const prior, slow = 300 * time.Millisecond, 2 * time.Second
	clock := clockwork.NewFakeClock()
	times := newDurationEstimates[string](clock)
	for range 100 {
		times.observe("a", prior, slow)
		clock.Advance(time.Minute)
	}
	times.observe("a", prior, slow)
	if got := times.mean("a", prior); got < slow/2 {
		t.Errorf("the mean is %s", got)
	}
}
