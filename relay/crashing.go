package relay

import (
	"context"
	"errors"
	"syscall"
)

// refuseCrashing refuses a request that ended so many targets that it is run no more, at once and with the time after which
// it may be tried again. It may have run under this id already, if the last of these targets ended by that.
func (f *flow) refuseCrashing() *failure {
	evidence, refused := f.server.crashes.Blocks(f.digest)
	if !refused {
		return nil
	}
	f.server.counts.crashing.Add(1)
	f.logInfo("a request is not run, since targets end that run it", "digest", f.digest.String(), "ends", evidence.Ends, "runs", f.runs)
	return f.notRunFailure(evidence.RetryAfter, "targets ended that ran it")
}

// noteEnd notes what an attempt's end says of the request and of the run of its target.
func (a *attempt) recordOutcome(result *attemptResult) {
	f := a.race.flow
	switch {
	case a.answered:
		f.server.crashes.Answered(f.digest)
		f.server.ends.RecordAlive(a.placement.Spec)
	case result.misdirected || errors.Is(result.err, syscall.ECONNREFUSED):
		a.recordTargetGone(result.reason)
	case result.done || result.response != nil || result.notRun && result.sent:
		f.server.ends.RecordAlive(a.placement.Spec)
	case result.notRun:
		// The target never had the request.
	case context.Cause(a.ctx) != nil:
		// It was silent, so it may have ended long before its entry went, or not at all.
		f.server.ends.RecordFailure(a.placement.Spec, false, f.digest)
	case f.server.fleet.AcceptsWork(a.placement.Target):
		f.server.ends.RecordFailure(a.placement.Spec, true, f.digest)
	default:
		// What a target that leaves has not done by its end says nothing of the request.
	}
}

// noteTargetGone notes that a target has ended whose entry says that it is in service.
func (a *attempt) recordTargetGone(cause string) {
	s := a.race.flow.server
	if s.fleet.AcceptsWork(a.placement.Target) {
		s.ends.RecordEnd(a.placement.Spec, cause)
	}
}
