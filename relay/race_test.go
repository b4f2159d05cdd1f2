package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// What callers saw: a request with nearly five seconds left was answered 502 "the pool has no target that may get work" after 8 ms,
// beside a healthy target that was at work on it. The attempt was given up since no answer had begun within 7.7 ms, where half a
// millisecond is usual, and only then was another target looked for, of which the pool had none. The log showed it: "attempt failed
// ... reason=no answer began in time took=7.728ms", and 0.4 ms later "request refused ... left=4.976951s". In a play of the fault soak
// 106 attempts ended so, one after 960 ms whose further attempt the retry budget then refused.
//
// The tests play requests in a bubble of synctest, in which time is that of the test, against targets that answer when a script says.

const (
	// raceUsual is how long answers take as a rule, and raceLate how long a late one takes; raceLeft is the time of a request.
	raceUsual = 500 * time.Microsecond
	raceLate  = 400 * time.Millisecond
	raceLeft  = 5 * time.Second
	raceRoute = "route"
)

// racer is how a target answers.
type racer func(ctx context.Context) (*Incoming, error)

// raceSender answers by the scripts of targets and counts what was given up.
type raceSender struct {
	mu     sync.Mutex
	racers map[netip.AddrPort]racer
	asked  map[netip.AddrPort]int
	gaveUp map[netip.AddrPort]int
}

func (s *raceSender) Send(ctx context.Context, to netip.AddrPort, _ *Outgoing) (*Incoming, error) {
	s.mu.Lock()
	s.asked[to]++
	r := s.racers[to]
	s.mu.Unlock()
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.gaveUp[to]++
	})
	return r(ctx)
}

func (s *raceSender) askedOf(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[raceAddress(i)]
}

func (s *raceSender) gaveUpOn(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaveUp[raceAddress(i)]
}

// raceDialect has every answer be that of the request, unless its head says that it was not run.
type raceDialect struct{ standDialect }

const notRunHeader = "Not-Run"

func (raceDialect) ReadReply(_ int, h http.Header) Reply {
	return Reply{Request: "r", Stamped: true, NotRun: h.Get(notRunHeader) != ""}
}

// pausedBody gives each part after a pause.
type pausedBody struct {
	ctx   context.Context
	parts []part
	ends  error
}

type part struct {
	after time.Duration
	text  string
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, b.ends
	}
	select {
	case <-time.After(b.parts[0].after):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, b.parts[0].text)
	b.parts = b.parts[1:]
	return n, nil
}

func (b *pausedBody) Close() error { return nil }

// answersAfter begins its answer after a time and then gives its parts.
func answersAfter(wait time.Duration, status int, ends error, parts ...part) racer {
	return func(ctx context.Context) (*Incoming, error) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &SendError{Written: true, Err: ctx.Err()}
		}
		return &Incoming{Status: status, Header: http.Header{}, Body: &pausedBody{ctx, parts, ends}}, nil
	}
}

func whole(wait time.Duration, body string) racer {
	return answersAfter(wait, http.StatusOK, io.EOF, part{0, body})
}

// streamed gives events of a stream, each a millisecond after the last.
func streamed(wait time.Duration, events ...int) racer {
	return answersAfter(wait, http.StatusOK, io.EOF, eventParts(events...)...)
}

func eventParts(events ...int) []part {
	var parts []part
	for _, id := range events {
		parts = append(parts, part{time.Millisecond, fmt.Sprintf("id: %d\ndata: x\n\n", id)})
	}
	return parts
}

func refusesAfter(wait time.Duration) racer {
	return func(ctx context.Context) (*Incoming, error) {
		in, err := answersAfter(wait, http.StatusServiceUnavailable, io.EOF)(ctx)
		if err == nil {
			in.Header.Set(notRunHeader, "1")
		}
		return in, err
	}
}

func breaksAfter(wait time.Duration) racer {
	return func(ctx context.Context) (*Incoming, error) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return nil, &SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
}

func hangs(ctx context.Context) (*Incoming, error) {
	<-ctx.Done()
	return nil, &SendError{Written: true, Err: ctx.Err()}
}

