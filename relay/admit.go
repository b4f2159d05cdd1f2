package relay

import (
	"math"
	"time"

	"emberlead/proto"
	"emberlead/sched"
	"emberlead/state"
)

// Parameters of the admission of requests to pools of engines.
const (
	// defaultMaxPause is the shortest allowed pause between stream events for a pool none of whose routes sets one.
	defaultMaxPause = 500 * time.Millisecond
	// queueFraction is the fraction of that pause for which prompts should wait at the engines of a busy pool. With less, engines run
	// out of prompts at times; with all of it streams are late, because engines read prompts between their tokens.
	queueFraction = 0.7
	// maxQueueFactor is the multiple of the intended wait above which every request is refused.
	maxQueueFactor = 3
	// Engines count as idle if prompts wait for less than idleFraction of the intended wait. They are given at least idleStep times
	// the rate at which they read now, and at least idleRate of the rate at which they could read without streams.
	idleFraction, idleStep, idleRate = 0.25, 1.4, 0.5
	// Admission control starts when prompts wait for busyFraction of the intended wait, and lasts for busyDuration
	// after each such observation. At a lower load no daemon is asked and nothing is counted.
	busyFraction, busyDuration = 0.6, 2 * time.Second
	// lostFraction is the fraction of the recently usable engines below which a pool counts as having lost many. Admission control
	// then starts at once, before prompts on their way delay the remaining engines, and lasts for lostDuration.
	lostFraction, lostDuration = 0.75, 5 * time.Second
	// usualHalfLife is the half-life with which the usual number of engines follows a decrease.
	usualHalfLife = 5 * time.Second
	// rateHalfLife is the half-life of the sums of requested and of read tokens, and perHalfLife converts them to rates per second.
	rateHalfLife = time.Second
	perHalfLife  = math.Ln2
)

// engineLoad is the load of a pool of engines, as known to the daemon that places its requests.
type engineLoad struct {
	// usable is the number of engines that accept requests, and closed of those that are leaving or evacuated.
	usable, closed int
	// waitingTokens is the number of prompt tokens that wait while the engines read other prompts. maxRate is the
	// number that all engines can read in a second without streams, and readRate the number read recently in a second.
	waitingTokens, maxRate, readRate float64
	// maxPause is the shortest pause between events that the streams of the pool allow.
	maxPause time.Duration
}

// queueTime returns how long prompts wait at the engines before they are read.
func (l *engineLoad) queueTime() time.Duration {
	rate := max(l.readRate, idleRate*l.maxRate)
	if rate == 0 {
		return time.Minute
	}
	return min(time.Minute, time.Duration(l.waitingTokens/rate*float64(time.Second)))
}

// targetQueueTime returns how long prompts should wait.
func (l *engineLoad) targetQueueTime() time.Duration {
	return time.Duration(queueFraction * float64(l.maxPause))
}

