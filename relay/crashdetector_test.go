package relay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// stubProber answers probes of a target in order, and then repeats the last answer.
type stubProber struct {
	answers []ProbeResult
	probes  atomic.Int64
	done    chan struct{}
}

func (p *stubProber) Probe(context.Context, netip.AddrPort) ProbeResult {
	n := int(p.probes.Add(1))
	defer func() { p.done <- struct{}{} }()
	return p.answers[min(n, len(p.answers))-1]
}

// TestCrashDetectorProbesAfterFailedAttempt has one attempt fail and then shows different signs of whether its
// target has ended.
func TestCrashDetectorProbesAfterFailedAttempt(t *testing.T) {
	scenarios := []struct {
		name   string
		broken bool
		// refuses holds the results of the probes of the target, and probes is how many are expected.
		refuses []ProbeResult
		probes  int
		// removedAfter is when the entry of the target is removed, or 0 if it stays.
		removedAfter time.Duration
		suspected    bool
	}{
		{"connection breaks and address refuses connections", true, []ProbeResult{ProbeRefused}, 1, 0, true},
		{"address refuses connections a moment later", true, []ProbeResult{ProbeListens, ProbeRefused}, 2, 0, true},
		{"address refuses connections once the link to it is no longer in doubt", true, []ProbeResult{ProbeUnknown, ProbeUnknown, ProbeUnknown, ProbeRefused}, 4, 0, true},
		{"address accepts connections", true, []ProbeResult{ProbeListens}, 2, 0, false},
		{"address accepts connections and entry is removed soon", true, []ProbeResult{ProbeListens}, 2, 4 * time.Second, true},
		{"entry is removed much later", true, []ProbeResult{ProbeListens}, 2, openAttemptTTL + time.Second, false},
		{"target is silent and entry is removed soon", false, []ProbeResult{ProbeListens}, 0, 4 * time.Second, true},
		{"target is silent and entry stays", false, []ProbeResult{ProbeListens}, 0, 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(start)
			c := newTestCrashTracker(clock)
			prober := &stubProber{answers: s.refuses, done: make(chan struct{})}
			w := NewCrashDetector(clock, hclog.NewNullLogger(), prober, c)
			target := testTarget("t", "p", "z")
			w.RecordFailure(target, s.broken, 1, 2)
			for try := range s.probes {
				if try > 0 {
					if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
						t.Fatal(err)
					}
					clock.Advance(probePause << try)
				}
				<-prober.done
			}
			waitUntil(t, func() bool { return !w.isProbing("t") })
			if s.removedAfter > 0 {
				clock.Advance(s.removedAfter)
				w.Sweep()
				w.RecordEnd(target, "its entry is gone")
			}
			if c.Suspects(1) != s.suspected || c.Suspects(2) != s.suspected {
				t.Errorf("suspected: %v", c.Suspects(1))
			}
			if int(prober.probes.Load()) != s.probes {
				t.Errorf("%d probes", prober.probes.Load())
			}
			clock.Advance(endedRunTTL + openAttemptTTL)
			w.Sweep()
			if len(w.runs) != 0 {
				t.Error("the run was not removed")
			}
		})
	}
}

// isProbing reports whether a run is being probed.
func (d *CrashDetector) isProbing(name proto.RunName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[name] != nil && d.runs[name].probing
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("condition not met within 20 s")
}

// TestCrashDetectorCountsFailuresAfterKnownEnd has two requests fail at a run that is already known to have ended.
func TestCrashDetectorCountsFailuresAfterKnownEnd(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	c := newTestCrashTracker(clock)
	w := NewCrashDetector(clock, hclog.NewNullLogger(), &stubProber{}, c)
	target := testTarget("t", "p", "z")
	w.RecordEnd(target, "its entry is gone")
	w.RecordFailure(target, true, 1, 1)
	w.RecordFailure(target, false, 2)
	if !c.Suspects(1) || !c.Suspects(2) || c.Stats().Ends != 2 {
		t.Errorf("remembered: %+v", c.Stats())
	}
	next := target
	next.StartedAt = start
	w.RecordFailure(next, false, 3)
	if c.Suspects(3) {
		t.Error("a failure at the next run of the target was counted for the ended one")
	}
}

// TestCrashDetectorClearsEndOfAnsweringTarget has a target refuse connections before it listens.
func TestCrashDetectorClearsEndOfAnsweringTarget(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	c := newTestCrashTracker(clock)
	w := NewCrashDetector(clock, hclog.NewNullLogger(), &stubProber{}, c)
	target := testTarget("t", "p", "z")
	w.RecordEnd(target, "its address refuses connections")
	w.RecordAlive(target)
	w.RecordFailure(target, false, 1)
	if c.Suspects(1) {
		t.Error("a failure at a target that has answered since was counted as a crash")
	}
	clock.Advance(endedRunTTL + openAttemptTTL)
	w.Sweep()
	w.RecordAlive(target)
	if n := w.runCount.Load(); n != 0 {
		t.Errorf("%d runs are watched", n)
	}
}

