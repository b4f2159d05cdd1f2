package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// standDialect makes one handle a piece and knows no other message.
type standDialect struct{ Dialect }

func (standDialect) PiecesCall(*Call, time.Time) (Outgoing, error) { return Outgoing{URI: "/run"}, nil }

func (standDialect) PiecesResult(_ []byte, n int) ([]ItemResult, error) {
	made := make([]ItemResult, n)
	for i := range made {
		made[i].Handle = "10.0.0.1:80/" + string(rune('a'+i))
	}
	return made, nil
}

func (standDialect) Header(*Request, *Forward) http.Header { return http.Header{} }

func (standDialect) ReadNotice(int, http.Header) Notice { return Notice{} }

func (standDialect) FreeCall([]string) (Outgoing, error) { return Outgoing{URI: "/free"}, nil }

func (standDialect) Maker(string) (netip.AddrPort, error) {
	return netip.MustParseAddrPort("10.0.0.1:80"), nil
}

type emptyBody struct{ *strings.Reader }

func (emptyBody) Close() error { return nil }

// standSender answers every call at once.
type standSender struct {
	mu    sync.Mutex
	calls int
}

func (s *standSender) Send(context.Context, netip.AddrPort, *Outgoing) (*Incoming, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &Incoming{Status: http.StatusOK, Header: http.Header{}, Body: emptyBody{strings.NewReader("{}")}}, nil
}

// scriptedPeers has one other daemon, which answers as a test says.
type scriptedPeers struct {
	answer func(context.Context) (proto.Message, error)
	silent chan struct{}
	mu     sync.Mutex
	sent   []proto.Message
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

func (p *scriptedPeers) Sole(string, time.Duration) bool { return true }

func (p *scriptedPeers) Share() Share { return Share{Part: 0.5, Counted: 2} }

func (p *scriptedPeers) Send(_ proto.VM, m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, m)
}

func (p *scriptedPeers) Call(ctx context.Context, _ proto.VM, _ proto.Message) (proto.Message, error) {
	return p.answer(ctx)
}

func newPieces(clock clockwork.Clock, peers Peers, sender Sender) *Pieces {
	tables := &Tables{}
	tables.Adopt(&proto.Routing{Version: 1, Pools: map[string]*proto.RelayPool{"p": {Name: "p", Batch: &spec}}})
	f := newFleet(put(1, listed("t1", "p", "z")))
	return NewPieces("self", clock, hclog.NewNullLogger(), standDialect{}, sender, peers, f, tables)
}

func askPieces(p *Pieces, clock clockwork.Clock) proto.PiecesAnswer {
	now := clock.Now()
	return p.Ask(context.Background(), proto.PiecesAsk{Pool: "p", Request: "r", Pieces: 2, Bytes: 10}, now.Add(time.Hour), now.Add(time.Hour))
}

func TestPiecesAreMadeHereWhenTheOwnerCannot(t *testing.T) {
	scenarios := []struct {
		name   string
		answer func(context.Context) (proto.Message, error)
		calls  int
	}{
		{"the owner does it", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Fate: proto.PiecesDone, Handles: []string{"x", "y"}}, nil
		}, 0},
		{"the owner refuses, which is its word", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Fate: proto.PiecesRefused}, nil
		}, 0},
		{"the owner cannot be reached", func(context.Context) (proto.Message, error) { return nil, errors.New("cut off") }, 1},
		{"the owner has just started", func(context.Context) (proto.Message, error) {
			return proto.PiecesAnswer{Fate: proto.PiecesElsewhere}, nil
		}, 1},
		{"the owner answers something else", func(context.Context) (proto.Message, error) { return proto.Done{}, nil }, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sender := &standSender{}
			clock := clockwork.NewRealClock()
			answer := askPieces(newPieces(clock, &scriptedPeers{answer: s.answer, silent: make(chan struct{})}, sender), clock)
			if s.calls > 0 && (answer.Fate != proto.PiecesDone || len(answer.Handles) != 2) {
				t.Errorf("answer %+v", answer)
			}
			sender.mu.Lock()
			defer sender.mu.Unlock()
			if sender.calls != s.calls {
				t.Errorf("%d calls from here, want %d", sender.calls, s.calls)
			}
		})
	}
}

// TestASilentOwnerIsLeft has an owner that takes the request and is never heard of again.
func TestASilentOwnerIsLeft(t *testing.T) {
	peers := &scriptedPeers{silent: make(chan struct{}), answer: func(ctx context.Context) (proto.Message, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	sender := &standSender{}
	clock := clockwork.NewRealClock()
	close(peers.silent)
	if answer := askPieces(newPieces(clock, peers, sender), clock); answer.Fate != proto.PiecesDone {
		t.Errorf("answer %+v", answer)
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if len(peers.sent) != 1 {
		t.Errorf("the silent owner was sent %v, want a word that the work is not needed", peers.sent)
	}
}

func TestAChangedPoolIsTakenOverByItsBatcher(t *testing.T) {
	p := newPieces(clockwork.NewRealClock(), &ownerPeers{}, &standSender{})
	w := p.worker(shard{pool: "p"})
	changed := spec
	changed.Most, changed.CallCost = 3*spec.Most, 2*spec.CallCost
	p.tables.Adopt(&proto.Routing{Version: 2, Pools: map[string]*proto.RelayPool{"p": {Name: "p", Batch: &changed}}})
	p.RoutingChanged()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batch.spec.Most != changed.Most || w.batch.model.callCost() != float64(changed.CallCost) {
		t.Errorf("calls of %d pieces at most that take %v", w.batch.spec.Most, time.Duration(w.batch.model.callCost()))
	}
}
