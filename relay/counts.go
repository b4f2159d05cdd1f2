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
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// RequestCounters holds totals of requests since the start.
type RequestCounters struct {
	received, completed, late, unavailable, failed, rejected, callerLeft, callerLeftUnsent, streamsBroken, streamsResumed, retried, crashing, notAdmitted, leaving, nextStageSlow, expiredRebuilds, passedOn atomic.Int64

	oversized                                          oversizeCounts
	refusals                                           refusalStats
	unknown                                            unknownCounts
	ownTimes                                           ownTimes
	ownLimits                                          atomic.Int64
	admitted, notAdmittedByStage, notAdmittedByEngines atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// RequestStats holds the totals as the metrics endpoint shows them.
type RequestStats struct {
	Received int64 `json:"asked"`
	// Delivered counts complete answers, and Late those of them that exceeded the latency goal.
	Delivered int64 `json:"delivered"`
	Late      int64 `json:"late"`
	// NotRun counts requests that were refused with a retry time.
	NotRun int64 `json:"notRun"`
	// Failed counts failed requests that may have run.
	Failed int64 `json:"failed"`
	// Rejected counts invalid requests.
	Rejected   int64 `json:"rejected"`
	CallerLeft int64 `json:"callerLeft"`
	// CallerLeftUnsent counts those of them that had been sent to no target.
	CallerLeftUnsent int64 `json:"callerLeftUnsent"`
	StreamsBroken    int64 `json:"streamsBroken"`
	StreamsResumed   int64 `json:"streamsResumed"`
	Retried          int64 `json:"retried"`
	// Crashing counts requests not run because targets that ran them had ended.
	Crashing int64 `json:"crashing"`
	// NotAdmitted counts requests refused before they started because the engines, or the stages, were overloaded.
	NotAdmitted int64 `json:"notAdmitted"`
	// CallerLeaving counts requests refused because their first event would have come after the caller had left.
	CallerLeaving int64 `json:"callerLeaving"`
	// NextStageSlow counts requests refused because results would have expired in the queue of the next stage.
	NextStageSlow int64 `json:"nextStageSlow"`
	// ExpiredRebuilds counts requests whose stages were run again because results had expired.
	ExpiredRebuilds int64 `json:"expiredRebuilds"`
	// PassedOn counts answers that were passed on as they arrived, since the daemon's limit left no room to buffer them.
	PassedOn int64 `json:"passedOn"`
	// Oversized counts responses of targets that were given up because of their size, by what was too large.
	Oversized map[oversizeCause]int64 `json:"oversized"`
	// Refusals holds the requests that were refused as not run, by the kind of reason and the time from their arrival.
	Refusals RefusalStats `json:"refusals"`
	// Unknown tells of requests for a route or with a key that the configuration does not have.
	Unknown UnknownStats `json:"unknown"`
	// Admitted counts requests admitted by the load of their whole pipeline. NotAdmittedByStage and NotAdmittedByEngines
	// count those refused by it, by the kind of the pool that limited them.
	Admitted             int64 `json:"admitted"`
	NotAdmittedByStage   int64 `json:"notAdmittedByStage"`
	NotAdmittedByEngines int64 `json:"notAdmittedByEngines"`
	// OwnMillis holds quantiles of the time from the arrival until something was first sent for a request.
	OwnMillis map[string]float64 `json:"ownMillis"`
	// LatencyMillis holds quantiles of the time to the complete answer.
	LatencyMillis map[string]float64 `json:"latencyMillis"`
}

// OwnLimitRefusals returns the number of requests refused since the start for limits of this daemon alone: of its open
// requests, and its part of the slots of brittle targets.
func (c *RequestCounters) OwnLimitRefusals() int64 { return c.ownLimits.Load() }

func (c *RequestCounters) recordDelivered(took time.Duration, inTime bool) {
	c.completed.Add(1)
	if !inTime {
		c.late.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency == nil {
		c.latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	// Recording cannot fail, as the value is clamped to the bounds of the histogram.
	_ = c.latency.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, took.Microseconds())))
}

func (c *RequestCounters) recordRefused(status int) {
	switch {
	case status == http.StatusServiceUnavailable:
		c.unavailable.Add(1)
	case status >= http.StatusInternalServerError:
		c.failed.Add(1)
	default:
		c.rejected.Add(1)
	}
}

// Stats returns the totals.
func (c *RequestCounters) Stats() RequestStats {
	r := RequestStats{
		Received: c.received.Load(), Delivered: c.completed.Load(), Late: c.late.Load(), NotRun: c.unavailable.Load(), Failed: c.failed.Load(),
		Rejected: c.rejected.Load(), CallerLeft: c.callerLeft.Load(), CallerLeftUnsent: c.callerLeftUnsent.Load(), StreamsBroken: c.streamsBroken.Load(), StreamsResumed: c.streamsResumed.Load(), Retried: c.retried.Load(), Crashing: c.crashing.Load(), NotAdmitted: c.notAdmitted.Load(), CallerLeaving: c.leaving.Load(), NextStageSlow: c.nextStageSlow.Load(), ExpiredRebuilds: c.expiredRebuilds.Load(),
		PassedOn: c.passedOn.Load(), Oversized: c.oversized.snapshot(), Refusals: c.refusals.stats(), Unknown: c.unknown.stats(), OwnMillis: c.ownTimes.quantiles(),
		Admitted: c.admitted.Load(), NotAdmittedByStage: c.notAdmittedByStage.Load(), NotAdmittedByEngines: c.notAdmittedByEngines.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.LatencyMillis = quantilesMillis(c.latency)
	return r
}
