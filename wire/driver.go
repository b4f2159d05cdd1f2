package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

// Claims manages claims on idempotency keys.
type Claims interface {
	Claim(ctx context.Context, key proto.Key, fingerprint uint64, request proto.RequestID) (coord.Decision, []byte)
	Settle(key proto.Key, request proto.RequestID, released bool, answer []byte)
	Reachable(key proto.Key) bool
}

// Driver executes the actions of an engine and feeds their outcomes back to it as events.
type Driver struct {
	engine      *core.Engine
	clock       clockwork.Clock
	targets     *TargetClient
	claims      Claims
	log         hclog.Logger
	beforeEvent func()
	maxBuffered int

	mu       sync.Mutex
	buffers  map[proto.RequestID]*ResponseBuffer
	attempts map[proto.AttemptID]*runningAttempt
}

type runningAttempt struct {
	cancel context.CancelFunc
	target proto.Target
}

// NewDriver returns a driver; maxBuffered bounds the bytes buffered for one slow caller, and beforeEvent runs before each event.
func NewDriver(engine *core.Engine, clock clockwork.Clock, targets *TargetClient, claims Claims, log hclog.Logger, maxBuffered int, beforeEvent func()) *Driver {
	if beforeEvent == nil {
		beforeEvent = func() {}
	}
	return &Driver{
		engine: engine, clock: clock, targets: targets, claims: claims, log: log, maxBuffered: maxBuffered, beforeEvent: beforeEvent,
		buffers: map[proto.RequestID]*ResponseBuffer{}, attempts: map[proto.AttemptID]*runningAttempt{},
	}
}

// ResponseBuffer holds what is to be sent to a caller next.
type ResponseBuffer struct {
	ctx         context.Context
	fingerprint uint64
	wake        chan struct{}

	mu            sync.Mutex
	chunks        []core.Chunk
	nextOffset    int // offset of the next chunk in order
	outOfOrder    map[int]core.Chunk
	bufferedBytes int
	maxBuffered   int
	reportedSlow  bool
	finish        *core.Finish
}

// Wake returns a channel that is signaled when there is something to take.
func (b *ResponseBuffer) Wake() <-chan struct{} { return b.wake }

// Take returns the chunks that arrived since the last call and, once the request has ended, its result.
func (b *ResponseBuffer) Take() ([]core.Chunk, *core.Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chunks := b.chunks
	b.chunks = nil
	b.bufferedBytes = 0
	return chunks, b.finish
}

// addChunk queues chunks in order of offset, since the actions of two events may be executed concurrently. It returns
// true once, when too many bytes are buffered.
func (b *ResponseBuffer) addChunk(c core.Chunk) (slow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outOfOrder[c.Offset] = c
	for {
		c, ok := b.outOfOrder[b.nextOffset]
		if !ok {
			break
		}
		delete(b.outOfOrder, b.nextOffset)
		b.nextOffset += c.Tokens
		b.bufferedBytes += len(c.Text)
		b.chunks = append(b.chunks, c)
	}
	b.signal()
	if b.bufferedBytes > b.maxBuffered && !b.reportedSlow {
		b.reportedSlow = true
		return true
	}
	return false
}

func (b *ResponseBuffer) setFinish(f core.Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish = &f
	b.signal()
}

func (b *ResponseBuffer) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Submit hands a request to the engine; the spans of its attempts become children of the span in the context.
func (d *Driver) Submit(ctx context.Context, a core.Arrival) *ResponseBuffer {
	buffer := &ResponseBuffer{
		ctx: context.WithoutCancel(ctx), wake: make(chan struct{}, 1), outOfOrder: map[int]core.Chunk{}, maxBuffered: d.maxBuffered,
		fingerprint: xxhash.Sum64String(a.Workspace+"\x00"+a.Service+"\x00") ^ xxhash.Sum64(a.Input),
	}
	d.mu.Lock()
	d.buffers[a.ID] = buffer
	d.mu.Unlock()
	a.QuorumLost = a.Key != proto.Key{} && !d.claims.Reachable(a.Key)
	d.HandleEvent(a)
	return buffer
}

