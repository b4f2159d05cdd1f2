package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// targetStartedAt is a target of a run that started the given number of seconds after start.
func targetStartedAt(seconds int) proto.RelayTarget {
	t := testTarget("t", "p", "z")
	t.StartedAt = start.Add(time.Duration(seconds) * time.Second)
	return t
}

// Guards against a leaving target that is used again after a change of its entry, or after the entry was missing while
// the target announced that it leaves; and against a new run that is bound by what the previous run announced.
func TestLeaveNoticeAppliesToRun(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(f *Fleet)
		used     bool
	}{
		{"no change", func(*Fleet) {}, false},
		{"entry rewritten", func(f *Fleet) { f.ApplyChanges(start, []FleetChange{putChange(2, targetStartedAt(1))}) }, false},
		{"later response without the notice", func(f *Fleet) {
			f.recordSignal(start.Add(time.Minute), &signal{target: targetStartedAt(1), sent: start.Add(time.Minute)})
		}, false},
		{"store restored from a copy", func(f *Fleet) {
			f.Replace(start, proto.Revision{Era: 1, Version: 1}, []FleetChange{putIn(1, 1, targetStartedAt(1))}, false)
		}, false},
		{"entry overwritten by another writer for a while", func(f *Fleet) {
			f.ApplyChanges(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Unusable: true}})
			f.Sweep(start.Add(time.Minute))
			f.ApplyChanges(start.Add(time.Minute), []FleetChange{putChange(3, targetStartedAt(1))})
		}, false},
		{"entry removed and added again", func(f *Fleet) {
			f.ApplyChanges(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Removed: true}})
			f.ApplyChanges(start, []FleetChange{putChange(3, targetStartedAt(1))})
		}, false},
		{"target restarts", func(f *Fleet) { f.ApplyChanges(start, []FleetChange{putChange(2, targetStartedAt(2))}) }, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := NewFleet(func(string) {})
			f.ApplyChanges(start, []FleetChange{putChange(1, targetStartedAt(1))})
			f.recordSignal(start, &signal{Notice: Notice{Leaving: true}, target: targetStartedAt(1), sent: start})
			s.change(f)
			if used := f.Pick(start.Add(time.Minute), "p", TargetCriteria{}) != nil; used != s.used {
				t.Errorf("picked: %v", used)
			}
			if usable := len(f.Usable(start.Add(time.Minute), "p")) > 0; usable != s.used {
				t.Errorf("usable for calls: %v", usable)
			}
		})
	}
}

// Guards against requests that are blamed for the end of a target that left in order.
func TestLeaveNoticePreventsCrashReport(t *testing.T) {
	f := NewFleet(func(string) {})
	f.ApplyChanges(start, []FleetChange{putChange(1, targetStartedAt(1))})
	f.recordSignal(start, &signal{Notice: Notice{Leaving: true}, target: targetStartedAt(1), sent: start})
	for _, n := range f.ApplyChanges(start, []FleetChange{{ID: "t", Version: proto.Revision{Version: 2}, Removed: true}}) {
		if n.Crashed() {
			t.Errorf("reported as crashed: %+v", n)
		}
	}
}

