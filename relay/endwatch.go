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
	// endOpen is how long a failed attempt is remembered in case its target turns out to have ended: the entry of a
	// target that falls silent is removed after about four seconds, and that is known here a second or two later.
	endOpen = 6 * time.Second
	// endTold is how long the end of a run is remembered. Its last attempts fail within the scheduling delay of a busy
	// daemon.
	endTold = 30 * time.Second
	// endChecks is how often a target that closed the connection of an attempt is probed, with a pause of endPause
	// between: a process that ends may close its connections somewhat before its listener.
	endChecks = 2
	endPause  = 100 * time.Millisecond
	// endCheckWait is the timeout of one probe. A running target accepts connections within milliseconds.
	endCheckWait = 300 * time.Millisecond
)

// Prober checks whether a process still listens at an address.
type Prober interface {
	// Refuses reports whether the address refuses connections, as it does once the process has ended.
	Refuses(ctx context.Context, to netip.AddrPort) bool
}

// CrashDetector finds out which requests a target was working on when it ended. An attempt may fail for many reasons,
// so it counts against its request only once the address of the target refuses connections or its entry is removed. A
// nil *CrashDetector does nothing.
type CrashDetector struct {
	clock   clockwork.Clock
	log     hclog.Logger
	prober  Prober
	crashes *CrashTracker

	mu   sync.Mutex
	runs map[proto.RunName]*watchedRun
	// watched is the number of runs. It saves successful attempts from taking the lock while there is none.
	watched atomic.Int64
}

// watchedRun is a run of a target at which attempts failed, or that ended.
type watchedRun struct {
	open     []openAttempt
	ended    bool
	endedAt  time.Time
	checking bool
}

// openAttempt is a request that the target may have been working on when the run ended.
type openAttempt struct {
	request proto.RequestDigest
	at      time.Time
}

// NewCrashDetector returns a detector that reports to crashes.
func NewCrashDetector(clock clockwork.Clock, log hclog.Logger, prober Prober, crashes *CrashTracker) *CrashDetector {
	return &CrashDetector{clock: clock, log: log, prober: prober, crashes: crashes, runs: map[proto.RunName]*watchedRun{}}
}

// RecordFailure records that an attempt or call failed while a target may have been working on requests. broken is set
// if the target closed the connection, so that it may have ended just now.
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

// RecordEnd records that a run of a target ended without announcing that it would leave.
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

// run returns the state of a run, and adds it if necessary. The caller holds the lock.
func (w *CrashDetector) run(name proto.RunName) *watchedRun {
	r := w.runs[name]
	if r == nil {
		r = &watchedRun{}
		w.runs[name] = r
		w.watched.Add(1)
	}
	return r
}

// RecordAlive records that a run of a target answered. If it was recorded as ended, its address may have refused
// connections before the process listened there.
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

// accuse removes and returns the requests that the run was working on, without duplicates.
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

// check probes a target that closed the connection of an attempt.
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

// Sweep removes expired attempts and runs. It is called several times per second.
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
