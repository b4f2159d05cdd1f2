package relay

import (
	"math"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// Figures of the admission of requests to pools of engines.
const (
	// admitGap stands in for the shortest pause between events that streams of a pool allow, where no route names one.
	defaultMaxPause = 500 * time.Millisecond
	// queueShare is the part of that pause which prompts should wait at the engines of a busy pool: with less, engines have nothing to
	// read at times, and with the whole pause their streams are late, since prompts are read between the tokens of streams.
	queueFraction = 0.7
	// queueMost is how many times that wait is too long for any request.
	maxQueueFactor = 3
	// rateStep is by what part more or less is begun than engines read, if nothing waits there or twice of what should. With stages
	// that take a second, a larger step swings.
	rateStep = 0.15
	// rateLeast bounds how much less is begun than engines read.
	minRateFactor = 0.7
	// idleShare is the part of the wait below which engines count as idle, and idleStep and idleRate how much is begun for them then at
	// the least: so much more than they read, and the part of what they read without streams that they read beside these.
	idleFraction, idleStep, idleRate = 0.25, 1.4, 0.5
	// floorShare is the part of what can be begun that is left to all ranks, whatever the urgent ones ask for: urgent requests go
	// first, and the least urgent ones are not refused as long as any more urgent ones come.
	floorFraction = 0.5
	// floorStep is the floor of a rank as a part of that of the rank before. With one floor for all, what chance gives the few
	// requests of a rank decides which of two ranks at their floors is served more often.
	floorStep = 0.8
	// busyFrom is the part of the wait from which on requests are to be admitted, and busyFor how long each word of that holds. While
	// engines have less to read, nobody is asked and nothing is counted.
	busyFraction, busyDuration = 0.6, 2 * time.Second
	// lostShare is the part of the engines that were usable lately below which a pool has lost so many that requests are to be
	// admitted at once, before the prompts that are on their way make the engines late; lostFor is how long that holds.
	lostFraction, lostDuration = 0.75, 5 * time.Second
	// usualHalf is how soon the usual number of engines follows a smaller one.
	usualHalfLife = 5 * time.Second
	// rateHalf is the half-life of the rates of what is asked for and of what is read, and perHalf what such a sum is a second.
	rateHalfLife = time.Second
	perHalfLife  = math.Ln2
	// returnsKept is how long it is remembered that a request was refused: callers come back within a third of their time.
	refusalTTL = 10 * time.Second
	// returnsMost bounds how many refused requests are remembered.
	maxRefusals = 50_000
	// returnPart is the part of the time for which a request can wait and be in time, within which its caller is to come back.
	retryFraction = 0.7
)

// engineLoad is what a pool of engines has to do, as far as the daemon that places for it knows.
type engineLoad struct {
	// usable is the number of engines that take requests.
	usable int
	// waiting are the tokens of prompts that wait at engines while these read another one; most is how many all read in a second without streams beside, and read
	// how many they have lately read.
	waitingTokens, maxRate, readRate float64
	// gap is the shortest pause that streams of the pool allow.
	maxPause time.Duration
}

// queue is how long prompts wait at the engines before they are read.
func (l *engineLoad) queueTime() time.Duration {
	rate := max(l.readRate, idleRate*l.maxRate)
	if rate == 0 {
		return time.Minute
	}
	return min(time.Minute, time.Duration(l.waitingTokens/rate*float64(time.Second)))
}

// wanted is how long prompts should wait.
func (l *engineLoad) targetQueueTime() time.Duration {
	return time.Duration(queueFraction * float64(l.maxPause))
}

// engineLoad returns what a pool has to do. Engines that failed last count for nothing until one answers.
func (f *Fleet) engineLoad(now time.Time, pool string) engineLoad {
	load := engineLoad{maxPause: defaultMaxPause}
	p := f.pool(pool)
	if p == nil {
		return load
	}
	p.lock()
	defer p.mu.Unlock()
	token, _ := p.model.rates()
	for _, t := range p.list {
		if t.closed() || t.suspected || t.health.consecutiveFailures > 0 || p.isCold(now, t) {
			continue
		}
		load.usable++
		load.waitingTokens += float64(t.waitingTokens())
		load.maxRate += 1000 / (token * t.slowdown)
	}
	load.readRate = perHalfLife * p.recentReadTokens.Value(now, rateHalfLife)
	load.maxPause = p.shortestPause(now)
	return load
}

// waiting is how many tokens wait while the engine reads the prompt that it was given first.
func (t *Target) waitingTokens() int {
	if len(t.unreadPrompts) == 0 {
		return 0
	}
	return t.unreadTokens - t.unreadPrompts[0].tokens
}

// shortestGap is the shortest pause that streams of the routes allow which have lately sent prompts.
func (p *targetPool) shortestPause(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, r := range p.prompts {
		if r.gap > 0 && (shortest == 0 || r.gap < shortest) && r.requests.Value(now, promptHalfLife) > 1 {
			shortest = r.gap
		}
	}
	if shortest == 0 {
		return defaultMaxPause
	}
	return shortest
}

// missingOf is how many tokens of shared parts engines read for a request of a route, on average.
func (f *Fleet) missingTokens(now time.Time, pool, route string) float64 {
	p := f.pool(pool)
	if p == nil {
		return 0
	}
	p.lock()
	defer p.mu.Unlock()
	r := p.prompts[route]
	if r == nil {
		return 0
	}
	n := r.requests.Value(now, promptHalfLife)
	if n == 0 {
		return 0
	}
	return r.missing.Value(now, promptHalfLife) / n
}

// admission decides which requests for a pool of engines are begun while the engines are busy: as many tokens a second as engines
// read, somewhat more or less by what waits there, the urgent ranks first. It has a lock of its user.
type admissionController struct {
	// asked is how many tokens requests of each rank bring.
	demand []state.DecayingSum
	// refused holds when requests were refused first, by digest.
	refused map[proto.RequestDigest]time.Time
	// usual is the number of usable engines lately, as of usualAt, and lostUntil until when a loss of many of them counts.
	usual     float64
	usualAt   time.Time
	lostUntil time.Time
	busyUntil time.Time
}

func newAdmissionController() *admissionController {
	return &admissionController{refused: map[proto.RequestDigest]time.Time{}}
}

// look takes in the load, and tells whether requests are to be admitted before they are begun.
func (a *admissionController) observe(now time.Time, load engineLoad) bool {
	usable := float64(load.usable)
	if usable < lostFraction*a.usual {
		a.lostUntil = now.Add(lostDuration)
	}
	if usable >= a.usual {
		a.usual = usable
	} else {
		a.usual -= (a.usual - usable) * (1 - state.DecayFactor(now.Sub(a.usualAt), usualHalfLife))
	}
	a.usualAt = now
	if load.queueTime() > time.Duration(busyFraction*float64(load.targetQueueTime())) || now.Before(a.lostUntil) {
		a.busyUntil = now.Add(busyDuration)
	}
	return now.Before(a.busyUntil)
}

// rate is how many tokens a second of requests are begun.
func (a *admissionController) rate(load engineLoad) float64 {
	over := float64(load.queueTime())/float64(load.targetQueueTime()) - 1
	if over < idleFraction-1 {
		return max(idleStep*load.readRate, idleRate*load.maxRate)
	}
	return load.readRate * max(minRateFactor, 1-rateStep*over)
}

// share is the part of the requests of a rank that is begun: each rank has a floor, and what is left goes to the urgent ones first.
func (a *admissionController) share(now time.Time, rate float64, rank int) float64 {
	asked, all := a.currentDemand(now)
	if all <= rate || asked[rank] == 0 {
		return 1
	}
	floors := rankFloors(asked, rate)
	left := rate
	for r := range asked {
		left -= floors[r] * asked[r]
		if r < rank {
			left -= (1 - floors[r]) * asked[r]
		}
	}
	return min(1, floors[rank]+max(0, left)/asked[rank])
}

// askedNow is how many tokens a second the requests of each rank ask for, and of all.
func (a *admissionController) currentDemand(now time.Time) (demand []float64, all float64) {
	demand = make([]float64, len(a.demand))
	for r := range a.demand {
		demand[r] = perHalfLife * a.demand[r].Value(now, rateHalfLife)
		all += demand[r]
	}
	return demand, all
}

// floorsOf divides the part of the rate that is left to all ranks: so much of the requests of each is begun at least, less of each rank than
// of the one before.
func rankFloors(asked []float64, rate float64) []float64 {
	floors, step, sum := make([]float64, len(asked)), 1.0, 0.0
	for r := range asked {
		floors[r] = step
		sum += step * asked[r]
		step *= floorStep
	}
	for r := range floors {
		floors[r] = min(1, floors[r]*floorFraction*rate/sum)
	}
	return floors
}

// decide answers for a request that brings so many tokens to read.
func (a *admissionController) decide(now time.Time, load engineLoad, ask *proto.AdmitAsk, tokens float64) proto.AdmitAnswer {
	for len(a.demand) <= ask.Rank {
		a.demand = append(a.demand, state.DecayingSum{})
	}
	a.demand[ask.Rank].Add(now, rateHalfLife, tokens)
	slack := ask.Slack
	if first, came := a.refused[ask.Digest]; came {
		// Each refusal counts for one return: other callers may send the same.
		slack -= now.Sub(first)
		delete(a.refused, ask.Digest)
	}
	rate := a.rate(load)
	answer := proto.AdmitAnswer{QueueDelay: load.queueTime(), Engines: load.usable, TokenRate: rate, AdmittedShare: a.share(now, rate, ask.Rank)}
	if slack >= load.queueTime() && load.queueTime() <= maxQueueFactor*load.targetQueueTime() && unitInterval(ask.Seed) < answer.AdmittedShare {
		return answer
	}
	a.recordRefused(now, ask.Digest)
	answer.Refused, answer.RetryAfter = true, retryAfter(ask.Seed, slack)
	return answer
}

// share01 maps a hash to a number from 0 to 1.
func unitInterval(hash uint64) float64 { return float64(hash%10_000) / 10_000 }

// comeBackIn is when the caller of a refused request is to come back: callers of the same moment come back at moments that are spread
// over the time in which they can still be in time.
func retryAfter(seed uint64, slack time.Duration) time.Duration {
	room := max(0, time.Duration(retryFraction*float64(slack))-minRetryWait)
	return minRetryWait + time.Duration(unitInterval(state.Mix(seed))*float64(room))
}

func (a *admissionController) recordRefused(now time.Time, digest proto.RequestDigest) {
	if _, known := a.refused[digest]; known || len(a.refused) >= maxRefusals {
		return
	}
	a.refused[digest] = now
}

// sweep forgets the requests that were refused too long ago.
func (a *admissionController) sweep(now time.Time) {
	for digest, at := range a.refused {
		if now.Sub(at) > refusalTTL {
			delete(a.refused, digest)
		}
	}
}
