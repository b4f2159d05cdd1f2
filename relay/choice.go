package relay

import (
	"math"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// Costs in the choice of a target, in nanoseconds of expected delay.
const (
	// slotCost is what a full target adds for a plain attempt, against what another zone counts for: at a target that is
	// a quarter full it is as much as two ways of some milliseconds.
	fullTargetCost = float64(20 * time.Millisecond)
	// othersFade is how long a reported load counts; most attempts are over after that.
	otherLoadLifetime = 2 * time.Second
	// readAgain is how many times over the reading of a shared part that another engine keeps already counts: it takes
	// the engine's time from all that wait there, and memory from parts that others will ask for.
	duplicateReadFactor = 2.0
	// homeBonus is the part of a shared prompt's reading that its home is credited, so that daemons which choose
	// alone, or have just taken over, choose alike.
	preferredDiscount = 0.6
	// harmWeight is how much the pauses of the streams beside a prompt count against the prompt's own delay.
	stallWeight = 0.15
	// strayCost is what an engine of the other group adds: a long prompt holds up the streams beside it.
	wrongGroupCost = float64(250 * time.Millisecond)
	// groupLeast and groupMost bound the part of the engines that takes the routes with long prompts.
	minLongShare, maxLongShare = 0.4, 0.75
	// longRatio is how long a route's prompts must be against the average of the pool to count as long.
	longPromptRatio = 0.6
	// promptHalf is the half-life of the averages of prompts; routes change within seconds in a burst.
	promptHalfLife = 10 * time.Second
)

// ZoneCosts are what another availability zone counts for in the choice of a target, as a delay. They are the
// operator's: a platform where what crosses zones is dear wants them higher, at the expense of slower answers.
type ZoneCosts struct {
	// Request is what any request to another zone counts for, two ways included.
	PerRequest time.Duration
	// Megabyte is what a megabyte of inputs from another zone counts for.
	PerMegabyte time.Duration
}

// DefaultZoneCosts suits zones a millisecond or two apart: a megabyte counts for as much as reading some 300 prompt
// tokens, so that inputs cross zones where the engine there keeps a shared part that is longer.
func DefaultZoneCosts() ZoneCosts {
	return ZoneCosts{PerRequest: 3 * time.Millisecond, PerMegabyte: 9 * time.Millisecond}
}

// TargetCriteria describes what a target is chosen for.
type TargetCriteria struct {
	// Shared are the parts of the prompt that others may share, and OwnTokens the size of the rest.
	SharedParts []proto.PromptPart
	OwnTokens   int
	// Zone is the daemon's own zone, or that of large inputs.
	Zone string
	// Inputs is about how many bytes of inputs lie in Zone.
	InputBytes int
	// Route tells apart the kinds of requests, whose prompts differ.
	Route string
	// Engine says that targets are model engines.
	Engine bool
	// Gap is the longest pause between events that is still in time; 0 if there is no bound.
	MaxPause time.Duration
	// Tried holds the targets that were tried before.
	Tried map[string]bool
	// Rank is the urgency of the request, 0 first.
	Rank int
	// Homes are the regions that the target must be in.
	AllowedRegions proto.AllowedRegions
	// Elsewhere says that another daemon sends the request, from which no target wants rest that is not in Tried.
	ForPeer bool
	// Cold holds the cold targets that may be chosen, and Limited those with a limit.
	AllowedCold, AllowedLimited map[string]bool
}

// Pick returns the target with the least expected delay, with an attempt begun on it, or nil if there is none: also where each that
// is in good health has as many requests as it may have at a time.
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

// Has tells whether a pool has a target that an attempt may go to.
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

// ReportSlow notes that an attempt takes longer than it should; a whole answer makes up for it.
func (f *Fleet) ReportSlow(now time.Time, t *Target) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.health.recordFailure(now)
}

