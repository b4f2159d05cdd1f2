package core

import (
	"time"

	"emberlead/proto"
)

// checkStops takes the targets on leaving VMs out of service, and moves attempts that would not end before a planned stop.
func (e *Engine) checkStops(res *eventResult, lead time.Duration) {
	leaving := e.leavingFunc(e.snapshot.Load(), res.now, lead)
	planned := false
	for _, p := range e.allPools() {
		planned = p.setLeaving(leaving) || planned
	}
	if !planned {
		return
	}
	e.requests.EachShard(func(items map[proto.RequestID]*request) {
		for _, r := range items {
			e.moveDue(res, r, lead)
			removeIfDone(items, r)
		}
	})
}

// moveDue starts to move the attempts that may outlast the planned stop of their target.
func (e *Engine) moveDue(res *eventResult, r *request, lead time.Duration) {
	for _, a := range r.attempts {
		stopAt := a.pool.stopOf(a.target)
		if stopAt.IsZero() || a.moving || !r.deadline.After(stopAt) || res.now.Before(stopAt.Add(-lead)) {
			continue
		}
		if !r.mayRepeat() {
			// The stage cannot run again. The stop was forced, so the attempt either ends or is cut off at its target.
			continue
		}
		a.moving = true
		if a.target.spec.ExportsCache && r.stageSpec().Stream {
			res.emit(Export{Attempt: a.id, Target: a.target.spec})
			continue
		}
		e.move(res, r, a, "")
		return
	}
}

func (e *Engine) handleExport(res *eventResult, r *request, ev *Exported) {
	a := r.attempts[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		return
	}
	e.move(res, r, a, ev.Handle)
}

// move abandons an attempt and continues it at another target, after the part that the caller already has.
func (e *Engine) move(res *eventResult, r *request, a *attempt, handle string) {
	delete(r.attempts, a.id.Number)
	e.abandon(res, r, a)
	e.stats.countMoved()
	if e.hasOtherAttempt(r) {
		return
	}
	r.cacheHandle = handle
	r.exclude = a.target.spec.Name
	e.enqueue(res, r)
}
