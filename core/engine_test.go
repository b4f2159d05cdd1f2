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
	sim := &simulation{engine: New(WithSeed(seed), WithZone("r/0")), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), observed: map[proto.RequestID]*observed{}}
	sim.engine.Configure(proto.EmptySnapshot().WithFile(1, testFile(3)), sim.now, 0)
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf(format, args...))
}

func (sim *simulation) addRequest() {
	service := []string{"plain", "stream", "once"}[sim.random.IntN(3)]
	id := NewRequestID(sim.now, sim.random)
	stream := sim.random.IntN(2) == 0
	deadline := 2 * time.Second
	if service == "once" {
		deadline = time.Second
	}
	sim.observed[id] = &observed{service: service, stream: stream, once: service == "once", deadline: sim.now.Add(deadline), starts: map[int]int{}}
	a := Arrival{ID: id, Workspace: []string{"a", "b"}[sim.random.IntN(2)], Service: service, Repeatable: true, Stream: stream, Prefix: "p"}
	if sim.random.IntN(2) == 0 {
		a.Key = id
	}
	sim.handleEvent(a)
}

func (sim *simulation) schedule(fn func()) { sim.pending = append(sim.pending, fn) }

func (sim *simulation) handleEvent(ev Event) {
	for _, action := range sim.engine.Handle(sim.now, ev) {
		switch a := action.(type) {
		case Start:
			sim.started(a)
		case Claim:
			result := ClaimGranted
			if sim.random.IntN(5) == 0 {
				result = []ClaimResult{ClaimTaken, ClaimNoQuorum, ClaimTooOld, ClaimMismatch}[sim.random.IntN(4)]
			}
			sim.schedule(func() { sim.handleEvent(ClaimAnswered{Request: a.Request, Result: result}) })
		case Chunk:
			sim.chunk(a)
		case Finish:
			sim.finished(a)
		}
	}
}

func (sim *simulation) output(a *Start) []byte {
	return fmt.Appendf(nil, `"%s of %s"`, a.Stage.Name, a.ID.Request)
}

func (sim *simulation) started(a Start) {
	s := sim.observed[a.ID.Request]
	s.starts[a.ID.Stage]++
	if s.once && a.Stage.Name == "two" && s.starts[a.ID.Stage] > 1 {
		sim.fail("a stage that may run only once may have started %d times", s.starts[a.ID.Stage])
	}
	if s.finished > 0 {
		sim.fail("an attempt started after its request had ended")
	}
	switch sim.random.IntN(10) {
	case 0:
		sim.schedule(func() {
			s.starts[a.ID.Stage]--
			sim.handleEvent(AttemptEnded{Attempt: a.ID, Status: StatusNotStarted})
		})
	case 1:
		sim.schedule(func() { sim.handleEvent(AttemptEnded{Attempt: a.ID, Status: StatusUnknown}) })
	case 2:
		sim.schedule(func() { sim.handleEvent(AttemptEnded{Attempt: a.ID, Status: StatusFailed, Busy: time.Millisecond}) })
	case 3: // never answers
	default:
		sim.answer(a)
	}
}

