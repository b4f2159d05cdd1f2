package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// handoverSeeds is the number of plays of each kind of request.
	handoverSeeds = 200
	// handoverNotice is how long a target may take to notice the end of its connection, network included, and handoverLate how late
	// timers of a daemon that waits for its processor fire.
	handoverNotice = 50 * time.Millisecond
	handoverLate   = 250 * time.Millisecond
	// handoverConnect is how long it takes at most to connect to a target.
	handoverConnect = 150 * time.Millisecond
	// handoverGoal is the latency goal of plain requests, and handoverTime the time that each request has.
	handoverGoal = 100 * time.Millisecond
	handoverTime = 8 * time.Second
)

// handoverModel is a request that targets begin long after they got it: they read a prompt first, and tell of their work only with
// an event or the whole answer. Connections take their time, and so does the end of one. Some daemons are late.
type handoverModel struct {
	kind proto.RouteKind
	// source draws all times, in the order in which the targets are asked.
	mu     sync.Mutex
	source *rand.Rand
	works  []*targetWork
}

func (m *handoverModel) draw(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return upTo(m.source, limit)
}

// racer returns the behavior of a target, which differs between its attempts.
func (m *handoverModel) racer(target int) racer {
	return func(ctx context.Context) (*TargetResponse, error) {
		m.mu.Lock()
		work := &targetWork{target: target, acceptedAt: time.Now()}
		random := rand.New(rand.NewPCG(m.source.Uint64(), uint64(len(m.works))))
		m.works = append(m.works, work)
		m.mu.Unlock()
		notice := upTo(random, handoverNotice)
		context.AfterFunc(ctx, func() { time.AfterFunc(notice, func() { m.end(work) }) })
		wait := m.usualWait(random)
		switch random.IntN(10) {
		case 0:
			m.end(work)
			return refusesAfter(5 * time.Millisecond)(ctx)
		case 1:
			return hangs(ctx)
		case 2, 3:
			wait = 500*time.Millisecond + upTo(random, 2500*time.Millisecond)
		}
		return m.answer(ctx, random, work, wait)
	}
}

// usualWait returns how long targets usually take to begin their answer: an engine reads a prompt first.
func (m *handoverModel) usualWait(random *rand.Rand) time.Duration {
	if m.kind == proto.RouteStream {
		return 10*time.Millisecond + upTo(random, 300*time.Millisecond)
	}
	return 5*time.Millisecond + upTo(random, 35*time.Millisecond)
}

