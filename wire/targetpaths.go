package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"emberlead/proto"
	"emberlead/relay"
)

// usesLink reports whether own connections to a target are used.
func (t *TargetTransport) usesLink(to netip.AddrPort) bool {
	return t.paths == nil || t.paths.UsesLink(to)
}

// carriers returns the daemons that can carry connections and reach targets.
func (t *TargetTransport) carriers() map[proto.VM]bool {
	carriers := map[proto.VM]bool{}
	if t.paths != nil && t.paths.Stats().Carried > 0 {
		for _, c := range t.paths.Carriers() {
			carriers[c.VM] = !c.CutOff
		}
	}
	return carriers
}

// openResult is a new connection, or why there is none.
type openResult struct {
	conn *targetConn
	err  error
}

// open opens an own connection, or one that another daemon carries.
func (t *TargetTransport) open(ctx context.Context, to netip.AddrPort) (*targetConn, error) {
	if t.paths == nil {
		return t.openOwn(ctx, to)
	}
	c, err := t.openAnyPath(ctx, to)
	if err != nil && ctx.Err() == nil {
		t.paths.RecordUnreached(to)
		if other, ok := t.paths.VerifyAnyPath(); ok {
			go t.verify(other)
		}
	}
	return c, err
}

// verify finds out whether a target is reached over any path, and keeps the connection for a request.
func (t *TargetTransport) verify(to netip.AddrPort) {
	if c, err := t.open(context.Background(), to); err == nil {
		t.putIdle(to, c, nil)
	}
}

// openAnyPath opens a connection over the path to use. If an own connection takes long, another daemon is asked beside it, and the first
// to open is used.
func (t *TargetTransport) openAnyPath(ctx context.Context, to netip.AddrPort) (*targetConn, error) {
	direct, probe := t.paths.Plan(to)
	if probe {
		go t.probe(to)
	}
	if !direct {
		return t.openCarriedFirst(ctx, to)
	}
	own := make(chan openResult, 1)
	go func() {
		// An own connection that comes too late is of use for the next request.
		c, err := t.openOwn(context.WithoutCancel(ctx), to)
		own <- openResult{c, err}
	}()
	headStart := t.clock.NewTimer(t.whenLate(relay.DirectHeadStart))
	defer headStart.Stop()
	select {
	case result := <-own:
		if result.err == nil {
			return result.conn, nil
		}
		c, err := t.openCarried(ctx, to)
		if err != nil {
			return nil, t.markDoubtful(to, result.err)
		}
		return c, nil
	case <-headStart.Chan():
	case <-ctx.Done():
		go t.keepLate(to, own)
		return nil, ctx.Err()
	}
	return t.openBeside(ctx, to, own)
}

// openCarriedFirst has another daemon carry a connection, and tries an own one if no other can and the link may work.
func (t *TargetTransport) openCarriedFirst(ctx context.Context, to netip.AddrPort) (*targetConn, error) {
	c, err := t.openCarried(ctx, to)
	if err == nil || ctx.Err() != nil || !t.paths.MayConnect(to) {
		return c, t.markDoubtful(to, err)
	}
	ownCtx, cancel := context.WithTimeout(ctx, t.whenLate(relay.DirectHeadStart))
	defer cancel()
	if own, ownErr := t.openOwn(ownCtx, to); ownErr == nil {
		return own, nil
	}
	return nil, t.markDoubtful(to, err)
}

// openBeside has another daemon carry a connection while an own one is being opened.
func (t *TargetTransport) openBeside(ctx context.Context, to netip.AddrPort, own chan openResult) (*targetConn, error) {
	carryCtx, cancel := context.WithCancel(ctx)
	carried := make(chan openResult, 1)
	go func() {
		c, err := t.openCarried(carryCtx, to)
		carried <- openResult{c, err}
	}()
	select {
	case result := <-carried:
		cancel()
		if result.err == nil {
			go t.keepLate(to, own)
			return result.conn, nil
		}
		result = <-own
		return result.conn, t.markDoubtful(to, result.err)
	case result := <-own:
		if result.err != nil {
			defer cancel()
			other := <-carried
			if other.err == nil {
				return other.conn, nil
			}
			return nil, t.markDoubtful(to, result.err)
		}
		cancel()
		go t.keepLate(to, carried)
		return result.conn, nil
	}
}