// racedRequest is one request before two targets.
type racedRequest struct {
	*flow
	fleet    *Fleet
	sender   *raceSender
	recorder *httptest.ResponseRecorder
	// log is what the daemon logged.
	log *strings.Builder
}

func raceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

func raceTarget(i int) proto.RelayTarget {
	t := listed(fmt.Sprint("t", i), "p", "z")
	t.Address, t.Region = raceAddress(i), []string{"north", "south"}[i%2]
	return t
}

// newRaced makes a request of a kind before one target for each racer; its answers are usually quick, and the first target is the cheaper one.
func newRaced(kind proto.RouteKind, racers ...racer) *racedRequest {
	clock := clockwork.NewRealClock()
	sender := &raceSender{racers: map[netip.AddrPort]racer{}, asked: map[netip.AddrPort]int{}, gaveUp: map[netip.AddrPort]int{}}
	fleet := NewFleet(func(string) {}, WithColdTerms(ColdTerms{Over: 1.5, Slack: 5}))
	for i, r := range racers {
		sender.racers[raceAddress(i)] = r
		t := raceTarget(i)
		if i > 0 {
			t.Zone = "other"
		}
		fleet.Change(clock.Now(), []FleetChange{put(uint64(i+1), t)})
	}
	peers := &ownerPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}
	lines := &strings.Builder{}
	log := hclog.New(&hclog.LoggerOptions{Output: lines})
	s := NewServer(ServerConfig{
		Clock: clock, Log: log, Dialect: raceDialect{}, Sender: sender, Fleet: fleet, Peers: peers, Zone: "z",
		Placer: NewPlacer("self", clock, log, fleet, peers), Budget: BudgetTerms{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	for range 200 {
		s.answers.observe("p", answerPrior, raceUsual)
		s.firstEvents.observe(raceRoute, firstEventPrior, raceUsual)
	}
	now := clock.Now()
	recorder := httptest.NewRecorder()
	f := &flow{
		server: s, w: recorder, req: &Request{ID: "r"}, pool: "p", spec: &proto.RelayPool{Name: "p"}, tried: map[string]bool{},
		route: &proto.Route{Name: raceRoute, Kind: kind, MaxTargets: 3, Resumable: true, Gap: 100 * time.Millisecond},
		began: now, due: now.Add(raceLeft), end: now.Add(raceLeft),
	}
	return &racedRequest{flow: f, fleet: fleet, sender: sender, recorder: recorder, log: lines}
}

// end runs the request to its end and returns the body that its caller got.
func (r *racedRequest) end(t *testing.T) string {
	t.Helper()
	if fail := r.run(t.Context()); fail != nil {
		t.Errorf("the request fails after %s: status %d, %s", time.Since(r.began), fail.status, fail.reason)
	}
	return r.recorder.Body.String()
}

func (r *racedRequest) change(t proto.RelayTarget) {
	r.fleet.Change(time.Now(), []FleetChange{put(100, t)})
}

// eventsOf are the ids of the events that a caller got.
func eventsOf(body string) string {
	ids := ""
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids += strings.TrimSpace(id)
		}
	}
	return ids
}

// kindsOfRace are the kinds of requests that may run at more than one target, each with a target that is late, one that is quick,
// and what callers get of a whole answer.
var kindsOfRace = []struct {
	testName    string
	kind        proto.RouteKind
	late, quick racer
	whole       string
}{
	{"a plain request", proto.RouteRepeatable, whole(raceLate, "whole"), whole(raceUsual, "whole"), "whole"},
	{"a stream", proto.RouteStream, streamed(raceLate, 1, 2, 3), streamed(raceUsual, 1, 2, 3), "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"},
}

