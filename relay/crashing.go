package relay

import (
	"context"
	"errors"
	"syscall"
)

// refuseCrashing refuses a request that is blocked because too many targets ended while they ran it, and states when it
// may be retried. If the last of them ended because of this very request, it may have run under this id already.
func (f *flow) refuseCrashing() *failure {
	evidence, blocked := f.server.crashTracker.Blocks(f.digest)
	if !blocked {
		return nil
	}
	f.server.counts.crashing.Add(1)
	f.logInfo("a request is not run, since targets end that run it", "digest", f.digest.String(), "ends", evidence.Ends, "runs", f.runs)
	return f.notRunFailure(evidence.RetryAfter, "targets ended that ran it")
}

// recordOutcome records what the result of an attempt implies for the request and for the target run.
func (a *attempt) recordOutcome(result *attemptResult) {
	f := a.race.flow
	switch {
	case a.answered:
		f.server.crashTracker.RecordAnswer(f.digest)
		f.server.crashDetector.RecordAlive(a.placement.Spec)
	case result.misdirected || errors.Is(result.err, syscall.ECONNREFUSED) && !mayBeLink(result.err):
		a.recordTargetGone(result.reason)
	case result.done || result.response != nil || result.notRun && result.sent:
		f.server.crashDetector.RecordAlive(a.placement.Spec)
	case result.notRun:
		// The request never reached the target.
	case context.Cause(a.ctx) != nil:
		// The target was silent, so it may have ended long before its entry was removed, or not at all.
		f.server.crashDetector.RecordFailure(a.placement.Spec, false, f.digest)
	case f.server.fleet.AcceptsWork(a.placement.Target):
		f.server.crashDetector.RecordFailure(a.placement.Spec, true, f.digest)
	default:
		// Unfinished work of a target that leaves says nothing about the request.
	}
}

// recordTargetGone records that a target has ended although its entry says that it is in service.
func (a *attempt) recordTargetGone(cause string) {
	s := a.race.flow.server
	if s.fleet.AcceptsWork(a.placement.Target) {
		s.crashDetector.RecordEnd(a.placement.Spec, cause)
	}
}