// answer sends a complete answer, sometimes twice, with chunks that may be duplicated, missing or late.
func (sim *simulation) answer(a Start) {
	if a.Stream {
		for from := a.Offset; from < testTokens; from += 4 {
			chunk := AttemptChunk{Attempt: a.ID, Offset: from, Text: text(a.ID.Request, from, from+4), Tokens: 4}
			if sim.random.IntN(15) > 0 {
				sim.schedule(func() { sim.handleEvent(chunk) })
			}
			if sim.random.IntN(15) == 0 {
				sim.schedule(func() { sim.handleEvent(chunk) })
			}
		}
	}
	ended := AttemptEnded{Attempt: a.ID, Status: StatusDone, Output: sim.output(&a), Busy: time.Millisecond}
	if a.Stream {
		ended.Tokens = testTokens
	}
	sim.schedule(func() { sim.handleEvent(ended) })
	if sim.random.IntN(10) == 0 {
		sim.schedule(func() { sim.handleEvent(ended) })
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

func (sim *simulation) chunk(c Chunk) {
	s := sim.observed[c.Request]
	if c.Offset != s.chunks || c.Text != text(c.Request, c.Offset, c.Offset+c.Tokens) || s.finished > 0 {
		sim.fail("chunk at offset %d, but %d tokens were delivered before it: %q", c.Offset, s.chunks, c.Text)
	}
	s.chunks += c.Tokens
}

func (sim *simulation) finished(f Finish) {
	s := sim.observed[f.Request]
	s.finished++
	if s.finished > 1 {
		sim.fail("a request ended twice")
	}
	if sim.now.After(s.deadline.Add(50 * time.Millisecond)) {
		sim.fail("a request ended %s after its deadline", sim.now.Sub(s.deadline))
	}
	if f.Failure == nil {
		want := fmt.Appendf(nil, `"two of %s"`, f.Request)
		if s.service == "stream" {
			want = wholeText(f.Request)
		}
		if !bytes.Equal(f.Output, want) {
			sim.fail("output %s, want %s", f.Output, want)
		}
		return
	}
	possible := 0
	for _, n := range s.starts {
		possible += n
	}
	if f.Failure.Outcome == proto.OutcomeNotRun && possible > 0 {
		sim.fail("outcome is notRun, but %d attempts may have started", possible)
	}
	if status := f.Failure.Status(); (status == 429 || status == 503) && f.Failure.Outcome != proto.OutcomeNotRun {
		sim.fail("status %d with outcome %s", status, f.Failure.Outcome)
	}
}

// step delivers one pending answer, mostly in order, sometimes a random one, or generates a new event.
func (sim *simulation) step() {
	switch n := sim.random.IntN(10); {
	case n < 2:
		sim.addRequest()
	case n < 4:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(40)) * time.Millisecond)
		sim.handleEvent(Tick{})
	case n == 4 && len(sim.observed) > 0 && sim.random.IntN(20) == 0:
		for id := range sim.observed {
			sim.handleEvent(CallerLeft{Request: id})
			break
		}
	case len(sim.pending) > 0:
		i := 0
		if sim.random.IntN(5) == 0 {
			i = sim.random.IntN(len(sim.pending))
		}
		next := sim.pending[i]
		sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
		next()
	}
}

func (sim *simulation) end() {
	for range 400 {
		sim.now = sim.now.Add(20 * time.Millisecond)
		sim.handleEvent(Tick{})
	}
	for len(sim.pending) > 0 {
		next := sim.pending[0]
		sim.pending = sim.pending[1:]
		next()
	}
	for id, s := range sim.observed {
		if s.finished != 1 {
			sim.fail("request %s ended %d times", id, s.finished)
		}
	}
	if n := sim.engine.OpenRequests(); n != 0 {
		sim.fail("%d requests are still open", n)
	}
	for _, p := range sim.engine.Pools(sim.now) {
		for _, t := range p.Targets {
			if t.Inflight != 0 {
				sim.fail("target %s still has %d attempts in flight", t.Target, t.Inflight)
			}
		}
	}
}

func TestEachRequestEndsOnceWithItsOwnAnswer(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	delivered := int64(0)
	properties.Property("each request ends once, in time, with its own result, and notRun is only reported if nothing may have run", prop.ForAll(func(seed uint64) string {
		sim := newSimulation(seed)
		for range 600 {
			sim.step()
		}
		sim.end()
		for _, w := range sim.engine.Stats().Report().Workspaces {
			delivered += w.Delivered
		}
		if len(sim.failures) > 0 {
			return sim.failures[0]
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if delivered < 5_000 {
		t.Fatalf("only %d requests were answered, too few for the test to be meaningful", delivered)
	}
}
