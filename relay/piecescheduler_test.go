package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// stubDialect returns one handle for each piece and supports no other messages.
type stubDialect struct{ Dialect }

func (stubDialect) BuildPiecesRequest(*Call, time.Time) (TargetRequest, error) {
	return TargetRequest{URI: "/run"}, nil
}

func (stubDialect) ParsePiecesResponse(_ []byte, n int) ([]ItemResult, error) {
	made := make([]ItemResult, n)
	for i := range made {
		made[i].Handle = "10.0.0.1:80/" + string(rune('a'+i))
	}
	return made, nil
}

func (stubDialect) Header(*Request, *ForwardInfo) http.Header { return http.Header{} }

func (stubDialect) ParseNotice(int, http.Header) Notice { return Notice{} }

func (stubDialect) BuildFreeRequest([]string) (TargetRequest, error) {
	return TargetRequest{URI: "/free"}, nil
}

func (stubDialect) HandleAddress(string) (netip.AddrPort, error) {
	return netip.MustParseAddrPort("10.0.0.1:80"), nil
}

type emptyBody struct{ *strings.Reader }

func (emptyBody) Close() error { return nil }

// stubSender answers every call at once.
type stubSender struct {
	mu    sync.Mutex
	calls int
}

func (s *stubSender) Send(context.Context, netip.AddrPort, *TargetRequest) (*TargetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: emptyBody{strings.NewReader("{}")}}, nil
}

// scriptedPeers has one other daemon, whose answers a test sets.
type scriptedPeers struct {
	answer func(context.Context) (proto.Message, error)
	silent chan struct{}
	mu     sync.Mutex
	sent   []proto.Message
}

func (p *scriptedPeers) OwnerInZone(_ proto.Zone, task string, skip map[proto.VM]bool) proto.VM {
	return p.Owner(task, skip)
}

func (p *scriptedPeers) Owner(_ string, skip map[proto.VM]bool) proto.VM {
	if skip["other"] {
		return "self"
	}
	return "other"
}

func (p *scriptedPeers) Silent(proto.VM) bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

func (p *scriptedPeers) OwnsExclusively(string, time.Duration) bool { return true }

func (p *scriptedPeers) Share() Share { return Share{Fraction: 0.5, VMCount: 2} }

func (p *scriptedPeers) Send(_ proto.VM, m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, m)
}

func (p *scriptedPeers) Call(ctx context.Context, _ proto.VM, _ proto.Message) (proto.Message, error) {
	return p.answer(ctx)
}

func newTestPieceScheduler(clock clockwork.Clock, peers Peers, sender Sender) *PieceScheduler {
	tables := &Tables{}
	tables.ReplaceIfNewer(&proto.Routing{Version: 1, Pools: map[string]*proto.RelayPool{"p": {Name: "p", Batch: &batchSpec}}})
	f := fleetWith(putChange(1, testTarget("t1", "p", "z")))
	return NewPieceScheduler("self", clock, hclog.NewNullLogger(), stubDialect{}, sender, peers, f, tables)
}

func runTestPieces(p *PieceScheduler, clock clockwork.Clock) proto.PiecesAnswer {
	now := clock.Now()
	return p.Run(context.Background(), proto.PiecesAsk{Pool: "p", RequestID: "r", Pieces: 2, ResultBytes: 10}, now.Add(time.Hour), now.Add(time.Hour))
}

func TestPieceSchedulerRunsLocallyWhenOwnerCannot(t *testing.T) {
	scenarios := []struct {
		name   string
		answer func(context.Context) (proto.Message, error)
		calls  int
	}{
		{"owner runs the pieces", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Outcome: proto.PiecesDone, Handles: []string{"x", "y"}}, nil
		}, 0},
		{"owner refuses the job", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Outcome: proto.PiecesRefused}, nil
		}, 0},
		{"owner is unreachable", func(context.Context) (proto.Message, error) { return nil, errors.New("cut off") }, 1},
		{"owner has no such pool yet", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Outcome: proto.PiecesElsewhere}, nil
		}, 1},
		{"owner sends an unexpected message", func(context.Context) (proto.Message, error) { return proto.Done{}, nil }, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sender := &stubSender{}
			clock := clockwork.NewRealClock()
			answer := runTestPieces(newTestPieceScheduler(clock, &scriptedPeers{answer: s.answer, silent: make(chan struct{})}, sender), clock)
			if s.calls > 0 && (answer.Outcome != proto.PiecesDone || len(answer.Handles) != 2) {
				t.Errorf("answer %+v", answer)
			}
			sender.mu.Lock()
			defer sender.mu.Unlock()
			if sender.calls != s.calls {
				t.Errorf("%d local calls, want %d", sender.calls, s.calls)
			}
		})
	}
}

// TestPieceSchedulerAbandonsSilentOwner has an owner that accepts the request and then falls silent.
func TestPieceSchedulerAbandonsSilentOwner(t *testing.T) {
	peers := &scriptedPeers{silent: make(chan struct{}), answer: func(ctx context.Context) (proto.Message, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	sender := &stubSender{}
	clock := clockwork.NewRealClock()
	close(peers.silent)
	if answer := runTestPieces(newTestPieceScheduler(clock, peers, sender), clock); answer.Outcome != proto.PiecesDone {
		t.Errorf("answer %+v", answer)
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if len(peers.sent) != 1 {
		t.Errorf("the silent owner was sent %v, want one message that cancels the stage", peers.sent)
	}
}

func TestPieceSchedulerUpdatesPoolSpec(t *testing.T) {
	p := newTestPieceScheduler(clockwork.NewRealClock(), &recordingPeers{}, &stubSender{})
	w := p.workerFor(shard{pool: "p"})
	changed := batchSpec
	changed.MaxPieces, changed.CallCost = 3*batchSpec.MaxPieces, 2*batchSpec.CallCost
	p.tables.ReplaceIfNewer(&proto.Routing{Version: 2, Pools: map[string]*proto.RelayPool{"p": {Name: "p", Batch: &changed}}})
	p.RoutingChanged()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batcher.spec.MaxPieces != changed.MaxPieces || w.batcher.model.callCost() != float64(changed.CallCost) {
		t.Errorf("the batcher makes calls of up to %d pieces with a fixed time of %v", w.batcher.spec.MaxPieces, time.Duration(w.batcher.model.callCost()))
	}
}

// TestWithdrawnStageIsAnswered guards against goroutines that wait for stages whose callers have left: another daemon that asked for
// the pieces withdraws them with a message, and the answer to its call never came.
func TestWithdrawnStageIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		p := newTestPieceScheduler(clock, &scriptedPeers{silent: make(chan struct{})}, &callSender{whole(time.Minute, "{}")})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		now := clock.Now()
		answers := make(chan proto.PiecesAnswer, 2)
		for _, id := range []string{"left", "stays"} {
			go func() {
				answers <- p.RunLocally(ctx, proto.PiecesAsk{Pool: "p", RequestID: id, Pieces: 2, ResultBytes: 10}, now.Add(time.Hour), now.Add(time.Hour))
			}()
		}
		synctest.Wait()
		p.Drop(proto.PiecesDrop{Pool: "p", RequestID: "left"})
		synctest.Wait()
		if len(answers) != 1 || (<-answers).Outcome != proto.PiecesLate {
			t.Errorf("%d stages are answered", len(answers))
		}
		if n := len(p.workers[shard{pool: "p"}].waiters); n != 1 {
			t.Errorf("%d stages are waited for, want 1", n)
		}
		time.Sleep(2 * time.Hour)
	})
}
