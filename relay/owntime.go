package relay

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ownTimes counts how long requests spend in this daemon until something is first sent for them: a call for a stage, or the request itself.
type ownTimes struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

func (o *ownTimes) record(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.times == nil {
		o.times = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	// Recording cannot fail, as the value is clamped to the bounds of the histogram.
	_ = o.times.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, took.Microseconds())))
}

// quantiles returns quantiles in milliseconds.
func (o *ownTimes) quantiles() map[string]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return quantilesMillis(o.times)
}

// quantilesMillis returns quantiles, in milliseconds, of a histogram in microseconds that may be nil.
func quantilesMillis(h *hdrhistogram.Histogram) map[string]float64 {
	quantiles := map[string]float64{}
	if h == nil {
		return quantiles
	}
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99} {
		quantiles[name] = float64(h.ValueAtQuantile(q)) / 1000
	}
	return quantiles
}

// recordFirstSend records that something is sent for the request, unless something was before.
func (f *flow) recordFirstSend() {
	if f.firstSentAt.IsZero() {
		f.firstSentAt = f.server.clock.Now()
		f.server.counts.ownTimes.record(f.firstSentAt.Sub(f.startedAt))
	}
}
