package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"emberlead/proto"
)

// partProbeTask is the prefix of the task of probing a part of prompts, which one daemon does at a time.
const partProbeTask = "probe part/"

// suspects returns what an end of a target may be due to: the request as a whole, or a part of its prompt.
func (f *flow) suspects() []proto.RequestDigest {
	return append([]proto.RequestDigest{f.digest}, f.parts...)
}

// crashing returns why the request is not run, if too many targets ended while they ran it or began to answer on a part
// of its prompt.
func (f *flow) crashing() (cause proto.RequestDigest, evidence Evidence, blocked bool) {
	for _, cause := range f.suspects() {
		if evidence, blocked := f.server.crashTracker.Blocks(cause); blocked {
			return cause, evidence, true
		}
	}
	return 0, Evidence{}, false
}

// refuseCrashing refuses a request that is blocked because too many targets ended while they ran it, and states when it
// may be retried. If the last of them ended because of this very request, it may have run under this id already.
func (f *flow) refuseCrashing() *failure {
	cause, evidence, blocked := f.crashing()
	if !blocked || f.mayProbe(cause) {
		return nil
	}
	f.server.counts.crashing.Add(1)
	f.logInfo("a request is not run, since targets end that run it", "digest", f.digest.String(), "cause", cause.String(), "part", cause.IsPart(), "ends", evidence.Ends, "runs", f.runs)
	return f.notRunFailure(evidence.RetryAfter, "targets ended that ran it")
}

// mayProbe reports whether the request may run to find out whether a part of its prompt is sound: once, at one target.
func (f *flow) mayProbe(cause proto.RequestDigest) bool {
	s := f.server
	return cause.IsPart() && f.sent == 0 && s.peers.Owner(partProbeTask+cause.String(), nil) == s.placer.self && s.crashTracker.MayProbe(cause)
}

// startProbe counts the request as a probe if a part of its prompt is refused.
func (f *flow) startProbe() {
	f.probe, f.probedPart = "", 0
	if cause, _, blocked := f.crashing(); blocked && f.mayProbe(cause) {
		f.probe, f.probedPart = f.server.crashTracker.StartProbe(cause), cause
		f.logInfo("a request probes a part of prompts", "part", cause.String(), "probe", f.probe)
	}
}

// cancelBlocked cancels the attempts that have not begun to answer if a part of the prompt is refused meanwhile, so that
// their targets do not end too.
func (r *race) cancelBlocked() {
	f := r.flow
	if cause, _, blocked := f.crashing(); !blocked || !cause.IsPart() || f.probe != "" {
		return
	}
	for _, a := range slices.Clone(r.running) {
		if !a.streamStarted {
			r.cancelAttempt(a, "", reasonCrashing)
		}
	}
}

// finishProbe makes the probe not count if no target ran the request.
func (f *flow) finishProbe() {
	if f.probe != "" && f.runs == 0 {
		f.server.crashTracker.CancelProbe(f.probedPart, f.probe)
	}
}

// proveSound records that the target has lived on after it began to answer, once.
func (a *attempt) proveSound() {
	a.sound = true
	for _, part := range a.race.flow.parts {
		a.race.flow.server.crashTracker.RecordAnswer(part)
	}
}

// proveSoundLater records the same for an attempt that has been answered, unless its target ends a moment later.
func (a *attempt) proveSoundLater() {
	s, parts, spec := a.race.flow.server, a.race.flow.parts, a.placement.Spec
	if len(parts) == 0 || a.sound {
		return
	}
	if a.beganAt.IsZero() {
		a.beganAt = s.clock.Now()
	}
	// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
	s.clock.AfterFunc(soundTime-s.clock.Now().Sub(a.beganAt), func() {
		go func() {
			if s.crashDetector.Doubts(spec) {
				return
			}
			for _, part := range parts {
				s.crashTracker.RecordAnswer(part)
			}
		}()
	})
}

// accused returns what the end of the target may be due to after the attempt has failed. Parts are not suspected once the
// target has lived on after it began to answer on them.
func (a *attempt) accused() []proto.RequestDigest {
	f := a.race.flow
	if a.sound || a.streamStarted && f.server.clock.Now().Sub(a.beganAt) >= soundTime {
		return []proto.RequestDigest{f.digest}
	}
	return f.suspects()
}

// recordOutcome records what the result of an attempt implies for the request and for the target run.
func (a *attempt) recordOutcome(result *attemptResult) {
	f := a.race.flow
	switch {
	case a.answered:
		f.server.crashTracker.RecordAnswer(f.digest)
		a.proveSoundLater()
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
		f.server.crashDetector.RecordFailure(a.placement.Spec, true, a.accused()...)
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
