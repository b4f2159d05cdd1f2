package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"emberlead/proto"
)

const (
	// noLimit stands for the limit of a target that names none.
	noLimit = -1.0
	// limitLeast is the least rate at which a target with a limit gets requests, a second. Only an answer tells that the limit is over.
	minLimitRate = 0.2
	// limitBurst is for how long requests that were not sent may be sent later, at one request the least.
	limitBurst = 250 * time.Millisecond
	// liveShareOver is how many times its part of the daemons a group that does not hear the others may use of a limit. The lost are most
	// often dead; the groups of a fleet that is cut in two come to this much of the limit together.
	liveShareFactor = 1.25
	// permitAgain is when to ask again where the daemon that hands out permits did not answer: by then another one may do it.
	permitRetryDelay = 100 * time.Millisecond
	// limitTries is how often a target is chosen anew when other requests took what its limit left.
	maxLimitPicks = 3
)

// allowance is a token bucket for the requests that a target's limit allows, which is empty at first and whose rate may change.
type tokenBucket struct {
	bucket *rate.Limiter
}

// limitRate is how many requests a second go to a target that names a limit, from daemons that have a part of it.
func limitRate(limit, part float64) float64 { return max(minLimitRate, limit) * part }

// refill sets the rate, a second, from a moment on.
func (a *tokenBucket) refill(now time.Time, perSecond float64) {
	burst := max(1, int(perSecond*limitBurst.Seconds()))
	if a.bucket == nil {
		a.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		a.bucket.AllowN(now, burst)
		return
	}
	a.bucket.SetLimitAt(now, rate.Limit(perSecond))
	a.bucket.SetBurstAt(now, burst)
}

// wait is how long it takes until a request is allowed; 0 if one is now.
func (a *tokenBucket) wait(now time.Time, perSecond float64) time.Duration {
	a.refill(now, perSecond)
	lacking := 1 - a.bucket.TokensAt(now)
	if lacking <= 0 {
		return 0
	}
	return max(1, time.Duration(lacking/perSecond*float64(time.Second)))
}

// take counts a request, unless none is allowed.
func (a *tokenBucket) take(now time.Time, perSecond float64) bool {
	a.refill(now, perSecond)
	return a.bucket.AllowN(now, 1)
}

// permits hold what the targets with a limit may get. For each pool one daemon hands them out, which places its requests too; the
// others ask it.
type permits struct {
	mu              sync.Mutex
	runs            map[proto.RunName]*permitState
	granted, denied atomic.Int64
}

// permit is what is known of the permits for one target.
type permitState struct {
	tokenBucket
	// exhaustedUntil is until when another daemon has none to hand out.
	exhaustedUntil time.Time
	lastAsked      time.Time
}

func newPermits() permits {
	return permits{runs: map[proto.RunName]*permitState{}}
}

// of returns the permits for a target, and whether they are new; the lock is held.
func (p *permits) lookup(now time.Time, run proto.RunName) (known *permitState, isNew bool) {
	known, ok := p.runs[run]
	if !ok {
		known = &permitState{}
		p.runs[run] = known
	}
	known.lastAsked = now
	return known, !ok
}

// sweep forgets the targets of which nobody asked for a while.
func (p *permits) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, known := range p.runs {
		if now.Sub(known.lastAsked) > noticeRetention {
			delete(p.runs, run)
		}
	}
}

// liveShare is the part of common limits that the daemons may use together which hear each other.
func (s *Share) liveShare() float64 {
	if s.Counted <= 0 || s.Live <= 0 {
		return 1
	}
	return min(1, liveShareFactor*float64(s.Live)/float64(s.Counted))
}

// handsOut tells whether this daemon hands out the permits for the targets of a pool, or else who does.
func (p *Placer) permitOwner(pool string) (owner proto.VM, own bool) {
	owner = p.peers.Owner(placementTaskPrefix+pool, nil)
	return owner, owner == "" || owner == p.self
}

// mayBeAsked returns the targets of a pool that name a limit and may have something left of it, as far as is known here.
func (p *Placer) usableLimited(now time.Time, pool string) map[string]bool {
	limited := p.fleet.limited(pool)
	if len(limited) == 0 {
		return nil
	}
	may := map[string]bool{}
	for i, in := range p.permitWaits(now, pool, limited) {
		may[limited[i].Target] = in == 0
	}
	return may
}

// permitsIn is how long it takes until there may be a permit for each of some targets of a pool, as far as is known here; 0 if there may be
// one now.
func (p *Placer) permitWaits(now time.Time, pool string, targets []proto.TargetNotice) []time.Duration {
	_, own := p.permitOwner(pool)
	share := p.peers.Share()
	liveShare := share.liveShare()
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	in := make([]time.Duration, len(targets))
	for i := range targets {
		known, _ := p.permits.lookup(now, targets[i].Run)
		in[i] = max(0, known.exhaustedUntil.Sub(now))
		if own {
			in[i] = known.wait(now, limitRate(targets[i].Limit, liveShare))
		}
	}
	return in
}

