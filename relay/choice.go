package relay

import (
	"math"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// Costs used to pick a target, in nanoseconds of expected delay.
const (
	// fullTargetCost is the cost of a full target for plain requests, relative to that of another zone: a target that
	// is a quarter full costs as much as a round trip of some milliseconds.
	fullTargetCost = float64(20 * time.Millisecond)
	// otherLoadLifetime is how long a reported load counts; most attempts are over after that.
	otherLoadLifetime = 2 * time.Second
	// duplicateReadFactor is the weight of reading a shared part that another engine has cached: it takes engine time
	// from all waiting requests, and memory from parts that others will ask for.
	duplicateReadFactor = 2.0
	// preferredDiscount is the fraction of the reading time of a prompt's last shared part that its preferred target is
	// credited, so that daemons that choose alone, or have just become the owner, make the same choice.
	preferredDiscount = 0.6
	// stallWeight is the weight of the pauses in concurrent streams relative to the delay of the prompt itself.
	stallWeight = 0.15
	// wrongGroupCost is the cost of an engine of the other group: a long prompt stalls the streams running beside it.
	wrongGroupCost = float64(250 * time.Millisecond)
	// minLongShare and maxLongShare bound the fraction of engines that serve the routes with long prompts.
	minLongShare, maxLongShare = 0.4, 0.75
	// longPromptRatio is the ratio of a route's mean prompt length to the pool's from which its prompts count as long.
	longPromptRatio = 0.6
	// promptHalfLife is the half-life of prompt averages; routes change within seconds in a burst.
	promptHalfLife = 10 * time.Second
)

// ZoneCosts are the costs of another availability zone in the choice of a target, as a delay. The operator sets them:
// higher where traffic between zones is expensive, at the expense of latency.
type ZoneCosts struct {
	// PerRequest is the cost of any request to another zone, with the round trip.
	PerRequest time.Duration
	// PerMegabyte is the cost of a megabyte of inputs from another zone.
	PerMegabyte time.Duration
}

// DefaultZoneCosts returns costs for zones a millisecond or two apart. A megabyte costs as much as reading about 300
// prompt tokens, so inputs cross zones if the engine there has cached a longer shared part.
func DefaultZoneCosts() ZoneCosts {
	return ZoneCosts{PerRequest: 3 * time.Millisecond, PerMegabyte: 9 * time.Millisecond}
}

// TargetCriteria describes the request that a target is picked for.
type TargetCriteria struct {
	// SharedParts are the parts of the prompt that others may share, and OwnTokens is the size of the rest.
	SharedParts []proto.PromptPart
	OwnTokens   int
	// Zone is the daemon's own zone, or that of large inputs.
	Zone string
	// InputBytes is the approximate size of the inputs located in Zone.
	InputBytes int
	// Route identifies the kind of request; prompts differ between routes.
	Route string
	// Engine is set if the targets are model engines.
	Engine bool
	// Group is the group of engines to choose from; 0 for the whole pool.
	Group int
	// MaxPause is the longest pause between events that is still in time; 0 if unlimited.
	MaxPause time.Duration
	// Tried holds the targets that were tried before.
	Tried map[string]bool
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// AllowedRegions are the regions that the target must be in.
	AllowedRegions proto.AllowedRegions
	// Software is the software version that the target must have, since the stream began at it; empty for any.
	Software string
	// ForPeer is set if another daemon sends the request. Backoffs asked of this daemon then do not apply; targets that
	// the peer must not use are in Tried.
	ForPeer bool
	// Quota limits the requests to brittle targets.
	Quota BrittleQuota
	// AllowedCold holds the cold targets and AllowedLimited the targets with a limit that may be picked.
	AllowedCold, AllowedLimited map[string]bool
}

// Pick returns the target with the least expected delay and starts an attempt on it, or returns nil if there is none or
// every healthy one is at capacity.
func (f *Fleet) Pick(now time.Time, pool string, w TargetCriteria) *Target {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	if w.Engine {
		p.recordPrompt(now, w)
	}
	best, atCapacity := p.best(now, w, false)
	if best == nil && w.Group != 0 {
		w.Group = 0
		best, atCapacity = p.best(now, w, false)
	}
	if best == nil && !atCapacity {
		best, _ = p.best(now, w, true)
	}
	if best == nil {
		return nil
	}
	best.recordChosen(now)
	best.startAttempt(now, w, p.maxCacheTokens())
	return best
}

// HasTarget reports whether a pool has a target that an attempt may go to.
func (f *Fleet) HasTarget(now time.Time, pool string, w TargetCriteria) bool {
	p := f.pool(pool)
	if p == nil {
		return false
	}
	p.lock()
	defer p.mu.Unlock()
	best, atCapacity := p.best(now, w, false)
	if best == nil && !atCapacity {
		best, _ = p.best(now, w, true)
	}
	return best != nil
}

// ReportSlow records that an attempt takes longer than expected; the next response makes up for it. All attempts that wait for a silent
// target at the same time count as one failure.
func (f *Fleet) ReportSlow(now time.Time, t *Target) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.health.recordSilence(now)
}

