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
	historySize          = 32
	historyInterval      = 100 * time.Millisecond
	defaultSlots         = 4
	minLimit             = 1.0
	reportMaxAge         = 2 * time.Second
	staleHalfLife        = 2 * time.Second
	zoneCost             = 0.002 // seconds, round trip to another zone
	regionCost           = 0.060 // seconds, round trip to another region
	maxEjectionDoublings = 6
	limitGrowth          = 0.05
	limitBackoff         = 0.85
	modelLoadCost        = 1.0 // seconds that loading a model adds to a request
)

// target is a target of a pool as this daemon sees it. It is guarded by the lock of the pool.
type target struct {
	spec     proto.Target
	hash     uint64
	index    int
	leaving  bool
	stopAt   time.Time // time of the planned stop, or zero
	removed  bool
	inflight int

	othersInflight float64 // requests of other daemons as of the last report
	reportedAt     time.Time
	ownAtReport    int
	slots          int
	models         []string
	limitFactor    float64 // factor of at most 1, learned from refusals

	failures     int
	ejections    int
	ejectedUntil time.Time
	readmittedAt time.Time
	slowness     state.Mean // ratio of observed to expected service time

	history   [historySize]uint16
	historyAt int64
	tuning    *Tuning
}

func newTarget(spec proto.Target, tuning *Tuning) *target {
	return &target{
		spec:        spec,
		hash:        xxhash.Sum64String(spec.Name),
		slots:       spec.Slots,
		limitFactor: 1,
		tuning:      tuning,
	}
}

func (t *target) capacity() int {
	if t.slots > 0 {
		return t.slots
	}
	return defaultSlots
}

// limit returns how many requests of all daemons the target should have at a time.
func (t *target) limit(now time.Time) float64 {
	limit := float64(t.capacity()) * t.tuning.Overcommit * t.limitFactor
	if !t.readmittedAt.IsZero() {
		since := now.Sub(t.readmittedAt)
		if since < t.tuning.RampUpTime {
			limit *= 0.1 + 0.9*float64(since)/float64(t.tuning.RampUpTime)
		}
	}
	return max(minLimit, limit)
}

// expected estimates the current number of requests of all daemons at the target.
func (t *target) expected(now time.Time) float64 {
	othersInflight := t.othersInflight
	if age := now.Sub(t.reportedAt); age > reportMaxAge {
		othersInflight *= math.Exp2(-float64(age-reportMaxAge) / float64(staleHalfLife))
	} else if t.ownAtReport > 0 {
		growth := float64(t.inflight-t.ownAtReport) / float64(t.ownAtReport)
		othersInflight *= max(0, 1+t.tuning.PeerCorrelation*min(1, growth))
	}
	return othersInflight + float64(t.inflight)
}

// Available reports whether the target may take one more request.
func (t *target) Available(need *Need) bool {
	if t.leaving || t.removed || !t.stopAt.IsZero() && need.Deadline.After(t.stopAt) || need.Now.Before(t.ejectedUntil) || t.spec.Name == need.Exclude {
		return false
	}
	if !t.tuning.Limits {
		return true
	}
	return t.inflight == 0 && t.othersInflight < float64(t.capacity()) || t.expected(need.Now)+1 <= t.limit(need.Now)
}

// Outstanding returns the number of this daemon's requests in progress.
func (t *target) Outstanding() int { return t.inflight }

// ExpectedFinish returns the expected seconds until a request sent now is done.
func (t *target) ExpectedFinish(need *Need) float64 {
	service := need.ServiceTime
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
	return modelLoadCost
}

// Preferred reports whether the target is believed to hold the prefix or is a preferred target for it.
func (t *target) Preferred(need *Need) bool {
	e := need.entry
	return e != nil && (e.holders.has(t.index) || e.preferred.has(t.index))
}

func (t *target) prefixFactor(need *Need) float64 {
	switch e := need.entry; {
	case e == nil:
		return 1
	case e.holders.has(t.index):
		return 1 - need.saving
	case e.preferred.has(t.index):
		return 1 - preferredBonus*need.saving
	}
	return 1
}

func (t *target) recordStart(now time.Time) {
	t.inflight++
	t.record(now)
}

// attemptEnded records the end of an attempt. ratio is observed over expected service time, or 0 if there was no answer.
func (t *target) attemptEnded(now time.Time, status AttemptStatus, ratio float64) {
	t.inflight = max(0, t.inflight-1)
	t.record(now)
	switch status {
	case StatusDone:
		t.failures = 0
		t.limitFactor = min(1, t.limitFactor+limitGrowth/float64(t.capacity()))
		t.slowness.Add(ratio)
		if now.Sub(t.readmittedAt) > t.tuning.RampUpTime {
			t.ejections = 0
		}
	case StatusNotStarted:
		t.limitFactor = max(1/float64(t.capacity()), t.limitFactor*limitBackoff)
		t.recordFailure(now)
	default:
		t.recordFailure(now)
	}
}

func (t *target) recordFailure(now time.Time) {
	t.failures++
	if t.failures < t.tuning.EjectAfter || t.tuning.EjectAfter == 0 {
		return
	}
	length := t.tuning.EjectionTime << min(t.ejections, maxEjectionDoublings)
	t.ejections++
	t.ejectedUntil = now.Add(length)
	t.readmittedAt = t.ejectedUntil
	t.failures = 0
}

func (t *target) recordLoad(load proto.Load) {
	if !load.At.After(t.reportedAt) {
		return
	}
	t.reportedAt = load.At
	t.ownAtReport = t.ownAt(load.At)
	t.othersInflight = float64(max(0, load.Running+load.Waiting-t.ownAtReport))
	if load.Slots > 0 {
		t.slots = load.Slots
	}
	t.models = load.Models
}

// record stores the number of own requests in progress for each tenth of a second, so that a late load report can be
// compared with the state at its own time.
func (t *target) record(now time.Time) {
	at := now.UnixNano() / int64(historyInterval)
	if t.historyAt == 0 || at-t.historyAt > historySize {
		t.historyAt = at - historySize
	}
	last := t.history[t.historyAt%historySize]
	for t.historyAt < at {
		t.historyAt++
		t.history[t.historyAt%historySize] = last
	}
	t.history[at%historySize] = uint16(min(t.inflight, math.MaxUint16))
}

func (t *target) ownAt(at time.Time) int {
	step := at.UnixNano() / int64(historyInterval)
	switch {
	case step >= t.historyAt:
		return t.inflight
	case step <= t.historyAt-historySize:
		step = t.historyAt - historySize + 1
	}
	return int(t.history[step%historySize])
}