// Three daemons learn different notices and exchange them in any order.
func TestNoticesConverge(t *testing.T) {
	var fleets []*Fleet
	learned := []Notice{{HasLimit: true, Limit: 2}, {HasLimit: true, Limit: 1}, {Leaving: true}}
	for _, n := range learned {
		f := NewFleet(func(string) {})
		f.ApplyChanges(start, []FleetChange{putChange(1, targetStartedAt(1))})
		f.recordSignal(start, &signal{Notice: n, target: targetStartedAt(1), sent: start})
		fleets = append(fleets, f)
	}
	for range 2 {
		for _, from := range fleets {
			for _, to := range fleets {
				to.MergeNotices(start, from.Notices(), "other")
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

// Guards against a target that starts in another pool and does not report its start time.
func TestNewTargetIgnoresNoticesOfPreviousTarget(t *testing.T) {
	f := NewFleet(func(string) {})
	f.ApplyChanges(start, []FleetChange{putChange(1, testTarget("t", "q", "z"))})
	f.recordSignal(start, &signal{Notice: Notice{Leaving: true}, target: testTarget("t", "q", "z"), sent: start})
	f.ApplyChanges(start, []FleetChange{putChange(2, testTarget("t", "p", "z"))})
	if f.Pick(start, "p", TargetCriteria{}) == nil {
		t.Error("the target was not picked")
	}
}

// reportBackoff lets a target of the pool "p" ask this daemon for a backoff.
func reportBackoff(f *Fleet, id string, rest time.Duration) {
	f.recordSignal(start, &signal{Notice: Notice{Backoff: rest}, target: testTarget(id, "p", "z"), sent: start})
}

// Guards against requests during a backoff, and against a backoff that is implausible or never ends.
func TestTargetBackoffPeriod(t *testing.T) {
	scenarios := []struct {
		testName string
		rest     time.Duration
		rests    time.Duration
	}{
		{"three seconds", 3 * time.Second, 3 * time.Second},
		{"fraction of a second", 100 * time.Millisecond, 100 * time.Millisecond},
		{"none", 0, 0},
		{"half an hour", 30 * time.Minute, maxBackoff},
		{"a year", 365 * 24 * time.Hour, 0},
		{"for ever", 1<<63 - 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fleetWith(putChange(1, testTarget("t", "p", "z")))
			reportBackoff(f, "t", s.rest)
			if s.rests > 0 && f.Pick(start.Add(s.rests-time.Nanosecond), "p", TargetCriteria{}) != nil {
				t.Error("the target was picked during its backoff")
			}
			if s.rests > 0 && f.PickByID(start.Add(s.rests-time.Nanosecond), "p", "t", TargetCriteria{}) != nil {
				t.Error("the target was picked by ID during its backoff")
			}
			if f.Pick(start.Add(s.rests), "p", TargetCriteria{}) == nil {
				t.Error("the target was not picked after its backoff")
			}
		})
	}
}

// Guards against a target that no daemon uses because it asked only the owner of the pool to back off.
func TestBackoffAppliesToOneDaemon(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(1), engineFleet(1))
	owner, other := all["vm-0"], all["vm-1"]
	owner.fleet.recordSignal(start, &signal{Notice: Notice{Backoff: time.Second}, target: testTarget("e00", "p", "y"), sent: start})
	if owner.Choose(t.Context(), "p", promptCriteria("part", 0, 100)) != nil {
		t.Error("the daemon that was asked to back off sends a request")
	}
	if other.Choose(t.Context(), "p", promptCriteria("part", 0, 100)) == nil {
		t.Error("another daemon sends no request")
	}
}

// Guards against stages that are run for a request whose pool is in backoff or at its limits.
func TestRequestIsRefusedIfAllTargetsAreBlocked(t *testing.T) {
	const exhausted = 4 * time.Second
	rest, limit := Notice{Backoff: 3 * time.Second}, Notice{HasLimit: true, Limit: 0.25}
	scenarios := []struct {
		testName string
		notices  []Notice
		reason   string
		wait     time.Duration
		stages   bool
	}{
		{"only target in backoff", []Notice{rest}, reasonBackoff, 3 * time.Second, false},
		{"limit of only target used up", []Notice{limit}, reasonRateLimited, exhausted, false},
		{"one in backoff, one at its limit", []Notice{rest, limit}, reasonBackoff, 3 * time.Second, false},
		{"limit not used up", []Notice{{HasLimit: true, Limit: 1000}}, "", 0, true},
		{"one without notice", []Notice{rest, {}}, "", 0, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				peers := &recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}, takes: func(int) time.Duration {
					leave()
					return time.Hour
				}}
				f := newStagedFlow(peers, 1, 1)
				for i, notice := range s.notices {
					target := testTarget(fmt.Sprint("e", i), "engines", "z")
					f.server.fleet.ApplyChanges(f.startedAt, []FleetChange{putChange(uint64(i+1), target)})
					f.server.fleet.recordSignal(f.startedAt, &signal{Notice: notice, target: target, sent: f.startedAt})
					if notice.Limit == limit.Limit {
						f.server.placer.recordExhausted(f.startedAt, exhausted, f.server.fleet.signalsOf(target.RunName()))
					}
				}
				fail := f.run(ctx)
				if s.stages != (ctx.Err() != nil) {
					t.Errorf("stages were started: %t", ctx.Err() != nil)
				}
				if !s.stages && (fail == nil || fail.status != 503 || fail.reason != s.reason || fail.retryAfter != s.wait) {
					t.Errorf("failure %+v", fail)
				}
			})
		})
	}
}

