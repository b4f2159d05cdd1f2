package core

import (
	"encoding/json"

	"emberlead/proto"
)

// attemptEnded matches an answer by request, stage and attempt number. Answers that match no attempt are dropped and
// counted.
func (e *Engine) attemptEnded(t *eventResult, r *request, ev *AttemptEnded) {
	a := r.attempts[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		e.stats.late(ev.Busy)
		return
	}
	delete(r.attempts, ev.Attempt.Number)
	status := e.checkedStatus(r, ev)
	r.lastStatus = status
	r.reason = ev.Reason
	took := t.now.Sub(a.startedAt)
	paused := e.pauses.overlapped(a.startedAt, t.now)
	if paused {
		took = seconds(a.expected)
	}
	spent := ev.Busy
	if status == StatusUnknown {
		spent = took
	}
	t.grants = append(t.grants, a.pool.ended(t.now, a, r.workspace, status, took, spent, ev.CacheHit)...)
	if model := r.stageSpec().Model; model != "" && spent > 0 {
		a.pool.usage.addModel(model, spent)
	}
	e.stats.spent(r.service.Name, r.stageSpec().Name, spent, ev.Tokens, status)
	switch status {
	case StatusDone:
		if !paused {
			e.estimates.add(r.service.Name, r.stageSpec().Name, took)
		}
		e.stageDone(t, r, ev)
	case StatusNotStarted:
		e.retryNotStarted(t, r, a)
	default:
		r.ran = r.ran || status == StatusFailed
		e.retryOrFail(t, r, a, status)
	}
}

// checkedStatus treats a stream that ends before its last token as broken.
func (e *Engine) checkedStatus(r *request, ev *AttemptEnded) AttemptStatus {
	if ev.Status == StatusDone && r.stageSpec().Stream && ev.Tokens != r.offset {
		e.stats.gap()
		return StatusUnknown
	}
	return ev.Status
}

func (e *Engine) stageDone(t *eventResult, r *request, ev *AttemptEnded) {
	for number, other := range r.attempts {
		delete(r.attempts, number)
		e.abandon(t, r, other)
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
		e.finish(t, r, output, nil)
		return
	}
	r.input = output
	r.stage++
	r.tries = 0
	r.hedged = false
	r.exclude = ""
	r.reason = ""
	e.enqueue(t, r)
}

func (e *Engine) retryNotStarted(t *eventResult, r *request, a *attempt) {
	r.possibleStarts--
	if !r.mayRepeat() {
		r.unsafeStarts--
	}
	if e.hasOtherAttempt(r) {
		return
	}
	r.tries++
	if r.tries >= 2*e.tuning.MaxAttempts {
		e.fail(t, r, proto.FailureOverloaded, "no target would start it", minRetryAfter)
		return
	}
	r.exclude = a.target.spec.Name
	e.enqueue(t, r)
}

func (e *Engine) retryOrFail(t *eventResult, r *request, a *attempt, status AttemptStatus) {
	if e.hasOtherAttempt(r) {
		return
	}
	kind := proto.FailureUnknown
	if status == StatusFailed {
		kind = proto.FailureTarget
	}
	r.tries++
	switch {
	case !r.mayRepeat():
		e.fail(t, r, kind, "the stage may run only once and its result is not known", 0)
	case r.tries >= e.tuning.MaxAttempts:
		e.fail(t, r, kind, "the last attempt that the limit allows ended without a result", 0)
	case !a.pool.takeRetry():
		e.fail(t, r, kind, "the pool's retry budget is spent", 0)
	default:
		e.stats.retry(r.service.Name, r.stageSpec().Name)
		r.exclude = a.target.spec.Name
		e.enqueue(t, r)
	}
}

func (e *Engine) hasOtherAttempt(r *request) bool { return len(r.attempts) > 0 || r.ticket != nil }

// chunk forwards a stream by offset. Text that was already delivered is dropped, and a gap breaks the attempt.
func (e *Engine) chunk(t *eventResult, r *request, ev *AttemptChunk) {
	a := r.attempts[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		e.stats.late(0)
		return
	}
	switch {
	case ev.Offset+ev.Tokens <= r.offset:
		e.stats.duplicate()
		return
	case ev.Offset != r.offset:
		e.stats.gap()
		delete(r.attempts, ev.Attempt.Number)
		e.abandon(t, r, a)
		e.retryOrFail(t, r, a, StatusUnknown)
		return
	}
	if r.offset == 0 {
		e.stats.firstToken(r.service.Name, t.now.Sub(r.arrived))
	}
	r.offset += ev.Tokens
	r.text = append(r.text, ev.Text...)
	if r.wantStream && r.isLastStage() {
		t.emit(Chunk{Request: r.id, Offset: ev.Offset, Text: ev.Text, Tokens: ev.Tokens, Generation: r.generation})
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