// HandleEvent feeds an event to the engine and executes the resulting actions.
func (d *Driver) HandleEvent(event core.Event) {
	d.beforeEvent()
	for _, action := range d.engine.Handle(d.clock.Now(), event) {
		d.execute(action)
	}
}

func (d *Driver) buffer(id proto.RequestID) *ResponseBuffer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.buffers[id]
}

func (d *Driver) execute(action core.Action) {
	switch a := action.(type) {
	case core.Start:
		d.startAttempt(a)
	case core.Export:
		go d.exportCache(a)
	case core.Cancel:
		d.cancelAttempt(a.Attempt)
	case core.Claim:
		go d.claimKey(a)
	case core.Settle:
		d.claims.Settle(a.Key, a.Request, a.Released, a.Answer)
	case core.Chunk:
		if buffer := d.buffer(a.Request); buffer != nil && buffer.addChunk(a) {
			go d.HandleEvent(core.CallerLeft{Request: a.Request, Slow: true})
		}
	case core.Finish:
		d.mu.Lock()
		buffer := d.buffers[a.Request]
		delete(d.buffers, a.Request)
		d.mu.Unlock()
		if buffer != nil {
			buffer.setFinish(a)
		}
	}
}

func (d *Driver) startAttempt(a core.Start) {
	parent := context.Background()
	if buffer := d.buffer(a.ID.Request); buffer != nil {
		parent = buffer.ctx
	}
	ctx, cancel := context.WithCancel(parent)
	d.mu.Lock()
	d.attempts[a.ID] = &runningAttempt{cancel: cancel, target: a.Target}
	d.mu.Unlock()
	go func() {
		defer d.removeAttempt(a.ID, cancel)
		d.targets.Run(ctx, &a, a.MayRepeat, d.HandleEvent)
	}()
}

func (d *Driver) removeAttempt(id proto.AttemptID, cancel context.CancelFunc) {
	cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, id)
}

// cancelAttempt closes the connection and also notifies the target, which may not notice the closed connection at once.
func (d *Driver) cancelAttempt(id proto.AttemptID) {
	d.mu.Lock()
	r := d.attempts[id]
	d.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	go d.targets.Cancel(context.Background(), r.target.Address, id)
}

func (d *Driver) exportCache(a core.Export) {
	handle, err := d.targets.Export(context.Background(), a.Target.Address, a.Attempt)
	if err != nil {
		d.log.Warn("failed to export KV cache", "target", a.Target.Name, "attempt", a.Attempt, "error", err)
	}
	d.HandleEvent(core.Exported{Attempt: a.Attempt, Handle: handle})
}

func (d *Driver) claimKey(a core.Claim) {
	answered := core.ClaimAnswered{Request: a.Request, Result: core.ClaimNoQuorum}
	if buffer := d.buffer(a.Request); buffer != nil {
		decision, answer := d.claims.Claim(buffer.ctx, a.Key, buffer.fingerprint, a.Request)
		answered.Result, answered.Answer = claimResults[decision], answer
	}
	d.HandleEvent(answered)
	if !d.engine.HasRequest(a.Request) && answered.Result == core.ClaimGranted {
		// The request ended while its key was being claimed, so no part of the stage ran.
		d.claims.Settle(a.Key, a.Request, true, nil)
	}
}

var claimResults = map[coord.Decision]core.ClaimResult{
	coord.DecisionGranted:     core.ClaimGranted,
	coord.DecisionTaken:       core.ClaimTaken,
	coord.DecisionDone:        core.ClaimDone,
	coord.DecisionMismatch:    core.ClaimMismatch,
	coord.DecisionTooOld:      core.ClaimTooOld,
	coord.DecisionTooNew:      core.ClaimTooNew,
	coord.DecisionStale:       core.ClaimNoQuorum,
	coord.DecisionUnreachable: core.ClaimNoQuorum,
}

// Run sends ticks to the engine until the context ends.
func (d *Driver) Run(ctx context.Context, interval time.Duration) {
	ticker := d.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.HandleEvent(core.Tick{})
		}
	}
}
