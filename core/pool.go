package core

import (
	"math"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

const (
	completionHalfLife = 2 * time.Second
	noTarget           = -1
	panicFraction      = 2 // at most one in this many targets may stay ejected
	retryBurst         = 10
	usageSweepInterval = 30 * time.Second
)

// grant assigns a target to a queued ticket.
type grant struct {
	pool   *pool
	ticket *Ticket
	target *target
}

// pool holds the targets, the queue and the retry and hedge budgets of one pool. mu guards them all.
type pool struct {
	mu           sync.Mutex
	name         string
	kind         proto.PoolKind
	tuning       Tuning
	targets      []*target
	byName       map[string]*target
	queue        Queue
	chooser      Chooser[*target]
	usage        *usage
	prefixes     *prefixes
	backlog      backlog
	completions  state.DecayingSum
	retries      state.Bucket
	hedges       state.Bucket
	sequence     uint64
	indexedCount int
	lastSweep    time.Time
}

func newPool(name string, tuning Tuning, chooser Chooser[*target]) *pool {
	p := &pool{
		name:     name,
		tuning:   tuning,
		byName:   map[string]*target{},
		chooser:  chooser,
		usage:    newUsage(tuning.UsageHalfLife),
		prefixes: newPrefixes(),
		retries:  state.NewBucket(burst(tuning.RetryRatio)),
		hedges:   state.NewBucket(burst(tuning.HedgeRatio)),
	}
	p.queue = newArrivalQueue()
	if tuning.FairQueueing {
		p.queue = newFairQueue(p.usage, tuning.ShareSlack)
	}
	return p
}

// burst returns how many retries or hedges a pool may make before it has earned any; none if it never earns any.
func burst(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return retryBurst
}

// configure applies the targets of a new generation. Removed targets get no new work and are deleted once they are idle.
func (p *pool) configure(spec *proto.Pool, workspaces map[string]*proto.Workspace, leaving leavingFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind = spec.Kind
	p.usage.setWeights(workspaces)
	wanted := make(map[string]bool, len(spec.Targets))
	for _, t := range spec.Targets {
		wanted[t.Name] = true
		current := p.upsert(t)
		current.leaving, current.stopAt = leaving(t.VM)
	}
	kept := p.targets[:0]
	for _, t := range p.targets {
		t.removed = !wanted[t.spec.Name]
		if t.removed && t.inflight == 0 {
			delete(p.byName, t.spec.Name)
			continue
		}
		kept = append(kept, t)
	}
	clear(p.targets[len(kept):])
	p.targets = kept
	p.reindex()
}

// reindex assigns the target indexes. If an index changed, it discards the data that is stored by index.
func (p *pool) reindex() {
	changed := false
	for i, t := range p.targets {
		changed = changed || t.index != i
		t.index = i
	}
	if changed || len(p.targets) != p.indexedCount {
		p.indexedCount = len(p.targets)
		p.prefixes.reset()
	}
}

func (p *pool) upsert(spec proto.Target) *target {
	t := p.byName[spec.Name]
	if t == nil || t.spec.Address != spec.Address {
		if t != nil {
			t.removed = true
		}
		added := newTarget(spec, &p.tuning)
		p.replace(t, added)
		return added
	}
	t.spec = spec
	return t
}

func (p *pool) replace(old, added *target) {
	p.byName[added.spec.Name] = added
	for i, t := range p.targets {
		if t == old && old != nil {
			p.targets[i] = added
			return
		}
	}
	p.targets = append(p.targets, added)
}

// leavingFunc tells whether a VM gets no new work, and when its stop is planned.
type leavingFunc func(proto.VM) (leaving bool, stopAt time.Time)

// setLeaving updates the targets and reports whether any of them has a planned stop.
func (p *pool) setLeaving(leaving leavingFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	planned := false
	for _, t := range p.targets {
		t.leaving, t.stopAt = leaving(t.spec.VM)
		planned = planned || !t.stopAt.IsZero()
	}
	return planned
}

// stopOf returns the time of the target's planned stop.
func (p *pool) stopOf(t *target) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.stopAt
}

// offer queues a ticket and returns the resulting grants.
func (p *pool) offer(now time.Time, ticket *Ticket) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	ticket.sequence = p.sequence
	ticket.Since = now
	p.queue.Push(ticket)
	return p.dispatch(now)
}

// estimateWait estimates how long a new ticket of a workspace with the given latest start time would be queued.
func (p *pool) estimateWait(now time.Time, workspace string, latest time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drainTime(now, p.queue.Ahead(workspace, latest))
}