// ejection returns the consecutive failures of a target, and for how long it is ejected.
func (f *Fleet) ejection(now time.Time, t *Target) (failures int, remaining time.Duration) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.health.consecutiveFailures, max(0, t.health.ejectedUntil.Sub(now))
}

// PickByID starts an attempt on a target that another daemon picked, or returns nil if it must not get work.
func (f *Fleet) PickByID(now time.Time, pool, id string, w TargetCriteria) *Target {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil || t.closed() || t.full(now) || t.backsOff(now) || p.atQuota(now, t, w.Quota) || !w.allowsTarget(t) || p.isCold(now, t) && !w.AllowedCold[id] {
		return nil
	}
	if w.Engine {
		p.recordPrompt(now, w)
	}
	t.recordChosen(now)
	t.startAttempt(now, w, p.maxCacheTokens())
	return t
}

func (t *Target) startAttempt(now time.Time, w TargetCriteria, maxCacheTokens int) {
	t.active++
	if !w.ForPeer {
		t.sending++
	}
	if !w.Engine {
		return
	}
	t.pauseWeight += w.pauseWeight()
	t.startPrompt(now, w)
	t.cache.record(now, w.SharedParts, maxCacheTokens)
}

// pauseWeight is the cost of a pause of one millisecond for a stream, higher for routes that allow shorter pauses.
func (c *TargetCriteria) pauseWeight() float64 {
	if c.MaxPause <= 0 {
		return 0
	}
	return float64(time.Millisecond) / float64(c.MaxPause)
}

// maxCacheTokens is the assumed number of prompt tokens that an engine of the pool caches.
func (p *targetPool) maxCacheTokens() int {
	if p.cacheTokens == 0 {
		return cacheShare * defaultCacheTokens
	}
	return int(cacheShare * float64(p.cacheTokens))
}

// best returns the cheapest target, and whether one was skipped because it is at capacity. failing includes unhealthy
// and full targets, since any is better than none.
func (p *targetPool) best(now time.Time, w TargetCriteria, failing bool) (best *Target, atCapacity bool) {
	preferred := p.preferredTarget(now, w)
	longPrompts := p.hasLongPrompts(now, w.Route)
	p.tokenCost, p.streamCost = p.model.rates()
	lowest := math.Inf(1)
	// Start at another target each time, so that targets of equal cost share the work.
	p.rotation++
	candidates := p.candidates(w.Group)
	for i := range candidates {
		t := candidates[(p.rotation+i)%len(candidates)]
		cold := p.isCold(now, t)
		if !p.isEligible(now, t, &w) || !failing && (t.suspected || t.health.ejected(now) || !w.ForPeer && t.unreached(now)) {
			continue
		}
		if !failing && p.atCapacity(now, t) {
			atCapacity = true
			continue
		}
		c := t.cost(now, w, preferred, longPrompts)
		if cold {
			c += coldPenalty
		}
		if c < lowest {
			best, lowest = t, c
		}
	}
	return best, atCapacity
}

// isEligible reports whether a request may go to a target, regardless of its health.
func (p *targetPool) isEligible(now time.Time, t *Target, w *TargetCriteria) bool {
	id := t.Spec.ID
	switch {
	case t.closed() || w.Tried[id] || !w.allowsTarget(t):
		return false
	case p.isCold(now, t) && !w.AllowedCold[id] || t.notice.HasLimit && !w.AllowedLimited[id]:
		return false
	}
	return !t.full(now) && (w.ForPeer || !t.backsOff(now) && !p.atQuota(now, t, w.Quota))
}