// TestAnAttemptIsNotGivenUpForOneThatCannotBeMade has the only target that a request may go to answer late, for each reason why it is
// the only one. The answer must be delivered, and the target's work must not be given up.
func TestAnAttemptIsNotGivenUpForOneThatCannotBeMade(t *testing.T) {
	scenarios := []struct {
		testName string
		// alone makes the first target the only one that the request may go to.
		alone func(r *racedRequest)
		// only says that there is no second target at all.
		only bool
	}{
		{"the pool has one target", func(*racedRequest) {}, true},
		{"the other one leaves", func(r *racedRequest) {
			other := raceTarget(1)
			other.Leaving = true
			r.change(other)
		}, false},
		{"the other one was tried", func(r *racedRequest) { r.tried["t1"] = true }, false},
		{"the other one's zone is evacuated", func(r *racedRequest) {
			r.fleet.Evacuate(time.Now(), []proto.Evacuation{{Zone: "other", Version: rev(100)}})
		}, false},
		{"the other one is away from the request's regions", func(r *racedRequest) { r.homes = proto.HomesIn([]string{"north"}) }, false},
		{"the other one is cold and has had what it may get", func(r *racedRequest) {
			r.fleet.SetCold("p", proto.ColdSpec{For: time.Minute, PerSecond: 1})
			other := raceTarget(1)
			other.ColdFor = time.Minute
			r.change(other)
			for range 10 {
				r.server.placer.cold.take(time.Now(), "t1", 6)
			}
		}, false},
		{"the other one has as many requests as it may have at a time", func(r *racedRequest) {
			r.fleet.SetCold("p", proto.ColdSpec{For: time.Minute, PerSecond: 1})
			for range 6 {
				r.fleet.where["t1"].noteChosen(time.Now())
			}
		}, false},
		{"the retry budget is spent", func(r *racedRequest) { r.server.budget = BudgetTerms{Window: 10 * time.Second} }, false},
	}
	for _, s := range scenarios {
		for _, k := range kindsOfRace {
			t.Run(s.testName+", "+k.testName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					racers := []racer{k.late, k.quick}
					if s.only {
						racers = racers[:1]
					}
					r := newRaced(k.kind, racers...)
					s.alone(r)
					if got := r.end(t); got != k.whole {
						t.Errorf("the caller got %q", got)
					}
					if n := r.sender.askedOf(1); n > 0 {
						t.Errorf("the other target was asked %d times", n)
					}
				})
			})
		}
	}
}

// TestAnotherAttemptBeginsBesideTheFirst has the first target be late and the second do something else. Whichever answer is whole first
// counts, and nobody waits for the late one if the other is quick.
func TestAnotherAttemptBeginsBesideTheFirst(t *testing.T) {
	for _, k := range kindsOfRace {
		scenarios := []struct {
			testName string
			second   racer
			// quick says that the caller need not wait for the first target.
			quick bool
		}{
			{"answers", k.quick, true},
			{"hangs", hangs, false},
			{"breaks off", breaksAfter(raceUsual), false},
			{"refuses", refusesAfter(raceUsual), false},
			{"fails", answersAfter(raceUsual, http.StatusInternalServerError, io.EOF), false},
			{"breaks off within its first event", answersAfter(raceUsual, http.StatusOK, io.ErrUnexpectedEOF, part{0, "id: 1\nda"}), false},
		}
		for _, s := range scenarios {
			t.Run(k.testName+", the second "+s.testName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRaced(k.kind, k.late, s.second)
					if got := r.end(t); got != k.whole {
						t.Errorf("the caller got %q", got)
					}
					if took := time.Since(r.began); s.quick == (took >= raceLate) {
						t.Errorf("the answer took %s", took)
					}
					synctest.Wait()
					if n := r.sender.askedOf(1); n != 1 {
						t.Errorf("the second target was asked %d times", n)
					}
					if s.quick && r.sender.gaveUpOn(0) == 0 {
						t.Error("the first target goes on working for nobody")
					}
				})
			})
		}
	}
}

