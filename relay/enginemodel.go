package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Parameters of the model of engines.
const (
	// engineLearningRate is the fraction of a prediction error that the estimates adopt at once. The time to a first event varies by
	// half with the other load, so about forty requests are averaged, which a pool of a dozen engines gets within two seconds.
	engineLearningRate = 0.05
	// engineOutlierFactor is the factor from which an observation is an outlier, such as an engine that stalled.
	engineOutlierFactor = 3
	// maxEngineDeviation is the factor by which an estimate may differ from its prior, either way: engines of one
	// generation differ by about three.
	maxEngineDeviation = 10
	// slowdownWeight is the weight of one request in an engine's slowdown relative to its pool. Requests are noisy, so
	// one that is three times as slow as the others shows as twice as slow after about ten requests.
	slowdownWeight = 0.08
	// minSlowdown and maxSlowdown bound the slowdown of an engine, so that a few outliers do not exclude it.
	minSlowdown, maxSlowdown = 0.7, 6.0
)

// Priors for engines, which the configuration does not state: typical values for models with 7 to 70 billion weights.
const (
	priorPerRequest = 70 * time.Millisecond
	priorPerToken   = 30 * time.Microsecond
	priorPerStream  = 500 * time.Microsecond
)

// engineWork is a component of the time to the first event of a request.
type engineWork uint8

const (
	// workPerRequest is the fixed time of a request: the transfer to the engine, the fetching of its inputs, and the first steps.
	workPerRequest engineWork = iota
	// workPerToken is a prompt token to process, including those of prompts ahead of it.
	workPerToken
	// workPerStream is another request running on the engine.
	workPerStream
)

func priorOf(w engineWork) float64 {
	switch w {
	case workPerToken:
		return float64(priorPerToken)
	case workPerStream:
		return float64(priorPerStream)
	}
	return float64(priorPerRequest)
}

// engineModel estimates the speed of a pool's engines from the times to the first events of requests, in nanoseconds.
// The daemon that places all requests observes each; the others adopt its estimates.
type engineModel struct{ times additiveModel[engineWork] }

func newEngineModel() engineModel {
	return engineModel{additiveModel[engineWork]{prior: priorOf, learningRate: engineLearningRate, outlierFactor: engineOutlierFactor, maxDeviation: maxEngineDeviation}}
}

// rates returns the milliseconds that each prompt token and each concurrent stream adds to the first event at the
// typical speed of the pool.
func (m *engineModel) rates() (token, stream float64) {
	const millisecond = float64(time.Millisecond)
	return m.times.estimate(workPerToken) / millisecond, m.times.estimate(workPerStream) / millisecond
}

func (m *engineModel) estimates() proto.EngineTimes {
	return proto.EngineTimes{
		PerRequest: time.Duration(m.times.estimate(workPerRequest)), PerPromptToken: time.Duration(m.times.estimate(workPerToken)), PerConcurrentRequest: time.Duration(m.times.estimate(workPerStream)),
	}
}

// replace replaces the estimates with those of a daemon that has observed more requests.
func (m *engineModel) replace(t proto.EngineTimes) {
	if t.PerPromptToken == 0 {
		return
	}
	m.times.set(workPerRequest, float64(t.PerRequest))
	m.times.set(workPerToken, float64(t.PerPromptToken))
	m.times.set(workPerStream, float64(t.PerConcurrentRequest))
}

// unreadPrompt is a prompt that was sent to an engine and, as far as is known, not yet processed.
type unreadPrompt struct {
	ownTokens, tokens int
	startedAt         time.Time
	// cold is set if the engine was cold: the time does not predict its later speed.
	cold bool
	// work is the work ahead of the first event.
	work map[engineWork]float64
}

// startPrompt records that a prompt was sent to an engine.
func (t *Target) startPrompt(now time.Time, w TargetCriteria) {
	missing := t.cache.missingTokens(w.SharedParts)
	if r := t.pool.prompts[w.Route]; r != nil {
		r.missing.Add(now, promptHalfLife, float64(missing))
	}
	read := w.OwnTokens + missing
	t.unreadTokens += read
	work := map[engineWork]float64{workPerRequest: 1, workPerToken: float64(t.unreadTokens), workPerStream: float64(t.active)}
	t.unreadPrompts = append(t.unreadPrompts, unreadPrompt{ownTokens: w.OwnTokens, tokens: read, startedAt: now, cold: now.Before(t.coldUntil), work: work})
}

// finishPrompt removes the oldest unprocessed prompt of a size, and learns from its time if it succeeded.
func (t *Target) finishPrompt(now time.Time, w TargetCriteria, learn bool) {
	i := slices.IndexFunc(t.unreadPrompts, func(r unreadPrompt) bool { return r.ownTokens == w.OwnTokens })
	if i < 0 {
		return
	}
	r := t.unreadPrompts[i]
	t.unreadTokens -= r.tokens
	t.unreadPrompts = slices.Delete(t.unreadPrompts, i, i+1)
	if learn {
		t.pool.recentReadTokens.Add(now, rateHalfLife, float64(r.tokens))
	}
	if !learn || r.cold {
		return
	}
	model := &t.pool.model
	took := float64(now.Sub(r.startedAt))
	ratio := took / model.times.sum(r.work)
	t.slowdown = min(maxSlowdown, max(minSlowdown, t.slowdown+slowdownWeight*(ratio-t.slowdown)))
	model.times.observe(r.work, took/(t.slowdown/t.pool.medianSlowdown(t)))
}

// medianSlowdown returns the median slowdown of the targets of the pool, or of the group of an engine if the pool is divided.
func (p *targetPool) medianSlowdown(t *Target) float64 {
	group := 0
	if layout := p.groupLayout(); layout.count() > 1 {
		group = layout.shardOf(&t.Spec) + 1
	}
	candidates := p.candidates(group)
	if len(candidates) == 0 {
		return 1
	}
	p.slowdowns = p.slowdowns[:0]
	for _, other := range candidates {
		p.slowdowns = append(p.slowdowns, other.slowdown)
	}
	slices.Sort(p.slowdowns)
	return p.slowdowns[len(p.slowdowns)/2]
}