// PickByID begins an attempt on a target that another daemon chose; nil if it may get no work.
func (f *Fleet) PickByID(now time.Time, pool, id string, w TargetCriteria) *Target {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil || t.closed() || t.backsOff(now) || !w.AllowedRegions.Allows(t.Spec.Region) || p.isCold(now, t) && !w.AllowedCold[id] {
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
	if !w.Engine {
		return
	}
	t.pauseWeight += w.pauseWeight()
	t.startPrompt(now, w)
	t.cache.record(now, w.SharedParts, maxCacheTokens)
}

// strain is how much a pause of a millisecond counts for a stream: the shorter the pauses that its route allows, the
// more.
func (w *TargetCriteria) pauseWeight() float64 {
	if w.MaxPause <= 0 {
		return 0
	}
	return float64(time.Millisecond) / float64(w.MaxPause)
}

// cacheMost is how many tokens of prompt parts an engine of the pool is taken to keep.
func (p *targetPool) maxCacheTokens() int {
	if p.cacheTokens == 0 {
		return cacheShare * defaultCacheTokens
	}
	return int(cacheShare * float64(p.cacheTokens))
}

// best returns the cheapest target, and whether one was left out since it is crowded; without any in good health, one that was
// left out is better than none.
func (p *targetPool) best(now time.Time, w TargetCriteria, failing bool) (best *Target, atCapacity bool) {
	preferred := p.preferredTarget(now, w)
	longPrompts := p.hasLongPrompts(now, w.Route)
	p.tokenCost, p.streamCost = p.model.rates()
	least := math.Inf(1)
	// The search begins at another target each time, so that equal ones share the work.
	p.rotation++
	for i := range p.list {
		t := p.list[(p.rotation+i)%len(p.list)]
		cold := p.isCold(now, t)
		if !p.isEligible(now, t, &w) || !failing && (t.suspected || t.health.ejected(now)) {
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
		if c < least {
			best, least = t, c
		}
	}
	return best, atCapacity
}

// isOpen tells whether a request may go to a target, whatever its health.
func (p *targetPool) isEligible(now time.Time, t *Target, w *TargetCriteria) bool {
	id := t.Spec.ID
	switch {
	case t.closed() || w.Tried[id] || !w.AllowedRegions.Allows(t.Spec.Region):
		return false
	case p.isCold(now, t) && !w.AllowedCold[id] || t.notice.HasLimit && !w.AllowedLimited[id]:
		return false
	}
	return w.ForPeer || !t.backsOff(now)
}

// AtCapacity tells whether each target of a pool that is in good health has as many requests as it may have at a time.
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

// homeOf picks a target for a prompt part by rendezvous hashing, so that all daemons agree without a message.
func (p *targetPool) preferredTarget(now time.Time, w TargetCriteria) *Target {
	if len(w.SharedParts) == 0 {
		return nil
	}
	longPrompts := p.hasLongPrompts(now, w.Route)
	part := state.Hash(w.SharedParts[len(w.SharedParts)-1].ID)
	var preferred *Target
	var rank uint64
	for _, t := range p.list {
		if t.closed() || !w.AllowedRegions.Allows(t.Spec.Region) || p.isCold(now, t) || t.notice.HasLimit || t.suspected || t.health.ejected(now) || t.longPrompts != longPrompts {
			continue
		}
		h := state.RendezvousScore(part, t.idHash)
		if preferred == nil || h > rank {
			preferred, rank = t, h
		}
	}
	return preferred
}

// HomeZone returns the zone of the target that a request's prompt is likely to go to, or "".
func (f *Fleet) HomeZone(now time.Time, pool string, w TargetCriteria) string {
	p := f.pool(pool)
	if p == nil {
		return ""
	}
	p.lock()
	defer p.mu.Unlock()
	if home := p.preferredTarget(now, w); home != nil {
		return home.Spec.Zone
	}
	return ""
}

// cost is the expected delay of an attempt, and what it costs others.
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
		missingTokens *= 1 - preferredDiscount
	}
	tokenCost, streamCost := t.pool.tokenCost, t.pool.streamCost
	queued := float64(t.unreadTokens) * tokenCost * t.slowdown
	read := (float64(w.OwnTokens) + missingTokens) * tokenCost * t.slowdown
	// Streams beside a prompt stand still while it is read; what is queued already would hold them up anyway.
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

// Load is what a target's answer said of itself.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// HealthVerdict is what an attempt showed of a target's health.
type HealthVerdict uint8

// Verdicts on an attempt.
const (
	// VerdictNone says nothing, such as when the caller left.
	VerdictNone HealthVerdict = iota
	// VerdictGood is a whole answer.
	VerdictSuccess
	// VerdictBad is a connection that broke, no answer in time, or bytes that form no answer.
	VerdictFailure
	// VerdictFull is a refusal for want of room.
	VerdictOverloaded
)

// RecordResponseStart notes that an attempt began to answer, so that its prompt is read.
func (f *Fleet) RecordResponseStart(now time.Time, t *Target, w TargetCriteria) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.finishPrompt(now, w, true)
}

// FinishAttempt ends an attempt; began tells whether Began was called for it.
func (f *Fleet) FinishAttempt(now time.Time, t *Target, w TargetCriteria, began bool, v HealthVerdict, load Load) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.active--
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
	case VerdictOverloaded:
		t.otherLoad = max(t.otherLoad, float64(t.Spec.Slots))
		t.otherLoadAt = now
	}
}

// Spec returns a target's entry as it is now.
func (f *Fleet) Spec(t *Target) proto.RelayTarget {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.Spec
}

// AcceptsWork tells whether a target may still get new work.
func (f *Fleet) AcceptsWork(t *Target) bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return !t.unlisted && !t.leaves()
}

// InService tells whether the run of a target as it was listed is still listed and has not said that it leaves.
func (f *Fleet) InService(spec proto.RelayTarget) bool {
	f.mu.RLock()
	t := f.byID[spec.ID]
	f.mu.RUnlock()
	return t != nil && f.AcceptsWork(t) && f.Spec(t).StartedAt.Equal(spec.StartedAt)
}

// Out returns the targets of a pool that this daemon leaves out: for their failures, since they may have left, or since they want rest.
func (f *Fleet) ExcludedTargets(now time.Time, pool string) []string {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var ids []string
	for _, t := range p.list {
		if t.suspected || t.health.ejected(now) || t.backsOff(now) {
			ids = append(ids, t.Spec.ID)
		}
	}
	return ids
}

// EngineTimes returns what was learnt of a pool's engines.
func (f *Fleet) EngineTimes(pool string) proto.EngineTimes {
	p := f.pool(pool)
	if p == nil {
		return proto.EngineTimes{}
	}
	p.lock()
	defer p.mu.Unlock()
	return p.model.estimates()
}

// SetEngineTimes takes over what another daemon learnt of a pool's engines.
func (f *Fleet) SetEngineTimes(pool string, times proto.EngineTimes) {
	p := f.pool(pool)
	if p == nil {
		return
	}
	p.lock()
	defer p.mu.Unlock()
	p.model.replace(times)
}

// SetCacheTokens takes over how many tokens an engine of a pool keeps.
func (f *Fleet) SetCacheTokens(pool string, tokens int) {
	f.mu.Lock()
	p := f.ensurePool(pool)
	f.mu.Unlock()
	p.lock()
	defer p.mu.Unlock()
	p.cacheTokens = tokens
}
