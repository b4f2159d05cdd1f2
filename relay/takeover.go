package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"emberlead/origin"
	"emberlead/proto"
)

// takeoverTimeout is how long the daemons that served a stream may take to stop their targets before another target gets it: one that
// does not answer by then is late or out of reach.
const takeoverTimeout = 150 * time.Millisecond

// takeoverTellTime is for how long a daemon is told that a stream goes on elsewhere, and takeoverTellInterval how often if its link fails.
const (
	takeoverTellTime     = 2 * time.Second
	takeoverTellInterval = 25 * time.Millisecond
)

// errTakenOver is the cause with which the earlier requests of a stream are canceled.
var errTakenOver = errors.New("the caller goes on with the stream over another connection")

// streamRequests holds the requests in progress of streams that callers may take up again.
type streamRequests struct {
	mu       sync.Mutex
	byStream map[proto.StreamKey][]*flow
}

// add registers a request under its stream, if it has one that others may take up. remove has to be called at its end.
func (s *streamRequests) add(f *flow) (remove func()) {
	key := f.servedStream()
	if key == 0 || f.route.Kind != routeStream || !f.route.Repeatable() {
		return func() {}
	}
	if f.takenUp() {
		f.recordServed()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byStream == nil {
		s.byStream = map[proto.StreamKey][]*flow{}
	}
	s.byStream[key] = append(s.byStream[key], f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		rest := slices.DeleteFunc(s.byStream[key], func(other *flow) bool { return other == f })
		if s.byStream[key] = rest; len(rest) == 0 {
			delete(s.byStream, key)
		}
	}
}

// find returns the requests of a stream that are earlier than the one of a takeover, which arrived at a moment, and those that are later.
func (s *streamRequests) find(m proto.StreamTakeover, arrivedAt time.Time) (earlier, later []*flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byStream[m.Stream] {
		if f.digest != m.Request {
			continue
		}
		switch order := cmp.Or(cmp.Compare(f.req.After, m.After), f.startedAt.Compare(arrivedAt)); {
		case order < 0:
			earlier = append(earlier, f)
		case order > 0:
			later = append(later, f)
		}
	}
	return earlier, later
}

// servedStream returns the key of the stream that the request begins or takes up again; 0 if it does not name the one that it takes up.
func (f *flow) servedStream() proto.StreamKey {
	if f.takenUp() {
		return f.streamKey(f.req.Resumes)
	}
	return f.streamKey(f.req.ID)
}

// takeOver ends the earlier requests of a stream that the caller has taken up again, here and at other daemons: their connections to
// the caller may still be open.
func (f *flow) takeOver(ctx context.Context) {
	if !f.takenUp() || f.servedStream() == 0 || ctx.Err() != nil {
		return
	}
	s := f.server
	startedAt := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	m := f.takeover()
	told := s.origins.tellServers(ctx, m)
	earlier, later := s.streams.find(m, f.startedAt)
	if len(later) > 0 {
		f.cancel(errTakenOver)
	}
	endEarlier(ctx, earlier)
	unanswered := told()
	f.logInfo("stream taken over", "resumes", f.req.Resumes, "endedHere", len(earlier), "unanswered", unanswered, "took", formatDuration(s.clock.Now().Sub(startedAt)))
}

// takeover returns the message that the request goes on with its stream.
func (f *flow) takeover() proto.StreamTakeover {
	return proto.StreamTakeover{Request: f.digest, Stream: f.servedStream(), After: f.req.After, Age: f.server.clock.Now().Sub(f.startedAt)}
}

// endEarlier cancels the earlier requests of a stream, and returns once their targets have been told to stop.
func endEarlier(ctx context.Context, earlier []*flow) {
	for _, f := range earlier {
		f.logInfo("stream ended here", "reason", errTakenOver.Error())
		f.cancel(errTakenOver)
	}
	for _, f := range earlier {
		f.awaitReleased(ctx)
	}
}

// HandleTakeover handles a StreamTakeover of another daemon, which may have waited since it was sent.
func (s *Server) HandleTakeover(ctx context.Context, sentAt time.Time, m proto.StreamTakeover) proto.Done {
	arrivedAt := sentAt.Add(-m.Age)
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	told := func() []proto.VM { return nil }
	if m.Forward {
		m.Forward, m.Age = false, s.clock.Now().Sub(arrivedAt)
		told = s.origins.tell(ctx, m)
	}
	earlier, later := s.streams.find(m, arrivedAt)
	for _, f := range later {
		s.origins.tellLater(m.By, f.takeover())
	}
	endEarlier(ctx, earlier)
	told()
	return proto.Done{}
}

// awaitReleased waits until the connections to all targets of a canceled request are closed.
func (f *flow) awaitReleased(ctx context.Context) {
	f.workMu.Lock()
	work := slices.Clone(f.work)
	f.workMu.Unlock()
	for _, w := range work {
		select {
		case <-w.released:
		case <-ctx.Done():
			return
		}
	}
}

// tellServers tells the daemons that have served a stream that this one goes on with it, and those that keep the stream, which may know
// or reach more of them. told waits for the former, and returns those that have not answered.
func (o *Origins) tellServers(ctx context.Context, m proto.StreamTakeover) (told func() []proto.VM) {
	if o.peers == nil {
		return func() []proto.VM { return nil }
	}
	m.By = o.peers.Self()
	forwarded := m
	forwarded.Forward = true
	for _, vm := range o.peers.StreamHolders(m.Request, origin.Copies) {
		go o.tellUntilAnswered(vm, forwarded)
	}
	return o.tell(ctx, m)
}

// tellLater tells a daemon that this one has a later request of its stream.
func (o *Origins) tellLater(to proto.VM, m proto.StreamTakeover) {
	m.By = o.peers.Self()
	go o.tellUntilAnswered(to, m)
}

// tell tells the other daemons that have served a stream, except for the one that goes on with it. told waits for them until the context
// ends, and returns those that have not answered by then; they are told nevertheless.
func (o *Origins) tell(ctx context.Context, m proto.StreamTakeover) (told func() []proto.VM) {
	o.mu.Lock()
	servers := slices.Clone(o.book.Servers(m.Request, m.Stream))
	o.mu.Unlock()
	servers = slices.DeleteFunc(servers, func(vm proto.VM) bool { return vm == m.By || vm == o.peers.Self() || !o.peers.TakesOver(vm) })
	answered := make(chan proto.VM, len(servers))
	for _, vm := range servers {
		go func() {
			if o.tellUntilAnswered(vm, m) {
				answered <- vm
			}
		}()
	}
	return func() []proto.VM {
		for len(servers) > 0 {
			select {
			case vm := <-answered:
				servers = slices.DeleteFunc(servers, func(other proto.VM) bool { return other == vm })
			case <-ctx.Done():
				return servers
			}
		}
		return nil
	}
}

// tellUntilAnswered tells a daemon again while its link breaks or can't be opened, as just after a start.
func (o *Origins) tellUntilAnswered(vm proto.VM, m proto.StreamTakeover) (answered bool) {
	arrivedAt := o.clock.Now().Add(-m.Age)
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTellTime)
	defer cancel()
	for ctx.Err() == nil && o.peers.TakesOver(vm) {
		now := o.clock.Now()
		m.Age, m.SentAt = now.Sub(arrivedAt), time.Duration(now.UnixNano())
		_, err := o.peers.Call(ctx, vm, m)
		if err == nil {
			return true
		}
		o.log.Debug("a daemon does not confirm that a stream goes on elsewhere", "to", vm, "error", err)
		select {
		case <-o.clock.After(takeoverTellInterval):
		case <-ctx.Done():
		}
	}
	return false
}
