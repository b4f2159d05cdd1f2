package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// handover keeps targets from working on one request side by side. A target that has the request may begin at once and tell of that
// much later, so that the request is written to a later target only once the connections of the earlier attempts are closed, however
// late this process is. Until then, while the later target is being connected to, an earlier one may still go on.
type handover struct {
	policy handoverPolicy
	// ended is signaled when an attempt was canceled.
	ended chan struct{}

	mu sync.Mutex
	// sent holds the attempts whose targets have the request, in the order in which they got it, and answering those of them that have
	// sent something since the last attempt was added.
	sent, answering []*attempt
	// closing holds attempts that have ended and whose connections may still be open.
	closing []*attempt
}

// handoverPolicy is called with the lock when a later target is about to get the request. It returns the earlier attempts that have to be
// over before.
type handoverPolicy func(h *handover, earlier []*attempt) (awaited []*attempt)

// stopEarlier cancels all earlier attempts.
func stopEarlier(h *handover, earlier []*attempt) []*attempt {
	for _, a := range earlier {
		a.cancel(errSuperseded)
	}
	h.signal()
	return earlier
}

func newHandover(policy handoverPolicy) *handover {
	return &handover{policy: policy, ended: make(chan struct{}, 1)}
}

// add registers an attempt before it starts.
func (h *handover) add() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answering = nil
}

// remove unregisters an attempt that has ended.
func (h *handover) remove(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.sent, a) && !a.work.isReleased() {
		h.closing = append(h.closing, a)
	}
	isEnded := func(other *attempt) bool { return other == a }
	h.sent, h.answering = slices.DeleteFunc(h.sent, isEnded), slices.DeleteFunc(h.answering, isEnded)
}

// recordAnswer is called for each event of a stream and each part of another answer.
func (h *handover) recordAnswer(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Contains(h.sent, a) && !slices.Contains(h.answering, a) {
		h.answering = append(h.answering, a)
	}
}

// begin is called before the request is written to the target of an attempt, and returns once that may happen. It fails if the attempt
// was canceled, or if an earlier target has gone on meanwhile.
func (h *handover) begin(a *attempt) error {
	awaited, err := h.register(a)
	if err != nil {
		return err
	}
	for _, earlier := range awaited {
		select {
		case <-earlier.work.released:
		case <-a.ctx.Done():
			return context.Cause(a.ctx)
		}
	}
	return nil
}

// register counts a target among those that have the request, and returns the attempts that have to be over first.
func (h *handover) register(a *attempt) (awaited []*attempt, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answering) > 0 {
		a.cancel(errSuperseded)
		h.signal()
	}
	if a.ctx.Err() != nil {
		return nil, context.Cause(a.ctx)
	}
	h.closing = slices.DeleteFunc(h.closing, func(ended *attempt) bool { return ended.work.isReleased() })
	awaited = slices.Clone(h.closing)
	earlier := slices.Clone(h.sent)
	h.sent = append(h.sent, a)
	if len(earlier) > 0 {
		awaited = append(awaited, h.policy(h, earlier)...)
	}
	return awaited, nil
}

func (h *handover) signal() {
	select {
	case h.ended <- struct{}{}:
	default:
	}
}

// isSuperseded reports whether an attempt was canceled in favor of another.
func (a *attempt) isSuperseded() bool {
	return errors.Is(context.Cause(a.ctx), errSuperseded)
}
