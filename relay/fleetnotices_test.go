package relay

import (
	"testing"
	"time"

	"emberlead/proto"
)

// bornAt is a target of a run that started so many seconds after start.
func bornAt(seconds int) proto.RelayTarget {
	t := listed("t", "p", "z")
	t.Born = start.Add(time.Duration(seconds) * time.Second)
	return t
}

// TestALeaveSaidInAnAnswerHoldsForTheRun guards against a target that leaves and is used again by a change of its entry, or by one that was
// not there when it said so; and against a new run that is held to what the last one said.
func TestALeaveSaidInAnAnswerHoldsForTheRun(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(f *Fleet)
		used     bool
	}{
		{"nothing changes", func(*Fleet) {}, false},
		{"the entry is written again", func(f *Fleet) { f.Change(start, []FleetChange{put(2, bornAt(1))}) }, false},
		{"a later answer does not say so", func(f *Fleet) {
			f.Hear(start.Add(time.Minute), &Hearing{Target: bornAt(1), Sent: start.Add(time.Minute)})
		}, false},
		{"the store is restored from a copy", func(f *Fleet) {
			f.Replace(start, proto.Revision{Era: 1, Version: 1}, []FleetChange{putIn(1, 1, bornAt(1))}, false)
		}, false},
		{"another writer spoils the entry for a while", func(f *Fleet) {
			f.Change(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Unusable: true}})
			f.Sweep(start.Add(time.Minute))
			f.Change(start.Add(time.Minute), []FleetChange{put(3, bornAt(1))})
		}, false},
		{"the entry goes and comes back", func(f *Fleet) {
			f.Change(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Removed: true}})
			f.Change(start, []FleetChange{put(3, bornAt(1))})
		}, false},
		{"the target starts again", func(f *Fleet) { f.Change(start, []FleetChange{put(2, bornAt(2))}) }, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := NewFleet(func(string) {})
			f.Change(start, []FleetChange{put(1, bornAt(1))})
			f.Hear(start, &Hearing{Notice: Notice{Leaving: true}, Target: bornAt(1), Sent: start})
			s.change(f)
			if used := f.Pick(start.Add(time.Minute), "p", Want{}) != nil; used != s.used {
				t.Errorf("used: %v", used)
			}
			if usable := len(f.Usable(start.Add(time.Minute), "p")) > 0; usable != s.used {
				t.Errorf("used for calls: %v", usable)
			}
		})
	}
}

// TestATargetThatLeavesByItsAnswersHasNotCrashed guards against requests that are held to have ended a target which left in order.
func TestATargetThatLeavesByItsAnswersHasNotCrashed(t *testing.T) {
	f := NewFleet(func(string) {})
	f.Change(start, []FleetChange{put(1, bornAt(1))})
	f.Hear(start, &Hearing{Notice: Notice{Leaving: true}, Target: bornAt(1), Sent: start})
	for _, n := range f.Change(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Removed: true}}) {
		if n.Crashed() {
			t.Errorf("counts as crashed: %+v", n)
		}
	}
}

// TestDaemonsThatHeardDifferentThingsComeToKnowTheSame has three daemons hear different things and tell each other in any order.
func TestDaemonsThatHeardDifferentThingsComeToKnowTheSame(t *testing.T) {
	var fleets []*Fleet
	heard := []Notice{{Limited: true, Limit: 2}, {Limited: true, Limit: 1}, {Leaving: true}}
	for _, n := range heard {
		f := NewFleet(func(string) {})
		f.Change(start, []FleetChange{put(1, bornAt(1))})
		f.Hear(start, &Hearing{Notice: n, Target: bornAt(1), Sent: start})
		fleets = append(fleets, f)
	}
	for range 2 {
		for _, from := range fleets {
			for _, to := range fleets {
				to.LearnNotices(start, from.Notices())
			}
		}
	}
	for i, f := range fleets {
		got := f.Notices()
		if len(got) != 1 || !got[0].Leaving || got[0].Limit != 1 || f.NoticeDigest() != fleets[0].NoticeDigest() {
			t.Errorf("daemon %d knows %+v", i, got)
		}
	}
}
