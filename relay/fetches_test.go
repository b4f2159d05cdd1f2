package relay

import (
	"context"
	"errors"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

func TestHowLongInputsAreKeptIsLearnt(t *testing.T) {
	scenarios := []struct {
		name              string
		fetched, tooEarly int
		least, most       time.Duration
	}{
		{"nothing known", 0, 0, fetchPrior, fetchPrior},
		{"always fetched", 70, 0, fetchPrior / 3, fetchPrior * 6 / 10},
		{"fetched for ever", 10_000, 0, fetchLeast, fetchLeast},
		{"too early once", 0, 1, 2 * fetchPrior, 2 * fetchPrior},
		{"too early again and again", 0, 100, fetchMost, fetchMost},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var f fetches
			now := start
			for range s.fetched {
				now = now.Add(time.Second)
				f.done(now, now, "p", true)
			}
			for range s.tooEarly {
				now = now.Add(time.Second)
				f.done(now, now, "p", false)
			}
			if got := f.wait("p"); got < s.least || got > s.most {
				t.Errorf("kept for %v, want %v to %v", got, s.least, s.most)
			}
			if got := f.wait("another"); got != fetchPrior {
				t.Errorf("another pool's are kept for %v", got)
			}
		})
	}
}

// TestResultsThatGoWithTheirTargetCountOnce has a third of a pool's targets end while the next pool reads their results by thirty calls:
// each of them finds inputs gone, and none of it says that inputs are given up too early. Kept for seconds, they would leave a target of
// the pool, which has room for the results of two calls, no room for full ones.
func TestResultsThatGoWithTheirTargetCountOnce(t *testing.T) {
	var f fetches
	ended := start.Add(time.Second)
	for i := range 30 {
		sent := ended.Add(-time.Duration(i) * 10 * time.Millisecond)
		f.done(ended.Add(time.Duration(i)*5*time.Millisecond), sent, "p", false)
	}
	if got := f.wait("p"); got > 2*fetchPrior {
		t.Errorf("inputs are kept for %s after one end, %s before", got, fetchPrior)
	}
	later := ended.Add(time.Second)
	if f.done(later, later.Add(-100*time.Millisecond), "p", false); f.wait("p") != 4*fetchPrior {
		t.Errorf("kept for %s: a request that was sent since does not count", f.wait("p"))
	}
}

// sentFlow is a request whose stage is done and that was just sent to a target.
func sentFlow(t *testing.T, clock clockwork.Clock) *flow {
	t.Helper()
	f := stagedFlow(&ownerPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}, 1)
	if fail, _ := f.runStages(context.Background()); fail != nil {
		t.Fatal(fail.reason)
	}
	f.server.clock = clock
	(&attempt{race: &race{flow: f}}).freeOnceFetched()
	return f
}

// TestInputsAreFreedOnceTheyAreFetched has a target that is silent while it works.
func TestInputsAreFreedOnceTheyAreFetched(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := sentFlow(t, clock)
	clock.Advance(fetchPrior - time.Nanosecond)
	if f.inputsFreed() {
		t.Fatal("freed before the target could have fetched them")
	}
	clock.Advance(time.Nanosecond)
	for !f.inputsFreed() {
		runtime.Gosched()
	}
	f.freeAll()
	drops := 0
	peers := f.server.peers.(*ownerPeers)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, m := range peers.sent {
		if _, ok := m.(proto.PiecesDrop); ok {
			drops++
		}
	}
	if drops != 1 {
		t.Errorf("freed %d times", drops)
	}
}

// TestResultsThatAreMadeAnewAreNotFreedByAnEarlierAttempt has the time of an attempt run out after its inputs were made
// anew for the next one.
func TestResultsThatAreMadeAnewAreNotFreedByAnEarlierAttempt(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := sentFlow(t, clock)
	before := f.inputs
	if fail, _ := f.runStages(context.Background()); fail != nil {
		t.Fatal(fail.reason)
	}
	clock.Advance(fetchPrior)
	for {
		f.freeing.Lock()
		freed := before[0].freed
		f.freeing.Unlock()
		if freed {
			break
		}
		runtime.Gosched()
	}
	if f.inputsFreed() {
		t.Error("inputs of the next attempt were freed")
	}
}

// failingSender has every target fail.
type failingSender struct{ calls int }

func (s *failingSender) Send(context.Context, netip.AddrPort, *Outgoing) (*Incoming, error) {
	s.calls++
	return nil, &SendError{Written: true, Err: errors.New("connection reset")}
}

// TestARetryWithoutInputsHasItsStagesDoneAnew has a target fail after the inputs were given up: another one could only
// say that they are gone.
func TestARetryWithoutInputsHasItsStagesDoneAnew(t *testing.T) {
	for _, freed := range []bool{false, true} {
		f := stagedFlow(&ownerPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}, 1)
		sender := &failingSender{}
		f.server.sender, f.server.dialect, f.server.budget = sender, standDialect{}, BudgetTerms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		f.server.placer = NewPlacer("self", f.server.clock, f.server.log, f.server.fleet, f.server.peers)
		f.server.fleet.Change(f.server.clock.Now(), []FleetChange{put(1, listed("e1", "engines", "z")), put(2, listed("e2", "engines", "z"))})
		f.route.Kind, f.route.MaxTargets, f.tried = proto.RouteRepeatable, 2, map[string]bool{}
		if fail, _ := f.runStages(context.Background()); fail != nil {
			t.Fatal(fail.reason)
		}
		if freed {
			f.freeAll()
		}
		_, lost := f.runSelf(context.Background())
		if want := map[bool]int{false: 2, true: 1}[freed]; lost != freed || sender.calls != want {
			t.Errorf("inputs freed %v: lost %v after %d attempts", freed, lost, sender.calls)
		}
	}
}
