package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"emberlead/state"
)

// regroupInterval is how often the engines are divided into groups: the averages change over seconds.
const regroupInterval = 250 * time.Millisecond

// promptStats holds the average prompt length of one route over the last seconds.
type promptStats struct {
	tokens, requests state.DecayingSum
	// missing counts the tokens of shared parts that engines had to process.
	missing state.DecayingSum
	// gap is the longest acceptable pause between the events of a stream of the route, or 0 if there is no limit.
	maxPause time.Duration
}

func (r *promptStats) meanTokens(now time.Time) float64 {
	n := r.requests.Value(now, promptHalfLife)
	if n == 0 {
		return 0
	}
	return r.tokens.Value(now, promptHalfLife) / n
}

// recordPrompt records the prompt of a request, and periodically divides the engines between routes with long prompts
// and the others: while an engine processes a long prompt, all its other streams stall.
func (p *targetPool) recordPrompt(now time.Time, w TargetCriteria) {
	if p.prompts == nil {
		p.prompts = map[string]*promptStats{}
	}
	r := p.prompts[w.Route]
	if r == nil {
		r = &promptStats{}
		p.prompts[w.Route] = r
	}
	r.tokens.Add(now, promptHalfLife, float64(w.OwnTokens))
	r.requests.Add(now, promptHalfLife, 1)
	r.maxPause = w.MaxPause
	p.allPrompts.tokens.Add(now, promptHalfLife, float64(w.OwnTokens))
	p.allPrompts.requests.Add(now, promptHalfLife, 1)
	if now.Sub(p.dividedAt) >= regroupInterval || p.sortedVersion != p.listVersion {
		p.dividedAt = now
		p.assignLongPromptEngines(now)
	}
}

func (p *targetPool) hasLongPrompts(now time.Time, route string) bool {
	r := p.prompts[route]
	return r == nil || r.meanTokens(now) >= longPromptRatio*p.allPrompts.meanTokens(now)
}

// assignLongPromptEngines assigns engines to long prompts, in proportion to their share of the tokens.
func (p *targetPool) assignLongPromptEngines(now time.Time) {
	long, sum := 0.0, 0.0
	for name, r := range p.prompts {
		tokens := r.tokens.Value(now, promptHalfLife)
		sum += tokens
		if p.hasLongPrompts(now, name) {
			long += tokens
		}
	}
	share := maxLongShare
	if sum > 0 {
		share = min(maxLongShare, max(minLongShare, long/sum))
	}
	if long == sum || long == 0 {
		// With only one kind of prompts there is nothing to separate.
		share = 1
		if long == 0 {
			share = 0
		}
	}
	longEngines := int(math.Round(share * float64(len(p.list))))
	for i, t := range p.byHash() {
		t.longPrompts = i < longEngines
	}
}

// byHash returns the targets in an order that is the same on all daemons and in which a new target moves few others.
func (p *targetPool) byHash() []*Target {
	if len(p.sortedByHash) != len(p.list) || p.sortedVersion != p.listVersion {
		p.sortedVersion = p.listVersion
		p.sortedByHash = slices.Clone(p.list)
		slices.SortFunc(p.sortedByHash, func(a, b *Target) int {
			return cmp.Compare(a.idHash, b.idHash)
		})
	}
	return p.sortedByHash
}