// TestASilentStreamGoesOnWhereItCan has the first target fall silent for a while after two events.
func TestASilentStreamGoesOnWhereItCan(t *testing.T) {
	const silence = 3 * time.Second
	silent := func() racer {
		parts := eventParts(1, 2)
		parts = append(parts, part{silence, "id: 3\ndata: x\n\n"}, part{0, "id: 4\ndata: x\n\n"})
		return answersAfter(raceUsual, http.StatusOK, io.EOF, parts...)
	}
	scenarios := []struct {
		testName string
		others   []racer
		quick    bool
	}{
		{"there is no other", nil, false},
		{"another goes on", []racer{streamed(raceUsual, 3, 4)}, true},
		{"another has begun anew", []racer{streamed(raceUsual, 1, 2, 3, 4)}, true},
		{"another hangs", []racer{hangs}, false},
		{"another breaks off", []racer{breaksAfter(raceUsual)}, false},
		{"another refuses", []racer{refusesAfter(raceUsual)}, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteStream, append([]racer{silent()}, s.others...)...)
				if got := eventsOf(r.end(t)); got != "1234" {
					t.Errorf("the caller got the events %q", got)
				}
				if took := time.Since(r.began); s.quick == (took >= silence) {
					t.Errorf("the stream took %s", took)
				}
			})
		})
	}
}

// TestAStreamThatBreaksOffAtOnceIsMadeUpFor has one of two targets break off as soon as it has begun, with the whole answer of the other on its
// way or there.
func TestAStreamThatBreaksOffAtOnceIsMadeUpFor(t *testing.T) {
	breaks := func(wait time.Duration, events ...int) racer {
		return answersAfter(wait, http.StatusOK, io.ErrUnexpectedEOF, eventParts(events...)...)
	}
	scenarios := []struct {
		testName      string
		first, second racer
	}{
		{"the first breaks off, the second has answered", breaks(startLeast+raceUsual, 1), streamed(0, 1, 2, 3, 4)},
		{"the first breaks off, the second answers soon", breaks(startLeast+raceUsual, 1, 2), streamed(overlap/2, 1, 2, 3, 4)},
		{"the second breaks off, the first answers soon", streamed(startLeast+overlap/2, 1, 2, 3, 4), breaks(raceUsual, 1, 2)},
		{"the second breaks off within an event", streamed(startLeast+overlap/2, 1, 2, 3, 4), answersAfter(0, http.StatusOK, io.ErrUnexpectedEOF, part{0, "id: 1\ndata: x\n\nid: 2\nda"})},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteStream, s.first, s.second)
				r.route.MaxTargets = 2
				if got := eventsOf(r.end(t)); got != "1234" {
					t.Errorf("the caller got the events %q", got)
				}
			})
		})
	}
}

// TestACallerWhoLeavesEndsAllAttempts has two attempts at work when the caller leaves.
func TestACallerWhoLeavesEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRaced(proto.RouteRepeatable, hangs, hangs)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		if fail := r.run(ctx); fail == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("end %+v", fail)
		}
		synctest.Wait()
		for i := range 2 {
			if r.sender.askedOf(i) != 1 || r.sender.gaveUpOn(i) != 1 {
				t.Errorf("target %d was asked %d times and given up %d times", i, r.sender.askedOf(i), r.sender.gaveUpOn(i))
			}
		}
		if took := time.Since(r.began); took > time.Second {
			t.Errorf("the request ended %s after its caller came", took)
		}
	})
}

// TestARequestThatRunsOnceHasOneAttempt waits for the only run of a request, however late it answers.
func TestARequestThatRunsOnceHasOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRaced(proto.RouteOnce, whole(raceLate, "whole"), whole(raceUsual, "other"))
		if got := r.end(t); got != "whole" || r.sender.askedOf(1) > 0 {
			t.Errorf("the caller got %q, and the second target was asked %d times", got, r.sender.askedOf(1))
		}
	})
}

// withStage gives a request a stage whose results it needs, made by another daemon.
func (r *racedRequest) withStage() {
	clock, peers := r.server.clock, r.server.peers
	r.server.pieces = newPieces(clock, peers, &standSender{})
	r.server.tables = r.server.pieces.tables
	r.route.Stages = []proto.RouteStage{{Pool: "p", Bytes: 10}}
	r.req.Pieces, r.req.PieceKey = []int{1}, "k"
}

// stagesDone is how often the stages were done.
func (r *racedRequest) stagesDone() int {
	peers := r.server.peers.(*ownerPeers)
	peers.askedMu.Lock()
	defer peers.askedMu.Unlock()
	return len(peers.asked)
}

