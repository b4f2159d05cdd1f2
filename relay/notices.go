package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// listener sends requests and takes in what targets say of themselves in their answers, whatever they were asked.
type listener struct {
	sender  Sender
	dialect Dialect
	fleet   *Fleet
	clock   clockwork.Clock
	log     hclog.Logger
}

func newListener(sender Sender, dialect Dialect, fleet *Fleet, clock clockwork.Clock, log hclog.Logger) *listener {
	return &listener{sender: sender, dialect: dialect, fleet: fleet, clock: clock, log: log}
}

// Send returns the head of the answer. Its error is a *SendError.
func (l *listener) Send(ctx context.Context, to netip.AddrPort, out *Outgoing) (*Incoming, error) {
	sent := l.clock.Now()
	in, err := l.sender.Send(ctx, to, out)
	// An answer of another target that has the address now says nothing of the one that was asked.
	if err == nil && in.Status != http.StatusMisdirectedRequest {
		l.hear(sent, to, out, in)
	}
	return in, err
}

func (l *listener) hear(sent time.Time, to netip.AddrPort, out *Outgoing, in *Incoming) {
	h := hearing{Notice: l.dialect.ReadNotice(in.Status, in.Header), target: out.Target, sent: sent}
	if h.target.ID == "" {
		if !h.Leaving && !h.Limited && h.Rest <= 0 {
			return
		}
		target, known := l.fleet.at(to)
		if !known {
			return
		}
		// Such calls are not part of the work, and may be answered without what is said with work.
		h.target, h.partial = target, true
	}
	if len(h.Unreadable) > 0 {
		l.log.Warn("a target's notice cannot be read", "target", h.target.ID, "pool", h.target.Pool, "address", to, "status", in.Status, "values", h.Unreadable)
		h.partial = true
	}
	for _, change := range l.fleet.hear(l.clock.Now(), &h) {
		l.log.Info(change.event, "target", h.target.ID, "run", h.target.RunName(), "pool", h.target.Pool, "address", to, "limit", change.limit, "before", change.before,
			"rest", brief(change.rest), "status", in.Status, "uri", out.URI, "took", brief(l.clock.Now().Sub(sent)))
	}
}
