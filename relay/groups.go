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
type routePrompts struct {
	tokens, requests state.Decay
	// missing are the tokens of shared parts that engines had to read.
	missing state.Decay
	// gap is the longest pause between events of the route's streams that is still in time; 0 if there is no bound.
	gap time.Duration
}

func (r *routePrompts) mean(now time.Time) float64 {
	n := r.requests.Value(now, promptHalf)
	if n == 0 {
		return 0
	}
	return r.tokens.Value(now, promptHalf) / n
}

// notePrompt counts a request's prompt and divides the engines anew between routes with long prompts and the rest:
// while an engine reads a long prompt, all streams beside it stand still.
func (p *targetPool) notePrompt(now time.Time, w Want) {
	if p.prompts == nil {
		p.prompts = map[string]*routePrompts{}
	}
	r := p.prompts[w.Route]
	if r == nil {
		r = &routePrompts{}
		p.prompts[w.Route] = r
	}
	r.tokens.Add(now, promptHalf, float64(w.OwnTokens))
	r.requests.Add(now, promptHalf, 1)
	r.gap = w.Gap
	p.all.tokens.Add(now, promptHalf, float64(w.OwnTokens))
	p.all.requests.Add(now, promptHalf, 1)
	if now.Sub(p.divided) >= divideEvery || p.orderedOf != p.listed {
		p.divided = now
		p.divide(now)
	}
}

func (p *targetPool) isLong(now time.Time, route string) bool {
	r := p.prompts[route]
	return r == nil || r.mean(now) >= longRatio*p.all.mean(now)
}

// divide marks the engines that take long prompts, in proportion to the tokens that these have.
func (p *targetPool) divide(now time.Time) {
	long, sum := 0.0, 0.0
	for name, r := range p.prompts {
		tokens := r.tokens.Value(now, promptHalf)
		sum += tokens
		if p.isLong(now, name) {
			long += tokens
		}
	}
	share := groupMost
	if sum > 0 {
		share = min(groupMost, max(groupLeast, long/sum))
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
		t.long = i < first
	}
}

// byHash orders the targets so that each daemon divides them alike, and a new one moves few others.
func (p *targetPool) byHash() []*Target {
	if len(p.ordered) != len(p.list) || p.orderedOf != p.listed {
		p.orderedOf = p.listed
		p.ordered = slices.Clone(p.list)
		slices.SortFunc(p.ordered, func(a, b *Target) int {
			return cmp.Compare(a.hash, b.hash)
		})
	}
	return p.ordered
}
