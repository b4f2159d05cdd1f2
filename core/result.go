package core

import (
	"encoding/json"

	"emberlead/proto"
)

// attemptEnded matches an answer by request, stage and attempt; what matches nothing is dropped and counted.
func (e *Engine) attemptEnded(t *turn, r *request, ev *AttemptEnded) {
	a := r.live[ev.Attempt.Number]
	if a == nil || a.id != ev.Attempt {
		e.stats.late(ev.Busy)
		return
	}
	delete(r.live, ev.Attempt.Number)
	fate := e.checkedFate(r, ev)
	r.lastFate = fate
	r.reason = ev.Reason
	took := t.now.Sub(a.began)
	paused := e.pauses.overlapped(a.began, t.now)
	if paused {
		took = seconds(a.expected)
	}
	spent := ev.Busy
	if fate == StatusUnknown {
		spent = took
	}
	t.grants = append(t.grants, a.pool.ended(t.now, a, r.workspace, fate, took, spent, ev.CacheHit)...)
	if model := r.spec().Model; model != "" && spent > 0 {
		a.pool.usage.addModel(model, spent)
	}
	e.stats.spent(r.service.Name, r.spec().Name, spent, ev.Tokens, fate)
	switch fate {
	case StatusDone:
		if !paused {
			e.estimates.add(r.service.Name, r.spec().Name, took)
		}
		e.stageDone(t, r, ev)
	case StatusNotStarted:
		e.notStarted(t, r, a)
	default:
		r.ran = r.ran || fate == StatusFailed
		e.broken(t, r, a, fate)
	}
}

// checkedFate turns a stream that ends before its last token into a broken one.
func (e *Engine) checkedFate(r *request, ev *AttemptEnded) AttemptStatus {
	if ev.Status == StatusDone && r.spec().Stream && ev.Tokens != r.offset {
		e.stats.gap()
		return StatusUnknown
	}
	return ev.Status
}

func (e *Engine) stageDone(t *turn, r *request, ev *AttemptEnded) {
	for number, other := range r.live {
		delete(r.live, number)
		e.abandon(t, r, other)
	}
	if r.ticket != nil {
		r.ticket.withdrawn = true
		r.ticket = nil
	}
	r.ran = true
	output := ev.Output
	if r.spec().Stream {
		output = joinText(r.text)
	}
	if r.last() {
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

func (e *Engine) notStarted(t *turn, r *request, a *attempt) {
	r.possible--
	if !r.mayRepeat() {
		r.unsafe--
	}
	if e.anotherRuns(r) {
		return
	}
	r.tries++
	if r.tries >= 2*e.tuning.MaxAttempts {
		e.fail(t, r, proto.FailureOverloaded, "no target would start it", retryFloor)
		return
	}
	r.exclude = a.target.spec.Name
	e.enqueue(t, r)
}

func (e *Engine) broken(t *turn, r *request, a *attempt, fate AttemptStatus) {
	if e.anotherRuns(r) {
		return
	}
	kind := proto.FailureUnknown
	if fate == StatusFailed {
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
		e.stats.retry(r.service.Name, r.spec().Name)
		r.exclude = a.target.spec.Name
		e.enqueue(t, r)
	}
}

func (e *Engine) anotherRuns(r *request) bool { return len(r.live) > 0 || r.ticket != nil }

// chunk passes a stream on by offset: what was delivered is dropped, and a gap breaks the attempt.
func (e *Engine) chunk(t *turn, r *request, ev *AttemptChunk) {
	a := r.live[ev.Attempt.Number]
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
		delete(r.live, ev.Attempt.Number)
		e.abandon(t, r, a)
		e.broken(t, r, a, StatusUnknown)
		return
	}
	if r.offset == 0 {
		e.stats.firstToken(r.service.Name, t.now.Sub(r.arrived))
	}
	r.offset += ev.Tokens
	r.text = append(r.text, ev.Text...)
	if r.wantStream && r.last() {
		t.act(Chunk{Request: r.id, Offset: ev.Offset, Text: ev.Text, Tokens: ev.Tokens, Generation: r.generation})
	}
}

func joinText(text []byte) []byte {
	out, err := json.Marshal(proto.StreamOutput{Text: string(text)})
	if err != nil {
		return []byte("null")
	}
	return out
}

// HasRequest tells whether a request is in progress.
func (e *Engine) HasRequest(id proto.RequestID) bool {
	_, ok := e.requests.Get(id)
	return ok
}
