package relay

import (
	"context"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// admit asks whether a request for a pool of engines may start while these are busy. What they cannot handle in time is
// refused before any work is done for it.
func (f *flow) admit(ctx context.Context) *failure {
	if f.poolSpec.Engine == nil || f.req.After > 0 {
		// The caller has a part of the stream, and would lose it if the rest were refused.
		return nil
	}
	stagesTime := f.timeToEngine()
	ask := proto.AdmitAsk{
		Pool: f.pool, Route: f.route.Name, Digest: f.digest, Seed: state.Hash(f.req.ID), Rank: f.rank, OwnTokens: f.criteria().OwnTokens,
		Slack: f.due.Sub(f.server.clock.Now()) - stagesTime - f.timeToFirstEvent(),
	}
	criteria := f.criteria()
	ask.Group = f.server.placer.groupFor(f.pool, &criteria).index
	pipeline := f.server.placer.pipelineAdmission
	if pipeline {
		ask.Workspace, ask.Stages = f.workspace, f.admitStages()
	}
	answer, owner := f.server.placer.Admit(ctx, ask)
	if pipeline && owner != "" {
		f.recordAdmission(&answer)
	}
	if !answer.Refused {
		return nil
	}
	f.server.counts.notAdmitted.Add(1)
	f.logInfo("request not admitted", "pool", f.pool, "by", owner, "queue", formatDuration(answer.QueueDelay), "share", answer.AdmittedShare, "slack", formatDuration(ask.Slack), "rank", f.rank,
		"engines", answer.Engines, "tokensPerSecond", int(answer.TokenRate), "workspace", f.workspace, "tightest", answer.LimitingPool, "tightestQueue", formatDuration(answer.LimitingQueue))
	reason, kind := "the pool's engines have too much to read for the request to be in time", refusedEnginesBusy
	if answer.LimitedByStage {
		reason, kind = "stage "+answer.LimitingPool+": the pool has too much to do for the request to be in time", refusedStageQueue
	}
	return f.notRunFailure(min(answer.RetryAfter, max(minRetryWait, f.firstEventTimeLeft()/retryAfterDivisor)), reason).as(kind)
}

// timeToEngine returns the average time that the stages of the request take, including their queues.
func (f *flow) timeToEngine() time.Duration {
	longest := time.Duration(0)
	for i := range f.route.Stages {
		if f.pieceCount(i) > 0 && len(f.route.Stages[i].DependsOn) == 0 {
			longest = max(longest, f.averageTimeFrom(i))
		}
	}
	return longest
}

// averageTimeFrom returns the average time that a stage and the stages that depend on it take, including their queues.
func (f *flow) averageTimeFrom(stage int) time.Duration {
	rest := time.Duration(0)
	for i := range f.route.Stages {
		if f.pieceCount(i) > 0 && contains(f.route.Stages[i].DependsOn, stage) {
			rest = max(rest, f.averageTimeFrom(i))
		}
	}
	pool := f.route.Stages[stage].Pool
	return f.server.pieces.QueueDelay(pool, f.rank) + f.server.callTimes.mean(pool, f.stageCallTime(stage)) + rest
}

// Admit returns whether to start a request, and the daemon that decided: the owner of the pool's placement. The owner
// is not asked while the pool is not busy. Without its answer the request is admitted.
func (p *Placer) Admit(ctx context.Context, ask proto.AdmitAsk) (proto.AdmitAnswer, proto.VM) {
	group := engineGroup{ask.Pool, ask.Group}
	owner := p.groupOwner(group)
	if owner == "" || owner == p.self {
		if !p.isBusy(p.clock.Now(), group) && !stagesBusy(&ask) {
			return proto.AdmitAnswer{}, ""
		}
		return p.DecideAdmission(ask), p.self
	}
	if !p.reportedBusy(group.key()) && !stagesBusy(&ask) {
		return proto.AdmitAnswer{}, ""
	}
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	m, err := p.peers.Call(ctx, owner, ask)
	answer, ok := m.(proto.AdmitAnswer)
	if err != nil || !ok {
		p.log.Info("the owner of the pool did not answer; admitting the request without a decision", "pool", ask.Pool, "owner", owner, "error", err)
		return proto.AdmitAnswer{}, ""
	}
	p.recordBusy(group.key(), answer.AdmissionRequired)
	return answer, owner
}

// DecideAdmission decides whether to start a request. It runs on the owner of the pool's placement.
func (p *Placer) DecideAdmission(ask proto.AdmitAsk) proto.AdmitAnswer {
	now := p.clock.Now()
	group := engineGroup{ask.Pool, ask.Group}
	load := p.fleet.engineLoad(now, group)
	tokens := float64(ask.OwnTokens) + p.fleet.missingTokens(now, ask.Pool, ask.Route)
	p.admitMu.Lock()
	defer p.admitMu.Unlock()
	if p.pipelineAdmission {
		return p.decidePipeline(now, group.key(), load, &ask, tokens)
	}
	a := p.admissionFor(group.key())
	busy := a.observe(now, load)
	answer := a.decide(now, load, &ask, tokens)
	answer.AdmissionRequired = busy
	return answer
}

func (p *Placer) admissionFor(group string) *admissionController {
	a := p.admissions[group]
	if a == nil {
		a = newAdmissionController()
		p.admissions[group] = a
	}
	return a
}

// isBusy reports whether admission control is on for a group that this daemon owns.
func (p *Placer) isBusy(now time.Time, group engineGroup) bool {
	load := p.fleet.engineLoad(now, group)
	p.admitMu.Lock()
	defer p.admitMu.Unlock()
	busy := p.observeEngines(now, p.admissionFor(group.key()), load)
	return busy || p.pipelineAdmission && p.pipelineFor(group.key()).Busy(now)
}

// recordBusy records that the owner of a group reported it as busy.
func (p *Placer) recordBusy(group string, busy bool) {
	if !busy {
		return
	}
	p.admitMu.Lock()
	defer p.admitMu.Unlock()
	p.busyUntil[group] = p.clock.Now().Add(busyDuration)
}

func (p *Placer) reportedBusy(group string) bool {
	p.admitMu.Lock()
	defer p.admitMu.Unlock()
	return p.clock.Now().Before(p.busyUntil[group])
}

func (p *Placer) sweepAdmissions(now time.Time) {
	p.admitMu.Lock()
	defer p.admitMu.Unlock()
	for _, a := range p.admissions {
		a.refused.Sweep(now)
	}
	for _, a := range p.pipelines {
		a.Sweep(now)
	}
}
