package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

const (
	// maxRebuilds is how many times the stages of a request are run again after a result was lost.
	maxRebuilds = 2
	// initialFirstEventTime is the upper bound of the time to an engine's first event, including waiting, before any
	// was observed for the route.
	initialFirstEventTime = 300 * time.Millisecond
	// retryAfterCalls is the minimum Retry-After in call times: a queue that is too long takes a few calls to drain.
	// retrySpreadCalls is over how many call times callers that were refused together are spread.
	retryAfterCalls  = 4
	retrySpreadCalls = 3
	// retryAfterDivisor divides the remaining time of callers: they wait for that fraction at most.
	retryAfterDivisor = 3
	// expectedFill is the fill level of a call that is assumed for a stage's expected call time.
	expectedFill = 0.7
)

// stageResult is the state of one stage of a request.
type stageResult struct {
	requested, done, freed bool
	handles                []string
	zone                   string
	bytes                  int
	// shard is the shard of the stage's pool that produced the results.
	shard int
	// expiresAt is when the first of the results expires; zero if results do not expire.
	expiresAt time.Time
}

type stageOutcome struct {
	stage  int
	answer proto.PiecesAnswer
	took   time.Duration
}

// stageLogEntry describes in the log where a stage's time was spent.
type stageLogEntry struct {
	Stage   int    `json:"stage"`
	Pool    string `json:"pool"`
	Outcome string `json:"fate"`
	// QueuedFor and CallTime are reported by the daemon that batches for the pool. Took is the total time until its answer.
	QueuedFor string `json:"queued"`
	CallTime  string `json:"made"`
	Took      string `json:"took"`
}

func (f *flow) pieceCount(stage int) int {
	if stage >= len(f.req.Pieces) {
		return 0
	}
	return f.req.Pieces[stage]
}

// preferredZone returns the zone of the engine that will probably get the request, or "".
func (f *flow) preferredZone() string {
	criteria := f.criteria()
	criteria.Group = f.server.placer.groupFor(f.pool, &criteria).index
	return f.server.fleet.PreferredZone(f.server.clock.Now(), f.pool, criteria)
}

// closedStagePool returns the pool of a stage that no target may work for, so that the other stages are not run in vain.
func (f *flow) closedStagePool() (pool string, closed bool) {
	for i := range f.route.Stages {
		pool := f.route.Stages[i].Pool
		if f.pieceCount(i) > 0 && f.server.fleet.OpenCount(pool, f.allowedRegions) == 0 {
			return pool, true
		}
	}
	return "", false
}

// runStages runs all stages that the request does not skip, each as soon as its dependencies are done. lost is set if a
// result was lost, so that the stages may be run again.
func (f *flow) runStages(ctx context.Context) (fail *failure, lost bool) {
	f.inputHandles, f.inputZone, f.inputBytes, f.inputsMissing = nil, "", 0, true
	homeZone := f.preferredZone()
	stages := f.route.Stages
	f.stageResults = make([]stageResult, len(stages))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan stageOutcome, len(stages))
	pending := f.startStages(ctx, outcomes, homeZone)
	for pending > 0 {
		outcome := <-outcomes
		pending--
		f.recordStage(outcome)
		f.recordFreed(outcome)
		if outcome.answer.Outcome != proto.PiecesDone {
			cancel()
			f.collectRest(outcomes, pending)
			return f.stageFailure(outcome), outcome.answer.Outcome == proto.PiecesLost
		}
		f.completeStage(outcome)
		if fail := f.refuseNextStages(); fail != nil {
			cancel()
			f.collectRest(outcomes, pending)
			return fail, false
		}
		pending += f.startStages(ctx, outcomes, homeZone)
	}
	f.collectInputs()
	f.inputsMissing = false
	return nil, false
}

// completeStage records the results of a stage, and frees those that its own readers no longer need.
func (f *flow) completeStage(outcome stageOutcome) {
	stage := &f.route.Stages[outcome.stage]
	f.server.callTimes.observe(stage.Pool, f.stageCallTime(outcome.stage), outcome.answer.CallTime)
	r := &f.stageResults[outcome.stage]
	r.done, r.handles, r.zone, r.shard = true, outcome.answer.Handles, outcome.answer.Zone, outcome.answer.Shard
	r.expiresAt = f.resultsExpireAt(outcome.stage, outcome.answer.ResultAge)
	r.bytes = stage.ResultBytes * len(r.handles)
	f.freeConsumed()
}

