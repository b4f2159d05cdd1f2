package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Figures of what is learnt of a pool's engines.
const (
	// engineLearn is the part of an error that the estimates take over at once. The time to a first event varies by half
	// from one request to the next with what else runs, so some forty requests are averaged, which a pool of a dozen
	// engines gets within two seconds.
	engineLearn = 0.05
	// engineOdd is the factor from which an observation is an outlier, such as an engine that stood still.
	engineOdd = 3
	// engineSpread is by how much an estimate may leave its prior, either way, as a factor: engines of one generation
	// differ by about three from each other.
	engineSpread = 10
	// enginePace is the weight of one request in an engine's pace against its pool; requests are noisy, so an engine
	// that is three times as slow as the others shows as twice as slow after some ten requests.
	enginePace = 0.08
	// paceLeast and paceMost bound an engine's pace, so that a few odd requests do not take it out.
	paceLeast, paceMost = 0.7, 6.0
)

// Priors of an engine before it was observed, which the configuration does not state: the middle of what engines do
// with models of 7 to 70 billion weights.
const (
	priorStart  = 70 * time.Millisecond
	priorToken  = 30 * time.Microsecond
	priorStream = 500 * time.Microsecond
)

// engineWork is what takes up the time to a request's first event.
type engineWork uint8

const (
	// workStart is what each request takes: the way there, the fetching of its inputs, and the first steps.
	workStart engineWork = iota
	// workToken is one prompt token to be read, those queued before it included.
	workToken
	// workStream is each request that runs beside.
	workStream
)

func priorOf(w engineWork) float64 {
	switch w {
	case workToken:
		return float64(priorToken)
	case workStream:
		return float64(priorStream)
	}
	return float64(priorStart)
}

// engineModel is what is learnt of the engines of one pool from the times to the first events of requests, in
// nanoseconds. The daemon that places for all hears of all requests; the others take its estimates over.
type engineModel struct{ times linear[engineWork] }

func newEngineModel() engineModel {
	return engineModel{linear[engineWork]{prior: priorOf, learn: engineLearn, odd: engineOdd, spread: engineSpread}}
}

// rates are what a prompt token and a stream beside it add to a first event at the pool's usual pace, in milliseconds.
func (m *engineModel) rates() (token, stream float64) {
	const millisecond = float64(time.Millisecond)
	return m.times.of(workToken) / millisecond, m.times.of(workStream) / millisecond
}

func (m *engineModel) estimates() proto.EngineTimes {
	return proto.EngineTimes{
		PerRequest: time.Duration(m.times.of(workStart)), PerPromptToken: time.Duration(m.times.of(workToken)), PerConcurrentRequest: time.Duration(m.times.of(workStream)),
	}
}

// adopt takes over the estimates of a daemon that has seen more.
func (m *engineModel) replace(t proto.EngineTimes) {
	if t.PerPromptToken == 0 {
		return
	}
	m.times.set(workStart, float64(t.PerRequest))
	m.times.set(workToken, float64(t.PerPromptToken))
	m.times.set(workStream, float64(t.PerConcurrentRequest))
}

// promptRead is a prompt that an engine was given and has not read yet, as far as is known.
type unreadPrompt struct {
	own, tokens int
	began       time.Time
	// cold says that the engine was cold, so that its time says nothing of what it does later.
	cold bool
	// work is what was ahead of its first event.
	work map[engineWork]float64
}

// give notes that an engine was given a prompt.
func (t *Target) startPrompt(now time.Time, w TargetCriteria) {
	missing := t.cache.missingTokens(w.SharedParts)
	if r := t.pool.prompts[w.Route]; r != nil {
		r.missing.Add(now, promptHalfLife, float64(missing))
	}
	read := w.OwnTokens + missing
	t.unreadTokens += read
	work := map[engineWork]float64{workStart: 1, workToken: float64(t.unreadTokens), workStream: float64(t.active)}
	t.unreadPrompts = append(t.unreadPrompts, unreadPrompt{own: w.OwnTokens, tokens: read, began: now, cold: now.Before(t.coldUntil), work: work})
}

// finishRead ends the oldest reading of a prompt of such a size, and learns from it if it ended well.
func (t *Target) finishPrompt(now time.Time, w TargetCriteria, learn bool) {
	i := slices.IndexFunc(t.unreadPrompts, func(r unreadPrompt) bool { return r.own == w.OwnTokens })
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
	took := float64(now.Sub(r.began))
	ratio := took / model.times.sum(r.work)
	t.slowdown = min(paceMost, max(paceLeast, t.slowdown+enginePace*(ratio-t.slowdown)))
	model.times.observe(r.work, took/(t.slowdown/t.pool.usualPace()))
}

// usualPace is the pace of the middle one of the pool's targets.
func (p *targetPool) usualPace() float64 {
	if len(p.list) == 0 {
		return 1
	}
	p.slowdowns = p.slowdowns[:0]
	for _, t := range p.list {
		p.slowdowns = append(p.slowdowns, t.slowdown)
	}
	slices.Sort(p.slowdowns)
	return p.slowdowns[len(p.slowdowns)/2]
}