// TestInputsAreMadeAnewBesideALateAttempt has the inputs of a request given up, once its target has fetched them, before it is late. For
// another target they are made anew, while the first goes on; whichever answers counts.
func TestInputsAreMadeAnewBesideALateAttempt(t *testing.T) {
	const (
		// lateFrom is when the first attempt is late, and its inputs are given up by then.
		lateFrom = 3 * fetchPrior
		late     = 2 * lateFrom
		soon     = lateFrom / 10
	)
	scenarios := []struct {
		testName      string
		first, second racer
		// stages is how long it takes to do the stages anew, and rebuilt how often that was done already.
		stages  time.Duration
		rebuilt int
		took    time.Duration
		done    int
	}{
		{"the first hangs", hangs, whole(raceUsual, "whole"), soon, 0, lateFrom + 2*soon, 2},
		{"the first answers meanwhile", whole(late, "whole"), hangs, raceLeft, 0, late + soon, 2},
		{"the first answers while the second works", whole(late, "whole"), hangs, soon, 0, late + soon, 2},
		{"they may not be made anew", whole(late, "whole"), hangs, soon, stageRebuilds, late + soon, 1},
		{"the first breaks off meanwhile", breaksAfter(late), whole(raceUsual, "whole"), late, 0, 2*late + soon, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteRepeatable, s.first, s.second)
				r.withStage()
				r.rebuilt, r.route.Goal = s.rebuilt, lateFrom
				peers := r.server.peers.(*ownerPeers)
				peers.takes = func(n int) time.Duration {
					if n == 1 {
						return 0
					}
					return s.stages
				}
				if got := r.end(t); got != "whole" {
					t.Errorf("the caller got %q", got)
				}
				if took := time.Since(r.began); took > s.took {
					t.Errorf("the answer took %s", took)
				}
				if n := r.stagesDone(); n != s.done {
					t.Errorf("the stages were done %d times, want %d", n, s.done)
				}
			})
		})
	}
}

// TestAFailureAnswerIsPassedOnWhereNothingBetterComes has a target answer that it failed, and no other target be there to ask, or one that
// does no better.
func TestAFailureAnswerIsPassedOnWhereNothingBetterComes(t *testing.T) {
	fails := answersAfter(raceUsual, http.StatusInternalServerError, io.EOF, part{0, "why"})
	scenarios := []struct {
		testName string
		others   []racer
	}{
		{"no other target", nil},
		{"another refuses", []racer{refusesAfter(raceUsual)}},
		{"another breaks off", []racer{breaksAfter(raceUsual)}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteRepeatable, append([]racer{fails}, s.others...)...)
				if got := r.end(t); got != "why" || r.recorder.Code != http.StatusInternalServerError {
					t.Errorf("the caller got status %d, %q", r.recorder.Code, got)
				}
			})
		})
	}
}

// busyBeside answers only its first call, after a time, and refuses others meanwhile, as a target with one slot does.
func busyBeside(first racer) racer {
	var calls atomic.Int64
	return func(ctx context.Context) (*Incoming, error) {
		if calls.Add(1) > 1 {
			return answersAfter(raceUsual, http.StatusServiceUnavailable, io.EOF)(ctx)
		}
		return first(ctx)
	}
}

// inTurn answers each call by the next racer.
func inTurn(racers ...racer) racer {
	var calls atomic.Int64
	return func(ctx context.Context) (*Incoming, error) { return racers[calls.Add(1)-1](ctx) }
}

