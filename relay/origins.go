package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/origin"
	"emberlead/proto"
)

const (
	// originsBatchDelay is how long starts of streams are collected before other daemons are told.
	originsBatchDelay = 10 * time.Millisecond
	// maxStartsPerMessage limits the size of a message; a daemon that has started is told of many streams.
	maxStartsPerMessage = 1000
	// originsTimeout is how long the other daemons may take to tell where a stream began.
	originsTimeout = 150 * time.Millisecond
	// originsStartTime is how long after its start a daemon may still learn of other daemons that it can ask, and
	// originsAskInterval how often it looks for them meanwhile.
	originsStartTime   = 2 * time.Second
	originsAskInterval = 25 * time.Millisecond
)

// OriginPeers are the other daemons that keep where streams began.
type OriginPeers interface {
	// StreamHolders returns up to n other daemons that keep the streams of a request, in an order on which daemons agree.
	StreamHolders(request proto.RequestDigest, n int) []proto.VM
	// Self returns the name of this daemon, and TakesOver reports whether another one was heard a moment ago and knows StreamTakeover.
	Self() proto.VM
	TakesOver(vm proto.VM) bool
	Send(to proto.VM, m proto.Message)
	Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error)
}

// Origins knows at which software version streams began, here and at other daemons. It tells a few other daemons of each
// stream, and asks them for those that it does not know.
type Origins struct {
	clock clockwork.Clock
	log   hclog.Logger
	// peers is nil if there are no other daemons.
	peers     OriginPeers
	startedAt time.Time

	mu   sync.Mutex
	book *origin.Book
	// pending holds the starts that are to be sent.
	pending map[proto.VM][]proto.StreamStart
	// runs holds the runs of daemons that have been told what they should keep.
	runs map[proto.DaemonRun]bool

	asked, found, unknown atomic.Int64
}

// OriginStats counts streams that callers took up again, as the metrics endpoint shows them.
type OriginStats struct {
	// Remembered is the number of streams whose origin this daemon knows.
	Remembered int `json:"remembered"`
	// Asked counts the streams for which other daemons were asked, Found those that went on, and Unknown those that nobody knew.
	Asked   int64 `json:"asked"`
	Found   int64 `json:"found"`
	Unknown int64 `json:"unknown"`
}

// NewOrigins returns the knowledge of a daemon that knows no stream. peers may be nil.
func NewOrigins(clock clockwork.Clock, log hclog.Logger, peers OriginPeers) *Origins {
	return &Origins{clock: clock, log: log, peers: peers, startedAt: clock.Now(), book: origin.NewBook(), pending: map[proto.VM][]proto.StreamStart{}, runs: map[proto.DaemonRun]bool{}}
}

// Stats returns the counters since the start.
func (o *Origins) Stats() OriginStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OriginStats{Remembered: o.book.Size(), Asked: o.asked.Load(), Found: o.found.Load(), Unknown: o.unknown.Load()}
}

// Record records where a stream began that this daemon serves, and tells the daemons that keep it.
func (o *Origins) Record(s proto.StreamStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peers != nil {
		s.Servers = []proto.VM{o.peers.Self()}
	}
	o.book.Add(o.clock.Now(), s)
	if o.peers == nil {
		return
	}
	for _, vm := range o.peers.StreamHolders(s.Request, origin.Copies) {
		o.queue(vm, s)
	}
}

// queue adds a start to those that are sent to a daemon next. The lock must be held.
func (o *Origins) queue(to proto.VM, s proto.StreamStart) {
	if len(o.pending) == 0 {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		o.clock.AfterFunc(originsBatchDelay, func() { go o.flush() })
	}
	o.pending[to] = append(o.pending[to], s)
}

func (o *Origins) flush() {
	o.mu.Lock()
	pending := o.pending
	o.pending = map[proto.VM][]proto.StreamStart{}
	o.mu.Unlock()
	for vm, starts := range pending {
		for part := range slices.Chunk(starts, maxStartsPerMessage) {
			o.peers.Send(vm, proto.StreamStarts{Starts: part})
		}
	}
}

