package coord

import (
	"testing"
	"time"
)

// TestDaemonStopsReadingOnceAReaderIsServed guards against daemons that go on reading for half a minute after the store serves again those
// that read by their rank.
func TestDaemonStopsReadingOnceAReaderIsServed(t *testing.T) {
	timing, other := DefaultReaderTiming(), Standing{Count: 5}
	scenarios := []struct {
		name string
		tell func(r *TableReader, at time.Time)
		want ReadReason
	}{
		{"nobody tells anything", func(*TableReader, time.Time) {}, ReadStale},
		{"others tell what this daemon told them", func(r *TableReader, at time.Time) { r.ConfirmByOthers(at) }, ReadStale},
		{"a daemon tells that reads for others too", func(r *TableReader, at time.Time) { r.ConfirmByOthers(at.Add(time.Second)) }, ReadStale},
		{"a reader by rank tells that the store serves it", func(r *TableReader, at time.Time) { r.HandleServedReader(at) }, ReadNone},
		{"a reader by rank told that long ago", func(r *TableReader, at time.Time) { r.HandleServedReader(at.Add(-timing.MaxAge)) }, ReadStale},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			r := NewTableReader(now, timing, WithReaderRandom(func(time.Duration) time.Duration { return 0 }))
			now = now.Add(timing.MaxAge + time.Millisecond)
			if r.Reason(now, other) != ReadStale {
				t.Fatal("a daemon whose copy nobody confirms does not read")
			}
			r.Answered(now, other)
			r.Confirm(now)
			s.tell(r, now)
			if got := r.Reason(now.Add(time.Second), other); got != s.want {
				t.Errorf("reads with reason %q, want %q", got, s.want)
			}
		})
	}
}
