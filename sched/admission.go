package sched

import (
	"maps"
	"slices"
	"strings"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// shareInterval is how often the shares are computed at most. Requests arrive much more often.
	shareInterval = 50 * time.Millisecond
	// learningTime is how long demand is observed before anything is refused.
	learningTime = 500 * time.Millisecond
	// demandTTL is after what time without requests the demand counts as unknown again.
	demandTTL = 2 * time.Second
	// costWeight is the weight of a request in the mean cost of its class.
	costWeight = 0.05
	// returnFraction is the fraction of its class's share up to which returning requests go before new ones. If they had
	// all of it, every new request would be refused once while demand is too high.
	returnFraction = 0.5
	// maxClasses limits the number of classes. Further workspaces share one class for each rank and route.
	maxClasses = 256
	// minClassRate is the number of requests per second below which a class is forgotten.
	minClassRate = 0.01
)

// Class identifies requests that count and are admitted alike.
type Class struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank             int
	Workspace, Route string
}

// Cost is the work that a request causes in a pool.
type Cost struct {
	Pool string
	Work float64
}

// Request is a request to decide on.
type Request struct {
	Class  Class
	Digest proto.RequestDigest
	// Seed is different for each attempt of the request.
	Seed uint64
	// Slack is how long the request can wait for an engine and still be in time.
	Slack time.Duration
	Costs []Cost
}

// Decision tells whether to start a request.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration
	// Share is the admitted share of requests like this one.
	Share float64
	// Tightest is the pool that limits the request most, with its kind, its queue and the work per second admitted to it.
	Tightest string
	Kind     PoolKind
	Queue    time.Duration
	Rate     float64
}

// classKey distinguishes requests of a class by the pools that they use, since a request must not be refused for a pool
// that it skips.
type classKey struct {
	Class
	pools string
}

// class is the demand of a class and its shares.
type class struct {
	// demand counts each request once, even if it returns. fresh and returned are the requests by whether they return.
	demand, fresh, returned rateEstimate
	costs                   map[string]float64
	// freshShare and returnedShare are the admitted shares of fresh and of returning requests.
	freshShare, returnedShare float64
	// tightest is the pool that limits the class most, or "".
	tightest string
}

// Admission decides which requests of a pipeline are admitted.
type Admission struct {
	pools    map[string]*pool
	classes  map[classKey]*class
	refusals *Refusals
	// observedSince is since when demand has been observed, and lastRequest when the last request came.
	observedSince, lastRequest, sharesAt time.Time
	// group returns what the shares of a rank are divided between.
	group func(Class) string
}

// NewAdmission returns an admission that has seen no demand.
func NewAdmission() *Admission {
	return &Admission{
		pools: map[string]*pool{}, classes: map[classKey]*class{}, refusals: NewRefusals(),
		group: func(c Class) string { return c.Workspace },
	}
}

// ObservePool records the state of a pool as of a time, unless a newer one is known.
func (a *Admission) ObservePool(name string, load PoolLoad, at time.Time) {
	known := a.pools[name]
	if known != nil && known.reportedAt.After(at) {
		return
	}
	next := &pool{load: load, reportedAt: at, fraction: 1, learnedAt: at}
	if known != nil {
		next.load.Intended = known.load.Intended + time.Duration(intendedWeight*float64(load.Intended-known.load.Intended))
		next.admitted, next.fraction, next.learnedAt = known.admitted, known.fraction, known.learnedAt
	}
	a.pools[name] = next
}

// Busy reports whether a pool has a queue for which requests ask for decisions.
func (a *Admission) Busy(now time.Time) bool {
	for _, p := range a.pools {
		if IsBusy(p.queue(now), p.load.Intended) {
			return true
		}
	}
	return false
}

// Decide counts a request and decides on it.
func (a *Admission) Decide(now time.Time, r *Request, shortestRetry time.Duration) Decision {
	refusal, returned := a.refusals.Take(r.Digest)
	if !returned {
		refusal = Refusal{First: now}
	}
	a.observeDemand(now)
	c := a.classOf(r)
	c.count(now, r, &refusal, returned)
	a.updateShares(now)
	slack := r.Slack - now.Sub(refusal.First)
	d := Decision{Share: c.freshShare}
	if returned {
		d.Share = c.returnedShare
	}
	a.describe(now, r, c, &d)
	if a.admits(now, r, slack, d.Share) {
		a.charge(now, r)
		return d
	}
	refusal.Counted = now
	a.refusals.Record(r.Digest, refusal)
	d.Refused, d.RetryAfter = true, RetryAfter(r.Seed, slack, shortestRetry)
	return d
}

// admits reports whether a request is admitted whose class has the given share.
func (a *Admission) admits(now time.Time, r *Request, slack time.Duration, share float64) bool {
	if now.Sub(a.observedSince) < learningTime || a.idle(now, r) {
		return true
	}
	for _, cost := range r.Costs {
		p := a.pools[cost.Pool]
		if p == nil || p.load.Kind != KindEngines || p.isIdle(now) {
			continue
		}
		if slack < p.queue(now) || p.fill(now) > maxQueueFactor {
			return false
		}
	}
	return UnitInterval(r.Seed) < share
}

// charge counts the work of an admitted request.
func (a *Admission) charge(now time.Time, r *Request) {
	for _, cost := range r.Costs {
		if p := a.pools[cost.Pool]; p != nil {
			p.admitted.Add(now, admittedHalfLife, cost.Work)
		}
	}
}

// idle reports whether all pools that a request needs are idle.
func (a *Admission) idle(now time.Time, r *Request) bool {
	for _, cost := range r.Costs {
		if p := a.pools[cost.Pool]; p != nil && cost.Work > 0 && !p.isIdle(now) {
			return false
		}
	}
	return true
}