// keepLate keeps a connection that nobody waits for any more, if it opens.
func (t *TargetTransport) keepLate(to netip.AddrPort, opened chan openResult) {
	if result := <-opened; result.err == nil {
		t.putIdle(to, result.conn, nil)
	}
}

// probe tries whether an own connection to a target can be opened, and keeps it for a request.
func (t *TargetTransport) probe(to netip.AddrPort) {
	if c, err := t.openOwn(context.Background(), to); err == nil {
		t.putIdle(to, c, nil)
	}
}

func (t *TargetTransport) openOwn(ctx context.Context, to netip.AddrPort) (*targetConn, error) {
	conn, err := t.DialOwn(ctx, to)
	if err != nil {
		return nil, err
	}
	return t.newConn(conn, ""), nil
}

// DialOwn opens a connection to a target over this daemon's own link.
func (t *TargetTransport) DialOwn(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	t.dialed.Add(1)
	ctx, cancel := context.WithTimeout(ctx, t.whenLate(connectTimeout))
	defer cancel()
	conn, err := t.dial(ctx, "tcp4", to.String())
	switch {
	case t.paths == nil, errors.Is(err, context.Canceled):
	case err != nil:
		t.paths.RecordFailed(to, err)
	default:
		t.paths.RecordConnected(to)
	}
	return conn, err
}

// whenLate returns a timeout that is longer by the delay of this daemon itself.
func (t *TargetTransport) whenLate(timeout time.Duration) time.Duration {
	return timeout + min(maxOwnDelay, ownDelayFactor*t.ownDelay())
}

// TrustsLinks reports whether this daemon's links to targets work. If it doubts them, it verifies them at another target.
func (t *TargetTransport) TrustsLinks(ctx context.Context) bool {
	if !t.paths.DoubtsLinks() {
		return true
	}
	if to, ok := t.paths.VerifyWith(); ok {
		ctx, cancel := context.WithTimeout(ctx, carryDialTimeout)
		defer cancel()
		if c, err := t.openOwn(ctx, to); err == nil {
			t.putIdle(to, c, nil)
		}
	}
	return !t.paths.DoubtsLinks()
}

