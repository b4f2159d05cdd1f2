package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs in the choice of a target, in nanoseconds of expected delay.
const (
	// readRate is how many prompt tokens an engine reads in a millisecond; the sites state 32.4.
	readRate = 32.4
	// runCost is what each attempt in progress adds at an engine: a step grows by some hundredths of a millisecond,
	// over some thirty steps.
	runCost = float64(time.Millisecond)
	// slotCost is what a full target adds for a plain attempt: about one attempt of waiting.
	slotCost = float64(20 * time.Millisecond)
	// crossCost is what another availability zone adds: two ways of a millisecond, and the price of the bytes.
	crossCost = float64(3 * time.Millisecond)
	// inputCost is what a megabyte of inputs from another zone adds: the price of the bytes is that of reading some
	// 280 prompt tokens; the way itself takes a millisecond.
	inputCost = float64(9 * time.Millisecond)
	// othersFade is how long a reported load counts; most attempts are over after that.
	othersFade = 2 * time.Second
	// homes is the number of targets that a shared prompt part is kept at: the second one takes what is too much
	// for the first.
	homes = 2
	// secondHome is the part of a shared prompt that the second home has to read, on average.
	secondHome = 0.6
	// strayCost is what an engine of the other group adds: a long prompt holds up the streams beside it.
	strayCost = float64(250 * time.Millisecond)
	// groupLeast and groupMost bound the part of the engines that takes the routes with long prompts.
	groupLeast, groupMost = 0.4, 0.75
	// longRatio is how long a route's prompts must be against the average of the pool to count as long.
	longRatio = 0.6
	// promptHalf is the half-life of the averages of prompts; routes change within seconds in a burst.
	promptHalf = 10 * time.Second
)

// Want describes what a target is chosen for.
type Want struct {
	// Part names the last shared part of a prompt, whose reading a home of it saves; empty if there is none.
	Part string
	// SharedTokens and OwnTokens are the sizes of the prompt's shared parts and of the rest.
	SharedTokens, OwnTokens int
	// Zone is the daemon's own zone, or that of large inputs.
	Zone string
	// Inputs is about how many bytes of inputs lie in Zone.
	Inputs int
	// Route tells apart the kinds of requests, whose prompts differ.
	Route string
	// Engine says that targets are model engines.
	Engine bool
	// Tried holds the targets that were tried before.
	Tried map[string]bool
}

// Pick returns the target with the least expected delay, with an attempt begun on it, or nil if there is none.
func (f *Fleet) Pick(now time.Time, pool string, w Want) *Target {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Engine {
		p.notePrompt(now, w)
	}
	best := p.best(now, w, false)
	if best == nil {
		best = p.best(now, w, true)
	}
	if best == nil {
		return nil
	}
	best.active++
	best.unread += w.OwnTokens
	return best
}

// best returns the cheapest target; without any in good health, one that was left out is better than none.
func (p *targetPool) best(now time.Time, w Want, any bool) *Target {
	home := p.homesOf(now, w)
	long := p.isLong(now, w.Route)
	var best *Target
	least := math.Inf(1)
	for _, t := range p.list {
		if t.Spec.Leaving || w.Tried[t.Spec.ID] || !any && t.health.out(now) {
			continue
		}
		if c := t.cost(now, w, home, long); c < least {
			best, least = t, c
		}
	}
	return best
}

// homesOf ranks the targets for a prompt part by rendezvous hashing, so that all daemons agree without a message.
func (p *targetPool) homesOf(now time.Time, w Want) [homes]*Target {
	var home [homes]*Target
	var rank [homes]uint64
	if w.Part == "" {
		return home
	}
	long := p.isLong(now, w.Route)
	for _, t := range p.list {
		if t.Spec.Leaving || t.health.out(now) || t.long != long {
			continue
		}
		h := xxhash.Sum64String(w.Part + "/" + t.Spec.ID)
		for i := range home {
			if home[i] == nil || h > rank[i] {
				copy(home[i+1:], home[i:])
				copy(rank[i+1:], rank[i:])
				home[i], rank[i] = t, h
				break
			}
		}
	}
	return home
}

// Home returns the zone of the target that a request's prompt is likely to go to, or "".
func (f *Fleet) Home(now time.Time, pool string, w Want) string {
	p := f.pool(pool)
	if p == nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if home := p.homesOf(now, w)[0]; home != nil {
		return home.Spec.Zone
	}
	return ""
}

// cost is the expected delay of an attempt, and what it costs others.
func (t *Target) cost(now time.Time, w Want, home [homes]*Target, long bool) float64 {
	c := t.health.cost()
	cross := t.Spec.Zone != w.Zone
	if cross {
		c += crossCost + inputCost*float64(w.Inputs)/1e6
	}
	others := t.othersNow(now)
	if !w.Engine {
		load := (float64(t.active) + others) / float64(max(1, t.Spec.Slots))
		return c + t.pace*load*slotCost
	}
	if t.long != long {
		c += strayCost
	}
	read := float64(w.OwnTokens + t.unread)
	if w.Part != "" && t != home[0] {
		missing := 1.0
		if t == home[1] {
			missing = secondHome
		}
		read += missing * float64(w.SharedTokens)
	}
	return c + t.pace*(read/readRate*float64(time.Millisecond)+(float64(t.active)+others)*runCost)
}

func (t *Target) othersNow(now time.Time) float64 {
	age := now.Sub(t.othersAt)
	if age >= othersFade {
		return 0
	}
	return t.others * (1 - float64(age)/float64(othersFade))
}

// Load is what a target's answer said of itself.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Verdict is what an attempt showed of a target's health.
type Verdict uint8

// Verdicts on an attempt.
const (
	// VerdictNone says nothing, such as when the caller left.
	VerdictNone Verdict = iota
	// VerdictGood is a whole answer.
	VerdictGood
	// VerdictBad is a connection that broke, no answer in time, or bytes that form no answer.
	VerdictBad
	// VerdictFull is a refusal for want of room.
	VerdictFull
)

// Began notes that an attempt began to answer, so that its prompt is read.
func (f *Fleet) Began(t *Target, w Want) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.unread -= w.OwnTokens
}

// Ended ends an attempt; began tells whether Began was called for it.
func (f *Fleet) Ended(now time.Time, t *Target, w Want, began bool, v Verdict, load Load) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.active--
	if !began {
		t.unread -= w.OwnTokens
	}
	if load.Known {
		t.others = max(0, float64(load.Running+load.Waiting-t.active-1))
		t.othersAt = now
	}
	switch v {
	case VerdictGood:
		t.health.succeeded()
	case VerdictBad:
		t.health.failed(now)
	case VerdictFull:
		t.others = max(t.others, float64(t.Spec.Slots))
		t.othersAt = now
	}
}

// Listed tells whether a target may still get new work.
func (f *Fleet) Listed(t *Target) bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return !t.gone && !t.Spec.Leaving
}

// OutOfService tells whether a target, by its id, is left out for its failures.
func (f *Fleet) OutOfService(now time.Time, id string) bool {
	f.mu.RLock()
	t := f.where[id]
	f.mu.RUnlock()
	if t == nil {
		return true
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.health.out(now)
}