// collectRest collects the results of the remaining stages, so that they are freed too.
func (f *flow) collectRest(outcomes chan stageOutcome, pending int) {
	for ; pending > 0; pending-- {
		outcome := <-outcomes
		f.recordStage(outcome)
		f.recordFreed(outcome)
		if outcome.answer.Outcome == proto.PiecesDone {
			r := &f.stageResults[outcome.stage]
			r.done, r.handles, r.shard = true, outcome.answer.Handles, outcome.answer.Shard
		}
	}
}

func (f *flow) stageFailure(outcome stageOutcome) *failure {
	pool := f.route.Stages[outcome.stage].Pool
	if fail := f.refuseCrashing(); fail != nil {
		return fail
	}
	f.logInfo("a stage failed", "stage", outcome.stage, "pool", pool, "fate", outcome.answer.Outcome.String(), "wait", formatDuration(outcome.answer.RetryAfter), "detail", outcome.answer.Detail)
	return f.notRunFailure(f.queueRetryAfter(f.stageCallTime(outcome.stage), outcome.answer.RetryAfter), "stage "+pool+": "+outcome.answer.Detail).as(stageRefusalKind(outcome))
}

// queueRetryAfter returns when a caller refused for a queue should come back: once the queue has drained, spread so
// that not all come back together. Callers wait for a third of their time at most. callTime is that of the pool.
func (f *flow) queueRetryAfter(callTime, queueDelay time.Duration) time.Duration {
	spread := time.Duration(0)
	if callTime > 0 {
		spread = time.Duration(xxhash.Sum64String(f.req.ID) % uint64(retrySpreadCalls*callTime))
	}
	wait := max(retryAfterCalls*callTime, 2*queueDelay) + spread
	return max(minRetryWait, min(wait, f.firstEventTimeLeft()/retryAfterDivisor))
}

// startStages starts the stages whose dependencies are done, and returns how many it started.
func (f *flow) startStages(ctx context.Context, outcomes chan stageOutcome, homeZone string) int {
	started := 0
	// Once a stream has started, refusing its stages would break it off.
	noWorkDone := !f.anyStageDone() && !f.committed
	for i := range f.route.Stages {
		if !f.canStart(i) {
			continue
		}
		f.stageResults[i].requested = true
		started++
		f.recordFirstSend()
		ask := f.newPiecesAsk(i, noWorkDone, homeZone)
		due, deadline := f.stageTimes(i, noWorkDone)
		go func() { outcomes <- f.runStage(ctx, ask, due, deadline) }()
	}
	return started
}

// canStart reports whether a stage should be requested now.
func (f *flow) canStart(stage int) bool {
	return !f.stageResults[stage].requested && f.pieceCount(stage) > 0 && f.dependenciesDone(stage) && !f.canDefer(stage)
}

// stageTimes returns when a stage must end for the request to be in time, and when its result becomes useless.
func (f *flow) stageTimes(stage int, noWorkDone bool) (due, deadline time.Time) {
	due = f.due.Add(-f.remainingTimeAfter(stage, false))
	if !noWorkDone {
		return due, f.firstEventDeadline().Add(-f.timeToFirstEvent() / 2)
	}
	// A request without time for the later stages should be refused before anything has run.
	late := f.server.clock.Now().Add(f.stageCallTime(stage)).After(due)
	return due, f.firstEventDeadline().Add(-f.remainingTimeAfter(stage, late))
}

func (f *flow) runStage(ctx context.Context, ask proto.PiecesAsk, due, deadline time.Time) stageOutcome {
	clock := f.server.clock
	startedAt := clock.Now()
	answer := f.server.pieces.Run(ctx, ask, due, deadline)
	return stageOutcome{stage: ask.Stage, answer: answer, took: clock.Now().Sub(startedAt)}
}

func (f *flow) recordStage(outcome stageOutcome) {
	f.stageLog = append(f.stageLog, stageLogEntry{
		Stage: outcome.stage, Pool: f.route.Stages[outcome.stage].Pool, Outcome: outcome.answer.Outcome.String(),
		QueuedFor: formatDuration(outcome.answer.QueuedFor), CallTime: formatDuration(outcome.answer.CallTime), Took: formatDuration(outcome.took),
	})
}