// answer returns an answer that begins after a wait: the rest of a stream with a silence in it, or the whole of another answer.
func (m *handoverModel) answer(ctx context.Context, random *rand.Rand, work *targetWork, wait time.Duration) (*TargetResponse, error) {
	parts := []part{{wait, "whole"}}
	if m.kind == proto.RouteStream {
		parts = parts[:0]
		silentAt, silence := random.IntN(2*overlapEvents), upTo(random, overlapSilence)
		for id := requestAfter(ctx) + 1; id <= overlapEvents; id++ {
			pause := eventPause
			if id == silentAt {
				pause += silence
			}
			parts = append(parts, part{wait + pause, fmt.Sprintf("id: %d\ndata: x\n\n", id)})
			wait = 0
		}
	}
	body := &handoverBody{pausedBody{ctx: ctx, parts: parts, ends: io.EOF}, m, work}
	if random.IntN(8) == 0 {
		body.parts, body.ends = body.parts[:random.IntN(len(body.parts)+1)], io.ErrUnexpectedEOF
	}
	return &TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

func (m *handoverModel) end(w *targetWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.endedAt.IsZero() {
		w.endedAt = time.Now()
	}
}

// handoverBody records when its target has sent all.
type handoverBody struct {
	pausedBody
	model *handoverModel
	work  *targetWork
}

func (b *handoverBody) Read(p []byte) (int, error) {
	n, err := b.pausedBody.Read(p)
	if err != nil && b.ctx.Err() == nil {
		b.model.end(b.work)
	}
	return n, err
}

// lateClock is the clock of a daemon that waits for its processor: what a timer calls is called late.
type lateClock struct {
	clockwork.Clock
	late func() time.Duration
}

func (c lateClock) AfterFunc(d time.Duration, fn func()) clockwork.Timer {
	return c.Clock.AfterFunc(d+c.late(), fn)
}

// handoverResult is what the caller and the targets saw in a play.
type handoverResult struct {
	// served is set if the caller got all, the first of it after first and with pauses up to longest.
	served         bool
	first, longest time.Duration
	works          int
	// overlap is for how long earlier worked on after later might begin.
	overlap        time.Duration
	earlier, later *targetWork
	events         string
}

// playHandover plays one request to its end.
func playHandover(t *testing.T, kind proto.RouteKind, seed uint64, options ...func(*racedRequest)) (result handoverResult) {
	m := &handoverModel{kind: kind, source: rand.New(rand.NewPCG(seed, 17))}
	var racers []racer
	for i := range 3 {
		racers = append(racers, m.racer(i))
	}
	r := newRaced(kind, racers...)
	r.due, r.deadline = r.startedAt.Add(handoverTime), r.startedAt.Add(handoverTime)
	if kind != proto.RouteStream {
		r.route.LatencyGoal = handoverGoal
	}
	estimates := newDurationEstimates[string](r.server.clock)
	random := rand.New(rand.NewPCG(seed, 19))
	for range 200 {
		estimates.observe("p", initialResponseTime, m.usualWait(random))
		estimates.observe(raceRoute, initialFirstEventTime, m.usualWait(random))
	}
	r.server.responseTimes, r.server.firstEventTimes = estimates, estimates
	if late := seed%4 == 0; late {
		r.server.clock = lateClock{r.server.clock, func() time.Duration { return m.draw(handoverLate) }}
	}
	r.sender.connect = func() time.Duration { return m.draw(handoverConnect) }
	for _, option := range options {
		option(r)
	}
	caller := &stallingCaller{ResponseRecorder: r.recorder, ctx: t.Context(), stallsAt: r.startedAt.Add(time.Hour)}
	caller.onFirst = func() { result.first = time.Since(r.startedAt) }
	r.w = caller
	result.served = r.run(t.Context()) == nil
	if result.first == 0 {
		result.first = time.Since(r.startedAt)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	result.longest, result.works, result.events = caller.longest, len(m.works), eventsOf(r.recorder.Body.String())
	result.overlap, result.earlier, result.later = longestOverlapOf(m.works)
	return result
}

// longestOverlapOf returns for how long at most an earlier target worked on after a later one had the request and might begin.
func longestOverlapOf(works []*targetWork) (longest time.Duration, earlier, later *targetWork) {
	for i, first := range works {
		for _, second := range works[i+1:] {
			ended := first.endedAt
			if second.endedAt.Before(ended) {
				ended = second.endedAt
			}
			if overlap := ended.Sub(second.acceptedAt); overlap > longest {
				longest, earlier, later = overlap, first, second
			}
		}
	}
	return longest, earlier, later
}

// handoverKinds are the kinds of requests that may run at more than one target.
var handoverKinds = []struct {
	name string
	kind proto.RouteKind
}{{"streams", proto.RouteStream}, {"plain requests", proto.RouteRepeatable}}

// TestEarlierTargetStopsSoonAfterLaterOneMayBegin guards against requests that two targets work on for long: the earlier one was told
// to stop only once an event of the later one had arrived, which may take a second from its first token.
func TestEarlierTargetStopsSoonAfterLaterOneMayBegin(t *testing.T) {
	want := ""
	for id := range overlapEvents {
		want += fmt.Sprint(id + 1)
	}
	for _, k := range handoverKinds {
		t.Run(k.name, func(t *testing.T) {
			beside := 0
			for seed := range uint64(handoverSeeds) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						result := playHandover(t, k.kind, seed)
						if result.later != nil {
							beside++
						}
						if result.overlap > maxOverlap {
							t.Errorf("target %d worked on for %s after target %d might begin", result.earlier.target, result.overlap, result.later.target)
						}
						if k.kind == proto.RouteStream && result.served && result.events != want {
							t.Errorf("the caller received the events %s", result.events)
						}
					})
				})
			}
			if beside < handoverSeeds/10 {
				t.Errorf("two targets worked on a request in only %d of %d seeds", beside, handoverSeeds)
			}
		})
	}
}

