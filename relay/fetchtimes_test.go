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

func TestFetchTimesAdjustKeepTime(t *testing.T) {
	scenarios := []struct {
		name              string
		fetched, tooEarly int
		minKeep, maxKeep  time.Duration
	}{
		{"nothing known", 0, 0, initialKeepTime, initialKeepTime},
		{"always fetched", 70, 0, initialKeepTime / 3, initialKeepTime * 6 / 10},
		{"fetched many times", 10_000, 0, minKeepTime, minKeepTime},
		{"too early once", 0, 1, 2 * initialKeepTime, 2 * initialKeepTime},
		{"too early many times", 0, 100, maxKeepTime, maxKeepTime},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var f fetchTimes
			now := start
			for range s.fetched {
				now = now.Add(time.Second)
				f.observe(now, now, "p", true)
			}
			for range s.tooEarly {
				now = now.Add(time.Second)
				f.observe(now, now, "p", false)
			}
			if got := f.keepTime("p"); got < s.minKeep || got > s.maxKeep {
				t.Errorf("kept for %v, want %v to %v", got, s.minKeep, s.maxKeep)
			}
			if got := f.keepTime("another"); got != initialKeepTime {
				t.Errorf("inputs of another pool are kept for %v", got)
			}
		})
	}
}

// TestFetchTimesCountTargetEndOnce has a third of the targets of a pool end while thirty calls of the next
// pool read their results. Each call finds its inputs gone, but none of them was released too early. If each counted,
// inputs would be kept for seconds, and a target of the pool, which has room for the results of two calls, would have
// no room for full ones.
func TestFetchTimesCountTargetEndOnce(t *testing.T) {
	var f fetchTimes
	ended := start.Add(time.Second)
	for i := range 30 {
		sent := ended.Add(-time.Duration(i) * 10 * time.Millisecond)
		f.observe(ended.Add(time.Duration(i)*5*time.Millisecond), sent, "p", false)
	}
	if got := f.keepTime("p"); got > 2*initialKeepTime {
		t.Errorf("inputs are kept for %s after one target ended, %s before", got, initialKeepTime)
	}
	later := ended.Add(time.Second)
	if f.observe(later, later.Add(-100*time.Millisecond), "p", false); f.keepTime("p") != 4*initialKeepTime {
		t.Errorf("kept for %s, want an increase for a request that was sent since", f.keepTime("p"))
	}
}

// newSentFlow returns a request whose stage is done and that was just sent to a target.
func newSentFlow(t *testing.T, clock clockwork.Clock) *flow {
	t.Helper()
	f := newStagedFlow(&recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}, 1)
	if fail, _ := f.runStages(context.Background()); fail != nil {
		t.Fatal(fail.reason)
	}
	f.server.clock = clock
	(&attempt{race: &race{flow: f}}).freeInputsAfterFetch()
	return f
}

// TestInputsAreFreedOnceFetched has a target that does not respond while it works.
func TestInputsAreFreedOnceFetched(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := newSentFlow(t, clock)
	clock.Advance(initialKeepTime - time.Nanosecond)
	if f.inputsFreed() {
		t.Fatal("inputs were freed before the target could have fetched them")
	}
	clock.Advance(time.Nanosecond)
	for !f.inputsFreed() {
		runtime.Gosched()
	}
	f.freeAllResults()
	drops := 0
	peers := f.server.peers.(*recordingPeers)
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

// TestEarlierAttemptDoesNotFreeRecreatedInputs has the keep time of an attempt expire after its inputs were
// made again for the next one.
func TestEarlierAttemptDoesNotFreeRecreatedInputs(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	f := newSentFlow(t, clock)
	before := f.stageResults
	if fail, _ := f.runStages(context.Background()); fail != nil {
		t.Fatal(fail.reason)
	}
	clock.Advance(initialKeepTime)
	for {
		f.freeMu.Lock()
		freed := before[0].freed
		f.freeMu.Unlock()
		if freed {
			break
		}
		runtime.Gosched()
	}
	if f.inputsFreed() {
		t.Error("inputs of the next attempt were freed")
	}
}

// failingSender fails every request.
type failingSender struct{ calls int }

func (s *failingSender) Send(context.Context, netip.AddrPort, *TargetRequest) (*TargetResponse, error) {
	s.calls++
	return nil, &SendError{Written: true, Err: errors.New("connection reset")}
}

// TestRetryWithoutInputsRepeatsStages has a target fail after the inputs were released: another target could
// only report that they are gone.
func TestRetryWithoutInputsRepeatsStages(t *testing.T) {
	for _, freed := range []bool{false, true} {
		f := newStagedFlow(&recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}, 1)
		sender := &failingSender{}
		f.server.sender, f.server.dialect, f.server.budget = sender, stubDialect{}, RetryBudgetConfig{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		f.server.placer = NewPlacer("self", f.server.clock, f.server.log, f.server.fleet, f.server.peers)
		f.server.fleet.ApplyChanges(f.server.clock.Now(), []FleetChange{putChange(1, testTarget("e1", "engines", "z")), putChange(2, testTarget("e2", "engines", "z"))})
		f.route.Kind, f.route.MaxTargets, f.triedTargets = proto.RouteRepeatable, 2, map[string]bool{}
		if fail, _ := f.runStages(context.Background()); fail != nil {
			t.Fatal(fail.reason)
		}
		if freed {
			f.freeAllResults()
		}
		_, lost := f.runAttempts(context.Background())
		if want := map[bool]int{false: 2, true: 1}[freed]; lost != freed || sender.calls != want {
			t.Errorf("inputs freed %v: lost %v after %d attempts", freed, lost, sender.calls)
		}
	}
}