// TestFleetChangesThatCountAsCrash checks which changes of the fleet count as the crash of a target.
func TestFleetChangesThatCountAsCrash(t *testing.T) {
	leaving := targetRun("a", firstRunStart)
	leaving.Leaving = true
	scenarios := []struct {
		name    string
		changes []FleetChange
		crashed bool
	}{
		{"entry is removed", []FleetChange{{ID: "a", Version: rev(3), Removed: true}}, true},
		{"target restarts", []FleetChange{putChange(3, targetRun("a", secondRunStart))}, true},
		{"target leaves and entry is removed", []FleetChange{putChange(3, leaving), {ID: "a", Version: rev(4), Removed: true}}, false},
		{"target leaves and restarts", []FleetChange{putChange(3, leaving), putChange(4, targetRun("a", secondRunStart))}, false},
		{"entry is unusable", []FleetChange{{ID: "a", Version: rev(3), Unusable: true}}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := fleetWith(putChange(1, targetRun("a", firstRunStart)))
			crashed := false
			for _, n := range f.ApplyChanges(start, s.changes) {
				crashed = crashed || n.Crashed()
			}
			if crashed != s.crashed {
				t.Errorf("crashed: %v", crashed)
			}
		})
	}
}

// TestCrashSuspicionByAttemptOutcome ends an attempt in each way, and then removes the entry of its target.
func TestCrashSuspicionByAttemptOutcome(t *testing.T) {
	const request = proto.RequestDigest(7)
	removal := []FleetChange{{ID: "t", Version: rev(2), Removed: true}}
	leaves := testTarget("t", "p", "z")
	leaves.Leaving = true
	refusedConn := &SendError{Err: syscall.ECONNREFUSED}
	scenarios := []struct {
		name string
		// before holds changes of the target while the attempt is in progress.
		before   []FleetChange
		cause    error
		answered bool
		end      attemptResult
		suspect  bool
		// known is set if the target is known to have ended before its entry is removed.
		known bool
	}{
		{name: "connection breaks", end: attemptResult{sent: true}, suspect: true},
		{name: "connection to leaving target breaks", before: []FleetChange{putChange(2, leaves)}, end: attemptResult{sent: true}},
		{name: "connection breaks after entry was removed", before: removal, end: attemptResult{sent: true}},
		{name: "silence", cause: errSuperseded, end: attemptResult{sent: true}, suspect: true},
		{name: "silence noticed after entry was removed", before: removal, cause: errDeadlineReached, end: attemptResult{sent: true}, suspect: true},
		{name: "silence of leaving target", before: []FleetChange{putChange(2, leaves)}, cause: errSuperseded, end: attemptResult{sent: true}},
		{name: "target has restarted", cause: errTargetRestarted, end: attemptResult{sent: true}, suspect: true},
		{name: "caller disconnected", cause: context.Canceled, end: attemptResult{sent: true}, suspect: true},
		{name: "complete answer", answered: true, end: attemptResult{done: true, sent: true}},
		{name: "error answer", end: attemptResult{sent: true, response: &bufferedResponse{status: 500}}},
		{name: "target refuses", end: attemptResult{sent: true, notRun: true}},
		{name: "another target has the address", end: attemptResult{sent: true, notRun: true, misdirected: true}, known: true},
		{name: "address refuses connections", end: attemptResult{notRun: true, err: refusedConn}, known: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(start)
			c := newTestCrashTracker(clock)
			w := NewCrashDetector(clock, hclog.NewNullLogger(), &stubProber{answers: []ProbeResult{ProbeListens}, done: make(chan struct{}, maxProbes)}, c)
			fleet := fleetWith(putChange(1, testTarget("t", "p", "z")))
			target := fleet.Pick(start, "p", TargetCriteria{Zone: "z"})
			ctx, cancel := context.WithCancelCause(context.Background())
			a := &attempt{race: &race{flow: &flow{server: &Server{crashTracker: c, crashDetector: w, fleet: fleet}, digest: request}}, ctx: ctx, placement: &Placement{Target: target, Spec: fleet.Spec(target)}, answered: s.answered}
			change := func(changes []FleetChange) {
				for _, n := range fleet.ApplyChanges(clock.Now(), changes) {
					if n.Crashed() {
						w.RecordEnd(n.Target, "its entry is gone")
					}
				}
			}
			change(s.before)
			if s.cause != nil {
				cancel(s.cause)
			}
			a.recordOutcome(&s.end)
			if known := w.hasEnded("t"); known != (s.known || len(s.before) > 0 && s.before[0].Removed) {
				t.Errorf("recorded as ended: %v", known)
			}
			change([]FleetChange{{ID: "t", Version: rev(3), Removed: true}})
			if c.Suspects(request) != s.suspect {
				t.Errorf("suspected: %v", c.Suspects(request))
			}
			cancel(nil)
		})
	}
}

// hasEnded reports whether a run is known to have ended.
func (d *CrashDetector) hasEnded(name proto.RunName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[name] != nil && d.runs[name].ended
}
