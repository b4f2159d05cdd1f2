package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histogram of latencies, in microseconds.
const (
	latencyLeast  = 1
	latencyMost   = int64(time.Minute / time.Microsecond)
	latencyDigits = 2
)

// Counts are totals of requests since the start.
type Counts struct {
	received, completed, late, unavailable, failed, rejected, callerLeft, streamsBroken, streamsResumed, retried, crashing, notAdmitted atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// CountReport is what the metrics address shows of Counts.
type CountReport struct {
	Received int64 `json:"asked"`
	// Delivered answers were whole, Late ones of them beyond the goal.
	Delivered int64 `json:"delivered"`
	Late      int64 `json:"late"`
	// NotRun requests were refused with a time to come back.
	NotRun int64 `json:"notRun"`
	// Failed requests may have run.
	Failed int64 `json:"failed"`
	// Rejected requests were at fault themselves.
	Rejected       int64 `json:"rejected"`
	CallerLeft     int64 `json:"callerLeft"`
	StreamsBroken  int64 `json:"streamsBroken"`
	StreamsResumed int64 `json:"streamsResumed"`
	Retried        int64 `json:"retried"`
	// Crashing requests were not run, since targets ended that ran them.
	Crashing int64 `json:"crashing"`
	// NotAdmitted requests were refused before they were begun, since engines had too much to do.
	NotAdmitted int64 `json:"notAdmitted"`
	// LatencyMillis holds quantiles of the time to the whole answer.
	LatencyMillis map[string]float64 `json:"latencyMillis"`
}

func (c *Counts) recordDelivered(took time.Duration, inTime bool) {
	c.completed.Add(1)
	if !inTime {
		c.late.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency == nil {
		c.latency = hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
	}
	// A value beyond the bounds cannot occur: it is cut to them.
	_ = c.latency.RecordValue(min(latencyMost, max(latencyLeast, took.Microseconds())))
}

func (c *Counts) recordRefused(status int) {
	switch {
	case status == http.StatusServiceUnavailable:
		c.unavailable.Add(1)
	case status >= http.StatusInternalServerError:
		c.failed.Add(1)
	default:
		c.rejected.Add(1)
	}
}

// Report returns the totals.
func (c *Counts) Report() CountReport {
	r := CountReport{
		Received: c.received.Load(), Delivered: c.completed.Load(), Late: c.late.Load(), NotRun: c.unavailable.Load(), Failed: c.failed.Load(),
		Rejected: c.rejected.Load(), CallerLeft: c.callerLeft.Load(), StreamsBroken: c.streamsBroken.Load(), StreamsResumed: c.streamsResumed.Load(), Retried: c.retried.Load(), Crashing: c.crashing.Load(), NotAdmitted: c.notAdmitted.Load(),
		LatencyMillis: map[string]float64{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency == nil {
		return r
	}
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99} {
		r.LatencyMillis[name] = float64(c.latency.ValueAtQuantile(q)) / 1000
	}
	return r
}
