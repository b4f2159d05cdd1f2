package core

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/proto"
)

func falsePointer() *bool {
	b := false
	return &b
}

// testFile has a pipeline that may be repeated, one that streams, and one whose last stage may run only once.
func testFile(perPool int) *proto.File {
	f := &proto.File{
		Kind: proto.FileKindDeployment, Name: "test",
		Workspaces: []proto.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		Services: []proto.Service{
			{Name: "plain", Deadline: proto.Duration(2 * time.Second), Stages: []proto.Stage{{Name: "one", Pool: "encode"}, {Name: "two", Pool: "generate"}}},
			{Name: "stream", Deadline: proto.Duration(2 * time.Second), Stages: []proto.Stage{{Name: "one", Pool: "encode"}, {Name: "two", Pool: "generate", Stream: true, MaxTokens: 12}}},
			{Name: "once", Deadline: proto.Duration(time.Second), Repeatable: falsePointer(), Stages: []proto.Stage{{Name: "one", Pool: "encode"}, {Name: "two", Pool: "push"}}},
		},
	}
	for i, kind := range []proto.PoolKind{proto.PoolEncoder, proto.PoolEngine, proto.PoolService} {
		pool := proto.Pool{Name: []string{"encode", "generate", "push"}[i], Kind: kind}
		for j := range perPool {
			pool.Targets = append(pool.Targets, proto.Target{
				Name: fmt.Sprintf("%s-%d", pool.Name, j), Zone: proto.Zone(fmt.Sprintf("r/%d", j%3)), VM: proto.VM(fmt.Sprintf("vm-%s-%d", pool.Name, j)),
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000*i+j+1)), Slots: 2, ExportsCache: kind == proto.PoolEngine,
			})
		}
		f.Pools = append(f.Pools, pool)
	}
	return f
}

const testTokens = 12

// observed is what the caller and the targets have seen of a request.
type observed struct {
	service  string
	stream   bool
	once     bool
	deadline time.Time
	finished int
	chunks   int
	starts   map[int]int // possibly started attempts, by stage
}

// simulation drives an engine with targets that answer late, twice, out of order, incorrectly or not at all.
type simulation struct {
	engine   *Engine
	random   *rand.Rand
	now      time.Time
	pending  []func()
	observed map[proto.RequestID]*observed
	failures []string
}

func newSimulation(seed uint64) *simulation {
	h := &simulation{engine: New(WithSeed(seed), WithZone("r/0")), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), observed: map[proto.RequestID]*observed{}}
	h.engine.Configure(proto.EmptySnapshot().WithFile(1, testFile(3)), h.now, 0)
	return h
}