// grant hands out a permit, if this daemon does so and there is one.
func (p *Placer) grant(now time.Time, pool string, n *proto.TargetNotice, to proto.VM) proto.PermitAnswer {
	owner, own := p.permitOwner(pool)
	if !own {
		p.log.Info("permits are handed out elsewhere", "pool", pool, "target", n.Target, "asker", to, "by", owner)
		return proto.PermitAnswer{RetryAfter: permitRetryDelay}
	}
	share := p.peers.Share()
	perSecond := limitRate(n.Limit, share.liveShare())
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	known, isNew := p.permits.lookup(now, n.Run)
	if isNew {
		p.log.Info("permits for a target are handed out here", "pool", pool, "run", n.Run, "limit", n.Limit, "perSecond", perSecond, "live", share.Live, "counted", share.Counted)
	}
	if !known.take(now, perSecond) {
		p.permits.denied.Add(1)
		return proto.PermitAnswer{RetryAfter: known.wait(now, perSecond)}
	}
	p.permits.granted.Add(1)
	return proto.PermitAnswer{Granted: true}
}

// HandlePermitAsk answers a daemon that asks for a permit. Of what the two know of the limit, the newer holds.
func (p *Placer) HandlePermitAsk(from proto.VM, ask proto.PermitAsk) proto.PermitAnswer {
	now := p.clock.Now()
	if !ask.Notice.Valid() {
		p.log.Warn("a limit in a message cannot be kept", "target", ask.Notice.Target, "limit", ask.Notice.Limit, "from", from)
		return proto.PermitAnswer{RetryAfter: permitRetryDelay}
	}
	p.fleet.MergeNotices(now, []proto.TargetNotice{ask.Notice}, from)
	if known := p.fleet.signalsOf(ask.Notice.Run); known.HasLimit {
		return p.grant(now, ask.Pool, &known, from)
	}
	return p.grant(now, ask.Pool, &ask.Notice, from)
}

// permitted counts a request within the limit of its target, if that names one; false means that the limit is used up.
func (p *Placer) permitted(ctx context.Context, placed *Placement) bool {
	n, limited := p.fleet.limitOf(placed.Target)
	if !limited || placed.permitted {
		return true
	}
	now := p.clock.Now()
	owner, own := p.permitOwner(placed.pool)
	var answer proto.PermitAnswer
	if own {
		answer = p.grant(now, placed.pool, &n, p.self)
	} else {
		answer = p.requestPermit(ctx, owner, placed.pool, &n)
	}
	placed.permitted = answer.Granted
	if !answer.Granted && !own {
		p.recordExhausted(now, answer.RetryAfter, n)
	}
	return answer.Granted
}

func (p *Placer) requestPermit(ctx context.Context, owner proto.VM, pool string, n *proto.TargetNotice) proto.PermitAnswer {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	m, err := p.peers.Call(ctx, owner, proto.PermitAsk{Pool: pool, Notice: *n})
	answer, ok := m.(proto.PermitAnswer)
	if err != nil || !ok {
		p.log.Info("no word on a permit", "pool", pool, "target", n.Target, "limit", n.Limit, "owner", owner, "error", err)
		return proto.PermitAnswer{RetryAfter: permitRetryDelay}
	}
	return answer
}

// noteExhausted takes in that the daemon that hands out permits for targets has none for a while.
func (p *Placer) recordExhausted(now time.Time, wait time.Duration, targets ...proto.TargetNotice) {
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	for i := range targets {
		known, _ := p.permits.lookup(now, targets[i].Run)
		known.exhaustedUntil = now.Add(wait)
	}
}

// roomIn returns how long it takes until a target of a pool that names a limit may get a request, and false if none names one.
func (p *Placer) limitWait(pool string) (in time.Duration, limited bool) {
	targets := p.fleet.limited(pool)
	if len(targets) == 0 {
		return 0, false
	}
	return slices.Min(p.permitWaits(p.clock.Now(), pool, targets)), true
}

// signalLines returns what the first targets of a pool signal, and when those with a limit may get a request.
func (p *Placer) signalLogEntries(pool string) []signalLogEntry {
	now := p.clock.Now()
	lines := p.fleet.signalLogEntries(now, pool)
	for i := range lines {
		if line := &lines[i]; line.notice.HasLimit {
			line.Next = formatDuration(p.permitWaits(now, pool, []proto.TargetNotice{line.notice})[0])
		}
	}
	return lines
}

// heldFor returns how long it takes until a target of a pool in some regions may get a request, by what the targets signal, and why none may
// get one now; 0 if one may, as far as is known here.
func (p *Placer) signalWait(pool string, homes proto.AllowedRegions) (in time.Duration, reason string) {
	now := p.clock.Now()
	for i, t := range p.fleet.allBlocked(now, pool, homes) {
		left, why := t.left, reasonBackoff
		if t.notice.HasLimit {
			if wait := p.permitWaits(now, pool, []proto.TargetNotice{t.notice})[0]; wait > left {
				left, why = wait, reasonRateLimited
			}
		}
		if i == 0 || left < in {
			in, reason = left, why
		}
	}
	return in, reason
}

// PermitStats are totals of permits for targets that name a limit, since the start.
type PermitStats struct {
	Granted int64 `json:"granted"`
	// Denied counts how often a limit was used up.
	Denied int64 `json:"denied"`
}

// PermitStats returns the totals.
func (p *Placer) PermitStats() PermitStats {
	return PermitStats{Granted: p.permits.granted.Load(), Denied: p.permits.denied.Load()}
}
