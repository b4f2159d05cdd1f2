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
	// noLimit is the limit of a target that does not report one.
	noLimit = -1.0
	// minLimitRate is the lowest rate, in requests per second, to a target with a limit: only a response can tell that
	// the limit was lifted.
	minLimitRate = 0.2
	// limitBurst is for how long unused requests accumulate, of which at least one always does.
	limitBurst = 250 * time.Millisecond
	// liveShareFactor is how many times its proportional share of a limit a group of daemons may use that does not hear from the
	// others. Missing daemons are most often dead; the groups of a partitioned fleet use up to this factor of the limit together.
	liveShareFactor = 1.25
	// permitRetryDelay is when to ask again if the daemon that grants permits did not answer: another may have taken over by then.
	permitRetryDelay = 100 * time.Millisecond
	// maxLimitPicks is how often a target is picked again if other requests used up its limit.
	maxLimitPicks = 3
)

// tokenBucket limits the requests to a target with a limit. It is empty at first, and its rate may change.
type tokenBucket struct {
	bucket *rate.Limiter
}

// limitRate returns the rate, per second, of requests to a target with a limit, from daemons that have a part of it.
func limitRate(limit, part float64) float64 { return max(minLimitRate, limit) * part }

// refill sets the rate per second from now on.
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

// wait returns how long it takes until a request is allowed; 0 if one is allowed now.
func (a *tokenBucket) wait(now time.Time, perSecond float64) time.Duration {
	a.refill(now, perSecond)
	missing := 1 - a.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/perSecond*float64(time.Second)))
}

// take counts a request, unless none is allowed.
func (a *tokenBucket) take(now time.Time, perSecond float64) bool {
	a.refill(now, perSecond)
	return a.bucket.AllowN(now, 1)
}

// permits limit the requests to targets that report a limit. For each pool one daemon, which also places its requests,
// grants them to the others.
type permits struct {
	mu              sync.Mutex
	runs            map[proto.RunName]*permitState
	granted, denied atomic.Int64
}

// permitState is the known state of the permits for one target.
type permitState struct {
	tokenBucket
	// exhaustedUntil is the time before which another daemon grants no permits.
	exhaustedUntil time.Time
	lastAsked      time.Time
}

func newPermits() permits {
	return permits{runs: map[proto.RunName]*permitState{}}
}

// lookup returns the permits for a target, and whether they are new; the lock is held.
func (p *permits) lookup(now time.Time, run proto.RunName) (known *permitState, isNew bool) {
	known, ok := p.runs[run]
	if !ok {
		known = &permitState{}
		p.runs[run] = known
	}
	known.lastAsked = now
	return known, !ok
}

// sweep forgets targets that were not asked for recently.
func (p *permits) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, known := range p.runs {
		if now.Sub(known.lastAsked) > noticeRetention {
			delete(p.runs, run)
		}
	}
}

// liveShare returns the fraction of common limits that the daemons in contact with each other may use together.
func (s *Share) liveShare() float64 {
	if s.VMCount <= 0 || s.Live <= 0 {
		return 1
	}
	return min(1, liveShareFactor*float64(s.Live)/float64(s.VMCount))
}

// permitOwner returns the daemon that grants the permits for the targets of a pool, and whether it is this one.
func (p *Placer) permitOwner(pool string) (owner proto.VM, isOwner bool) {
	owner = p.peers.Owner(placementTaskPrefix+pool, nil)
	return owner, owner == "" || owner == p.self
}

// usableLimited returns the targets of a pool that report a limit, and whether that may have room left, as far as this daemon knows.
func (p *Placer) usableLimited(now time.Time, pool string) map[string]bool {
	limited := p.fleet.limited(pool)
	if len(limited) == 0 {
		return nil
	}
	usable := map[string]bool{}
	for i, wait := range p.permitWaits(now, pool, limited) {
		usable[limited[i].Target] = wait == 0
	}
	return usable
}

