package relay

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
)

// overlap is how long several targets may work on a stream once one of them sends events: longer than a received response
// waits to be read on a busy machine.
const overlap = minStartTimeout

// keepPolicy chooses the attempt that continues, from the running attempts in the order in which they began to answer,
// those that did not last. leader is the one that delivered the last forwarded events; nil if it is not running.
type keepPolicy func(running []*attempt, leader *attempt) *attempt

// keepLeader keeps the attempt that is ahead, or the first to answer before anything was forwarded.
func keepLeader(running []*attempt, leader *attempt) *attempt {
	if leader != nil {
		return leader
	}
	return running[0]
}

// overlapLimit limits how long several attempts of one race continue once one of them has sent an event. Its deadline is set
// once and no change of the leader extends it. It does not depend on the goroutine of the race, which may wait for a slow
// caller. An answer that is no stream ends the other attempts when it is complete or passed on.
type overlapLimit struct {
	clock clockwork.Clock
	keep  keepPolicy
	// ended is signaled when all attempts but one were canceled.
	ended chan struct{}

	mu sync.Mutex
	// answering holds the running attempts that answer, in the order in which they began to, and waiting the others.
	answering, waiting []*attempt
	leader             *attempt
	// timer runs while the deadline is set; nil otherwise.
	timer clockwork.Timer
}

func newOverlapLimit(clock clockwork.Clock, keep keepPolicy) *overlapLimit {
	return &overlapLimit{clock: clock, keep: keep, ended: make(chan struct{}, 1)}
}

// add registers an attempt before it starts.
func (l *overlapLimit) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, a)
}

// remove unregisters an attempt that has ended.
func (l *overlapLimit) remove(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEnded := func(other *attempt) bool { return other == a }
	l.answering, l.waiting = slices.DeleteFunc(l.answering, isEnded), slices.DeleteFunc(l.waiting, isEnded)
	if l.leader == a {
		l.leader = nil
	}
	if len(l.answering)+len(l.waiting) < 2 {
		l.stopTimer()
	}
}

// lead records that an attempt delivered the last forwarded events.
func (l *overlapLimit) lead(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = a
}

// recordEvent is called for each event of a stream. From the first one on that arrives beside another attempt, the others
// have until the deadline.
func (l *overlapLimit) recordEvent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, a); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.answering = append(l.answering, a)
	}
	if len(l.answering)+len(l.waiting) > 1 {
		l.startTimer()
	}
}

func (l *overlapLimit) startTimer() {
	if l.timer == nil {
		l.timer = l.clock.AfterFunc(overlap, l.end)
	}
}

func (l *overlapLimit) stopTimer() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// end cancels all attempts but one.
func (l *overlapLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	running := slices.Concat(l.answering, l.waiting)
	if len(running) < 2 {
		return
	}
	kept := l.keep(running, l.leader)
	for _, a := range running {
		if a != kept {
			a.cancel(errSuperseded)
		}
	}
	select {
	case l.ended <- struct{}{}:
	default:
	}
}

// stop ends the limit with its race.
func (l *overlapLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer()
}

// isSuperseded reports whether an attempt was canceled in favor of another.
func (a *attempt) isSuperseded() bool {
	return errors.Is(context.Cause(a.ctx), errSuperseded)
}
