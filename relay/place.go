package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/sched"
)

const (
	// placementTimeout bounds a call to the owner: a round trip takes a millisecond, and without an answer the daemon chooses alone.
	placementTimeout = 60 * time.Millisecond
	// lateAnswerTimeout is how long a late answer is awaited in order to release its lease.
	lateAnswerTimeout = 2 * time.Second
	// placementTaskPrefix is the prefix of the task of placing the requests of a pool.
	placementTaskPrefix = "place/"
	// maxLeaseAge is how long a placed request is counted if nobody reports how it ended.
	maxLeaseAge = 25 * time.Second
)

// Placer chooses the targets of pools of engines. One daemon, the owner, places the requests of all to a pool or a group of it, so that it
// knows the load of each engine. A daemon that cannot reach it chooses alone.
type Placer struct {
	self  proto.VM
	clock clockwork.Clock
	log   hclog.Logger
	fleet *Fleet
	peers Peers

	// admissions holds the admission state of the groups of engines that this daemon owns, and busyUntil until when requests for a
	// group have to be admitted by its owner, both by the group's key.
	admitMu    sync.Mutex
	admissions map[string]*admissionController
	busyUntil  map[string]time.Time
	// pipelines holds the admission by whole pipelines of those groups. It is used if pipelineAdmission is set.
	pipelines         map[string]*sched.Admission
	pipelineAdmission bool
	// coldLimiter counts the requests of this daemon to cold targets.
	coldLimiter coldSendLimiter
	// permits holds the permits for targets that report a limit.
	permits permits
	// reportedFailures counts the attempts of other daemons that counted against a target here.
	reportedFailures atomic.Int64

	mu        sync.Mutex
	nextLease uint64
	leases    map[uint64]placementLease
}

// placementLease is an attempt that this daemon placed for another.
type placementLease struct {
	target   *Target
	criteria TargetCriteria
	began    bool
	placedAt time.Time
}

// PlacerOption configures a Placer.
type PlacerOption func(*Placer)

// WithPipelineAdmission admits requests by the load of all pools that they pass through, instead of the engines alone.
func WithPipelineAdmission() PlacerOption {
	return func(p *Placer) { p.pipelineAdmission = true }
}

