package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// noticeSender sends requests and records what targets report about themselves in the headers of any response.
type noticeSender struct {
	sender  Sender
	dialect Dialect
	fleet   *Fleet
	clock   clockwork.Clock
	log     hclog.Logger
}

func newNoticeSender(sender Sender, dialect Dialect, fleet *Fleet, clock clockwork.Clock, log hclog.Logger) *noticeSender {
	return &noticeSender{sender: sender, dialect: dialect, fleet: fleet, clock: clock, log: log}
}

// Send returns the header of the response. Its error is a *SendError.
func (s *noticeSender) Send(ctx context.Context, to netip.AddrPort, out *TargetRequest) (*TargetResponse, error) {
	sent := s.clock.Now()
	in, err := s.sender.Send(ctx, to, out)
	// A response of another target that now has the address says nothing about the target that was asked.
	if err == nil && in.Status != http.StatusMisdirectedRequest {
		s.recordSignal(sent, to, out, in)
	}
	return in, err
}

func (s *noticeSender) recordSignal(sent time.Time, to netip.AddrPort, out *TargetRequest, in *TargetResponse) {
	h := signal{Notice: s.dialect.ParseNotice(in.Status, in.Header), target: out.Target, sent: sent}
	if h.target.ID == "" {
		if !h.Leaving && !h.HasLimit && h.Backoff <= 0 {
			return
		}
		target, known := s.fleet.targetAt(to)
		if !known {
			return
		}
		// Calls without a target are not part of the work, and their responses may lack headers that other responses have.
		h.target, h.partial = target, true
	}
	if len(h.Unreadable) > 0 {
		s.log.Warn("a target's notice cannot be read", "target", h.target.ID, "pool", h.target.Pool, "address", to, "status", in.Status, "values", h.Unreadable)
		h.partial = true
	}
	if !h.partial && s.fleet.recordBrittle(s.clock.Now(), &h) {
		s.log.Info("brittleness of a target changed", "target", h.target.ID, "run", h.target.RunName(), "pool", h.target.Pool, "address", to, "brittle", h.Brittle, "rejectionsPerSecond", h.MaxRejections)
	}
	for _, change := range s.fleet.recordSignal(s.clock.Now(), &h) {
		s.log.Info(change.event, "target", h.target.ID, "run", h.target.RunName(), "pool", h.target.Pool, "address", to, "limit", change.limit, "before", change.before,
			"rest", formatDuration(change.backoff), "status", in.Status, "uri", out.URI, "took", formatDuration(s.clock.Now().Sub(sent)))
	}
}