// drainTime estimates how long the pool needs to start the given number of queued requests, from its recent completion rate.
func (p *pool) drainTime(now time.Time, waiting int) time.Duration {
	if waiting == 0 {
		return 0
	}
	rate := p.completions.Value(now, completionHalfLife) * math.Ln2 / completionHalfLife.Seconds()
	if rate <= 0 {
		return 0
	}
	return seconds(float64(waiting) / rate)
}

// slots returns the number of requests that the pool's available targets can run concurrently.
func (p *pool) slots(now time.Time) float64 {
	sum := 0
	for _, t := range p.targets {
		if !t.leaving && !t.removed && !now.Before(t.ejectedUntil) {
			sum += t.capacity()
		}
	}
	return float64(sum)
}

// admits reports whether a request with the given work is admitted alongside the work already committed.
func (p *pool) admits(now, latest time.Time, workspace string, work float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	relativeUse := 1.0
	if p.tuning.FairQueueing {
		relativeUse = p.usage.relativeUse(workspace, now)
	}
	return p.backlog.admits(now, latest, p.slots(now), work, relativeUse)
}

func (p *pool) commit(now, latest time.Time, work float64) commitment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backlog.commit(now, latest, work)
}

func (p *pool) release(now time.Time, c commitment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.release(now, c)
}

// attemptEnded records the end of an attempt and returns the resulting grants.
func (p *pool) attemptEnded(now time.Time, a *attempt, workspace string, status AttemptStatus, took time.Duration, spent time.Duration, hit bool) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	ratio := took.Seconds() / a.expected
	p.backlog.removeRunning(a.expected)
	a.target.attemptEnded(now, status, ratio)
	if status == StatusDone {
		if a.prefix != "" {
			p.prefixes.record(hit, ratio)
		}
		p.completions.Add(now, completionHalfLife, 1)
		p.retries.Deposit(p.tuning.RetryRatio)
		p.hedges.Deposit(p.tuning.HedgeRatio)
	}
	if spent > 0 {
		p.usage.add(workspace, now, spent, true)
	}
	return p.dispatch(now)
}

// hangRatio is the multiple of the expected time beyond which an abandoned attempt counts as a failure of its target.
const hangRatio = 4

// abandoned records that an attempt was abandoned and returns the resulting grants.
func (p *pool) abandoned(now time.Time, a *attempt, workspace string, spent time.Duration) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.target.inflight = max(0, a.target.inflight-1)
	a.target.record(now)
	p.backlog.removeRunning(a.expected)
	if ratio := spent.Seconds() / a.expected; ratio > hangRatio {
		a.target.slowness.Add(ratio)
		a.target.recordFailure(now)
	}
	p.usage.add(workspace, now, spent, true)
	return p.dispatch(now)
}

// returnGrant frees the slot of a grant that was not used.
func (p *pool) returnGrant(now time.Time, unused *target, work float64) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.removeRunning(work)
	unused.inflight = max(0, unused.inflight-1)
	unused.record(now)
	return p.dispatch(now)
}

// recordSlow records that a running attempt has already taken the given multiple of its expected time.
func (p *pool) recordSlow(t *target, ratio float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.slowness.Add(ratio)
}

func (p *pool) recordLoad(now time.Time, load proto.Load) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byName[load.Target]; t != nil {
		t.recordLoad(load)
	}
	return p.dispatch(now)
}

// poll removes tickets that cannot finish in time, and grants tickets when targets became available without an event,
// such as at the end of an ejection.
func (p *pool) poll(now time.Time) (expired []*Ticket, grants []grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) > usageSweepInterval {
		p.lastSweep = now
		p.usage.prune(now)
	}
	p.updateShare(now)
	if p.queue.Len() == 0 {
		return nil, nil
	}
	expired = p.queue.Expire(func(t *Ticket) bool {
		return t.withdrawn || p.tuning.Admission && t.missesDeadline(now)
	})
	return expired, p.dispatch(now)
}

func (p *pool) updateShare(now time.Time) {
	own, all := 0.0, 0.0
	for _, t := range p.targets {
		own += float64(t.inflight)
		all += float64(t.inflight) + t.othersInflight
	}
	p.backlog.updateShare(now, own, all)
}

func (p *pool) takeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retries.Take()
}

// takeHedge takes a hedge from the budget, but only if no ticket is queued, because a hedge must not delay a first attempt.
func (p *pool) takeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() == 0 && p.hedges.Take()
}

func (p *pool) applyCacheEvent(event proto.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byName[event.Target]; t != nil {
		p.prefixes.apply(event, p.targets, t.index)
	}
}
