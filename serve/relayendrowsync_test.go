package serve

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

func newEnd(run proto.RunName, requests int) proto.TargetEnds {
	return proto.TargetEnds{Ends: []proto.TargetEnd{{Run: run, Requests: make([]proto.RequestDigest, requests)}}}
}

// TestEndRowIsWrittenOnlyWhilePartitioned checks the moments at which a row is due.
func TestEndRowIsWrittenOnlyWhilePartitioned(t *testing.T) {
	const interval = endRowInterval
	type check struct {
		after time.Duration
		// requests is the number of requests that ran at a target that ended; 0 if none ended.
		requests    int
		partitioned bool
		// ends is the number of ends that are written, -1 if nothing is written.
		ends int
	}
	scenarios := []struct {
		name   string
		checks []check
	}{
		{"all daemons are reachable", []check{{0, 3, false, -1}, {time.Minute, 3, false, -1}}},
		{"some daemons are unreachable", []check{{0, 3, true, 1}, {interval, 0, true, -1}, {interval, 2, true, 2}}},
		{"no target ended", []check{{0, 0, true, -1}}},
		{"some daemons become unreachable", []check{{0, 3, false, -1}, {time.Second, 0, true, 1}, {time.Second, 0, true, -1}}},
		{"all are reachable again, then some are not", []check{{0, 3, true, 1}, {time.Second, 0, false, -1}, {time.Second, 0, true, 1}}},
		{"ends come faster than the write interval", []check{{0, 1, true, 1}, {interval / 2, 1, true, -1}, {interval / 2, 1, true, 3}}},
		{"more requests than a row holds", []check{{0, maxEndRowRequests, false, -1}, {time.Second, 1, true, 1}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(clockStart)
			r := &endRowSync{daemon: &Relay{clock: clock}}
			for n, check := range s.checks {
				clock.Advance(check.after)
				if check.requests > 0 {
					r.recordOwn(newEnd("t", check.requests))
				}
				m, due := r.takeDue(clock.Now(), check.partitioned, interval)
				if due != (check.ends >= 0) || due && len(m.Ends) != check.ends {
					t.Fatalf("check %d: due %v with %d ends", n, due, len(m.Ends))
				}
				if due && !m.AsOf.Equal(clock.Now()) {
					t.Errorf("check %d: as of %v", n, m.AsOf)
				}
			}
		})
	}
}

func TestEndRowFitsStoreLimit(t *testing.T) {
	const maxRowBytes = 64 << 10
	r := &endRowSync{daemon: &Relay{clock: clockwork.NewFakeClockAt(clockStart)}}
	for n := range 3 * maxEndRowRequests {
		m := newEnd(proto.RunName("target-with-a-long-name@1790000000000"), 1)
		m.Ends[0].Requests[0] = proto.RequestDigest(uint64(n) * 0x9e3779b97f4a7c15)
		r.recordOwn(m)
	}
	m, due := r.takeDue(clockStart, true, 0)
	body, err := proto.Encode(m, 0, false, "")
	if !due || err != nil || len(body) > maxRowBytes {
		t.Errorf("due %v, %d bytes, %v", due, len(body), err)
	}
	if len(m.Ends) != maxEndRowRequests {
		t.Errorf("%d ends", len(m.Ends))
	}
}