// permitWaits returns how long it takes until a permit may be available for each of some targets of a pool; 0 if one may be now.
func (p *Placer) permitWaits(now time.Time, pool string, targets []proto.TargetNotice) []time.Duration {
	_, own := p.permitOwner(pool)
	share := p.peers.Share()
	liveShare := share.liveShare()
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	waits := make([]time.Duration, len(targets))
	for i := range targets {
		known, _ := p.permits.lookup(now, targets[i].Run)
		waits[i] = max(0, known.exhaustedUntil.Sub(now))
		if own {
			waits[i] = known.wait(now, limitRate(targets[i].Limit, liveShare))
		}
	}
	return waits
}

// grant grants a permit if this daemon is the owner and the limit has room.
func (p *Placer) grant(now time.Time, pool string, n *proto.TargetNotice, to proto.VM) proto.PermitAnswer {
	owner, own := p.permitOwner(pool)
	if !own {
		p.log.Info("permit refused: another daemon grants the permits of this pool", "pool", pool, "target", n.Target, "asker", to, "by", owner)
		return proto.PermitAnswer{RetryAfter: permitRetryDelay}
	}
	share := p.peers.Share()
	perSecond := limitRate(n.Limit, share.liveShare())
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	known, isNew := p.permits.lookup(now, n.Run)
	if isNew {
		p.log.Info("this daemon grants the permits for a target", "pool", pool, "run", n.Run, "limit", n.Limit, "perSecond", perSecond, "live", share.Live, "counted", share.VMCount)
	}
	if !known.take(now, perSecond) {
		p.permits.denied.Add(1)
		return proto.PermitAnswer{RetryAfter: known.wait(now, perSecond)}
	}
	p.permits.granted.Add(1)
	return proto.PermitAnswer{Granted: true}
}

// HandlePermitAsk answers a daemon that asks for a permit, by the newer limit that either knows.
func (p *Placer) HandlePermitAsk(from proto.VM, ask proto.PermitAsk) proto.PermitAnswer {
	now := p.clock.Now()
	if !ask.Notice.Valid() {
		p.log.Warn("ignoring an invalid limit in a permit request", "target", ask.Notice.Target, "limit", ask.Notice.Limit, "from", from)
		return proto.PermitAnswer{RetryAfter: permitRetryDelay}
	}
	p.fleet.MergeNotices(now, []proto.TargetNotice{ask.Notice}, from)
	if known := p.fleet.signalsOf(ask.Notice.Run); known.HasLimit {
		return p.grant(now, ask.Pool, &known, from)
	}
	return p.grant(now, ask.Pool, &ask.Notice, from)
}

// permitted counts a request within its target's limit, if there is one; false means that this is used up.
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

// recordExhausted records that the owner of the permits for some targets has none for a while.
func (p *Placer) recordExhausted(now time.Time, wait time.Duration, targets ...proto.TargetNotice) {
	p.permits.mu.Lock()
	defer p.permits.mu.Unlock()
	for i := range targets {
		known, _ := p.permits.lookup(now, targets[i].Run)
		known.exhaustedUntil = now.Add(wait)
	}
}

// limitWait returns how long it takes until a target of a pool with a limit may get a request, and false if none has one.
func (p *Placer) limitWait(pool string) (wait time.Duration, limited bool) {
	targets := p.fleet.limited(pool)
	if len(targets) == 0 {
		return 0, false
	}
	return slices.Min(p.permitWaits(p.clock.Now(), pool, targets)), true
}

// signalLogEntries returns the signals of a pool's first targets, and when those with a limit may get a request.
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

// signalWait returns how long, as far as this daemon knows, the signals of a pool's targets in the allowed regions
// prevent new requests, and why; 0 if one may get a request now.
func (p *Placer) signalWait(pool string, regions proto.AllowedRegions) (in time.Duration, reason string) {
	now := p.clock.Now()
	for i, t := range p.fleet.allBlocked(now, pool, regions) {
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

// PermitStats are the totals of permits for targets that report a limit, since the start of the daemon.
type PermitStats struct {
	Granted int64 `json:"granted"`
	// Denied counts how often a limit was used up.
	Denied int64 `json:"denied"`
}

// PermitStats returns the totals.
func (p *Placer) PermitStats() PermitStats {
	return PermitStats{Granted: p.permits.granted.Load(), Denied: p.permits.denied.Load()}
}
