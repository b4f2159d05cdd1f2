package relay

import (
	"math"
	"time"

	"emberlead/proto"
)

const (
	// brittleMemory is for how long a pool counts as brittle after one of its targets said so, for targets that were not heard yet.
	brittleMemory = 10 * time.Second
	// brittlePause is for how long a brittle target that rejected a request gets no other one from the daemons that know of it: the one
	// that sent it, and the one that placed it.
	brittlePause = time.Second
	// brittleTaskPrefix is the prefix of the task of sending requests to a brittle target with fewer slots than there are daemons.
	brittleTaskPrefix = "brittle/"
)

// BrittleQuota divides the slots of brittle targets between the daemons, so that none has to reject a request for lack of capacity. The parts
// of all daemons add up to at most the slots of a target, also while daemons do not hear each other, since each one divides by all that it
// counts. The zero value does not limit.
type BrittleQuota struct {
	// Daemons is the number of daemons that share a target.
	Daemons int
	// owns reports whether this daemon is among the first n for a target.
	owns func(target string, n int) bool
}

// slots returns how many requests this daemon may send to a target at a time.
func (q *BrittleQuota) slots(spec *proto.RelayTarget) int {
	if q.Daemons <= 0 {
		return math.MaxInt
	}
	if part := spec.Slots / q.Daemons; part > 0 {
		return part
	}
	if q.owns != nil && q.owns(spec.ID, spec.Slots) {
		return 1
	}
	return 0
}

// recordBrittle records whether a target says that it is brittle, and reports whether that is new.
func (f *Fleet) recordBrittle(now time.Time, h *signal) (changed bool) {
	f.mu.RLock()
	t := f.byID[h.target.ID]
	f.mu.RUnlock()
	if t == nil {
		return false
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if !t.Spec.StartedAt.Equal(h.target.StartedAt) || h.sent.Before(t.brittleAt) {
		return false
	}
	if h.Brittle {
		t.pool.brittleAt = now
	}
	changed = t.brittle != h.Brittle
	t.brittle, t.brittleAt = h.Brittle, now
	return changed
}

// isBrittle reports whether a target is brittle, or was not heard yet in a pool of brittle targets.
func (p *targetPool) isBrittle(now time.Time, t *Target) bool {
	return t.brittle || t.brittleAt.IsZero() && !p.brittleAt.IsZero() && now.Sub(p.brittleAt) <= brittleMemory
}

// atQuota reports whether a brittle target has as many requests of this daemon as it may.
func (p *targetPool) atQuota(now time.Time, t *Target, quota BrittleQuota) bool {
	return quota.Daemons > 0 && p.isBrittle(now, t) && t.sending >= quota.slots(&t.Spec)
}

// mayBeBrittle reports whether a target of a pool was brittle a moment ago.
func (f *Fleet) mayBeBrittle(now time.Time, pool string) bool {
	p := f.pool(pool)
	if p == nil {
		return false
	}
	p.lock()
	defer p.mu.Unlock()
	return !p.brittleAt.IsZero() && now.Sub(p.brittleAt) <= brittleMemory
}

// allAtQuota reports whether each target of a pool that may get work is brittle and has as many requests of this daemon as it may.
func (f *Fleet) allAtQuota(now time.Time, pool string, quota BrittleQuota) bool {
	p := f.pool(pool)
	if p == nil {
		return false
	}
	p.lock()
	defer p.mu.Unlock()
	open := 0
	for _, t := range p.list {
		if t.closed() {
			continue
		}
		open++
		if !t.full(now) && !p.atQuota(now, t, quota) && !t.backsOff(now) {
			return false
		}
	}
	return open > 0
}

// brittleQuota returns this daemon's quota at the brittle targets of a pool.
func (p *Placer) brittleQuota(pool string) BrittleQuota {
	if !p.fleet.mayBeBrittle(p.clock.Now(), pool) {
		return BrittleQuota{}
	}
	share := p.peers.Share()
	return BrittleQuota{
		Daemons: max(1, share.VMCount, share.Live),
		owns:    func(target string, slots int) bool { return p.isAmongOwners(target, share.ownersOf(slots)) },
	}
}

// ownersOf returns how many of the daemons in contact with each other may send one request each to a target with fewer slots than there are
// daemons. Groups that do not hear each other have their part of the slots each, and at least one in the group of most daemons.
func (s *Share) ownersOf(slots int) int {
	counted := max(1, s.VMCount, s.Live)
	owners := slots * s.Live / counted
	if owners == 0 && 2*s.Live > counted {
		return min(1, slots)
	}
	return owners
}

// isAmongOwners reports whether this daemon is one of the first n owners of sending requests to a target.
func (p *Placer) isAmongOwners(target string, n int) bool {
	skip := map[proto.VM]bool{}
	for range n {
		owner := p.peers.Owner(brittleTaskPrefix+target, skip)
		if owner == "" || owner == p.self {
			return true
		}
		skip[owner] = true
	}
	return false
}

// brittleExhausted reports whether the quota of this daemon at all targets of a pool is used up.
func (p *Placer) brittleExhausted(pool string) bool {
	quota := p.brittleQuota(pool)
	return quota.Daemons > 0 && p.fleet.allAtQuota(p.clock.Now(), pool, quota)
}