// NewPlacer returns a placer without any placed requests.
func NewPlacer(self proto.VM, clock clockwork.Clock, log hclog.Logger, fleet *Fleet, peers Peers, options ...PlacerOption) *Placer {
	p := &Placer{
		self: self, clock: clock, log: log, fleet: fleet, peers: peers, leases: map[uint64]placementLease{}, coldLimiter: coldSendLimiter{targets: map[string]*coldTarget{}}, permits: newPermits(),
		admissions: map[string]*admissionController{}, busyUntil: map[string]time.Time{}, pipelines: map[string]*sched.Admission{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Placement is a target chosen for an attempt.
type Placement struct {
	Target *Target
	// Spec is the target's entry as of the choice; the entry may change at any time.
	Spec proto.RelayTarget

	placer   *Placer
	pool     string
	criteria TargetCriteria
	owner    proto.VM // another daemon that counts the attempt, or ""
	lease    uint64
	began    bool
	// Cold is set if the target is cold, and counted if the request counts as in flight to it.
	Cold    bool
	counted bool
	// permitted is set if the request is counted within the target's limit.
	permitted bool
	finished  atomic.Bool
}

// Choose returns the target for an attempt, or nil if there is none. The caller must call Finish on it.
func (p *Placer) Choose(ctx context.Context, pool string, w TargetCriteria) *Placement {
	for range max(maxColdPicks, maxLimitPicks) {
		now := p.clock.Now()
		w.AllowedCold, w.AllowedLimited = p.sendableCold(now, pool, w.Rank), p.usableLimited(now, pool)
		placed := p.choose(ctx, pool, w)
		if placed == nil || (!w.AllowedCold[placed.Spec.ID] || p.countCold(now, placed)) && p.permitted(ctx, placed) {
			return placed
		}
		// Other requests have used up what was left for the target.
		placed.Finish(VerdictNone, Load{})
	}
	w.AllowedCold, w.AllowedLimited = nil, nil
	placed := p.choose(ctx, pool, w)
	if placed != nil && !p.permitted(ctx, placed) {
		placed.Finish(VerdictNone, Load{})
		return nil
	}
	return placed
}

// ChooseByID returns a target that handled the request before, for another attempt, or nil if it must not get one now.
// The caller must call Finish on it.
func (p *Placer) ChooseByID(ctx context.Context, pool, id string, w TargetCriteria) *Placement {
	now := p.clock.Now()
	w.AllowedCold, w.AllowedLimited, w.Quota = p.sendableCold(now, pool, w.Rank), p.usableLimited(now, pool), p.brittleQuota(pool)
	t := p.fleet.PickByID(now, pool, id, w)
	if t == nil {
		return nil
	}
	placed := &Placement{Target: t, Spec: p.fleet.Spec(t), placer: p, pool: pool, criteria: w}
	if w.AllowedCold[id] && !p.countCold(now, placed) || !p.permitted(ctx, placed) {
		placed.Finish(VerdictNone, Load{})
		return nil
	}
	return placed
}

func (p *Placer) choose(ctx context.Context, pool string, w TargetCriteria) *Placement {
	w.Quota = p.brittleQuota(pool)
	if w.Engine {
		group := p.groupFor(pool, &w)
		w.Group = group.index
		if owner := p.groupOwner(group); owner != "" && owner != p.self {
			if placed, decided := p.chooseRemotely(ctx, owner, pool, w); decided {
				return placed
			}
			w.AllowedLimited = p.usableLimited(p.clock.Now(), pool)
		}
	}
	t := p.fleet.Pick(p.clock.Now(), pool, w)
	if t == nil {
		return nil
	}
	return &Placement{Target: t, Spec: p.fleet.Spec(t), placer: p, pool: pool, criteria: w}
}

// chooseRemotely asks the owner of the pool. It returns false if this daemon has to choose alone.
func (p *Placer) chooseRemotely(ctx context.Context, owner proto.VM, pool string, w TargetCriteria) (placed *Placement, decided bool) {
	excluded := p.fleet.ExcludedTargets(p.clock.Now(), pool, w.Quota)
	for id := range w.Tried {
		excluded = append(excluded, id)
	}
	a, ok, err := p.ask(ctx, owner, proto.PlaceAsk{
		Pool: pool, Route: w.Route, SharedParts: w.SharedParts, OwnTokens: w.OwnTokens, Zone: w.Zone, InputBytes: w.InputBytes, Excluded: excluded, MaxPause: w.MaxPause,
		Cold: slices.Collect(maps.Keys(w.AllowedCold)), AllowedRegions: w.AllowedRegions, Group: w.Group, Software: w.Software,
	})
	p.recordBusy(engineGroup{pool, w.Group}.key(), a.AdmissionRequired)
	if err == nil && ok && a.AtCapacity {
		return nil, true
	}
	if a.LimitWait > 0 {
		p.recordExhausted(p.clock.Now(), a.LimitWait, p.fleet.limited(pool)...)
	}
	if err != nil || !ok || a.Target == "" {
		p.log.Info("choosing a target alone", "pool", pool, "owner", owner, "error", err, "limitsExhaustedFor", formatDuration(a.LimitWait))
		return nil, false
	}
	p.fleet.SetEngineTimes(pool, a.Times)
	t := p.fleet.PickByID(p.clock.Now(), pool, a.Target, w)
	if t == nil {
		p.peers.Send(owner, proto.PlaceNote{Pool: pool, Lease: a.Lease})
		p.log.Info("choosing a target alone", "pool", pool, "owner", owner, "target", a.Target, "reason", "it is not listed here")
		return nil, false
	}
	return &Placement{Target: t, Spec: p.fleet.Spec(t), placer: p, pool: pool, criteria: w, owner: owner, lease: a.Lease, permitted: a.Permitted}, true
}

// PlacementStats counts what a daemon that places requests learned from others.
type PlacementStats struct {
	// ReportedFailures counts the attempts of other daemons that counted against a target here.
	ReportedFailures int64 `json:"reportedFailures"`
}

// PlacementStats returns the totals since the start.
func (p *Placer) PlacementStats() PlacementStats {
	return PlacementStats{ReportedFailures: p.reportedFailures.Load()}
}

// errLateAnswer means that the owner of a pool has not answered in time.
var errLateAnswer = errors.New("owner did not answer in time")

// ask asks the owner of the pool. A late answer is not used, and the owner is told; otherwise it would count the
// request at the target until the lease expires.
func (p *Placer) ask(ctx context.Context, owner proto.VM, ask proto.PlaceAsk) (a proto.PlaceAnswer, ok bool, err error) {
	type reply struct {
		message proto.Message
		err     error
	}
	replies := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswerTimeout)
		defer cancel()
		m, err := p.peers.Call(ctx, owner, ask)
		replies <- reply{m, err}
	}()
	timer := p.clock.NewTimer(placementTimeout)
	defer timer.Stop()
	select {
	case r := <-replies:
		a, ok = r.message.(proto.PlaceAnswer)
		return a, ok, r.err
	case <-timer.Chan():
		err = errLateAnswer
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		if late, ok := (<-replies).message.(proto.PlaceAnswer); ok && late.Target != "" {
			p.peers.Send(owner, proto.PlaceNote{Pool: ask.Pool, Lease: late.Lease})
		}
	}()
	return a, false, err
}

// RecordResponseStart records that the target has read the prompt.
func (p *Placement) RecordResponseStart() {
	p.began = true
	p.arrived()
	p.placer.fleet.RecordResponseStart(p.placer.clock.Now(), p.Target, p.criteria)
	if p.owner != "" {
		p.placer.peers.Send(p.owner, proto.PlaceNote{Pool: p.pool, Lease: p.lease, PromptRead: true})
	}
}

// HasAlternative reports whether, as far as this daemon knows, a request could go to a target that did not get it yet.
func (p *Placer) HasAlternative(pool string, w TargetCriteria) bool {
	now := p.clock.Now()
	w.AllowedCold, w.AllowedLimited = p.sendableCold(now, pool, w.Rank), p.usableLimited(now, pool)
	return p.fleet.HasTarget(now, pool, w)
}

// ReportSlow records that the attempt takes longer than expected, so that other requests avoid the target.
func (p *Placement) ReportSlow() {
	if p.finished.Load() {
		return
	}
	p.placer.fleet.ReportSlow(p.placer.clock.Now(), p.Target)
	if p.owner != "" {
		p.placer.peers.Send(p.owner, proto.PlaceNote{Pool: p.pool, Lease: p.lease, Late: true})
	}
}

// Finish records how the attempt ended.
func (p *Placement) Finish(v HealthVerdict, load Load) {
	p.finished.Store(true)
	p.arrived()
	p.placer.fleet.FinishAttempt(p.placer.clock.Now(), p.Target, p.criteria, p.began, v, load)
	if v == VerdictUnreached {
		// Only this daemon's link may have failed.
		v = VerdictNone
	}
	if p.owner != "" {
		p.placer.peers.Send(p.owner, proto.PlaceNote{Pool: p.pool, Lease: p.lease, Verdict: uint8(v)})
	}
}

// HandlePlaceAsk chooses a target for another daemon.
func (p *Placer) HandlePlaceAsk(ask proto.PlaceAsk) proto.PlaceAnswer {
	now := p.clock.Now()
	w := TargetCriteria{Route: ask.Route, SharedParts: ask.SharedParts, OwnTokens: ask.OwnTokens, Zone: ask.Zone, InputBytes: ask.InputBytes, MaxPause: ask.MaxPause, AllowedRegions: ask.AllowedRegions, Software: ask.Software, Engine: true, Group: ask.Group, ForPeer: true, Tried: map[string]bool{}, AllowedCold: map[string]bool{}}
	for _, id := range ask.Excluded {
		w.Tried[id] = true
	}
	for _, id := range ask.Cold {
		w.AllowedCold[id] = true
	}
	busy := p.isBusy(now, engineGroup{ask.Pool, ask.Group})
	t, permitted := p.pickForPeer(now, ask.Pool, w)
	if t == nil {
		in, _ := p.limitWait(ask.Pool)
		return proto.PlaceAnswer{AtCapacity: p.fleet.AtCapacity(now, ask.Pool), LimitWait: in, AdmissionRequired: busy}
	}
	id, times := p.fleet.Spec(t).ID, p.fleet.EngineTimes(ask.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	p.leases[p.nextLease] = placementLease{target: t, criteria: w, placedAt: now}
	return proto.PlaceAnswer{Target: id, Lease: p.nextLease, Times: times, AdmissionRequired: busy, Permitted: permitted}
}

// pickForPeer picks a target for another daemon, and counts the request within the target's limit if it reports one.
func (p *Placer) pickForPeer(now time.Time, pool string, w TargetCriteria) (t *Target, permitted bool) {
	for range maxLimitPicks {
		w.AllowedLimited = p.usableLimited(now, pool)
		t = p.fleet.Pick(now, pool, w)
		if t == nil {
			return nil, false
		}
		n, limited := p.fleet.limitOf(t)
		if !limited {
			return t, false
		}
		if p.grant(now, pool, &n, "").Granted {
			return t, true
		}
		p.fleet.FinishAttempt(now, t, w, false, VerdictNone, Load{})
	}
	return nil, false
}

// HandlePlaceNote records the progress of an attempt that was placed for another daemon.
func (p *Placer) HandlePlaceNote(from proto.VM, n proto.PlaceNote) {
	p.mu.Lock()
	lease, ok := p.leases[n.Lease]
	switch {
	case ok && n.PromptRead:
		lease.began = true
		p.leases[n.Lease] = lease
	case !n.Late:
		delete(p.leases, n.Lease)
	}
	p.mu.Unlock()
	switch {
	case !ok:
	case n.Late:
		p.fleet.ReportSlow(p.clock.Now(), lease.target)
		p.recordReport(from, lease.target, "late")
	case n.PromptRead:
		p.fleet.RecordResponseStart(p.clock.Now(), lease.target, lease.criteria)
	default:
		p.fleet.FinishAttempt(p.clock.Now(), lease.target, lease.criteria, lease.began, HealthVerdict(n.Verdict), Load{})
		if HealthVerdict(n.Verdict) == VerdictFailure {
			p.recordReport(from, lease.target, "failed")
		}
	}
}

// recordReport logs and counts that another daemon's attempt at a target counts against the target here.
func (p *Placer) recordReport(from proto.VM, t *Target, outcome string) {
	p.reportedFailures.Add(1)
	spec := p.fleet.Spec(t)
	failures, ejectedFor := p.fleet.ejection(p.clock.Now(), t)
	p.log.Info("another daemon's attempt counts against a target", "target", spec.ID, "pool", spec.Pool, "by", from, "outcome", outcome, "failures", failures, "ejectedFor", formatDuration(ejectedFor))
}

// Sweep ends expired leases and removes state that is no longer used; it is called several times a second.
func (p *Placer) Sweep() {
	now := p.clock.Now()
	p.coldLimiter.sweep(now)
	p.permits.sweep(now)
	p.sweepAdmissions(now)
	p.mu.Lock()
	var expired []placementLease
	for id, l := range p.leases {
		if now.Sub(l.placedAt) > maxLeaseAge {
			expired = append(expired, l)
			delete(p.leases, id)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(expired, func(a, b placementLease) int { return a.placedAt.Compare(b.placedAt) })
	for _, l := range expired {
		p.fleet.FinishAttempt(now, l.target, l.criteria, l.began, VerdictNone, Load{})
	}
}