// openCarried asks other daemons for a connection until one opens it: one after the other if this daemon's link is known to be lost,
// and two at a time otherwise, since their answers then tell whether the link or the target fails.
func (t *TargetTransport) openCarried(ctx context.Context, to netip.AddrPort) (*targetConn, error) {
	if t.paths.Unreachable(to) {
		return nil, newError("open tunnel", proto.KindUnavailable, "other daemons did not reach the target a moment ago")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	side := 1
	if t.paths.UsesLink(to) {
		side = 2
		defer t.asking.Add(-1)
		if t.asking.Add(1) > maxAsking {
			return nil, newError("open tunnel", proto.KindUnavailable, "too many connections are being asked for")
		}
	}
	results := make(chan carryResult, maxAskedBeside)
	asked := map[proto.VM]bool{}
	running, unreached, askedAll := 0, 0, false
	last := newError("open tunnel", proto.KindUnavailable, "no other daemon can carry the connection")
	for {
		for !askedAll && running < side {
			carrier, ok := t.paths.NextCarrier(to, asked)
			if !ok {
				askedAll = true
				break
			}
			asked[carrier.VM] = true
			running++
			go func() { results <- t.askCarrier(ctx, carrier.VM, to) }()
		}
		if running == 0 {
			break
		}
		result := <-results
		running--
		if result.conn != nil {
			go t.closeUnused(results, running)
			return result.conn, nil
		}
		if result.outcome == relay.CarryUnreachable {
			unreached++
		}
		last = result.err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	t.paths.RecordUnreachable(to, askedAll, unreached)
	return nil, last
}

const (
	// maxAskedBeside is how many daemons are asked for a connection at a time.
	maxAskedBeside = 2
	// maxAsking is for how many connections others are asked at a time over links that are not known to be lost. Where many own connections
	// are slow to open, this daemon is probably overloaded, and more work would not help.
	maxAsking = 16
)

// carryResult is a carried connection, or why a daemon did not open it.
type carryResult struct {
	conn    *targetConn
	outcome relay.CarryOutcome
	err     error
}

func (t *TargetTransport) askCarrier(ctx context.Context, by proto.VM, to netip.AddrPort) carryResult {
	conn, outcome, err := t.openTunnel(ctx, by, to)
	if err != nil {
		if ctx.Err() == nil {
			t.paths.RecordNotCarried(to, by, outcome)
		}
		return carryResult{outcome: outcome, err: err}
	}
	t.paths.RecordCarried(to, by)
	c := t.newConn(conn, by)
	c.onClose = sync.OnceFunc(func() { t.paths.RecordClosed(by) })
	return carryResult{conn: c}
}

// closeUnused closes connections that open after another one did.
func (t *TargetTransport) closeUnused(results chan carryResult, running int) {
	for range running {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close() // Nothing was sent over it.
		}
	}
}

// markDoubtful wraps an error unless another daemon confirmed that the target is unreachable.
func (t *TargetTransport) markDoubtful(to netip.AddrPort, err error) error {
	if err == nil || t.paths.Confirmed(to) {
		return err
	}
	return &relay.LinkError{Err: err}
}

// recordHeard records that a response began over a connection.
func (t *TargetTransport) recordHeard(to netip.AddrPort, c *targetConn) {
	if t.paths != nil {
		t.paths.RecordHeard(to, c.carrier == "")
	}
}

// checkLink returns the error of a broken connection, wrapped if the link may be its cause instead of the target.
func (r *responseBody) checkLink(err error) error {
	t := r.transport
	if t.paths == nil || r.ctx.Err() != nil || r.conn.carrier == "" && t.paths.HeardSince(r.to, r.sentAt) && t.usesLink(r.to) {
		return err
	}
	if t.CheckTarget(r.ctx, r.to, r.sentAt) {
		return err
	}
	return &relay.LinkError{Err: err}
}

// CheckTarget reports whether a failure or delay of a target since the given time is its own: it can be connected to over this
// daemon's link, or no daemon can connect to it. It opens a connection if nothing was heard from the target since then.
func (t *TargetTransport) CheckTarget(ctx context.Context, to netip.AddrPort, since time.Time) bool {
	switch {
	case t.paths == nil:
		return true
	case !t.paths.UsesLink(to):
		return false
	case t.paths.HeardSince(to, since):
		return true
	}
	c, err := t.open(ctx, to)
	if err != nil {
		var link *relay.LinkError
		return !errors.As(err, &link)
	}
	t.putIdle(to, c, nil)
	return c.carrier == ""
}

// NoneReached reports whether no target is reached at present, and when a request may try again.
func (t *TargetTransport) NoneReached() (wait time.Duration, none bool) {
	if t.paths == nil {
		return 0, false
	}
	return t.paths.NoneReached()
}

// Probe reports whether a process listens at an address, as far as this daemon and others can tell.
func (t *TargetTransport) Probe(ctx context.Context, to netip.AddrPort) relay.ProbeResult {
	c, err := t.open(ctx, to)
	if err == nil {
		t.putIdle(to, c, nil)
		return relay.ProbeListens
	}
	var link *relay.LinkError
	switch {
	case errors.As(err, &link):
		return relay.ProbeUnknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.ProbeRefused
	}
	return relay.ProbeSilent
}
