package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// attemptNews is what the goroutine of an attempt tells the race.
type attemptUpdate struct {
	attempt *attempt
	// in is the head of the answer, whose body is not to be read; nil if there is none, and then err says why.
	response *TargetResponse
	info     ResponseInfo
	// events are whole events of a stream, which goes on.
	events []byte
	// body is that of a whole answer.
	body []byte
	// stream says that a stream has ended, and cut that it did within an event.
	stream, cut bool
	// mismatch says that the answer is not that of the request, and endless that an event is too long.
	mismatch, oversized bool
	// err is why there is no answer or no more of it; io.EOF at the proper end of a stream.
	err error
}

// answerHook holds the function that runs when an attempt has an answer.
type responseHook struct {
	fn atomic.Pointer[context.CancelFunc]
}

// set sets the function, or none if it is nil.
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

// exchange sends the request of an attempt and reads the answer, in a goroutine of its own. It knows nothing of the request but what
// stands here.
type exchange struct {
	attempt   *attempt
	ctx       context.Context
	server    *Server
	to        netip.AddrPort
	requestID string
	stream    bool
}

// tell hands news to the race, unless that is over.
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

// answers tells whether the target has begun to answer, or has answered.
func (n *attemptUpdate) isResponse() bool {
	return len(n.events) > 0 || n.response != nil && (n.err == nil || errors.Is(n.err, io.EOF)) && !n.info.NotRun && !n.info.Misdirected
}

func (x *exchange) run(out *TargetRequest) {
	response, err := x.server.sender.Send(x.ctx, x.to, out)
	if err != nil {
		x.send(&attemptUpdate{err: err})
		return
	}
	update := x.read(response)
	// The connection is free for another request before this one goes on.
	if err := response.Body.Close(); err != nil {
		x.server.log.Debug("the body of an answer is not closed", "request", x.requestID, "error", err)
	}
	x.send(update)
}

// read reads an answer to its end and returns the last message about it.
func (x *exchange) read(response *TargetResponse) *attemptUpdate {
	update := &attemptUpdate{response: response, info: x.server.dialect.ParseResponse(response.Status, response.Header)}
	switch {
	case update.info.NotRun || update.info.Misdirected:
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	case x.mismatched(response, update.info):
		update.mismatch = true
	case x.stream && response.Status == http.StatusOK:
		update.stream = true
		x.readStream(update)
	default:
		update.body, update.err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	}
	return update
}

// mismatched tells whether an answer cannot be that of the request.
func (x *exchange) mismatched(response *TargetResponse, reply ResponseInfo) bool {
	return response.Status/100 == http.StatusOK/100 && (!reply.Stamped || reply.ContentEncoded || reply.RequestID != x.requestID)
}

// readStream tells the events of a stream as they come, each when it is whole, and notes in the last message how it ended.
func (x *exchange) readStream(last *attemptUpdate) {
	var held []byte
	buffer := make([]byte, readSize)
	for {
		n, err := last.response.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		var events []byte
		events, held = splitEvents(held)
		if len(events) > 0 {
			x.send(&attemptUpdate{response: last.response, info: last.info, events: events})
		}
		if err != nil {
			last.err, last.cut = err, len(held) > 0
			return
		}
		if len(held) > maxEventBytes {
			last.oversized = true
			return
		}
	}
}
