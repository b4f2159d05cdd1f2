package serve

import (
	"math"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"emberlead/wire"
)

const metricRunDelay = "/sched/latencies:seconds"

// usage is how much of its VM a daemon used between two readings.
type usage struct {
	// Processor is the processor time as a fraction of the limit, and Received and Sent are the bytes as fractions of what the link carries;
	// 0 if the rate of the link is unknown.
	Processor float64 `json:"processor"`
	Received  float64 `json:"received"`
	Sent      float64 `json:"sent"`
	// RunDelay and RunDelayP90 are quantiles of the time for which goroutines that could run waited for the processor.
	RunDelay    float64 `json:"runDelayMillis"`
	RunDelayP90 float64 `json:"runDelayP90Millis"`
	// LinkDelay is how long heartbeats of other daemons waited on the link.
	LinkDelay float64 `json:"linkDelayMillis"`
	// Runs is the number of goroutine starts from which they were taken.
	Runs uint64 `json:"runs"`
}

// loadMeter measures how much of its VM this daemon uses.
type loadMeter struct {
	cpuLimit, linkRate float64
	traffic            *wire.Traffic
	// shared is set if other daemons run in the process, so that its use of the processor is not that of this one.
	shared bool

	mu       sync.Mutex
	samples  []metrics.Sample
	delays   []uint64
	at       time.Time
	cpuTime  time.Duration
	received int64
	sent     int64
	last     usage
}

func newLoadMeter(cpuLimit, linkRate float64, traffic *wire.Traffic) *loadMeter {
	return &loadMeter{cpuLimit: cpuLimit, linkRate: linkRate, traffic: traffic, samples: []metrics.Sample{{Name: metricRunDelay}}}
}

// read returns the usage since the previous reading.
func (m *loadMeter) read(now time.Time, linkDelay time.Duration) usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.at).Seconds()
	u, cpuTime := usage{}, time.Duration(0)
	if !m.shared {
		u, cpuTime = m.readRunDelays(), processorTime()
	}
	u.LinkDelay = float64(linkDelay) / float64(time.Millisecond)
	received, sent := m.traffic.Totals()
	if !m.at.IsZero() && elapsed > 0 {
		u.Processor = fraction((cpuTime - m.cpuTime).Seconds(), elapsed*m.cpuLimit)
		u.Received, u.Sent = fraction(float64(received-m.received), elapsed*m.linkRate), fraction(float64(sent-m.sent), elapsed*m.linkRate)
	}
	m.at, m.cpuTime, m.received, m.sent = now, cpuTime, received, sent
	m.last = u
	return u
}

// latest returns the last reading.
func (m *loadMeter) latest() usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// processorTime returns the processor time that the process has used; 0 if it is unknown.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// readRunDelays returns the quantiles of the delays since the previous reading. The caller holds the lock.
func (m *loadMeter) readRunDelays() usage {
	metrics.Read(m.samples)
	h := m.samples[0].Value.Float64Histogram()
	if m.delays == nil {
		m.delays = make([]uint64, len(h.Counts))
	}
	total := uint64(0)
	for i, count := range h.Counts {
		m.delays[i] = count - m.delays[i]
		total += m.delays[i]
	}
	u := usage{Runs: total, RunDelay: delayQuantile(h.Buckets, m.delays, total, 0.5), RunDelayP90: delayQuantile(h.Buckets, m.delays, total, 0.9)}
	copy(m.delays, h.Counts)
	return u
}

// delayQuantile returns a quantile of a histogram in milliseconds.
func delayQuantile(buckets []float64, counts []uint64, total uint64, quantile float64) float64 {
	rank, seen := uint64(math.Ceil(quantile*float64(total))), uint64(0)
	for i, count := range counts {
		if seen += count; count > 0 && seen >= rank {
			return 1000 * max(0, buckets[i])
		}
	}
	return 0
}