// AtCapacity reports whether every healthy target of a pool has as many requests as it may have at a time.
func (f *Fleet) AtCapacity(now time.Time, pool string) bool {
	p := f.pool(pool)
	if p == nil {
		return false
	}
	p.lock()
	defer p.mu.Unlock()
	atCapacity := false
	for _, t := range p.list {
		if t.closed() || t.suspected || t.health.ejected(now) {
			continue
		}
		if !p.atCapacity(now, t) {
			return false
		}
		atCapacity = true
	}
	return atCapacity
}

// preferredTarget picks a target for a prompt part by rendezvous hashing, so that all daemons agree without communication.
func (p *targetPool) preferredTarget(now time.Time, w TargetCriteria) *Target {
	if len(w.SharedParts) == 0 {
		return nil
	}
	longPrompts := p.hasLongPrompts(now, w.Route)
	part := state.Hash(w.SharedParts[len(w.SharedParts)-1].ID)
	var preferred *Target
	var rank uint64
	for _, t := range p.candidates(w.Group) {
		if t.closed() || !w.allowsTarget(t) || p.isCold(now, t) || t.notice.HasLimit || t.suspected || t.health.ejected(now) || t.longPrompts != longPrompts {
			continue
		}
		h := state.RendezvousScore(part, t.idHash)
		if preferred == nil || h > rank {
			preferred, rank = t, h
		}
	}
	return preferred
}

// PreferredZone returns the zone of the target that a request's prompt is likely to go to, or "".
func (f *Fleet) PreferredZone(now time.Time, pool string, w TargetCriteria) string {
	p := f.pool(pool)
	if p == nil {
		return ""
	}
	p.lock()
	defer p.mu.Unlock()
	if preferred := p.preferredTarget(now, w); preferred != nil {
		return preferred.Spec.Zone
	}
	return ""
}

// cost returns the expected delay of an attempt plus its cost to other requests.
func (t *Target) cost(now time.Time, w TargetCriteria, preferred *Target, longPrompts bool) float64 {
	c := t.health.cost(now)
	cross := t.Spec.Zone != w.Zone
	if cross {
		c += float64(t.pool.zones.PerRequest) + float64(t.pool.zones.PerMegabyte)*float64(w.InputBytes)/1e6
	}
	others := t.currentOtherLoad(now)
	if !w.Engine {
		load := (float64(t.active) + others) / float64(max(1, t.Spec.Slots))
		return c + t.slowdown*load*fullTargetCost
	}
	if t.longPrompts != longPrompts {
		c += wrongGroupCost
	}
	missingTokens := float64(t.cache.missingTokens(w.SharedParts))
	if t == preferred {
		// Only the last part decided which target is preferred. An engine that has cached the parts before it, which many prompts begin
		// with, is better than one that would have to read them too.
		lastPart := float64(w.SharedParts[len(w.SharedParts)-1].Tokens)
		missingTokens -= preferredDiscount * min(missingTokens, lastPart)
	}
	tokenCost, streamCost := t.pool.tokenCost, t.pool.streamCost
	queued := float64(t.unreadTokens) * tokenCost * t.slowdown
	read := (float64(w.OwnTokens) + missingTokens) * tokenCost * t.slowdown
	// Concurrent streams stall while a prompt is read, and would anyway for what is queued already.
	stall := stallWeight * t.pauseWeight * ((queued+read)*(queued+read) - queued*queued)
	duplicate := duplicateReadFactor * missingTokens * tokenCost
	running := (float64(t.active) + others) * streamCost * t.slowdown
	return c + (queued+read+stall+duplicate+running)*float64(time.Millisecond)
}

func (t *Target) currentOtherLoad(now time.Time) float64 {
	if t.otherLoad == 0 {
		return 0
	}
	age := now.Sub(t.otherLoadAt)
	if age >= otherLoadLifetime {
		return 0
	}
	return t.otherLoad * (1 - float64(age)/float64(otherLoadLifetime))
}

