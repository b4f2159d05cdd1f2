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
	// openAttemptTTL is how long a failed attempt is remembered in case its target has ended: the entry of one that
	// falls silent is removed after about four seconds, and that is known here a second or two later.
	openAttemptTTL = 6 * time.Second
	// endedRunTTL is how long the end of a run is remembered. Its last attempts fail within the scheduling delay of a busy daemon.
	endedRunTTL = 30 * time.Second
	// maxProbes is how often a target that closed an attempt's connection is probed, at intervals of probePause: a
	// process that ends may close its connections somewhat before its listener.
	maxProbes  = 2
	probePause = 100 * time.Millisecond
	// probeTimeout is the timeout of one probe. A running target accepts connections within milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// Prober checks whether a process still listens at an address.
type Prober interface {
	// Probe tries to connect to an address.
	Probe(ctx context.Context, to netip.AddrPort) ProbeResult
}

// ProbeResult is what an attempt to connect to an address shows.
type ProbeResult uint8

// Results of probes.
const (
	// ProbeListens means that a process accepts connections, and ProbeRefused that none listens there any more.
	ProbeListens ProbeResult = iota
	ProbeRefused
	// ProbeSilent means that nothing answers, and ProbeUnknown that this daemon's link to the address may have failed.
	ProbeSilent
	ProbeUnknown
)

// CrashDetector finds out which requests a target was working on when it ended. An attempt may fail for many reasons,
// so it counts against its request only once the target's address refuses connections or its entry is removed. A nil
// *CrashDetector does nothing.
type CrashDetector struct {
	clock   clockwork.Clock
	log     hclog.Logger
	prober  Prober
	crashes *CrashTracker

	mu   sync.Mutex
	runs map[proto.RunName]*watchedRun
	// runCount is the number of runs. While there is none it saves successful attempts from taking the lock.
	runCount atomic.Int64
}

// watchedRun is a run of a target at which attempts failed, or that ended.
type watchedRun struct {
	openAttempts []openAttempt
	ended        bool
	endedAt      time.Time
	probing      bool
}

// openAttempt is a request that the target may have been working on when the run ended.
type openAttempt struct {
	request  proto.RequestDigest
	failedAt time.Time
}

// NewCrashDetector returns a detector that reports to crashes.
func NewCrashDetector(clock clockwork.Clock, log hclog.Logger, prober Prober, crashes *CrashTracker) *CrashDetector {
	return &CrashDetector{clock: clock, log: log, prober: prober, crashes: crashes, runs: map[proto.RunName]*watchedRun{}}
}

// RecordFailure records that an attempt or call failed while a target may have been working on requests. broken is set
// if the target closed the connection, and so may have ended just now.
func (d *CrashDetector) RecordFailure(target proto.RelayTarget, broken bool, requests ...proto.RequestDigest) {
	if d == nil {
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	run := d.run(target.RunName())
	for _, request := range requests {
		run.openAttempts = append(run.openAttempts, openAttempt{request, now})
	}
	var suspects []proto.RequestDigest
	if run.ended {
		suspects = run.takeOpenRequests(now)
	}
	probe := broken && !run.ended && !run.probing
	run.probing = run.probing || probe
	d.mu.Unlock()
	d.crashes.RecordEnd(target.RunName(), now, suspects)
	if probe {
		go d.probe(target)
	}
}

// RecordEnd records that a run of a target ended without announcing that it would leave.
func (d *CrashDetector) RecordEnd(target proto.RelayTarget, cause string) {
	if d == nil {
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	run := d.run(target.RunName())
	known := run.ended
	run.ended, run.endedAt = true, now
	suspects := run.takeOpenRequests(now)
	d.mu.Unlock()
	if !known || len(suspects) > 0 {
		d.log.Info("a target has ended", "run", target.RunName(), "pool", target.Pool, "address", target.Address, "cause", cause, "requests", len(suspects))
	}
	d.crashes.RecordEnd(target.RunName(), now, suspects)
}

// run returns the state of a run, and adds it if necessary. The caller holds the lock.
func (d *CrashDetector) run(name proto.RunName) *watchedRun {
	r := d.runs[name]
	if r == nil {
		r = &watchedRun{}
		d.runs[name] = r
		d.runCount.Add(1)
	}
	return r
}

// RecordAlive records that a run answered. If it was recorded as ended, its address may have refused connections before
// the process listened there.
func (d *CrashDetector) RecordAlive(target proto.RelayTarget) {
	if d == nil || d.runCount.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.runs[target.RunName()]; r != nil && r.ended {
		r.ended = false
		d.log.Info("target that was recorded as ended is alive", "run", target.RunName(), "pool", target.Pool, "address", target.Address)
	}
}

// Doubts reports whether a run may have ended lately.
func (d *CrashDetector) Doubts(target proto.RelayTarget) bool {
	if d == nil || d.runCount.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runs[target.RunName()]
	return r != nil && (r.ended || r.probing || len(r.openAttempts) > 0)
}

// takeOpenRequests removes and returns the requests that the run was working on, without duplicates.
func (r *watchedRun) takeOpenRequests(now time.Time) []proto.RequestDigest {
	var requests []proto.RequestDigest
	for _, a := range r.openAttempts {
		if now.Sub(a.failedAt) <= openAttemptTTL {
			requests = append(requests, a.request)
		}
	}
	r.openAttempts = nil
	slices.Sort(requests)
	return slices.Compact(requests)
}

// probe probes a target that closed the connection of an attempt.
func (d *CrashDetector) probe(target proto.RelayTarget) {
	begin, pause := d.clock.Now(), probePause
	for n := 0; n < maxProbes && d.clock.Now().Sub(begin) <= openAttemptTTL; {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		result := d.prober.Probe(ctx, target.Address)
		cancel()
		if result == ProbeRefused {
			d.RecordEnd(target, "its address refuses connections")
			break
		}
		if result == ProbeUnknown {
			pause *= 2
		} else {
			n++
		}
		if n < maxProbes {
			d.clock.Sleep(pause)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.runs[target.RunName()]; r != nil {
		r.probing = false
	}
}

// Sweep removes expired attempts and runs. It is called several times per second.
func (d *CrashDetector) Sweep() {
	if d == nil {
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, r := range d.runs {
		r.openAttempts = slices.DeleteFunc(r.openAttempts, func(a openAttempt) bool { return now.Sub(a.failedAt) > openAttemptTTL })
		expired := !r.ended || now.Sub(r.endedAt) > endedRunTTL
		if expired && len(r.openAttempts) == 0 && !r.probing {
			delete(d.runs, name)
			d.runCount.Add(-1)
		}
	}
}
