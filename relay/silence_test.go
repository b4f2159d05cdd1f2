package relay

import (
	"testing"
	"time"
)

// TestBrieflySilentTargetIsUsedAgain guards against ejecting a sound target for seconds because many attempts waited for it while it was
// silent for one.
func TestBrieflySilentTargetIsUsedAgain(t *testing.T) {
	scenarios := []struct {
		name string
		// responds ends the silence.
		responds func(f *Fleet, now time.Time, silent *Target, w TargetCriteria)
	}{
		{"the first event of a stream", func(f *Fleet, now time.Time, silent *Target, w TargetCriteria) {
			f.RecordResponseStart(now, silent, w)
		}},
		{"a complete response", func(f *Fleet, now time.Time, silent *Target, w TargetCriteria) {
			f.FinishAttempt(now, silent, w, false, VerdictSuccess, Load{})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := engineFleet(1)
			w := promptCriteria("a", 100, 10)
			now := start
			var silent *Target
			for range 8 {
				silent = f.Pick(now, "p", w)
			}
			for range 8 {
				now = now.Add(10 * time.Millisecond)
				f.ReportSlow(now, silent)
			}
			if _, ejectedFor := f.ejection(now, silent); ejectedFor <= 0 || ejectedFor > baseEjection {
				t.Errorf("ejected for %s while it is silent, want at most %s", ejectedFor, baseEjection)
			}
			now = now.Add(50 * time.Millisecond)
			s.responds(f, now, silent, w)
			if failures, ejectedFor := f.ejection(now, silent); failures != 0 || ejectedFor != 0 {
				t.Errorf("%d failures, ejected for %s after its silence", failures, ejectedFor)
			}
		})
	}
}
