package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"emberlead/state"
)

// divideEvery is how often the engines are divided anew: the averages change over seconds.
const divideEvery = 250 * time.Millisecond

// routePrompts is how long the prompts of one route are, on average over the last seconds.
type promptStats struct {
	tokens, requests state.DecayingSum
	// missing are the tokens of shared parts that engines had to read.
	missing state.DecayingSum
	// gap is the longest pause between events of the route's streams that is still in time; 0 if there is no bound.
	gap time.Duration
}

func (r *promptStats) mean(now time.Time) float64 {
	n := r.requests.Value(now, promptHalfLife)
	if n == 0 {
		return 0
	}
	return r.tokens.Value(now, promptHalfLife) / n
}

// notePrompt counts a request's prompt and divides the engines anew between routes with long prompts and the rest:
// while an engine reads a long prompt, all streams beside it stand still.
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
	r.gap = w.MaxPause
	p.allPrompts.tokens.Add(now, promptHalfLife, float64(w.OwnTokens))
	p.allPrompts.requests.Add(now, promptHalfLife, 1)
	if now.Sub(p.dividedAt) >= divideEvery || p.sortedVersion != p.listVersion {
		p.dividedAt = now
		p.divide(now)
	}
}

func (p *targetPool) hasLongPrompts(now time.Time, route string) bool {
	r := p.prompts[route]
	return r == nil || r.mean(now) >= longPromptRatio*p.allPrompts.mean(now)
}

// divide marks the engines that take long prompts, in proportion to the tokens that these have.
func (p *targetPool) divide(now time.Time) {
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
		// With one kind of prompts there is nothing to keep apart.
		share = 1
		if long == 0 {
			share = 0
		}
	}
	first := int(math.Round(share * float64(len(p.list))))
	for i, t := range p.byHash() {
		t.longPrompts = i < first
	}
}

// byHash orders the targets so that each daemon divides them alike, and a new one moves few others.
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