// describe names the pool that limits a request: the tightest of its class, or the one with the longest queue.
func (a *Admission) describe(now time.Time, r *Request, c *class, d *Decision) {
	d.Tightest = c.tightest
	longest := 0.0
	for _, cost := range r.Costs {
		p := a.pools[cost.Pool]
		if p == nil || c.tightest != "" && d.Share < 1 {
			continue
		}
		if fill := p.fill(now); fill >= longest {
			longest, d.Tightest = fill, cost.Pool
		}
	}
	if p := a.pools[d.Tightest]; p != nil {
		d.Kind, d.Queue, d.Rate = p.load.Kind, p.queue(now), p.rate(now)
	}
}

// observeDemand starts the observation of demand over after a time without requests.
func (a *Admission) observeDemand(now time.Time) {
	if a.lastRequest.IsZero() || now.Sub(a.lastRequest) > demandTTL {
		a.observedSince = now
		clear(a.classes)
	}
	a.lastRequest = now
}

func (a *Admission) classOf(r *Request) *class {
	key := classKey{Class: r.Class, pools: usedPools(r.Costs)}
	if a.classes[key] == nil && len(a.classes) >= maxClasses {
		key.Workspace = ""
	}
	c := a.classes[key]
	if c == nil {
		c = &class{costs: map[string]float64{}, freshShare: 1, returnedShare: 1}
		a.classes[key] = c
	}
	return c
}

// usedPools names the pools in which a request causes work.
func usedPools(costs []Cost) string {
	var used []string
	for _, cost := range costs {
		if cost.Work > 0 {
			used = append(used, cost.Pool)
		}
	}
	slices.Sort(used)
	return strings.Join(slices.Compact(used), "\n")
}

// count adds a request to the demand. One that returns adds what has decayed since it was counted, so that it counts once.
func (c *class) count(now time.Time, r *Request, refusal *Refusal, returned bool) {
	if returned {
		c.demand.addReturned(now, now.Sub(refusal.Counted))
		c.returned.add(now, 1)
	} else {
		c.demand.add(now, 1)
		c.fresh.add(now, 1)
	}
	for i, cost := range r.Costs {
		if slices.ContainsFunc(r.Costs[:i], func(earlier Cost) bool { return earlier.Pool == cost.Pool }) {
			continue
		}
		amount := 0.0
		for _, same := range r.Costs[i:] {
			if same.Pool == cost.Pool {
				amount += same.Work
			}
		}
		mean, known := c.costs[cost.Pool]
		if !known {
			mean = amount
		}
		c.costs[cost.Pool] = mean + costWeight*(amount-mean)
	}
}

// addReturned adds an event that was counted before, as far as that has decayed.
func (r *rateEstimate) addReturned(now time.Time, age time.Duration) {
	r.slow.Add(now, slowHalfLife, 1-state.DecayFactor(age, slowHalfLife))
	r.fast.Add(now, fastHalfLife, 1-state.DecayFactor(age, fastHalfLife))
}

// updateShares computes the shares of all classes, at most every shareInterval.
func (a *Admission) updateShares(now time.Time) {
	if now.Sub(a.sharesAt) < shareInterval {
		return
	}
	a.sharesAt = now
	observed := now.Sub(a.observedSince)
	names := slices.Sorted(maps.Keys(a.pools))
	rates := make([]float64, len(names))
	for i, name := range names {
		p := a.pools[name]
		p.learnFraction(now)
		rates[i] = p.correctedRate(now, observed)
	}
	claims := make([]*claim, 0, len(a.classes))
	classes := make([]*class, 0, len(a.classes))
	for _, key := range a.sortedClasses() {
		c := a.classes[key]
		costs := make([]float64, len(names))
		for i, name := range names {
			costs[i] = c.costs[name]
		}
		claims = append(claims, &claim{rank: key.Rank, group: a.group(key.Class), demand: c.demand.perSecond(now, observed), costs: costs})
		classes = append(classes, c)
	}
	divide(claims, rates)
	for i, c := range classes {
		c.tightest = ""
		if claims[i].tightest >= 0 {
			c.tightest = names[claims[i].tightest]
		}
		c.setShares(claims[i], c.fresh.perSecond(now, observed), c.returned.perSecond(now, observed))
	}
}

// sortedClasses returns the keys of the classes in an order that does not depend on the map, so that sums are the same
// in each run.
func (a *Admission) sortedClasses() []classKey {
	return slices.SortedFunc(maps.Keys(a.classes), func(x, y classKey) int {
		if x.Rank != y.Rank {
			return x.Rank - y.Rank
		}
		return strings.Compare(x.Workspace+"\n"+x.Route+"\n"+x.pools, y.Workspace+"\n"+y.Route+"\n"+y.pools)
	})
}

// setShares divides what is admitted of a class between new and returning requests. The latter go first.
func (c *class) setShares(result *claim, fresh, returned float64) {
	c.freshShare, c.returnedShare = 1, 1
	if result.remaining() <= minShareStep*result.demand {
		return
	}
	forReturned := min(returned, max(returnFraction*result.admitted, result.admitted-fresh))
	if returned > 0 {
		c.returnedShare = forReturned / returned
	}
	if fresh > 0 {
		c.freshShare = min(1, (result.admitted-forReturned)/fresh)
	}
}

// Sweep removes what is no longer used.
func (a *Admission) Sweep(now time.Time) {
	a.refusals.Sweep(now)
	maps.DeleteFunc(a.pools, func(_ string, p *pool) bool { return now.Sub(p.reportedAt) > poolLifetime })
	observed := now.Sub(a.observedSince)
	maps.DeleteFunc(a.classes, func(_ classKey, c *class) bool {
		return c.demand.perSecond(now, observed)+c.returned.perSecond(now, observed) < minClassRate
	})
}