// Merge adds what another daemon knows.
func (o *Origins) Merge(m proto.StreamStarts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, s := range m.Starts {
		o.book.Add(now, s)
	}
}

// Answer tells another daemon what is known of a stream.
func (o *Origins) Answer(ask proto.StreamAsk) proto.StreamStarts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return proto.StreamStarts{Starts: o.book.StartsOf(o.clock.Now(), ask.Request, ask.Stream)}
}

// Find returns where a stream began, if it is known here or at the daemons that keep it. Without a key it finds any stream
// of the request.
func (o *Origins) Find(ctx context.Context, request proto.RequestDigest, stream proto.StreamKey) (proto.StreamOrigin, bool) {
	found, known := o.lookup(request, stream)
	if !known && o.peers != nil {
		o.asked.Add(1)
		found, known = o.ask(ctx, request, stream)
	}
	if known {
		o.found.Add(1)
	} else {
		o.unknown.Add(1)
	}
	return found, known
}

func (o *Origins) lookup(request proto.RequestDigest, stream proto.StreamKey) (proto.StreamOrigin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.book.Find(o.clock.Now(), request, stream)
}

// ask asks the daemons that keep a stream, until one knows it or all have answered.
func (o *Origins) ask(ctx context.Context, request proto.RequestDigest, stream proto.StreamKey) (proto.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	startedAt := o.clock.Now()
	answers := make(chan proto.StreamStarts)
	asked, answered := o.askHolders(ctx, proto.StreamAsk{Request: request, Stream: stream}, nil, answers), 0
	for ctx.Err() == nil && (answered < len(asked) || o.mayKnowMore()) {
		select {
		case starts := <-answers:
			answered++
			o.Merge(starts)
			if found, known := o.lookup(request, stream); known {
				return found, true
			}
		case <-o.clock.After(originsAskInterval):
			asked = o.askHolders(ctx, proto.StreamAsk{Request: request, Stream: stream}, asked, answers)
		case <-ctx.Done():
		}
	}
	o.log.Info("no daemon tells where a stream began", "digest", request.String(), "asked", asked, "answered", answered, "took", formatDuration(o.clock.Now().Sub(startedAt)))
	return proto.StreamOrigin{}, false
}

// mayKnowMore reports whether this daemon started so lately that it may not know all daemons yet.
func (o *Origins) mayKnowMore() bool { return o.clock.Now().Sub(o.startedAt) < originsStartTime }

// askHolders asks the daemons that keep a stream, except those asked before, and returns all of them.
func (o *Origins) askHolders(ctx context.Context, ask proto.StreamAsk, asked []proto.VM, answers chan<- proto.StreamStarts) []proto.VM {
	for _, vm := range o.peers.StreamHolders(ask.Request, origin.Asked) {
		if slices.Contains(asked, vm) {
			continue
		}
		asked = append(asked, vm)
		go func() {
			m, err := o.peers.Call(ctx, vm, ask)
			if err != nil {
				o.log.Debug("a daemon does not tell where a stream began", "from", vm, "error", err)
			}
			starts, _ := m.(proto.StreamStarts)
			select {
			case answers <- starts:
			case <-ctx.Done():
			}
		}()
	}
	return asked
}

// Sweep forgets streams that can no longer be taken up, and tells daemons that have started what they should keep. live
// are the daemons that are not considered dead. It is called about once per second.
func (o *Origins) Sweep(live []proto.Alive) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.book.Sweep(now)
	runs := map[proto.DaemonRun]bool{}
	var started []proto.VM
	for _, alive := range live {
		run := proto.DaemonRun{VM: alive.VM, Incarnation: alive.Incarnation}
		runs[run] = true
		if !o.runs[run] {
			started = append(started, alive.VM)
		}
	}
	o.runs = runs
	if len(started) == 0 || o.peers == nil {
		return
	}
	for _, request := range o.book.Requests() {
		for _, vm := range o.peers.StreamHolders(request, origin.Copies) {
			if !slices.Contains(started, vm) {
				continue
			}
			for _, s := range o.book.Starts(now, request) {
				o.queue(vm, s)
			}
		}
	}
}