// Guards against calls for pieces during a backoff of the only target, and against pieces that are never made.
func TestCallWaitsForBackoff(t *testing.T) {
	b := NewBatcher(batchSpec)
	b.SetTargets([]proto.RelayTarget{testTarget("t", "p", "z")})
	b.setTargetLimits([]targetLimits{{id: "t", limit: noLimit, backoffUntil: start.Add(time.Second)}}, 1)
	j := &Job{Params: proto.PiecesAsk{RequestID: "r", Pieces: 1}, Due: start.Add(time.Minute), Deadline: start.Add(time.Minute)}
	if refused := b.Add(start, j); refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	if calls, _ := b.NextCalls(start.Add(time.Second - time.Nanosecond)); len(calls) > 0 {
		t.Error("a call was made during the backoff")
	}
	if calls, _ := b.NextCalls(start.Add(time.Second)); len(calls) != 1 {
		t.Errorf("%d calls were made after the backoff", len(calls))
	}
}

// Guards against a second call, in addition to a slow one, to a target that leaves, is in backoff or is at its limit.
func TestOverdueCallRespectsNotices(t *testing.T) {
	target := testTarget("t", "p", "z")
	scenarios := []struct {
		testName string
		change   func(b *Batcher)
		want     overdueAction
	}{
		{"no notice", func(*Batcher) {}, overdueRepeat},
		{"target leaves", func(b *Batcher) { b.SetTargets(nil) }, overdueWait},
		{"target in backoff", func(b *Batcher) {
			b.setTargetLimits([]targetLimits{{id: "t", limit: noLimit, backoffUntil: start.Add(time.Hour)}}, 1)
		}, overdueWait},
		{"target at its limit", func(b *Batcher) { b.setTargetLimits([]targetLimits{{id: "t", limit: 1}}, 1) }, overdueWait},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := NewBatcher(batchSpec)
			b.SetTargets([]proto.RelayTarget{target})
			j := &Job{Params: proto.PiecesAsk{RequestID: "r", Pieces: 1}, Due: start.Add(time.Hour), Deadline: start.Add(time.Hour)}
			if refused := b.Add(start, j); refused != nil {
				t.Fatalf("refused: %+v", refused)
			}
			calls, _ := b.NextCalls(start)
			if len(calls) != 1 {
				t.Fatalf("%d calls", len(calls))
			}
			s.change(b)
			if got := b.checkOverdue(start.Add(time.Minute), calls[0]); got != s.want {
				t.Errorf("action %d, want %d", got, s.want)
			}
		})
	}
}

// Guards against refusals whose log entry does not say which targets would have taken the request, and when.
func TestSignalLogEntries(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")), putChange(3, testTarget("c", "p", "z")), putChange(4, testTarget("d", "p", "z")))
	reportBackoff(f, "a", 3*time.Second)
	f.recordSignal(start, &signal{Notice: Notice{HasLimit: true, Limit: 0.5}, target: testTarget("b", "p", "z"), sent: start})
	f.recordSignal(start, &signal{Notice: Notice{Leaving: true}, target: testTarget("c", "p", "z"), sent: start})
	fourth := testTarget("d", "p", "z")
	peerNotice := proto.TargetNotice{Target: "d", Run: fourth.RunName(), HasLimit: true, Limit: 2, LimitVersion: 1}
	f.MergeNotices(start.Add(100*time.Millisecond), []proto.TargetNotice{peerNotice}, "vm-2")
	clock := clockwork.NewFakeClockAt(start.Add(400 * time.Millisecond))
	p := NewPlacer("self", clock, hclog.NewNullLogger(), f, &scriptedPeers{silent: make(chan struct{})})
	p.recordExhausted(clock.Now(), 700*time.Millisecond, peerNotice)
	lines := p.signalLogEntries("p")
	for i := range lines {
		lines[i].notice = proto.TargetNotice{}
	}
	want := []signalLogEntry{
		{Target: "a", Backoff: "2.6s"},
		{Target: "b", Limit: 0.5, Age: "400ms", Next: "0s"},
		{Target: "c", Leaving: true},
		{Target: "d", Limit: 2, Age: "300ms", From: "vm-2", Next: "700ms"},
	}
	if !slices.Equal(lines, want) {
		t.Errorf("got %+v, want %+v", lines, want)
	}
}
