package relay

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// endOpen is for how long an attempt that failed is remembered, in case its target turns out to have ended: the entry
	// of one that fell silent goes after some four seconds, and a second or two pass until that is known here.
	endOpen = 6 * time.Second
	// endTold is for how long it is remembered that a run has ended; its last attempts fail within the time of a busy
	// daemon's delay.
	endTold = 30 * time.Second
	// endChecks is how often a target that broke an attempt off is tried to be reached, with a pause of endPause between:
	// a process that ends may close its connections somewhat before its listener.
	endChecks = 2
	endPause  = 100 * time.Millisecond
	// endCheckWait bounds one try; a target that lives accepts within milliseconds.
	endCheckWait = 300 * time.Millisecond
)

// Prober tells whether nothing listens at an address any more.
type Prober interface {
	// Refuses tells whether the address turns connections away, as it does where a process has ended.
	Refuses(ctx context.Context, to netip.AddrPort) bool
}

// CrashDetector finds out which requests were at work at a target when it ended. An attempt may fail for many reasons, so it
// stays open whether its target has ended until the target's address turns connections away or its entry goes. A nil
// *EndWatch watches nothing.
type CrashDetector struct {
	clock   clockwork.Clock
	log     hclog.Logger
	prober  Prober
	crashes *CrashTracker

	mu   sync.Mutex
	runs map[proto.RunName]*watchedRun
	// watched is the number of runs, which spares answers the lock while there is none.
	watched atomic.Int64
}

// watchedRun is a run of a target at which attempts failed, or that ended.
type watchedRun struct {
	open     []openAttempt
	ended    bool
	endedAt  time.Time
	checking bool
}

// openAttempt is a request that may have been at work when the run ended.
type openAttempt struct {
	request proto.RequestDigest
	at      time.Time
}

// NewCrashDetector returns a watch that tells crashes what it finds out.
func NewCrashDetector(clock clockwork.Clock, log hclog.Logger, prober Prober, crashes *CrashTracker) *CrashDetector {
	return &CrashDetector{clock: clock, log: log, prober: prober, crashes: crashes, runs: map[proto.RunName]*watchedRun{}}
}

// RecordFailure notes that an attempt or call failed while a target may have been at work on requests; broken says that the target
// closed the connection, so that it may have ended just now.
func (w *CrashDetector) RecordFailure(target proto.RelayTarget, broken bool, requests ...proto.RequestDigest) {
	if w == nil {
		return
	}
	now := w.clock.Now()
	w.mu.Lock()
	run := w.run(target.RunName())
	for _, request := range requests {
		run.open = append(run.open, openAttempt{request, now})
	}
	var accused []proto.RequestDigest
	if run.ended {
		accused = run.accuse(now)
	}
	check := broken && !run.ended && !run.checking
	run.checking = run.checking || check
	w.mu.Unlock()
	w.crashes.Ended(target.RunName(), now, accused)
	if check {
		go w.check(target)
	}
}

// RecordEnd notes that a run of a target ended without having said that it would leave.
func (w *CrashDetector) RecordEnd(target proto.RelayTarget, cause string) {
	if w == nil {
		return
	}
	now := w.clock.Now()
	w.mu.Lock()
	run := w.run(target.RunName())
	known := run.ended
	run.ended, run.endedAt = true, now
	accused := run.accuse(now)
	w.mu.Unlock()
	if !known || len(accused) > 0 {
		w.log.Info("a target has ended", "run", target.RunName(), "pool", target.Pool, "address", target.Address, "cause", cause, "requests", len(accused))
	}
	w.crashes.Ended(target.RunName(), now, accused)
}

// run returns what is known of a run; the lock is held.
func (w *CrashDetector) run(name proto.RunName) *watchedRun {
	r := w.runs[name]
	if r == nil {
		r = &watchedRun{}
		w.runs[name] = r
		w.watched.Add(1)
	}
	return r
}

// RecordAlive notes that a run of a target answered, after what looked like its end: its address may have refused connections
// before it listened there.
func (w *CrashDetector) RecordAlive(target proto.RelayTarget) {
	if w == nil || w.watched.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[target.RunName()]; r != nil && r.ended {
		r.ended = false
		w.log.Info("a target that was held to have ended answers", "run", target.RunName(), "pool", target.Pool, "address", target.Address)
	}
}

// accuse takes the requests that were at work, each once.
func (r *watchedRun) accuse(now time.Time) []proto.RequestDigest {
	var requests []proto.RequestDigest
	for _, a := range r.open {
		if now.Sub(a.at) <= endOpen {
			requests = append(requests, a.request)
		}
	}
	r.open = nil
	slices.Sort(requests)
	return slices.Compact(requests)
}

// check looks whether a target that broke attempts off has ended.
func (w *CrashDetector) check(target proto.RelayTarget) {
	for n := range endChecks {
		if n > 0 {
			w.clock.Sleep(endPause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), endCheckWait)
		refuses := w.prober.Refuses(ctx, target.Address)
		cancel()
		if refuses {
			w.RecordEnd(target, "its address refuses connections")
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[target.RunName()]; r != nil {
		r.checking = false
	}
}

// Sweep forgets attempts and runs that are too old to matter; it comes several times a second.
func (w *CrashDetector) Sweep() {
	if w == nil {
		return
	}
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		r.open = slices.DeleteFunc(r.open, func(a openAttempt) bool { return now.Sub(a.at) > endOpen })
		over := !r.ended || now.Sub(r.endedAt) > endTold
		if over && len(r.open) == 0 && !r.checking {
			delete(w.runs, name)
			w.watched.Add(-1)
		}
	}
}
