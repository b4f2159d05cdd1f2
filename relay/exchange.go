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
type attemptNews struct {
	attempt *attempt
	// in is the head of the answer, whose body is not to be read; nil if there is none, and then err says why.
	in    *TargetResponse
	reply ResponseInfo
	// events are whole events of a stream, which goes on.
	events []byte
	// body is that of a whole answer.
	body []byte
	// stream says that a stream has ended, and cut that it did within an event.
	stream, cut bool
	// mismatch says that the answer is not that of the request, and endless that an event is too long.
	mismatch, endless bool
	// err is why there is no answer or no more of it; io.EOF at the proper end of a stream.
	err error
}

// answerHook holds the function that runs when an attempt has an answer.
type answerHook struct {
	fn atomic.Pointer[context.CancelFunc]
}

// set sets the function, or none if it is nil.
func (h *answerHook) set(fn context.CancelFunc) {
	if fn == nil {
		h.fn.Store(nil)
		return
	}
	h.fn.Store(&fn)
}

func (h *answerHook) call() {
	if fn := h.fn.Load(); fn != nil {
		(*fn)()
	}
}

// exchange sends the request of an attempt and reads the answer, in a goroutine of its own. It knows nothing of the request but what
// stands here.
type exchange struct {
	attempt *attempt
	ctx     context.Context
	server  *Server
	to      netip.AddrPort
	request string
	stream  bool
}

// tell hands news to the race, unless that is over.
func (x *exchange) tell(news *attemptNews) {
	news.attempt = x.attempt
	r := x.attempt.race
	select {
	case r.news <- news:
		if news.answers() {
			r.onAnswer.call()
		}
	case <-r.over:
	}
}

// answers tells whether the target has begun to answer, or has answered.
func (n *attemptNews) answers() bool {
	return len(n.events) > 0 || n.in != nil && (n.err == nil || errors.Is(n.err, io.EOF)) && !n.reply.NotRun && !n.reply.Misdirected
}

func (x *exchange) run(out *TargetRequest) {
	in, err := x.server.sender.Send(x.ctx, x.to, out)
	if err != nil {
		x.tell(&attemptNews{err: err})
		return
	}
	news := x.read(in)
	// The connection is free for another request before this one goes on.
	if err := in.Body.Close(); err != nil {
		x.server.log.Debug("the body of an answer is not closed", "request", x.request, "error", err)
	}
	x.tell(news)
}

// read reads an answer to its end and returns the last message about it.
func (x *exchange) read(in *TargetResponse) *attemptNews {
	news := &attemptNews{in: in, reply: x.server.dialect.ParseResponse(in.Status, in.Header)}
	switch {
	case news.reply.NotRun || news.reply.Misdirected:
		_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, answerMost))
	case x.mismatched(in, news.reply):
		news.mismatch = true
	case x.stream && in.Status == http.StatusOK:
		news.stream = true
		x.readStream(news)
	default:
		news.body, news.err = io.ReadAll(io.LimitReader(in.Body, answerMost))
	}
	return news
}

// mismatched tells whether an answer cannot be that of the request.
func (x *exchange) mismatched(in *TargetResponse, reply ResponseInfo) bool {
	return in.Status/100 == http.StatusOK/100 && (!reply.Stamped || reply.ContentEncoded || reply.RequestID != x.request)
}

// readStream tells the events of a stream as they come, each when it is whole, and notes in the last message how it ended.
func (x *exchange) readStream(last *attemptNews) {
	var held []byte
	buffer := make([]byte, readSize)
	for {
		n, err := last.in.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		var events []byte
		events, held = cutEvents(held)
		if len(events) > 0 {
			x.tell(&attemptNews{in: last.in, reply: last.reply, events: events})
		}
		if err != nil {
			last.err, last.cut = err, len(held) > 0
			return
		}
		if len(held) > eventMost {
			last.endless = true
			return
		}
	}
}
