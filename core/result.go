package core

import (
	"encoding/json"

	"emberlead/proto"
)

// handleAttemptEnd matches an answer by request, stage and attempt number. Answers that match no attempt are dropped and counted.
func (e *Engine) handleAttemptEnd(res *eventResult, r *request, ev *AttemptEnded) {
	a := r.attempts[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		e.stats.countLate(ev.Busy)
		return
	}
	delete(r.attempts, ev.Attempt.Number)
	status := e.checkedStatus(r, ev)
	r.lastStatus = status
	r.reason = ev.Reason
	took := res.now.Sub(a.startedAt)
	paused := e.pauses.overlaps(a.startedAt, res.now)
	if paused {
		took = seconds(a.expected)
	}
	spent := ev.Busy
	if status == StatusUnknown {
		spent = took
	}
	res.grants = append(res.grants, a.pool.attemptEnded(res.now, a, r.workspace, status, took, spent, ev.CacheHit)...)
	if model := r.stageSpec().Model; model != "" && spent > 0 {
		a.pool.usage.addModelUsage(model, spent)
	}
	e.stats.recordSpent(r.service.Name, r.stageSpec().Name, spent, ev.Tokens, status)
	switch status {
	case StatusDone:
		if !paused {
			e.estimates.add(r.service.Name, r.stageSpec().Name, took)
		}
		e.stageDone(res, r, ev)
	case StatusNotStarted:
		e.retryNotStarted(res, r, a)
	default:
		r.ran = r.ran || status == StatusFailed
		e.retryOrFail(res, r, a, status)
	}
}

// checkedStatus treats a stream that ends before its last token as broken.
func (e *Engine) checkedStatus(r *request, ev *AttemptEnded) AttemptStatus {
	if ev.Status == StatusDone && r.stageSpec().Stream && ev.Tokens != r.offset {
		e.stats.countGap()
		return StatusUnknown
	}
	return ev.Status
}

func (e *Engine) stageDone(res *eventResult, r *request, ev *AttemptEnded) {
	for number, other := range r.attempts {
		delete(r.attempts, number)
		e.abandon(res, r, other)
	}
	if r.ticket != nil {
		r.ticket.withdrawn = true
		r.ticket = nil
	}
	r.ran = true
	output := ev.Output
	if r.stageSpec().Stream {
		output = encodeText(r.text)
	}
	if r.isLastStage() {
		e.finish(res, r, output, nil)
		return
	}
	r.input = output
	r.stage++
	r.failedAttempts = 0
	r.hedged = false
	r.exclude = ""
	r.reason = ""
	e.enqueue(res, r)
}

func (e *Engine) retryNotStarted(res *eventResult, r *request, a *attempt) {
	r.possibleStarts--
	if !r.mayRepeat() {
		r.unsafeStarts--
	}
	if e.hasOtherAttempt(r) {
		return
	}
	r.failedAttempts++
	if r.failedAttempts >= 2*e.tuning.MaxAttempts {
		e.fail(res, r, proto.FailureOverloaded, "no target would start it", minRetryAfter)
		return
	}
	r.exclude = a.target.spec.Name
	e.enqueue(res, r)
}

func (e *Engine) retryOrFail(res *eventResult, r *request, a *attempt, status AttemptStatus) {
	if e.hasOtherAttempt(r) {
		return
	}
	kind := proto.FailureUnknown
	if status == StatusFailed {
		kind = proto.FailureTarget
	}
	r.failedAttempts++
	switch {
	case !r.mayRepeat():
		e.fail(res, r, kind, "the stage may run only once and its result is not known", 0)
	case r.failedAttempts >= e.tuning.MaxAttempts:
		e.fail(res, r, kind, "the last attempt that the limit allows ended without a result", 0)
	case !a.pool.takeRetry():
		e.fail(res, r, kind, "the pool's retry budget is spent", 0)
	default:
		e.stats.countRetry(r.service.Name, r.stageSpec().Name)
		r.exclude = a.target.spec.Name
		e.enqueue(res, r)
	}
}

func (e *Engine) hasOtherAttempt(r *request) bool { return len(r.attempts) > 0 || r.ticket != nil }

// forwardChunk forwards a stream by offset. Text that was already delivered is dropped, and a gap breaks the attempt.
func (e *Engine) forwardChunk(res *eventResult, r *request, ev *AttemptChunk) {
	a := r.attempts[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		e.stats.countLate(0)
		return
	}
	switch {
	case ev.Offset+ev.Tokens <= r.offset:
		e.stats.countDuplicate()
		return
	case ev.Offset != r.offset:
		e.stats.countGap()
		delete(r.attempts, ev.Attempt.Number)
		e.abandon(res, r, a)
		e.retryOrFail(res, r, a, StatusUnknown)
		return
	}
	if r.offset == 0 {
		e.stats.recordFirstToken(r.service.Name, res.now.Sub(r.arrived))
	}
	r.offset += ev.Tokens
	r.text = append(r.text, ev.Text...)
	if r.wantStream && r.isLastStage() {
		res.emit(Chunk{Request: r.id, Offset: ev.Offset, Text: ev.Text, Tokens: ev.Tokens, Generation: r.generation})
	}
}

func encodeText(text []byte) []byte {
	out, err := json.Marshal(proto.StreamOutput{Text: string(text)})
	if err != nil {
		return []byte("null")
	}
	return out
}

// HasRequest reports whether a request is in progress.
func (e *Engine) HasRequest(id proto.RequestID) bool {
	_, ok := e.requests.Get(id)
	return ok
}
