package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestLaterTargetsOfAPoolStay guards against two changes of a pool at once, of which the older one stayed: a target that had left was
// called until the next change.
func TestLaterTargetsOfAPoolStay(t *testing.T) {
	p := newTestPieceScheduler(clockwork.NewRealClock(), nil, &stubSender{})
	w := p.workerFor(shard{pool: "p"})
	w.mu.Lock()
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		w.updateTargets()
	}()
	// The update gets as far as it can without the lock.
	time.Sleep(50 * time.Millisecond)
	p.fleet.ApplyChanges(start, []FleetChange{removeChange(100, "t1")})
	w.batcher.SetTargets(w.targets())
	w.mu.Unlock()
	<-updated
	w.mu.Lock()
	defer w.mu.Unlock()
	if target := w.batcher.targets["t1"]; target != nil && !target.spec.Leaving {
		t.Error("a target that has left gets work again")
	}
}
