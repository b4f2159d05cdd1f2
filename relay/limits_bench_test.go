package relay

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLimitSharing compares ways to divide a limit between daemons. It reports the used part of the target's
// limit, the largest number of arrivals within a span relative to the bound, and messages per second.
func BenchmarkLimitSharing(b *testing.B) {
	const length = 40 * time.Second
	ways := []struct {
		testName string
		// isolated daemons do not hear from each other, so that each keeps to a part of its own; silent ones do not
		// answer each other.
		isolated, silent bool
	}{{"granted by one daemon", false, false}, {"equal parts", true, false}, {"single sender", false, true}}
	for _, way := range ways {
		for _, daemons := range []int{6, 30, 95} {
			for _, limit := range []float64{0.3, 1, 5, 50} {
				b.Run(fmt.Sprintf("%s/daemons=%d/limit=%g", way.testName, daemons, limit), func(b *testing.B) {
					for range b.N {
						w := newLimitSimulation(1, daemons, limit)
						w.run(limitLearnTime, 3*limit+3, daemons, false)
						w.silent = way.silent
						if way.isolated {
							w.isolateAll()
						}
						from, calls, before := w.clock.Now(), w.calls, len(w.arrivals)
						w.run(length, 3*limit+3, daemons, false)
						b.ReportMetric(float64(len(w.arrivals)-before)/(limit*length.Seconds()), "used")
						b.ReportMetric(float64(w.maxArrivals(from))/float64(maxAllowedArrivals(limit)), "ofBound")
						b.ReportMetric(float64(w.calls-calls)/length.Seconds(), "asks/s")
					}
				})
			}
		}
	}
}

// isolateAll cuts all daemons off from each other.
func (s *limitSimulation) isolateAll() {
	for i, d := range s.daemons {
		d.group, d.assumedGroup = i, i
	}
}