// engineLoad returns the load of a group of engines. Engines whose last request failed are ignored until one succeeds.
func (f *Fleet) engineLoad(now time.Time, group engineGroup) engineLoad {
	load := engineLoad{maxPause: defaultMaxPause}
	p := f.pool(group.pool)
	if p == nil {
		return load
	}
	p.lock()
	defer p.mu.Unlock()
	token, _ := p.model.rates()
	for _, t := range p.candidates(group.index) {
		if t.closed() {
			load.closed++
		}
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

// waitingTokens returns how many tokens wait while the engine reads the oldest of its prompts.
func (t *Target) waitingTokens() int {
	if len(t.unreadPrompts) == 0 {
		return 0
	}
	return t.unreadTokens - t.unreadPrompts[0].tokens
}

// shortestPause returns the shortest pause between events allowed by the routes that recently sent prompts.
func (p *targetPool) shortestPause(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, r := range p.prompts {
		if r.maxPause > 0 && (shortest == 0 || r.maxPause < shortest) && r.requests.Value(now, promptHalfLife) > 1 {
			shortest = r.maxPause
		}
	}
	if shortest == 0 {
		return defaultMaxPause
	}
	return shortest
}

// missingTokens returns the mean number of tokens of shared parts that engines have to read for a request of a route.
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

// admissionController decides which requests for a pool of engines are admitted while the engines are busy: about as many tokens per
// second as the engines read, adjusted by the length of their queues, and urgent ranks first. Its user must hold a lock.
type admissionController struct {
	// demand is the number of requested tokens by rank.
	demand []state.DecayingSum
	// refused remembers the refused requests.
	refused *sched.Refusals
	// usualEngines is the recent number of usable engines, as of usualAt. A loss of many counts until lostUntil.
	usualEngines float64
	usualAt      time.Time
	lostUntil    time.Time
	busyUntil    time.Time
	// closedEngines is the number of engines that were leaving or evacuated as of usualAt.
	closedEngines int
}

func newAdmissionController() *admissionController {
	return &admissionController{refused: sched.NewRefusals()}
}

// excludeClosed removes engines that were closed since the last observation from the usual number: their withdrawal was
// planned, so it is no loss.
func (a *admissionController) excludeClosed(load engineLoad) {
	a.usualEngines -= float64(max(0, load.closed-a.closedEngines))
	a.closedEngines = load.closed
}

// observe records the load and reports whether admission control is on.
func (a *admissionController) observe(now time.Time, load engineLoad) bool {
	usable := float64(load.usable)
	if usable < lostFraction*a.usualEngines {
		a.lostUntil = now.Add(lostDuration)
	}
	if usable >= a.usualEngines {
		a.usualEngines = usable
	} else {
		a.usualEngines -= (a.usualEngines - usable) * (1 - state.DecayFactor(now.Sub(a.usualAt), usualHalfLife))
	}
	a.usualAt = now
	if load.queueTime() > time.Duration(busyFraction*float64(load.targetQueueTime())) || now.Before(a.lostUntil) {
		a.busyUntil = now.Add(busyDuration)
	}
	return now.Before(a.busyUntil)
}

// rate returns how many prompt tokens per second are admitted.
func (a *admissionController) rate(load engineLoad) float64 {
	if float64(load.queueTime()) < idleFraction*float64(load.targetQueueTime()) {
		return max(idleStep*load.readRate, idleRate*load.maxRate)
	}
	return load.readRate * sched.RateFactor(load.queueTime(), load.targetQueueTime())
}

// share returns the fraction of a rank's requests that is admitted. Each rank gets its floor; the most urgent ranks get
// the rest first.
func (a *admissionController) share(now time.Time, rate float64, rank int) float64 {
	demand, total := a.currentDemand(now)
	if total <= rate || demand[rank] == 0 {
		return 1
	}
	floors := sched.RankFloors(demand, rate)
	remaining := rate
	for r := range demand {
		remaining -= floors[r] * demand[r]
		if r < rank {
			remaining -= (1 - floors[r]) * demand[r]
		}
	}
	return min(1, floors[rank]+max(0, remaining)/demand[rank])
}

// currentDemand returns the requested tokens per second by rank, and their sum.
func (a *admissionController) currentDemand(now time.Time) (demand []float64, total float64) {
	demand = make([]float64, len(a.demand))
	for r := range a.demand {
		demand[r] = perHalfLife * a.demand[r].Value(now, rateHalfLife)
		total += demand[r]
	}
	return demand, total
}

// decide decides on a request that requires the given number of prompt tokens to be read.
func (a *admissionController) decide(now time.Time, load engineLoad, ask *proto.AdmitAsk, tokens float64) proto.AdmitAnswer {
	for len(a.demand) <= ask.Rank {
		a.demand = append(a.demand, state.DecayingSum{})
	}
	a.demand[ask.Rank].Add(now, rateHalfLife, tokens)
	slack := ask.Slack
	if refusal, known := a.refused.Take(ask.Digest); known {
		slack -= now.Sub(refusal.First)
	}
	rate := a.rate(load)
	answer := proto.AdmitAnswer{QueueDelay: load.queueTime(), Engines: load.usable, TokenRate: rate, AdmittedShare: a.share(now, rate, ask.Rank)}
	if slack >= load.queueTime() && load.queueTime() <= maxQueueFactor*load.targetQueueTime() && sched.UnitInterval(ask.Seed) < answer.AdmittedShare {
		return answer
	}
	a.refused.Record(ask.Digest, sched.Refusal{First: now, Counted: now})
	answer.Refused, answer.RetryAfter = true, sched.RetryAfter(ask.Seed, slack, minRetryWait)
	return answer
}
