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
	engine  *core.Engine
	clock   clockwork.Clock
	targets *TargetClient
	claims  Claims
	log     hclog.Logger
	gate    func()
	most    int

	mu       sync.Mutex
	waiters  map[proto.RequestID]*Waiter
	attempts map[proto.AttemptID]*running
}

type running struct {
	cancel context.CancelFunc
	target proto.Target
}

// NewDriver returns a driver; mostBuffered bounds the bytes buffered for one slow caller, and gate runs before each
// event.
func NewDriver(engine *core.Engine, clock clockwork.Clock, targets *TargetClient, claims Claims, log hclog.Logger, mostBuffered int, gate func()) *Driver {
	if gate == nil {
		gate = func() {}
	}
	return &Driver{
		engine: engine, clock: clock, targets: targets, claims: claims, log: log, most: mostBuffered, gate: gate,
		waiters: map[proto.RequestID]*Waiter{}, attempts: map[proto.AttemptID]*running{},
	}
}

// Waiter buffers what is to be sent to a caller next.
type Waiter struct {
	ctx         context.Context
	fingerprint uint64
	wake        chan struct{}

	mu     sync.Mutex
	chunks []core.Chunk
	next   int // offset of the next chunk in order
	early  map[int]core.Chunk
	size   int
	most   int
	slow   bool
	finish *core.Finish
}

// Wake returns a channel that is signaled when there is something to take.
func (w *Waiter) Wake() <-chan struct{} { return w.wake }

// Take returns the chunks that arrived since the last call and, once the request has ended, its result.
func (w *Waiter) Take() ([]core.Chunk, *core.Finish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	chunks := w.chunks
	w.chunks = nil
	w.size = 0
	return chunks, w.finish
}

// chunk queues chunks in order of offset, since the actions of two events may be executed concurrently. It returns true
// once, when too many bytes are buffered.
func (w *Waiter) chunk(c core.Chunk) (slow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.early[c.Offset] = c
	for {
		c, ok := w.early[w.next]
		if !ok {
			break
		}
		delete(w.early, w.next)
		w.next += c.Tokens
		w.size += len(c.Text)
		w.chunks = append(w.chunks, c)
	}
	w.signal()
	if w.size > w.most && !w.slow {
		w.slow = true
		return true
	}
	return false
}

func (w *Waiter) end(f core.Finish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish = &f
	w.signal()
}

func (w *Waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Submit hands a request to the engine; the spans of its attempts become children of the span in the context.
func (d *Driver) Submit(ctx context.Context, a core.Arrival) *Waiter {
	w := &Waiter{
		ctx: context.WithoutCancel(ctx), wake: make(chan struct{}, 1), early: map[int]core.Chunk{}, most: d.most,
		fingerprint: xxhash.Sum64String(a.Workspace+"\x00"+a.Service+"\x00") ^ xxhash.Sum64(a.Input),
	}
	d.mu.Lock()
	d.waiters[a.ID] = w
	d.mu.Unlock()
	a.QuorumLost = a.Key != proto.Key{} && !d.claims.Reachable(a.Key)
	d.HandleEvent(a)
	return w
}

// HandleEvent feeds an event to the engine and executes the resulting actions.
func (d *Driver) HandleEvent(event core.Event) {
	d.gate()
	for _, action := range d.engine.Handle(d.clock.Now(), event) {
		d.carry(action)
	}
}

func (d *Driver) waiter(id proto.RequestID) *Waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiters[id]
}

func (d *Driver) carry(action core.Action) {
	switch a := action.(type) {
	case core.Start:
		d.start(a)
	case core.Export:
		go d.export(a)
	case core.Cancel:
		d.cancel(a.Attempt)
	case core.Claim:
		go d.claim(a)
	case core.Settle:
		d.claims.Settle(a.Key, a.Request, a.Released, a.Answer)
	case core.Chunk:
		if w := d.waiter(a.Request); w != nil && w.chunk(a) {
			go d.HandleEvent(core.CallerLeft{Request: a.Request, Slow: true})
		}
	case core.Finish:
		d.mu.Lock()
		w := d.waiters[a.Request]
		delete(d.waiters, a.Request)
		d.mu.Unlock()
		if w != nil {
			w.end(a)
		}
	}
}

func (d *Driver) start(a core.Start) {
	parent := context.Background()
	if w := d.waiter(a.ID.Request); w != nil {
		parent = w.ctx
	}
	ctx, cancel := context.WithCancel(parent)
	d.mu.Lock()
	d.attempts[a.ID] = &running{cancel: cancel, target: a.Target}
	d.mu.Unlock()
	go func() {
		defer d.forget(a.ID, cancel)
		d.targets.Run(ctx, &a, a.MayRepeat, d.HandleEvent)
	}()
}

func (d *Driver) forget(id proto.AttemptID, cancel context.CancelFunc) {
	cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, id)
}

// cancel closes the connection and also notifies the target, which may not notice the closed connection at once.
func (d *Driver) cancel(id proto.AttemptID) {
	d.mu.Lock()
	r := d.attempts[id]
	d.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	go d.targets.Cancel(context.Background(), r.target.Address, id)
}

func (d *Driver) export(a core.Export) {
	handle, err := d.targets.Export(context.Background(), a.Target.Address, a.Attempt)
	if err != nil {
		d.log.Warn("a KV cache could not be exported", "target", a.Target.Name, "attempt", a.Attempt, "error", err)
	}
	d.HandleEvent(core.Exported{Attempt: a.Attempt, Handle: handle})
}

func (d *Driver) claim(a core.Claim) {
	answered := core.ClaimAnswered{Request: a.Request, Result: core.ClaimNoQuorum}
	if w := d.waiter(a.Request); w != nil {
		decision, answer := d.claims.Claim(w.ctx, a.Key, w.fingerprint, a.Request)
		answered.Result, answered.Answer = verdicts[decision], answer
	}
	d.HandleEvent(answered)
	if !d.engine.HasRequest(a.Request) && answered.Result == core.ClaimGranted {
		// The request ended while its key was being claimed, so no part of the stage ran.
		d.claims.Settle(a.Key, a.Request, true, nil)
	}
}

var verdicts = map[coord.Decision]core.ClaimResult{
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
func (d *Driver) Run(ctx context.Context, every time.Duration) {
	ticker := d.clock.NewTicker(every)
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