func (h *simulation) fail(format string, args ...any) {
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

func (h *simulation) arrive() {
	service := []string{"plain", "stream", "once"}[h.random.IntN(3)]
	id := NewRequestID(h.now, h.random)
	stream := h.random.IntN(2) == 0
	deadline := 2 * time.Second
	if service == "once" {
		deadline = time.Second
	}
	h.observed[id] = &observed{service: service, stream: stream, once: service == "once", deadline: h.now.Add(deadline), starts: map[int]int{}}
	a := Arrival{ID: id, Workspace: []string{"a", "b"}[h.random.IntN(2)], Service: service, Repeatable: true, Stream: stream, Prefix: "p"}
	if h.random.IntN(2) == 0 {
		a.Key = id
	}
	h.handle(a)
}

func (h *simulation) schedule(fn func()) { h.pending = append(h.pending, fn) }

func (h *simulation) handle(ev Event) {
	for _, action := range h.engine.Handle(h.now, ev) {
		switch a := action.(type) {
		case Start:
			h.started(a)
		case Claim:
			verdict := ClaimGranted
			if h.random.IntN(5) == 0 {
				verdict = []ClaimResult{ClaimTaken, ClaimNoQuorum, ClaimTooOld, ClaimMismatch}[h.random.IntN(4)]
			}
			h.schedule(func() { h.handle(ClaimAnswered{Request: a.Request, Result: verdict}) })
		case Chunk:
			h.chunk(a)
		case Finish:
			h.finished(a)
		}
	}
}

func (h *simulation) output(a *Start) []byte {
	return fmt.Appendf(nil, `"%s of %s"`, a.Stage.Name, a.ID.Request)
}

func (h *simulation) started(a Start) {
	s := h.observed[a.ID.Request]
	s.starts[a.ID.Stage]++
	if s.once && a.Stage.Name == "two" && s.starts[a.ID.Stage] > 1 {
		h.fail("a stage that may run only once may have started %d times", s.starts[a.ID.Stage])
	}
	if s.finished > 0 {
		h.fail("an attempt started after the end")
	}
	switch h.random.IntN(10) {
	case 0:
		h.schedule(func() {
			s.starts[a.ID.Stage]--
			h.handle(AttemptEnded{Attempt: a.ID, Status: StatusNotStarted})
		})
	case 1:
		h.schedule(func() { h.handle(AttemptEnded{Attempt: a.ID, Status: StatusUnknown}) })
	case 2:
		h.schedule(func() { h.handle(AttemptEnded{Attempt: a.ID, Status: StatusFailed, Busy: time.Millisecond}) })
	case 3: // never answers
	default:
		h.answer(a)
	}
}

// answer sends a complete answer, sometimes twice, with chunks that may be duplicated, missing or late.
func (h *simulation) answer(a Start) {
	if a.Stream {
		for from := a.Offset; from < testTokens; from += 4 {
			chunk := AttemptChunk{Attempt: a.ID, Offset: from, Text: text(a.ID.Request, from, from+4), Tokens: 4}
			if h.random.IntN(15) > 0 {
				h.schedule(func() { h.handle(chunk) })
			}
			if h.random.IntN(15) == 0 {
				h.schedule(func() { h.handle(chunk) })
			}
		}
	}
	ended := AttemptEnded{Attempt: a.ID, Status: StatusDone, Output: h.output(&a), Busy: time.Millisecond}
	if a.Stream {
		ended.Tokens = testTokens
	}
	h.schedule(func() { h.handle(ended) })
	if h.random.IntN(10) == 0 {
		h.schedule(func() { h.handle(ended) })
	}
}

func text(id proto.RequestID, from, to int) string {
	return fmt.Sprintf("%s[%d,%d)", id, from, to)
}

func wholeText(id proto.RequestID) []byte {
	var all []byte
	for from := 0; from < testTokens; from += 4 {
		all = append(all, text(id, from, from+4)...)
	}
	return encodeText(all)
}

func (h *simulation) chunk(c Chunk) {
	s := h.observed[c.Request]
	if c.Offset != s.chunks || c.Text != text(c.Request, c.Offset, c.Offset+c.Tokens) || s.finished > 0 {
		h.fail("chunk at %d after %d of %q", c.Offset, s.chunks, c.Text)
	}
	s.chunks += c.Tokens
}

func (h *simulation) finished(f Finish) {
	s := h.observed[f.Request]
	s.finished++
	if s.finished > 1 {
		h.fail("a request ended twice")
	}
	if h.now.After(s.deadline.Add(50 * time.Millisecond)) {
		h.fail("a request ended %s after its deadline", h.now.Sub(s.deadline))
	}
	if f.Failure == nil {
		want := fmt.Appendf(nil, `"two of %s"`, f.Request)
		if s.service == "stream" {
			want = wholeText(f.Request)
		}
		if !bytes.Equal(f.Output, want) {
			h.fail("output %s, want %s", f.Output, want)
		}
		return
	}
	possible := 0
	for _, n := range s.starts {
		possible += n
	}
	if f.Failure.Outcome == proto.OutcomeNotRun && possible > 0 {
		h.fail("refused as not run, but %d attempts may have started", possible)
	}
	if status := f.Failure.Status(); (status == 429 || status == 503) && f.Failure.Outcome != proto.OutcomeNotRun {
		h.fail("status %d with outcome %s", status, f.Failure.Outcome)
	}
}

// step delivers one pending answer, mostly in order, sometimes a random one, or generates a new event.
func (h *simulation) step() {
	switch n := h.random.IntN(10); {
	case n < 2:
		h.arrive()
	case n < 4:
		h.now = h.now.Add(time.Duration(h.random.IntN(40)) * time.Millisecond)
		h.handle(Tick{})
	case n == 4 && len(h.observed) > 0 && h.random.IntN(20) == 0:
		for id := range h.observed {
			h.handle(CallerLeft{Request: id})
			break
		}
	case len(h.pending) > 0:
		i := 0
		if h.random.IntN(5) == 0 {
			i = h.random.IntN(len(h.pending))
		}
		next := h.pending[i]
		h.pending = append(h.pending[:i], h.pending[i+1:]...)
		next()
	}
}

func (h *simulation) end() {
	for range 400 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.handle(Tick{})
	}
	for len(h.pending) > 0 {
		next := h.pending[0]
		h.pending = h.pending[1:]
		next()
	}
	for id, s := range h.observed {
		if s.finished != 1 {
			h.fail("request %s ended %d times", id, s.finished)
		}
	}
	if n := h.engine.OpenRequests(); n != 0 {
		h.fail("%d requests are still open", n)
	}
	for _, p := range h.engine.Pools(h.now) {
		for _, t := range p.Targets {
			if t.Inflight != 0 {
				h.fail("target %s still counts %d attempts", t.Target, t.Inflight)
			}
		}
	}
}

func TestEachRequestEndsOnceWithItsOwnAnswer(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	delivered := int64(0)
	properties.Property("own result only, once, in time, and not run means not run", prop.ForAll(func(seed uint64) string {
		h := newSimulation(seed)
		for range 600 {
			h.step()
		}
		h.end()
		for _, w := range h.engine.Stats().Report().Workspaces {
			delivered += w.Delivered
		}
		if len(h.failures) > 0 {
			return h.failures[0]
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if delivered < 5_000 {
		t.Fatalf("only %d requests were answered, which proves little", delivered)
	}
}
