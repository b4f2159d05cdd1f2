package relay

import (
	"time"

	"emberlead/proto"
	"emberlead/sched"
)

// admitStages returns the stages of the request for the daemon that decides on its admission.
func (f *flow) admitStages() []proto.AdmitStage {
	var stages []proto.AdmitStage
	pools := f.server.tables.Current().Routing().Pools
	for i := range f.route.Stages {
		stage := &f.route.Stages[i]
		spec := pools[stage.Pool]
		if f.pieceCount(i) == 0 || spec == nil || spec.Batch == nil {
			continue
		}
		load, age, known := f.server.pieces.StageLoad(stage.Pool, stage.ResultBytes)
		if !known {
			age = queueReportLifetime
		}
		stages = append(stages, proto.AdmitStage{
			Pool: stage.Pool, Capacity: load.Capacity, QueueDelay: load.QueueDelay, Cost: time.Duration(f.pieceCount(i)) * load.PieceCost, Age: age,
			IntendedQueue: f.intendedQueue(time.Duration(spec.Batch.MaxPieces) * load.PieceCost),
		})
	}
	return stages
}

// minIntendedQueue is the shortest intended queue of a stage: reports on queues are about as old when they are used.
const minIntendedQueue = 100 * time.Millisecond

// intendedQueue returns how long work should wait in each stage of the request while it is busy: for a full call, since
// batches are filled from the queue, or less if the latency goal leaves less.
func (f *flow) intendedQueue(fullCall time.Duration) time.Duration {
	calls, depth := f.longestStages(-1)
	spare := f.due.Sub(f.startedAt) - calls - f.timeToFirstEvent()
	return max(minIntendedQueue, min(fullCall, spare/time.Duration(max(1, depth))))
}

// longestStages returns the time of the calls of the stages that follow a stage, without queues, and how many follow each
// other. For -1 it is those of all stages.
func (f *flow) longestStages(after int) (calls time.Duration, depth int) {
	for i := range f.route.Stages {
		dependsOn := f.route.Stages[i].DependsOn
		if f.pieceCount(i) == 0 || after < 0 && len(dependsOn) > 0 || after >= 0 && !contains(dependsOn, after) {
			continue
		}
		rest, deeper := f.longestStages(i)
		calls = max(calls, f.server.callTimes.mean(f.route.Stages[i].Pool, f.stageCallTime(i))+rest)
		depth = max(depth, deeper+1)
	}
	return calls, depth
}

// recordAdmission counts the decision of a daemon on the admission of a request.
func (f *flow) recordAdmission(answer *proto.AdmitAnswer) {
	counts := &f.server.counts
	switch {
	case !answer.Refused:
		counts.admitted.Add(1)
	case answer.LimitedByStage:
		counts.notAdmittedByStage.Add(1)
	default:
		counts.notAdmittedByEngines.Add(1)
	}
}

// stagesBusy reports whether a stage of a request has a queue that needs a decision on admission.
func stagesBusy(ask *proto.AdmitAsk) bool {
	for i := range ask.Stages {
		if sched.IsBusy(ask.Stages[i].QueueDelay, ask.Stages[i].IntendedQueue) {
			return true
		}
	}
	return false
}

// decidePipeline decides on a request by the load of all pools that it passes through. The admission state is locked.
func (p *Placer) decidePipeline(now time.Time, group string, load engineLoad, ask *proto.AdmitAsk, tokens float64) proto.AdmitAnswer {
	engines, a := p.admissionFor(group), p.pipelineFor(group)
	busy := p.observeEngines(now, engines, load)
	rate := engines.rate(load)
	a.ObservePool(group, sched.PoolLoad{Kind: sched.KindEngines, Capacity: load.readRate, Rate: rate, Queue: load.queueTime(), Intended: load.targetQueueTime()}, now)
	request := sched.Request{
		Class:  sched.Class{Rank: max(0, ask.Rank), Workspace: ask.Workspace, Route: ask.Route},
		Digest: ask.Digest, Seed: ask.Seed, Slack: ask.Slack, Costs: []sched.Cost{{Pool: group, Work: tokens}},
	}
	for i := range ask.Stages {
		s := &ask.Stages[i]
		a.ObservePool(s.Pool, sched.PoolLoad{Kind: sched.KindStage, Capacity: s.Capacity, Queue: s.QueueDelay, Intended: s.IntendedQueue}, now.Add(-s.Age))
		request.Costs = append(request.Costs, sched.Cost{Pool: s.Pool, Work: s.Cost.Seconds()})
	}
	d := a.Decide(now, &request, minRetryWait)
	return proto.AdmitAnswer{
		Refused: d.Refused, RetryAfter: d.RetryAfter, QueueDelay: load.queueTime(), Engines: load.usable, TokenRate: rate, AdmittedShare: d.Share,
		AdmissionRequired: busy || a.Busy(now), LimitingPool: d.Tightest, LimitedByStage: d.Kind == sched.KindStage, LimitingQueue: d.Queue,
	}
}

// observeEngines records the load of a group of engines and reports whether admission control is on for it.
func (p *Placer) observeEngines(now time.Time, a *admissionController, load engineLoad) bool {
	if p.pipelineAdmission {
		a.excludeClosed(load)
	}
	return a.observe(now, load)
}

func (p *Placer) pipelineFor(group string) *sched.Admission {
	a := p.pipelines[group]
	if a == nil {
		a = sched.NewAdmission()
		p.pipelines[group] = a
	}
	return a
}
