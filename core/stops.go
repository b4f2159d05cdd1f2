package core

import (
	"time"

	"emberlead/proto"
)

// stopsDue takes targets on leaving VMs out of service, and moves what would not end before a planned stop.
func (e *Engine) stopsDue(t *turn, lead time.Duration) {
	leaving := e.leavingFunc(e.snapshot.Load(), t.now, lead)
	planned := false
	for _, p := range e.allPools() {
		planned = p.setLeaving(leaving) || planned
	}
	if !planned {
		return
	}
	e.requests.EachShard(func(items map[proto.RequestID]*request) {
		for _, r := range items {
			e.moveDue(t, r, lead)
			forgetDone(items, r)
		}
	})
}

// moveDue starts to move the attempts that may last beyond the planned stop of their target.
func (e *Engine) moveDue(t *turn, r *request, lead time.Duration) {
	for _, a := range r.live {
		stopAt := a.pool.stopOf(a.target)
		if stopAt.IsZero() || a.moving || !r.deadline.After(stopAt) || t.now.Before(stopAt.Add(-lead)) {
			continue
		}
		if !r.mayRepeat() {
			// It cannot be run anew; its plan was forced, and it ends or is cut off where it is.
			continue
		}
		a.moving = true
		if a.target.spec.ExportsCache && r.spec().Stream {
			t.act(Export{Attempt: a.id, Target: a.target.spec})
			continue
		}
		e.move(t, r, a, "")
		return
	}
}

func (e *Engine) exported(t *turn, r *request, ev *Exported) {
	a := r.live[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		return
	}
	e.move(t, r, a, ev.Handle)
}

// move leaves an attempt for another target, which goes on after what the caller already has.
func (e *Engine) move(t *turn, r *request, a *attempt, handle string) {
	delete(r.live, a.id.Number)
	e.abandon(t, r, a)
	e.stats.moved()
	if e.anotherRuns(r) {
		return
	}
	r.handle = handle
	r.exclude = a.target.spec.Name
	e.enqueue(t, r)
}