// TestACallForPiecesIsNotGivenUpForOneThatCannotBeMade has a call for a stage take twenty times as long as expected. It is given up only for
// another one that makes its pieces.
func TestACallForPiecesIsNotGivenUpForOneThatCannotBeMade(t *testing.T) {
	const long = 5 * time.Second
	made := func(wait time.Duration) racer { return whole(wait, "{}") }
	south := proto.HomesIn([]string{"south"})
	scenarios := []struct {
		testName string
		racers   []racer
		homes    proto.Homes
		// leaves says that the second target leaves.
		leaves bool
		// most is within what time the pieces are made, and asked how often the first target is called.
		most  time.Duration
		asked int
	}{
		{"the only target is late", []racer{busyBeside(made(long))}, proto.Homes{}, false, long, 0},
		{"the other one leaves", []racer{busyBeside(made(long)), made(0)}, proto.Homes{}, true, long, 0},
		{"the other one is away from the regions of the request", []racer{busyBeside(made(long)), made(0)}, proto.HomesIn([]string{"north"}), false, long, 0},
		{"the other one breaks off", []racer{busyBeside(made(long)), breaksAfter(raceUsual)}, proto.Homes{}, false, long, 0},
		{"the only target's connection has fallen silent", []racer{inTurn(hangs, made(raceUsual))}, proto.Homes{}, false, long / 2, 2},
		{"the only target at home is late", []racer{made(0), busyBeside(made(long))}, south, false, long, 0},
		{"another makes them", []racer{hangs, made(raceUsual)}, proto.Homes{}, false, long / 2, 1},
		{"another has hung as well", []racer{busyBeside(made(long)), hangs}, proto.Homes{}, false, long, 0},
		{"all connections have fallen silent", []racer{inTurn(hangs, made(raceUsual)), inTurn(hangs, made(raceUsual))}, proto.Homes{}, false, long / 2, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				sender := &raceSender{racers: map[netip.AddrPort]racer{}, asked: map[netip.AddrPort]int{}, gaveUp: map[netip.AddrPort]int{}}
				p := newPieces(clock, &scriptedPeers{silent: make(chan struct{})}, sender)
				p.fleet.Change(clock.Now(), []FleetChange{removed(2, "t1")})
				for i, r := range s.racers {
					sender.racers[raceAddress(i)] = r
					target := raceTarget(i)
					target.Leaving = s.leaves && i == 1
					p.fleet.Change(clock.Now(), []FleetChange{put(uint64(10+i), target)})
				}
				now := clock.Now()
				w := p.worker(shard{pool: "p"})
				ask := proto.PiecesAsk{Pool: "p", Request: "r", Pieces: 2, Bytes: 10, Homes: s.homes}
				answers, refused := w.add(&Job{Ask: ask, Due: now.Add(time.Hour), End: now.Add(time.Hour)})
				if refused != nil {
					t.Fatal(refused.Detail)
				}
				answer := <-answers
				if took := time.Since(now); answer.Fate != proto.PiecesDone || took > s.most+time.Second/2 {
					t.Errorf("%s after %s: %s", answer.Fate, took, answer.Detail)
				}
				if n := sender.askedOf(0); s.asked > 0 && n != s.asked {
					t.Errorf("the first target was called %d times, want %d", n, s.asked)
				}
				// The calls that hang end with their jobs.
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestTheLogTellsWhyAnAttemptWasGivenUp reads what is logged of a late attempt.
func TestTheLogTellsWhyAnAttemptWasGivenUp(t *testing.T) {
	scenarios := []struct {
		testName string
		racers   []racer
		lines    []string
	}{
		{"another answers", []racer{whole(raceLate, "whole"), whole(raceUsual, "whole")}, []string{
			`attempt beside: request=r target=t1 late=t0 after=50ms mightTake=50ms basis="the least that is waited for" usual=`,
			`attempt given up: request=r target=t0 for=t1 took=50.5ms late=true mightTake=50ms basis="the least that is waited for" usual=`,
		}},
		{"the first answers", []racer{whole(raceLate, "whole"), hangs}, []string{
			`attempt given up: request=r target=t1 for=t0 took=350ms`,
		}},
		{"there is no other", []racer{whole(raceLate, "whole")}, []string{
			`no attempt beside: request=r target=t0 mightTake=50ms basis="the least that is waited for"`, `reason="the pool has no target that may get work"`,
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRaced(proto.RouteRepeatable, s.racers...)
				r.end(t)
				for _, line := range s.lines {
					if strings.Count(r.log.String(), line) != 1 {
						t.Errorf("the log does not hold once: %s\n%s", line, r.log.String())
					}
				}
			})
		})
	}
}