// canDefer reports whether a stage with large results should run later: only the request itself needs them, and until
// it runs they occupy space that others need.
func (f *flow) canDefer(stage int) bool {
	if !f.isFinalStage(stage) || f.route.Stages[stage].ResultBytes*f.pieceCount(stage) < minBulkInputBytes {
		return false
	}
	for i := range f.route.Stages {
		if i != stage && f.pieceCount(i) > 0 && !f.stageResults[i].requested && !(f.isFinalStage(i) && f.dependenciesDone(i)) {
			return true
		}
	}
	return false
}

func (f *flow) anyStageDone() bool {
	for i := range f.stageResults {
		if f.stageResults[i].done {
			return true
		}
	}
	return false
}

func (f *flow) dependenciesDone(stage int) bool {
	for _, dependency := range f.route.Stages[stage].DependsOn {
		if f.pieceCount(dependency) > 0 && !f.stageResults[dependency].done {
			return false
		}
	}
	return true
}

// newPiecesAsk returns the message for a stage. homeZone is the zone of the target that will probably get the request.
func (f *flow) newPiecesAsk(stage int, noWorkDone bool, homeZone string) proto.PiecesAsk {
	spec := &f.route.Stages[stage]
	ask := proto.PiecesAsk{
		Pool: spec.Pool, RequestID: f.req.ID, Stage: stage, Pieces: f.pieceCount(stage), Rank: f.rank,
		ResultBytes: spec.ResultBytes, NoWorkDone: noWorkDone, AnswerStarted: f.committed, LatencyGoal: f.due.Sub(f.startedAt), Digest: f.digest, AllowedRegions: f.allowedRegions,
	}
	largest := 0
	now := f.server.clock.Now()
	for _, dependency := range spec.DependsOn {
		r := &f.stageResults[dependency]
		if live := max(1, r.expiresAt.Sub(now)); !r.expiresAt.IsZero() && (ask.InputsLiveFor == 0 || live < ask.InputsLiveFor) {
			ask.InputsLiveFor = live
		}
		ask.Inputs = append(ask.Inputs, r.handles...)
		if r.bytes > largest {
			largest, ask.Zone = r.bytes, r.zone
		}
	}
	if len(spec.DependsOn) == 1 && f.isOnlyReader(stage, spec.DependsOn[0]) {
		ask.InputPool, ask.InputShard = f.route.Stages[spec.DependsOn[0]].Pool, f.stageResults[spec.DependsOn[0]].shard
	}
	if largest*ask.Pieces < minBulkInputBytes {
		ask.Zone = ""
	}
	if ask.Zone == "" && f.isFinalStage(stage) && spec.ResultBytes*ask.Pieces >= minBulkInputBytes {
		ask.Zone = homeZone
	}
	if len(spec.DependsOn) == 0 {
		ask.Key = f.req.PieceKey
	}
	return ask
}

// isOnlyReader reports whether no other stage of the request reads the results of a dependency.
func (f *flow) isOnlyReader(stage, dependency int) bool {
	for i := range f.route.Stages {
		if i != stage && f.pieceCount(i) > 0 && contains(f.route.Stages[i].DependsOn, dependency) {
			return false
		}
	}
	return true
}

// remainingTimeAfter returns the expected time from the end of a stage to the first event, with the queues of the later
// stages, which are longer for late requests. A request that would get stuck there should be refused before anything has run.
func (f *flow) remainingTimeAfter(stage int, late bool) time.Duration {
	longest := time.Duration(0)
	for i := range f.route.Stages {
		if f.pieceCount(i) == 0 || !contains(f.route.Stages[i].DependsOn, stage) {
			continue
		}
		queue := f.stageQueue(f.route.Stages[i].Pool, late)
		longest = max(longest, queue+f.stageCallTime(i)+f.remainingTimeAfter(i, late))
	}
	if longest == 0 {
		return f.timeToFirstEvent()
	}
	return longest
}

// stageCallTime returns the upper bound of the duration of a stage's calls: by the configuration, for a nearly full
// call, until calls are observed.
func (f *flow) stageCallTime(stage int) time.Duration {
	pool := f.route.Stages[stage].Pool
	spec := f.server.tables.Current().Routing().Pools[pool]
	if spec == nil || spec.Batch == nil {
		return 0
	}
	configured := spec.Batch.CallCost + time.Duration(expectedFill*float64(spec.Batch.MaxPieces)*float64(spec.Batch.PieceCost))
	return f.server.callTimes.upperBound(pool, configured)
}