// Load is the load that a target reported in a response.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// HealthVerdict is what an attempt says about a target's health.
type HealthVerdict uint8

// Verdicts on an attempt.
const (
	// VerdictNone says nothing, as when the caller left.
	VerdictNone HealthVerdict = iota
	// VerdictSuccess is a complete response.
	VerdictSuccess
	// VerdictFailure is a broken connection, a timeout, or a malformed response.
	VerdictFailure
	// VerdictOverloaded is a refusal for lack of capacity.
	VerdictOverloaded
	// VerdictUnreached means that this daemon's link to the target may have failed, which says nothing about the target.
	VerdictUnreached
)

// RecordResponseStart records that the response to an attempt began, so its prompt has been read.
func (f *Fleet) RecordResponseStart(now time.Time, t *Target, w TargetCriteria) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.health.recordResponse()
	t.finishPrompt(now, w, true)
}

// FinishAttempt ends an attempt; began is set if RecordResponseStart was called for it.
func (f *Fleet) FinishAttempt(now time.Time, t *Target, w TargetCriteria, began bool, v HealthVerdict, load Load) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.active--
	if !w.ForPeer {
		t.sending--
	}
	if w.Engine {
		t.pauseWeight = max(0, t.pauseWeight-w.pauseWeight())
	}
	if !began {
		t.finishPrompt(now, w, false)
	}
	if load.Known && !w.Engine {
		t.otherLoad = max(0, float64(load.Running+load.Waiting-t.active-1))
		t.otherLoadAt = now
	}
	switch v {
	case VerdictSuccess:
		t.health.recordSuccess()
	case VerdictFailure:
		t.health.recordFailure(now)
	case VerdictUnreached:
		t.unreachedUntil = now.Add(unreachedPause)
	case VerdictOverloaded:
		t.otherLoad = max(t.otherLoad, float64(t.Spec.Slots))
		t.otherLoadAt = now
		if t.pool.isBrittle(now, t) {
			t.fullUntil = now.Add(brittlePause)
		}
	}
}

// Spec returns the current entry of a target.
func (f *Fleet) Spec(t *Target) proto.RelayTarget {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.Spec
}

// AcceptsWork reports whether a target may still get new work.
func (f *Fleet) AcceptsWork(t *Target) bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return !t.unlisted && !t.leaves()
}

// InService reports whether the run that spec describes is still listed and has not announced that it leaves.
func (f *Fleet) InService(spec proto.RelayTarget) bool {
	f.mu.RLock()
	t := f.byID[spec.ID]
	f.mu.RUnlock()
	return t != nil && f.AcceptsWork(t) && f.Spec(t).StartedAt.Equal(spec.StartedAt)
}

// ExcludedTargets returns the targets of a pool that this daemon does not use now: they fail, may have left, asked it to back off, or are
// brittle and have as many of its requests as they may.
func (f *Fleet) ExcludedTargets(now time.Time, pool string, quota BrittleQuota) []string {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var ids []string
	for _, t := range p.list {
		if t.suspected || t.health.ejected(now) || t.unreached(now) || t.full(now) || t.backsOff(now) || p.atQuota(now, t, quota) {
			ids = append(ids, t.Spec.ID)
		}
	}
	return ids
}

// EngineTimes returns the estimated times of a pool's engines.
func (f *Fleet) EngineTimes(pool string) proto.EngineTimes {
	p := f.pool(pool)
	if p == nil {
		return proto.EngineTimes{}
	}
	p.lock()
	defer p.mu.Unlock()
	return p.model.estimates()
}

// SetEngineTimes replaces the estimated times of a pool's engines by those of another daemon.
func (f *Fleet) SetEngineTimes(pool string, times proto.EngineTimes) {
	p := f.pool(pool)
	if p == nil {
		return
	}
	p.lock()
	defer p.mu.Unlock()
	p.model.replace(times)
}

// SetCacheTokens sets the number of tokens that an engine of a pool caches.
func (f *Fleet) SetCacheTokens(pool string, tokens int) {
	f.mu.Lock()
	p := f.ensurePool(pool)
	f.mu.Unlock()
	p.lock()
	defer p.mu.Unlock()
	p.cacheTokens = tokens
}