// afterGrace returns a policy that lets earlier attempts continue beside a later one for a while, and then cancels all but one: the
// first that has answered since, or otherwise the latest or the earliest.
func afterGrace(clock clockwork.Clock, grace time.Duration, keepsLatest bool) handoverPolicy {
	return func(h *handover, _ []*attempt) []*attempt {
		clock.AfterFunc(grace, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if len(h.sent) < 2 {
				return
			}
			kept := h.sent[0]
			if len(h.answering) > 0 {
				kept = h.answering[0]
			} else if keepsLatest {
				kept = h.sent[len(h.sent)-1]
			}
			for _, a := range h.sent {
				if a != kept {
					a.cancel(errSuperseded)
				}
			}
			h.signal()
		})
		return nil
	}
}

// handoverSummary is what the callers of all plays saw.
type handoverSummary struct {
	served, soon, works, long int
	first, longest            time.Duration
}

func playHandovers(t *testing.T, kind proto.RouteKind, policy func(clock clockwork.Clock) handoverPolicy) (sum handoverSummary) {
	for seed := range uint64(handoverSeeds) {
		synctest.Test(t, func(t *testing.T) {
			result := playHandover(t, kind, seed, func(r *racedRequest) { r.server.handover = policy(r.server.clock) })
			sum.first += result.first / handoverSeeds
			sum.longest += result.longest / handoverSeeds
			sum.works += result.works
			if result.served {
				sum.served++
			}
			if result.served && result.first < time.Second {
				sum.soon++
			}
			if result.overlap > maxOverlap {
				sum.long++
			}
		})
	}
	return sum
}

// TestHandoverPoliciesByCallers compares ways to hand requests over by what callers of the same requests get. No way that lets two
// targets continue for a while serves many more of them than the one that stops the earlier target first.
func TestHandoverPoliciesByCallers(t *testing.T) {
	policies := []struct {
		name   string
		policy func(clock clockwork.Clock) handoverPolicy
	}{
		{"50 ms, then the later one", func(clock clockwork.Clock) handoverPolicy { return afterGrace(clock, 50*time.Millisecond, true) }},
		{"200 ms, then the later one", func(clock clockwork.Clock) handoverPolicy { return afterGrace(clock, 200*time.Millisecond, true) }},
		{"50 ms, then the earlier one", func(clock clockwork.Clock) handoverPolicy { return afterGrace(clock, 50*time.Millisecond, false) }},
		{"200 ms, then the earlier one", func(clock clockwork.Clock) handoverPolicy { return afterGrace(clock, 200*time.Millisecond, false) }},
		{"no limit", func(clock clockwork.Clock) handoverPolicy { return afterGrace(clock, time.Hour, true) }},
	}
	for _, k := range handoverKinds {
		taken := playHandovers(t, k.kind, func(clockwork.Clock) handoverPolicy { return stopEarlier })
		t.Logf("%s, the earlier target stops first: %+v", k.name, taken)
		for _, p := range policies {
			other := playHandovers(t, k.kind, p.policy)
			t.Logf("%s, %s: %+v", k.name, p.name, other)
			if other.served > taken.served+handoverSeeds/50 {
				t.Errorf("%s: %d served if targets continue for %s, %d if the earlier one stops first", k.name, other.served, p.name, taken.served)
			}
			if p.name == "no limit" && other.long == 0 {
				t.Errorf("%s: no targets work side by side for over %s without a limit", k.name, maxOverlap)
			}
		}
	}
}