// timeToFirstEvent returns the upper bound of the time to the first event once the stages are done: that of the route
// without the reading of the private parts of prompts, plus the time to read this one's.
func (f *flow) timeToFirstEvent() time.Duration {
	return f.server.firstEventTimes.upperBound(f.route.Name, initialFirstEventTime) + f.ownPromptTime()
}

// recordFirstEvent records the time to a first event.
func (f *flow) recordFirstEvent(took time.Duration) {
	f.server.firstEventTimes.observe(f.route.Name, initialFirstEventTime, max(0, took-f.ownPromptTime()))
}

// ownPromptTime returns how long an engine of the pool reads the private part of the prompt. Prompts of one route
// differ in length by a factor of ten, and the longest leave the least time for their stages.
func (f *flow) ownPromptTime() time.Duration {
	if f.poolSpec.Engine == nil {
		return 0
	}
	return time.Duration(f.criteria().OwnTokens) * f.server.fleet.EngineTimes(f.pool).PerPromptToken
}

func contains(list []int, value int) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// isFinalStage reports whether no other stage of the request needs the results of a stage.
func (f *flow) isFinalStage(stage int) bool {
	for i := range f.route.Stages {
		if f.pieceCount(i) > 0 && contains(f.route.Stages[i].DependsOn, stage) {
			return false
		}
	}
	return true
}

// collectInputs collects the results that the request itself needs, and the zone with most of their bytes.
func (f *flow) collectInputs() {
	largest := 0
	for i := range f.stageResults {
		if !f.stageResults[i].done || !f.isFinalStage(i) {
			continue
		}
		f.inputHandles = append(f.inputHandles, f.stageResults[i].handles...)
		if f.stageResults[i].bytes >= minBulkInputBytes && f.stageResults[i].bytes > largest {
			largest, f.inputZone, f.inputBytes = f.stageResults[i].bytes, f.stageResults[i].zone, f.stageResults[i].bytes
		}
	}
}

// freeConsumed frees the results of stages whose readers are all done.
func (f *flow) freeConsumed() {
	for i := range f.stageResults {
		if !f.stageResults[i].done || f.stageResults[i].freed || f.isFinalStage(i) {
			continue
		}
		consumed := true
		for j := range f.route.Stages {
			if f.pieceCount(j) > 0 && contains(f.route.Stages[j].DependsOn, i) && !f.stageResults[j].done {
				consumed = false
			}
		}
		if consumed {
			f.freeStage(i)
		}
	}
}

func (f *flow) freeStage(stage int) {
	f.freeMu.Lock()
	defer f.freeMu.Unlock()
	f.freeResult(f.stageResults, stage)
}

func (f *flow) freeResult(results []stageResult, stage int) {
	if !results[stage].done || results[stage].freed {
		return
	}
	results[stage].freed = true
	f.server.pieces.Free(f.route.Stages[stage].Pool, results[stage].shard, results[stage].handles)
}

// freeAllResults frees all remaining results, once the inputs were read or the request has ended.
func (f *flow) freeAllResults() { f.freeResults(f.stageResults) }

// freeResults frees results, which may belong to stages that were run again since.
func (f *flow) freeResults(results []stageResult) {
	f.freeMu.Lock()
	defer f.freeMu.Unlock()
	for stage := range results {
		f.freeResult(results, stage)
	}
}

// recordFreed records that the daemon that batches for a stage has freed its inputs.
func (f *flow) recordFreed(outcome stageOutcome) {
	if !outcome.answer.InputsFreed {
		return
	}
	f.freeMu.Lock()
	defer f.freeMu.Unlock()
	for _, dependency := range f.route.Stages[outcome.stage].DependsOn {
		f.stageResults[dependency].freed = true
	}
}

// inputsFreed reports whether inputs of the request itself were freed, so that no further target can fetch them.
func (f *flow) inputsFreed() bool {
	if f.inputsMissing {
		return true
	}
	f.freeMu.Lock()
	defer f.freeMu.Unlock()
	for stage := range f.stageResults {
		if f.stageResults[stage].freed && f.isFinalStage(stage) {
			return true
		}
	}
	return false
}
