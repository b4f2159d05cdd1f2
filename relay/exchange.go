package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"

	"emberlead/proto"
)

// attemptUpdate is a message from the goroutine of an attempt to the race.
type attemptUpdate struct {
	attempt *attempt
	// response is the response, whose body must not be read; nil if there is none, and err says why.
	response *TargetResponse
	info     ResponseInfo
	// events are complete events of a stream that continues.
	events []byte
	// body is the body of a complete response that is not a stream, or the next part of one that is passed on as it arrives.
	body *answerBody
	// passing is set if more of a response that is passed on follows, and passed in the final update of such a response.
	passing, passed bool
	// stream is set if a stream has ended, and truncated if it ended within an event.
	stream, truncated bool
	// mismatch is set if the response belongs to another request, and oversized if a part of it is too large.
	mismatch  bool
	oversized oversizeCause
	// err is why there is no response or no more of it; io.EOF at the regular end of a stream.
	err error
}

// responseHook holds a function that is called when an attempt has a response.
type responseHook struct {
	fn atomic.Pointer[context.CancelFunc]
}

// set sets the function. nil removes it.
func (h *responseHook) set(fn context.CancelFunc) {
	if fn == nil {
		h.fn.Store(nil)
		return
	}
	h.fn.Store(&fn)
}

func (h *responseHook) call() {
	if fn := h.fn.Load(); fn != nil {
		(*fn)()
	}
}

// exchange sends the request of an attempt and reads the response, in its own goroutine. Apart from these fields it
// does not access the state of the request.
type exchange struct {
	attempt   *attempt
	ctx       context.Context
	server    *Server
	to        netip.AddrPort
	requestID string
	stream    bool
	// answers is what the request holds of the daemon's limit of buffered answers.
	answers *reservation
	// span records when the target may have worked on the request.
	span *workSpan
}

// BeforeWrite implements SendObserver.
func (x *exchange) BeforeWrite(carrier proto.VM) error {
	a := x.attempt
	if err := a.race.handover.begin(a); err != nil {
		return err
	}
	x.span.begin(carrier)
	x.server.log.Info("request sent", "request", x.requestID, "target", a.placement.Spec.ID, "run", a.placement.Spec.RunName(), "address", x.to, "by", carrier, "attempt", x.span.number)
	return nil
}

// Aborted implements SendObserver.
func (x *exchange) Aborted() {
	if late := x.span.close(); late > lateClose {
		x.server.log.Warn("a target was told late to stop", "request", x.requestID, "target", x.attempt.placement.Spec.ID, "late", formatDuration(late))
	}
}

// send sends an update to the race, unless the race is over.
func (x *exchange) send(update *attemptUpdate) {
	update.attempt = x.attempt
	r := x.attempt.race
	select {
	case r.updates <- update:
		if update.isResponse() {
			r.onResponse.call()
		}
	case <-r.done:
	}
}

// isResponse reports whether the target has started to respond.
func (u *attemptUpdate) isResponse() bool {
	return len(u.events) > 0 || u.response != nil && (u.err == nil || errors.Is(u.err, io.EOF)) && !u.info.NotRun && !u.info.Misdirected
}

func (x *exchange) run(out *TargetRequest) {
	response, err := x.server.sender.Send(x.ctx, x.to, out)
	if err != nil {
		x.span.release()
		x.send(&attemptUpdate{err: err})
		return
	}
	update := x.read(response)
	// Closing the body first makes the connection available to other requests.
	if err := response.Body.Close(); err != nil {
		x.server.log.Debug("failed to close a response body", "request", x.requestID, "error", err)
	}
	x.span.release()
	x.send(update)
}

// read reads a response to its end and returns the final update for it.
func (x *exchange) read(response *TargetResponse) *attemptUpdate {
	update := &attemptUpdate{response: response, info: x.server.dialect.ParseResponse(response.Status, response.Header)}
	switch {
	case update.info.NotRun || update.info.Misdirected:
		x.discardRefusal(response)
	case x.mismatched(response, update.info):
		update.mismatch = true
	case x.stream && response.Status == http.StatusOK:
		update.stream = true
		x.readStream(update)
	default:
		x.readAnswer(update)
	}
	return update
}

// discardRefusal reads the body of a refusal, so that its connection can be used again unless the body is large or late.
func (x *exchange) discardRefusal(response *TargetResponse) {
	timer := x.server.clock.AfterFunc(refusalBodyTime, func() { x.attempt.cancel(errRefusalBody) })
	defer timer.Stop()
	if n, _ := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes+1)); n > maxRefusalBytes {
		x.server.counts.oversized.add(oversizedRefusal)
		x.server.log.Warn("the body of a refusal is too large", "request", x.requestID, "target", x.attempt.placement.Spec.ID, "address", x.to)
	}
}

// mismatched reports whether a successful response does not belong to the request.
func (x *exchange) mismatched(response *TargetResponse, info ResponseInfo) bool {
	return response.Status/100 == http.StatusOK/100 && (!info.Stamped || info.ContentEncoded || info.RequestID != x.requestID)
}

// readStream sends the complete events of a stream as they arrive, and records in the final update how the stream ended.
func (x *exchange) readStream(final *attemptUpdate) {
	var buffered []byte
	buffer := make([]byte, readSize)
	limit := &streamLimit{answers: x.answers}
	defer limit.release()
	for {
		n, err := final.response.Body.Read(buffer)
		buffered = append(buffered, buffer[:n]...)
		limit.withoutEvent += n
		var events []byte
		events, buffered = splitEvents(buffered)
		if hasData(events) {
			limit.withoutEvent = 0
			x.attempt.race.handover.recordAnswer(x.attempt)
		}
		if len(events) > 0 {
			x.send(&attemptUpdate{response: final.response, info: final.info, events: events})
		}
		if err != nil {
			final.err, final.truncated = err, len(buffered) > 0
			return
		}
		if final.oversized = limit.hold(len(buffered)); final.oversized != "" {
			return
		}
	}
}
