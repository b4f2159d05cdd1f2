package relay

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

func TestStoppingDaemonAcceptsOnlyRequestsThatCanFinish(t *testing.T) {
	s := NewServer(ServerConfig{Clock: clockwork.NewFakeClockAt(start)})
	const long, short = 7 * time.Second, 2 * time.Second // until the last moment
	scenarios := []struct {
		name    string
		stops   time.Duration
		kind    proto.RouteKind
		after   time.Duration
		refused bool
	}{
		{"not stopping", 0, proto.RouteStream, time.Minute, false},
		{"a stream shortly after the stop", long, proto.RouteStream, streamAcceptTime - time.Millisecond, false},
		{"a later stream", long, proto.RouteStream, streamAcceptTime, true},
		{"a later request", long, proto.RouteOnce, streamAcceptTime, false},
		{"a request shortly before the exit", long, proto.RouteOnce, long - minRequestTime, true},
		{"a stream with little time left", short, proto.RouteStream, time.Millisecond, true},
		{"a request with little time left", short, proto.RouteOnce, time.Millisecond, false},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s.stopping.Store(nil)
			if c.stops > 0 {
				s.Stop(start, start.Add(c.stops))
			}
			f := &flow{server: s, route: &proto.Route{Kind: c.kind}, startedAt: start.Add(c.after)}
			fail := f.refuseStopping(f.startedAt)
			if (fail != nil) != c.refused {
				t.Errorf("refused: %v", fail)
			}
			if fail != nil && (fail.status != 503 || fail.retryAfter <= 0) {
				t.Errorf("wrong refusal: %+v", fail)
			}
		})
	}
}

// TestStoppingDaemonRefusesUnfinishedStages lets a request wait in the queue of a stage until the daemon stops.
func TestStoppingDaemonRefusesUnfinishedStages(t *testing.T) {
	const grace = 7 * time.Second
	peers := &scriptedPeers{silent: make(chan struct{}), answer: func(ctx context.Context) (proto.Message, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	f := newStagedFlow(&recordingPeers{}, 1)
	clock := clockwork.NewFakeClockAt(start)
	f.server.clock, f.server.pieces = clock, newTestPieceScheduler(clock, peers, &stubSender{})
	f.server.Stop(start, start.Add(grace))
	type end struct {
		fail *failure
		lost bool
	}
	ends := make(chan end, 1)
	go func() {
		fail, lost := f.runStagesUntilStop(context.Background())
		ends <- end{fail, lost}
	}()
	// Two timers wait for the clock: the stop, and the check whether the owner of the stage is still alive.
	if err := clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	clock.Advance(grace - stopMargin - time.Nanosecond)
	select {
	case e := <-ends:
		t.Fatalf("refused although there is time left: %+v", e.fail)
	default:
	}
	clock.Advance(time.Nanosecond)
	if e := <-ends; e.fail == nil || e.lost || e.fail.status != 503 || e.fail.retryAfter != stoppingRetryAfter {
		t.Errorf("result %+v, want a refusal with a short Retry-After", e)
	}
}

func TestStoppingDaemonUsesRouteDurations(t *testing.T) {
	s := NewServer(ServerConfig{Clock: clockwork.NewFakeClockAt(start)})
	s.Stop(start, start.Add(7*time.Second))
	f := &flow{server: s, route: &proto.Route{Name: "long", Kind: proto.RouteStream}, startedAt: start.Add(time.Second)}
	if fail := f.refuseStopping(f.startedAt); fail != nil {
		t.Fatalf("refused before any duration is known: %s", fail.reason)
	}
	for range 50 {
		s.requestTimes.observe("long", minStreamTime, 6500*time.Millisecond)
	}
	if f.refuseStopping(f.startedAt) == nil {
		t.Error("accepted, although streams of the route take longer than the time left")
	}
}

func TestRequestWaitsForDaemonStartup(t *testing.T) {
	type fixture struct {
		clock   *clockwork.FakeClock
		started chan struct{}
		leave   func()
	}
	scenarios := []struct {
		name string
		end  func(w fixture)
	}{
		{"until the daemon has started", func(w fixture) { close(w.started) }},
		{"until the caller leaves", func(w fixture) { w.leave() }},
		{"until the wait is over", func(w fixture) { w.clock.Advance(startupWait) }},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := fixture{clockwork.NewFakeClockAt(start), make(chan struct{}), cancel}
			s := NewServer(ServerConfig{Clock: w.clock, Started: w.started})
			done := make(chan struct{})
			go func() {
				s.waitForStartup(ctx)
				close(done)
			}()
			if err := w.clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			select {
			case <-done:
				t.Fatal("the request did not wait")
			default:
			}
			c.end(w)
			<-done
		})
	}
}

func TestStreamWithLongPauseIsLate(t *testing.T) {
	f := &flow{route: &proto.Route{MaxPause: 200 * time.Millisecond}, startedAt: start, due: start.Add(time.Second), firstEventAt: start.Add(500 * time.Millisecond)}
	f.longestPause = f.route.MaxPause
	if !f.onTime(start.Add(time.Minute)) {
		t.Error("late, although its first event and its pauses were on time")
	}
	f.longestPause++
	if f.onTime(start.Add(time.Minute)) {
		t.Error("on time despite a pause that is too long")
	}
}
