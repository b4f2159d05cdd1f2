package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// busyAfterFirst answers its first call after a time and refuses others meanwhile, as a target with one slot does.
func busyAfterFirst(first racer) racer {
	var calls atomic.Int64
	return func(ctx context.Context) (*TargetResponse, error) {
		if calls.Add(1) > 1 {
			return respondsAfter(raceTypicalLatency, http.StatusServiceUnavailable, io.EOF)(ctx)
		}
		return first(ctx)
	}
}

// respondsInTurn answers each call with the next script.
func respondsInTurn(racers ...racer) racer {
	var calls atomic.Int64
	return func(ctx context.Context) (*TargetResponse, error) { return racers[calls.Add(1)-1](ctx) }
}

// TestOverdueCallIsNotAbandonedBeforePiecesAreMade has a call take twenty times its expected time. It must be
// abandoned only once another call has made its pieces.
func TestOverdueCallIsNotAbandonedBeforePiecesAreMade(t *testing.T) {
	const long = 5 * time.Second
	made := func(wait time.Duration) racer { return whole(wait, "{}") }
	south := proto.AllowRegions([]string{"south"})
	scenarios := []struct {
		testName string
		racers   []racer
		homes    proto.AllowedRegions
		// leaving is set if the second target is leaving.
		leaving bool
		// maxTime is the maximum time until the pieces are made, and firstCalls is the number of calls to the first
		// target.
		maxTime    time.Duration
		firstCalls int
	}{
		{"only target is slow", []racer{busyAfterFirst(made(long))}, proto.AllowedRegions{}, false, long, 0},
		{"other target is leaving", []racer{busyAfterFirst(made(long)), made(0)}, proto.AllowedRegions{}, true, long, 0},
		{"other target is outside the allowed regions", []racer{busyAfterFirst(made(long)), made(0)}, proto.AllowRegions([]string{"north"}), false, long, 0},
		{"other target closes the connection", []racer{busyAfterFirst(made(long)), failsAfter(raceTypicalLatency)}, proto.AllowedRegions{}, false, long, 0},
		{"connection to only target is dead", []racer{respondsInTurn(hangs, made(raceTypicalLatency))}, proto.AllowedRegions{}, false, long / 2, 2},
		{"only target in the allowed regions is slow", []racer{made(0), busyAfterFirst(made(long))}, south, false, long, 0},
		{"other target makes the pieces", []racer{hangs, made(raceTypicalLatency)}, proto.AllowedRegions{}, false, long / 2, 1},
		{"other target hangs as well", []racer{busyAfterFirst(made(long)), hangs}, proto.AllowedRegions{}, false, long, 0},
		{"all connections are dead", []racer{respondsInTurn(hangs, made(raceTypicalLatency)), respondsInTurn(hangs, made(raceTypicalLatency))}, proto.AllowedRegions{}, false, long / 2, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				sender := &raceSender{racers: map[netip.AddrPort]racer{}, asked: map[netip.AddrPort]int{}, canceled: map[netip.AddrPort]int{}}
				p := newTestPieceScheduler(clock, &scriptedPeers{silent: make(chan struct{})}, sender)
				p.fleet.ApplyChanges(clock.Now(), []FleetChange{removeChange(2, "t1")})
				for i, r := range s.racers {
					sender.racers[raceAddress(i)] = r
					target := raceTarget(i)
					target.Leaving = s.leaving && i == 1
					p.fleet.ApplyChanges(clock.Now(), []FleetChange{putChange(uint64(10+i), target)})
				}
				now := clock.Now()
				w := p.workerFor(shard{pool: "p"})
				ask := proto.PiecesAsk{Pool: "p", RequestID: "r", Pieces: 2, ResultBytes: 10, AllowedRegions: s.homes}
				answers, refused := w.addJob(&Job{Params: ask, Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)})
				if refused != nil {
					t.Fatal(refused.Detail)
				}
				answer := <-answers
				if took := time.Since(now); answer.Outcome != proto.PiecesDone || took > s.maxTime+time.Second/2 {
					t.Errorf("%s after %s: %s", answer.Outcome, took, answer.Detail)
				}
				if n := sender.askedOf(0); s.firstCalls > 0 && n != s.firstCalls {
					t.Errorf("the first target was called %d times, want %d", n, s.firstCalls)
				}
				// Calls that hang end with their jobs.
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestAnswerOfEarlierCallIsNotTaken guards against pieces made from inputs of other requests, by a target that does not say which call
// an answer belongs to: it sent the answer of a call once more, and the next call took it for its own.
func TestAnswerOfEarlierCallIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRaced(proto.RouteRepeatable, hangs)
		var contexts []context.Context
		answer := whole(raceTypicalLatency, "{}")
		p := newTestPieceScheduler(r.server.clock, r.server.peers, &callSender{func(ctx context.Context) (*TargetResponse, error) {
			contexts = append(contexts, ctx)
			return answer(ctx)
		}})
		if results, err := p.sendCall(t.Context(), callFor("a")); err != nil || len(results) != 2 {
			t.Fatalf("results %+v, %v", results, err)
		}
		// The stand-in gives each answer the same handles.
		if results, err := p.sendCall(t.Context(), callFor("b")); proto.KindOf(err) != proto.KindMismatch {
			t.Errorf("results %+v, %v, want a mismatch", results, err)
		}
		if len(contexts) != 2 || contexts[1].Err() == nil {
			t.Error("the connection is not closed")
		}
		if results, err := p.sendCall(t.Context(), callFor("a")); err != nil || len(results) != 2 {
			t.Errorf("results %+v, %v, where the same pieces are made again", results, err)
		}
	})
}

// callFor returns a call for two pieces of a request.
func callFor(request string) *Call {
	j := &Job{Params: proto.PiecesAsk{RequestID: request}}
	return &Call{Target: raceTarget(0), Items: []CallItem{{Job: j}, {Job: j, Piece: 1}}}
}

func TestKnownHandlesAreLimited(t *testing.T) {
	var s handleSet
	add := func(c *Call, handle int) bool {
		return s.addOwn(c, []ItemResult{{Handle: fmt.Sprint(handle)}, {Outcome: proto.PiecesLate}})
	}
	for i := range 3 * maxKnownHandles {
		if !add(callFor(fmt.Sprint(i)), i) {
			t.Fatalf("handle %d is that of another piece", i)
		}
	}
	if n := len(s.recent) + len(s.older); n > maxKnownHandles {
		t.Errorf("%d handles are known", n)
	}
	last := 3*maxKnownHandles - 1
	if add(callFor("other"), last) {
		t.Error("the last handle is not known")
	}
	if !add(callFor(fmt.Sprint(last)), last) {
		t.Error("the handle of a piece that is made again is that of another one")
	}
	next := callFor("other")
	next.Target.StartedAt = time.Now()
	if !add(next, last) {
		t.Error("the same handle of the next run is known")
	}
}
