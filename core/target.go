package core

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
	"emberlead/state"
)

const (
	historySlots  = 32
	historyStep   = 100 * time.Millisecond
	defaultSlots  = 4
	minLimit      = 1.0
	staleReport   = 2 * time.Second
	staleHalfLife = 2 * time.Second
	zoneCost      = 0.002 // seconds, both ways to another zone
	regionCost    = 0.060 // seconds, both ways to another region
	maxEjections  = 6
	limitGrowth   = 0.05
	limitCut      = 0.85
	modelMiss     = 1.0 // seconds that loading a model costs a request
)

// target is one candidate of a pool, as this daemon sees it; the pool's lock guards it.
type target struct {
	spec     proto.Target
	hash     uint64
	index    int
	leaving  bool
	stopAt   time.Time // of a planned stop, or zero
	removed  bool
	inflight int

	others   float64 // other daemons' requests as of the last report
	reported time.Time
	ownThen  int
	slots    int
	models   []string
	cut      float64 // factor below 1 learnt from refusals

	failures   int
	ejections  int
	ejectedTo  time.Time
	readmitted time.Time
	slowness   state.Mean // observed over expected service time

	history   [historySlots]uint16
	historyAt int64
	tuning    *Tuning
}

func newTarget(spec proto.Target, tuning *Tuning) *target {
	return &target{
		spec:   spec,
		hash:   xxhash.Sum64String(spec.Name),
		slots:  spec.Slots,
		cut:    1,
		tuning: tuning,
	}
}

func (t *target) capacity() int {
	if t.slots > 0 {
		return t.slots
	}
	return defaultSlots
}

// limit is how many requests of all daemons the target should have at once.
func (t *target) limit(now time.Time) float64 {
	limit := float64(t.capacity()) * t.tuning.Overcommit * t.cut
	if !t.readmitted.IsZero() {
		since := now.Sub(t.readmitted)
		if since < t.tuning.Readmit {
			limit *= 0.1 + 0.9*float64(since)/float64(t.tuning.Readmit)
		}
	}
	return max(minLimit, limit)
}

// expected is the estimate of all daemons' requests at the target now.
func (t *target) expected(now time.Time) float64 {
	others := t.others
	if age := now.Sub(t.reported); age > staleReport {
		others *= math.Exp2(-float64(age-staleReport) / float64(staleHalfLife))
	} else if t.ownThen > 0 {
		grown := float64(t.inflight-t.ownThen) / float64(t.ownThen)
		others *= max(0, 1+t.tuning.Alike*min(1, grown))
	}
	return others + float64(t.inflight)
}

// Open tells whether the target may take one more request.
func (t *target) Open(need *Need) bool {
	if t.leaving || t.removed || !t.stopAt.IsZero() && need.Deadline.After(t.stopAt) || need.Now.Before(t.ejectedTo) || t.spec.Name == need.Exclude {
		return false
	}
	if !t.tuning.Limits {
		return true
	}
	return t.inflight == 0 && t.others < float64(t.capacity()) || t.expected(need.Now)+1 <= t.limit(need.Now)
}

// Outstanding returns the own requests in progress.
func (t *target) Outstanding() int { return t.inflight }

// Finish returns the expected seconds until a request sent now is done.
func (t *target) Finish(need *Need) float64 {
	service := need.Service
	if t.slowness.Count() > 0 {
		service *= max(0.25, t.slowness.Mean())
	}
	service *= t.prefixFactor(need)
	load := t.expected(need.Now) / float64(t.capacity())
	finish := service * (1 + load*load)
	if load >= 1 {
		finish += service * (load - 1)
	}
	return finish + t.distance(need) + t.modelCost(need) + float64(t.failures)*service
}

func (t *target) distance(need *Need) float64 {
	switch {
	case t.spec.Zone == need.Zone:
		return 0
	case t.spec.Zone.Region() == need.Zone.Region():
		return zoneCost
	}
	return regionCost
}

func (t *target) modelCost(need *Need) float64 {
	if need.Model == "" || len(t.models) == 0 || slices.Contains(t.models, need.Model) {
		return 0
	}
	return modelMiss
}

// Preferred tells whether the target is thought to hold the prefix, or is one of its homes.
func (t *target) Preferred(need *Need) bool {
	e := need.entry
	return e != nil && (e.holders.has(t.index) || e.homes.has(t.index))
}

func (t *target) prefixFactor(need *Need) float64 {
	switch e := need.entry; {
	case e == nil:
		return 1
	case e.holders.has(t.index):
		return 1 - need.saving
	case e.homes.has(t.index):
		return 1 - homeBonus*need.saving
	}
	return 1
}

func (t *target) started(now time.Time) {
	t.inflight++
	t.record(now)
}

// ended takes in the fate of an attempt; ratio is observed over expected service time, or 0 if there was no answer.
func (t *target) ended(now time.Time, fate AttemptStatus, ratio float64) {
	t.inflight = max(0, t.inflight-1)
	t.record(now)
	switch fate {
	case StatusDone:
		t.failures = 0
		t.cut = min(1, t.cut+limitGrowth/float64(t.capacity()))
		t.slowness.Add(ratio)
		if now.Sub(t.readmitted) > t.tuning.Readmit {
			t.ejections = 0
		}
	case StatusNotStarted:
		t.cut = max(1/float64(t.capacity()), t.cut*limitCut)
		t.failed(now)
	default:
		t.failed(now)
	}
}

func (t *target) failed(now time.Time) {
	t.failures++
	if t.failures < t.tuning.EjectAfter || t.tuning.EjectAfter == 0 {
		return
	}
	length := t.tuning.EjectFor << min(t.ejections, maxEjections)
	t.ejections++
	t.ejectedTo = now.Add(length)
	t.readmitted = t.ejectedTo
	t.failures = 0
}

func (t *target) report(load proto.Load) {
	if !load.At.After(t.reported) {
		return
	}
	t.reported = load.At
	t.ownThen = t.ownAt(load.At)
	t.others = float64(max(0, load.Running+load.Waiting-t.ownThen))
	if load.Slots > 0 {
		t.slots = load.Slots
	}
	t.models = load.Models
}

// record keeps the own requests in progress for each tenth of a second, so that a late report can be set against its own time.
func (t *target) record(now time.Time) {
	at := now.UnixNano() / int64(historyStep)
	if t.historyAt == 0 || at-t.historyAt > historySlots {
		t.historyAt = at - historySlots
	}
	last := t.history[t.historyAt%historySlots]
	for t.historyAt < at {
		t.historyAt++
		t.history[t.historyAt%historySlots] = last
	}
	t.history[at%historySlots] = uint16(min(t.inflight, math.MaxUint16))
}

func (t *target) ownAt(at time.Time) int {
	step := at.UnixNano() / int64(historyStep)
	switch {
	case step >= t.historyAt:
		return t.inflight
	case step <= t.historyAt-historySlots:
		step = t.historyAt - historySlots + 1
	}
	return int(t.history[step%historySlots])
}
