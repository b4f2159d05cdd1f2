package serve

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapTuneInterval is how often the garbage collector is adjusted to the live heap.
	heapTuneInterval = time.Second
	// garbageFraction is the fraction of a VM's memory that garbage may take up between two collections. A fixed percentage of the live
	// heap would collect the few megabytes of a small deployment too often, and keep several times the target list of a large one.
	garbageFraction = 1.0 / 32
	// minGCPercent and maxGCPercent bound the growth of the heap between two collections, in percent of the live heap.
	minGCPercent, maxGCPercent = 25, 400
	// minGCPercentChange is the smallest change that is applied: each one stops all goroutines for a moment.
	minGCPercentChange = 0.2
)

const metricLiveHeap = "/gc/heap/live:bytes"

// heapTuner sets how much the heap may grow between two garbage collections.
type heapTuner struct {
	// percent is the growth in force; 0 before the first adjustment.
	percent int
}

// adjust sets the growth for a VM with the given memory in bytes, according to the live heap.
func (h *heapTuner) adjust(memory uint64) {
	sample := []metrics.Sample{{Name: metricLiveHeap}}
	metrics.Read(sample)
	percent := gcPercent(sample[0].Value.Uint64(), memory)
	if change := float64(percent-h.percent) / float64(max(1, h.percent)); -minGCPercentChange < change && change < minGCPercentChange {
		return
	}
	h.percent = percent
	debug.SetGCPercent(percent)
}

// gcPercent returns the growth of a live heap between two collections, in percent; both sizes are in bytes.
func gcPercent(live, memory uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	return int(min(maxGCPercent, max(minGCPercent, 100*garbageFraction*float64(memory)/float64(live))))
}
